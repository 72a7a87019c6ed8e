"""How far the readers of a feed have got, and what waits for them."""

from __future__ import annotations

from dataclasses import dataclass

from wasabitray_core.controllers.controller import Origin
from wasabitray_core.ids import FeedPosition, Seconds

START = FeedPosition(0)
# Longer than two links' delay between regions, so that what is on its way is
# not sent twice.
RESEND_AFTER_S = 0.4
# A target asks elsewhere after a second without an answer.
CONFIRM_TIMEOUT_S = 2.0


@dataclass(slots=True)
class Reader:
    """A host that reads a feed.

    Attributes:
        sent: how far the feed was sent to it.
        acked: how far it said that it has read.
        progress_at: when it last read on, or was sent what it lacked.
    """

    sent: FeedPosition
    acked: FeedPosition
    progress_at: Seconds

    def note_sent(self, position: FeedPosition, now: Seconds) -> None:
        """Note that the feed was sent up to a place."""
        if self.acked >= self.sent:
            self.progress_at = now  # nothing was under way before
        self.sent = position

    def note_read(self, position: FeedPosition, now: Seconds) -> None:
        """Note how far it has read; go back to there if it got stuck."""
        if position > self.acked:
            self.acked, self.progress_at = position, now
            self.sent = max(position, self.sent)
        elif now - self.progress_at > RESEND_AFTER_S:
            self.sent = min(position, self.sent)
            self.acked, self.progress_at = position, now


@dataclass(frozen=True, slots=True)
class _Waiting:
    position: FeedPosition
    origin: Origin
    since: Seconds


class Confirmations:
    """Asks that wait until enough readers have read up to a place."""

    def __init__(self) -> None:
        """Start empty."""
        self._waiting: list[_Waiting] = []

    def add(
        self, position: FeedPosition, origin: Origin, now: Seconds
    ) -> None:
        """Let an ask wait for a place."""
        self._waiting.append(_Waiting(position, origin, now))

    def take(self, reached: FeedPosition, now: Seconds) -> list[Origin]:
        """Return the asks whose place is reached; forget those too old."""
        done = [w.origin for w in self._waiting if w.position <= reached]
        oldest = now - CONFIRM_TIMEOUT_S
        self._waiting = [
            w
            for w in self._waiting
            if w.position > reached and w.since > oldest
        ]
        return done
