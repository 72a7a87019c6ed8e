"""Clients that send requests to the fronts that the directory names."""

from __future__ import annotations

import http.client
import random
import threading
import time
import uuid

from deployment import Deployment, Record

# Clients keep a response of the directory for its time to live.
RESOLVE_INTERVAL_S = 2.0
DEADLINE_MS = 6_000


class Clients:
    """Send idempotent requests at a steady rate.

    Attributes:
        sent: for each request, when it was sent and whether it was served.
    """

    def __init__(
        self, deployment: Deployment, record: Record, host: str, path: str
    ) -> None:
        self.sent: list[tuple[float, bool]] = []
        self._deployment, self._record = deployment, record
        self._host, self._path = host, path
        self._addresses: list[str] = []
        self._is_over = False

    def start(self, count: int, interval_s: float) -> None:
        """Start so many clients, each with a pause between requests."""
        threading.Thread(target=self._resolve, daemon=True).start()
        for _ in range(count):
            threading.Thread(
                target=self._send, args=[interval_s], daemon=True
            ).start()

    def stop(self) -> None:
        """Stop to send."""
        self._is_over = True

    def get_share(self, since: float, until: float) -> tuple[int, float]:
        """Return how many were sent in a time, and the share served."""
        results = [ok for at, ok in self.sent if since <= at < until]
        return len(results), sum(results) / max(1, len(results))

    def _resolve(self) -> None:
        while not self._is_over:
            # They keep what they have if they can't get a new response.
            self._addresses = (
                self._deployment.resolve(self._host) or self._addresses
            )
            time.sleep(RESOLVE_INTERVAL_S)

    def _send(self, interval_s: float) -> None:
        while not self._is_over:
            if self._addresses:
                self._send_one(random.choice(self._addresses))
            time.sleep(interval_s)

    def _send_one(self, address: str) -> None:
        at = time.monotonic()
        request_id = uuid.uuid4().hex[:16]
        connection = http.client.HTTPConnection(
            address, timeout=DEADLINE_MS / 1_000
        )
        outcome: object
        try:
            headers = {
                "Host": self._host,
                "Request-Id": request_id,
                "Deadline-Ms": str(DEADLINE_MS),
            }
            connection.request("GET", self._path, headers=headers)
            response = connection.getresponse()
            response.read()
            outcome = response.status
        except (OSError, http.client.HTTPException) as error:
            outcome = type(error).__name__
        finally:
            connection.close()
        self._record.write(f"client {request_id} at {address}: {outcome}")
        self.sent.append((at, outcome == 200))
