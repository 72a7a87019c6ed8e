"""HTTP client of the hosts' listeners for operators."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from wasabitray_cli.errors import (
    ChangeConflictError,
    CommandError,
    InputError,
)
from wasabitray_cli.settings import ClientSettings

TIMEOUT_S = 20.0
CONNECT_TIMEOUT_S = 2.0
PROPOSAL_ROUNDS = 3


class FleetClient:
    """Sends requests to the fleet's hosts."""

    def __init__(self, settings: ClientSettings) -> None:
        """Initialise with the hosts' addresses and the secret."""
        self._settings = settings
        self._headers = {"Content-Type": "application/json"}
        secret = settings.read_secret()
        if secret:
            self._headers["Authorization"] = f"Bearer {secret}"

    @property
    def settings(self) -> ClientSettings:
        """The client's settings."""
        return self._settings

    def get(self, address: str, path: str) -> dict[str, Any]:
        """Get a document from one host.

        Raises:
            CommandError: the host does not respond with one.
        """
        status, document = self._request(address, "GET", path)
        if status != 200:
            raise CommandError(
                f"status {status}: {_get_message(document)}",
                step=f"get {path}",
                peer=address,
                response=document,
            )
        return document

    def get_from_any(
        self, addresses: Iterable[str], path: str
    ) -> dict[str, Any]:
        """Get a document from the first host that responds with one.

        Raises:
            CommandError: no host does.
        """
        failure = CommandError(
            "no host address in the settings", step=f"get {path}"
        )
        for address in addresses:
            try:
                return self.get(address, path)
            except CommandError as error:
                failure = error
        raise failure

    def post(self, address: str, path: str) -> dict[str, Any]:
        """Post an empty request to one host.

        Raises:
            CommandError: the host does not accept it.
        """
        status, document = self._request(address, "POST", path, {})
        if status >= 300:
            raise CommandError(
                _get_message(document), step=f"post {path}", peer=address
            )
        return document

    def get_newest_documents(self) -> dict[str, Any]:
        """Return the newest documents of all control hosts that respond."""
        states = []
        failure = CommandError(
            "no control host in the settings", step="get documents"
        )
        for address in self._settings.control:
            try:
                states.append(self.get(address, "/v1/documents"))
            except CommandError as error:
                failure = error
        if not states:
            raise failure
        return max(states, key=lambda d: d["revision"])

    def propose(self, change: dict[str, Any]) -> dict[str, Any]:
        """Send a change to control hosts until a leader responds to it.

        Sending it again is safe, as its change id stays the same.

        Raises:
            ChangeConflictError: the expected revision is not the newest.
            InputError: the change is not valid.
            CommandError: the outcome is unknown.
        """
        last_error = "no control host responded"
        for address in self._settings.control * PROPOSAL_ROUNDS:
            try:
                status, document = self._request(
                    address, "POST", "/v1/changes", change
                )
            except CommandError as error:
                last_error = str(error)
                continue
            if status == 200:
                return document
            last_error = _get_message(document)
            if status == 409:
                raise ChangeConflictError(
                    last_error, step="apply", peer=address
                )
            if status in (400, 422):
                raise InputError(last_error, step="apply", peer=address)
        raise CommandError(
            f"{last_error}; run the same command again to learn the outcome",
            step="apply",
        )

    def _request(
        self,
        address: str,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
    ) -> tuple[int, dict[str, Any]]:
        host, _, port = address.rpartition(":")
        payload = b"" if body is None else json.dumps(body).encode()
        client = HTTPClient(
            host,
            int(port),
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=TIMEOUT_S,
        )
        try:
            response = client.request(method, path, payload, self._headers)
            text = response.read()
            return response.status_code, json.loads(text or b"{}")
        except (OSError, HTTPParseError, ValueError) as error:
            raise CommandError(
                str(error), step=f"{method.lower()} {path}", peer=address
            ) from error
        finally:
            client.close()


def _get_message(document: dict[str, Any]) -> str:
    title = document.get("title", "")
    return document.get("description") or title or "no details in the response"
