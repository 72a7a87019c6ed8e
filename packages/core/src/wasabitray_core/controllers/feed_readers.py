"""Read positions of a feed's readers, and the replies that wait for them."""

from __future__ import annotations

from msgspec import Struct

from wasabitray_core.controllers.controller import Origin
from wasabitray_core.ids import FeedPosition, Seconds

FEED_START = FeedPosition(0)
# Exceeds the delay of two links between regions, so that items still in
# transit are not sent again.
RESEND_AFTER_S = 0.4
# A target asks another hub after one second without a response.
CONFIRM_TIMEOUT_S = 2.0


class FeedReader(Struct):
    """A host that reads a feed.

    Attributes:
        sent: position up to which the feed was sent to it.
        acked: position up to which it acknowledged the feed.
        progress_at: when it last acknowledged a newer position, or was sent
            items while it had acknowledged all earlier ones.
    """

    sent: FeedPosition
    acked: FeedPosition
    progress_at: Seconds

    def record_sent(self, position: FeedPosition, now: Seconds) -> None:
        """Record that the feed was sent up to a position."""
        if self.acked >= self.sent:
            self.progress_at = now  # nothing was in transit before
        self.sent = position

    def record_read(self, position: FeedPosition, now: Seconds) -> None:
        """Record an acknowledged position.

        If no newer one came for RESEND_AFTER_S, the feed is sent again from
        this position.
        """
        if position > self.acked:
            self.acked, self.progress_at = position, now
            self.sent = max(position, self.sent)
        elif now - self.progress_at > RESEND_AFTER_S:
            self.sent = min(position, self.sent)
            self.acked, self.progress_at = position, now


class _PendingReply(Struct, frozen=True):
    position: FeedPosition
    origin: Origin
    asked_at: Seconds


class PendingConfirmations:
    """Replies held back until enough readers reach a position."""

    def __init__(self) -> None:
        """Start empty."""
        self._pending: list[_PendingReply] = []

    def add(
        self, position: FeedPosition, origin: Origin, now: Seconds
    ) -> None:
        """Hold back the reply to a request until a position is reached."""
        self._pending.append(_PendingReply(position, origin, now))

    def pop_confirmed(
        self, reached: FeedPosition, now: Seconds
    ) -> list[Origin]:
        """Remove the replies whose position is reached; return their origins.

        Other replies held back for longer than CONFIRM_TIMEOUT_S are dropped
        and never sent.
        """
        confirmed = [
            reply.origin
            for reply in self._pending
            if reply.position <= reached
        ]
        oldest = now - CONFIRM_TIMEOUT_S
        self._pending = [
            reply
            for reply in self._pending
            if reply.position > reached and reply.asked_at > oldest
        ]
        return confirmed
