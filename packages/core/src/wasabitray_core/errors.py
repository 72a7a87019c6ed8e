"""All errors of the fleet, with a common base class."""

from __future__ import annotations

from typing import Any


class WasabitrayError(Exception):
    """Base class of the errors.

    Attributes:
        detail: what failed.
        step: the operation that failed, such as `connect` or `append`.
        peer: the other side of the operation, such as a host, target or file.
        request: the request concerned, if any.
        response: the response concerned, if any.
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
        """Store the detail and where the error occurred."""
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
    """The control host that received the request is not the leader.

    Attributes:
        contact: the host's contact with its control group, by log field.
    """

    def __init__(
        self,
        detail: str,
        *,
        step: str,
        peer: str = "",
        contact: dict[str, Any] | None = None,
    ) -> None:
        """Store the detail, the leader if it is known, and the contact."""
        super().__init__(detail, step=step, peer=peer)
        self.contact = contact or {}


class UnavailableError(WasabitrayError):
    """A quorum that the operation needs can't be reached."""


class CorruptLogError(WasabitrayError):
    """Stored state is damaged in more than its unfinished last record."""


class UpstreamError(WasabitrayError):
    """An exchange with a target failed."""


class TruncatedAnswerError(UpstreamError):
    """A target's response was cut off before its end."""


class PeerError(WasabitrayError):
    """A message to or from a peer failed, so that the link was closed."""
