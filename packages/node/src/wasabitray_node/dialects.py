"""The HTTP dialects of callers and targets: headers and their meaning.

A dialect only translates between headers and the core's types; it decides
nothing. This module has the project's native dialects; another front end
brings its own.
"""

from __future__ import annotations

import re
from typing import Protocol

import falcon
from msgspec import Struct

from wasabitray_core.filters.chain import Attempt
from wasabitray_core.ids import (
    ApiKey,
    AuthorityName,
    CallerRequestId,
    OrganisationName,
    Seconds,
)
from wasabitray_core.requests import (
    Exchange,
    Headers,
    LoadReport,
    Response,
    find_header,
)
from wasabitray_core.states import AttemptStatus, Outcome
from wasabitray_node import headers as h

NOT_RUN = "not-run"
UNAVAILABLE = 503
SHED_STATUSES = frozenset({429, UNAVAILABLE})
# Bounded, so that the number is finite.
_SECONDS = re.compile(r"[0-9]{1,18}(\.[0-9]{1,18})?")
# `isdigit` also holds for superscripts, and `int` refuses very long numbers.
_COUNT = re.compile(r"[0-9]{1,9}")
# Characters of a header that are quoted in logs and refusals.
MAX_QUOTED = 64


class RequestMetadata(Struct, frozen=True):
    """The metadata in the headers of a caller's request.

    Attributes:
        timeout: seconds that the caller waits; None if not stated.
        error: why the request is invalid; empty if it is valid.
        api_key: the caller's key, empty if it sent none.
    """

    organisation: OrganisationName = OrganisationName("")
    authority: AuthorityName = AuthorityName("")
    key: str = ""
    id: CallerRequestId = CallerRequestId("")
    timeout: Seconds | None = None
    error: str = ""
    api_key: ApiKey = ApiKey("")

    def __repr__(self) -> str:
        return f"<RequestMetadata [{self.id}]>"


class CallerDialect(Protocol):
    """How callers state requests and read responses."""

    def parse_request(self, req: falcon.Request) -> RequestMetadata:
        """Return the metadata in the headers of a request."""

    def write_refusal(
        self, resp: falcon.Response, response: Response, exchange: Exchange
    ) -> None:
        """Write the entry's own response, which refuses the request."""

    def write_metadata(
        self, resp: falcon.Response, response: Response, exchange: Exchange
    ) -> None:
        """Add the fleet's headers to a target's response."""


class ResponseMetadata(Struct, frozen=True):
    """The metadata in the head of a target's response.

    Attributes:
        status: how the attempt ended.
        load: the load that the target reported.
        detail: what is wrong with the response; empty if nothing is.
        is_leaving: whether the target stated that it is leaving.
        retry_after: seconds for which the target wants no more requests.
        names_request: whether the response names the request that it belongs
            to. A second copy of a response may arrive late, so only the
            connection of a target that names them can be used again.
    """

    status: AttemptStatus = AttemptStatus.ANSWERED
    load: LoadReport | None = None
    detail: str = ""
    is_leaving: bool = False
    retry_after: Seconds | None = None
    names_request: bool = False


class TargetDialect(Protocol):
    """How requests to targets are written and their responses read."""

    def build_headers(self, attempt: Attempt) -> Headers:
        """Return the headers of an attempt, including `Host`."""

    def parse_response(
        self,
        attempt: Attempt,
        status: int,
        headers: Headers,
        is_reused: bool = False,
    ) -> ResponseMetadata:
        """Return the metadata in the head of a response.

        Args:
            attempt: the attempt that the response is expected for.
            status: the response's status code.
            headers: its headers.
            is_reused: whether its connection carried another request before.
        """


