"""Read positions of a feed's readers, and the replies that wait for them."""

from __future__ import annotations

from collections import deque

from msgspec import Struct, field

from wasabitray_core.controllers.controller import Origin
from wasabitray_core.ids import FeedPosition, Seconds

FEED_START = FeedPosition(0)
# Exceeds the delay of two links between regions, so that items still in
# transit are not sent again.
RESEND_AFTER_S = 0.4
# A link that is too slow for the feed would otherwise carry copies only.
MAX_RESEND_AFTER_S = 3.2
# Items that may be in transit to a reader. They take a slow link of 2 Mbit/s
# well below the resend time, and other messages don't wait behind a long feed.
WINDOW_ITEMS = 512
# A target asks another hub after one second without a response.
CONFIRM_TIMEOUT_S = 2.0


class FeedReader(Struct):
    """A host that reads a feed.

    Attributes:
        sent: position up to which the feed was sent to it.
        acked: position up to which it acknowledged the feed.
        progress_at: when it last acknowledged a newer position, or was sent
            items while it had acknowledged all earlier ones.
        resend_after: seconds without progress after which items in transit
            are sent again.
        in_transit: end position and number of items of each message that it
            has not acknowledged.
    """

    sent: FeedPosition
    acked: FeedPosition
    progress_at: Seconds
    resend_after: float = RESEND_AFTER_S
    in_transit: deque[tuple[FeedPosition, int]] = field(default_factory=deque)

    @property
    def window(self) -> int:
        """The number of items that may be sent to it now."""
        return max(0, WINDOW_ITEMS - sum(n for _, n in self.in_transit))

    def record_sent(
        self, position: FeedPosition, item_count: int, now: Seconds
    ) -> None:
        """Record that items up to a position of the feed were sent."""
        if self.acked >= self.sent:
            self.progress_at = now  # nothing was in transit before
        self.sent = position
        if item_count:
            self.in_transit.append((position, item_count))

    def record_read(self, position: FeedPosition, now: Seconds) -> None:
        """Record an acknowledged position.

        If items are in transit and no newer position came for some time, the
        feed is sent again from this position, and each further time after
        twice as long. A reader that acknowledges an earlier position has
        restarted, and is sent the feed from there at once.
        """
        has_restarted = position < self.acked
        if position != self.acked:
            self.resend_after = RESEND_AFTER_S
        if position > self.acked:
            self.acked, self.progress_at = position, now
            self.sent = max(position, self.sent)
        elif has_restarted or self._is_resend_due(now):
            if not has_restarted:
                self.resend_after = min(
                    2 * self.resend_after, MAX_RESEND_AFTER_S
                )
            self.sent = self.acked = position
            self.progress_at = now
            self.in_transit.clear()
        while self.in_transit and self.in_transit[0][0] <= self.acked:
            self.in_transit.popleft()

    def _is_resend_due(self, now: Seconds) -> bool:
        is_late = now - self.progress_at > self.resend_after
        return self.sent > self.acked and is_late


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
