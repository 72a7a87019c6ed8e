"""All errors of the fleet, under one base."""

from __future__ import annotations

from typing import Any


class WasabitrayError(Exception):
    """Base of every error.

    Attributes:
        step: what was being done, such as `connect` or `append`.
        peer: the other side, such as a host, target or file.
        request: the request at hand, if any.
        response: the response at hand, if any.
    """

    def __init__(
        self,
        detail: str,
        *,
        step: str,
        peer: str = "",
        request: Any = None,
        response: Any = None,
    ) -> None:
        """Record where the error arose."""
        super().__init__(detail)
        self.detail = detail
        self.step = step
        self.peer = peer
        self.request = request
        self.response = response

    def __str__(self) -> str:
        """Return the step, the peer and the detail."""
        place = f"{self.step} {self.peer}".strip()
        return f"{place}: {self.detail}"


class DocumentError(WasabitrayError):
    """A template, organisation or fleet document is not valid."""


class ConflictError(WasabitrayError):
    """A change expects a revision that is no longer the newest."""


class NotLeaderError(WasabitrayError):
    """The control host asked is not the leader."""


class UnavailableError(WasabitrayError):
    """A quorum that is needed can't be reached."""


class CorruptLogError(WasabitrayError):
    """Stored state is damaged before its tail."""


class UpstreamError(WasabitrayError):
    """An exchange with a target broke."""


class TruncatedAnswerError(UpstreamError):
    """A target's answer ended before its end."""


class PeerError(WasabitrayError):
    """A message from or to a peer broke its link."""