class NativeCallerDialect:
    """The project's native headers for callers."""

    def __init__(self, host: str) -> None:
        """Initialise with this host's name, sent with each response."""
        self._host = host

    def parse_request(self, req: falcon.Request) -> RequestMetadata:
        """Return the metadata in the headers of a request."""
        organisation = req.get_header(h.ORGANISATION_HEADER) or ""
        timeout = req.get_header(h.TIMEOUT_HEADER) or ""
        return RequestMetadata(
            OrganisationName(organisation),
            key=req.get_header(h.KEY_HEADER) or "",
            id=CallerRequestId(req.get_header(h.REQUEST_ID_HEADER) or ""),
            timeout=(
                Seconds(int(timeout) / 1_000) if timeout.isdigit() else None
            ),
            error=""
            if organisation
            else f"{h.ORGANISATION_HEADER} is missing",
        )

    def write_refusal(
        self, resp: falcon.Response, response: Response, exchange: Exchange
    ) -> None:
        """Write the entry's own response, which refuses the request."""
        assert response.refusal is not None
        self._write_entry_headers(resp, exchange)
        outcome = response.outcome or Outcome.UNKNOWN
        resp.set_header(h.OUTCOME_HEADER, outcome.value)
        resp.set_header(h.REASON_HEADER, response.refusal.value)
        if response.retry_after is not None:
            wait_s = max(1, round(response.retry_after))
            resp.set_header("Retry-After", str(wait_s))
        resp.media = {
            "outcome": outcome.value,
            "reason": response.refusal.value,
            "detail": response.detail,
            "retry_after_s": response.retry_after,
        }

    def write_metadata(
        self, resp: falcon.Response, response: Response, exchange: Exchange
    ) -> None:
        """Add the fleet's headers to a target's response."""
        self._write_entry_headers(resp, exchange)
        resp.set_header(h.TARGET_HEADER, response.target or "")
        resp.set_header(h.ATTEMPTS_HEADER, str(response.attempts))

    def _write_entry_headers(
        self, resp: falcon.Response, exchange: Exchange
    ) -> None:
        resp.set_header(h.ENTRY_HEADER, self._host)
        if exchange.revision:
            resp.set_header(h.REVISION_HEADER, str(exchange.revision))


class NativeTargetDialect:
    """The project's native headers for targets."""

    def build_headers(self, attempt: Attempt) -> Headers:
        """Return the headers of an attempt, including `Host`."""
        request = attempt.request
        forwarded = tuple(
            (n, v) for n, v in request.headers if not h.is_fleet_header(n)
        )
        return (
            ("Host", attempt.target.address or attempt.target.target),
            *forwarded,
            (h.ORGANISATION_HEADER, request.organisation),
            (h.DEADLINE_HEADER, str(int(attempt.timeout * 1_000))),
            (h.EXCHANGE_HEADER, request.id),
        )

    def parse_response(
        self,
        attempt: Attempt,
        status: int,
        headers: Headers,
        is_reused: bool = False,
    ) -> ResponseMetadata:
        """Return the metadata in the head of a response.

        A target need not name the request; its connections are then used
        for one request each.
        """
        named = find_header(headers, h.EXCHANGE_HEADER)
        if named != attempt.request.id and (named or is_reused):
            return ResponseMetadata(
                AttemptStatus.INVALID,
                detail=f"response is for request {named[:MAX_QUOTED]!r}",
            )
        outcome = find_header(headers, h.OUTCOME_HEADER)
        load = parse_load(find_header(headers, h.LOAD_HEADER))
        if status in SHED_STATUSES and outcome == NOT_RUN:
            return ResponseMetadata(
                AttemptStatus.SHED,
                load,
                f"shed with {status}",
                retry_after=parse_retry_after(status, headers),
            )
        return ResponseMetadata(load=load, names_request=bool(named))


def parse_retry_after(status: int, headers: Headers) -> Seconds | None:
    """Return the seconds that a 503 response states in `Retry-After`.

    A value that is not a number of seconds, such as a date, is ignored.
    """
    value = find_header(headers, "Retry-After").strip()
    if status != UNAVAILABLE or not _SECONDS.fullmatch(value):
        return None
    return Seconds(float(value))


def parse_count(text: str) -> int | None:
    """Return a number of at most nine digits, None for any other text."""
    return int(text) if _COUNT.fullmatch(text) else None


def parse_load(value: str) -> LoadReport | None:
    """Parse `busy=1, slots=2` from a target's load header."""
    fields = {}
    for part in value.split(","):
        name, _, number = part.strip().partition("=")
        count = parse_count(number)
        if count is not None:
            fields[name] = count
    if "busy" in fields and "slots" in fields:
        return LoadReport(fields["busy"], fields["slots"])
    return None
