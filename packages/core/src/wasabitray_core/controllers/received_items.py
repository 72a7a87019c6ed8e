"""The items that an entry received from its hub."""

from __future__ import annotations

from wasabitray_core.controllers.feed_table import (
    FeedItem,
    Subject,
    get_lifetime,
    get_subject,
)
from wasabitray_core.ids import Seconds

# Expired items are dropped once there are more than this many, and twice as
# many as were left the last time: the cost of that is spread over the items.
MIN_REVIEWED_ITEMS = 256


class ReceivedItems:
    """Tells whether an item came from the hub, so that it isn't sent back."""

    def __init__(self) -> None:
        """Start without items."""
        self._expiries: dict[Subject, tuple[FeedItem, Seconds]] = {}
        self._review_size = MIN_REVIEWED_ITEMS

    def __len__(self) -> int:
        return len(self._expiries)

    def __contains__(self, item: FeedItem) -> bool:
        known = self._expiries.get((type(item), get_subject(item)))
        return known is not None and known[0] == item

    def add(self, item: FeedItem, now: Seconds) -> None:
        """Add an item in place of an earlier one about its subject."""
        expires_at = Seconds(now + get_lifetime(item))
        self._expiries[(type(item), get_subject(item))] = item, expires_at
        if len(self._expiries) > self._review_size:
            self._drop_expired(now)

    def clear(self) -> None:
        """Drop all items."""
        self._expiries.clear()
        self._review_size = MIN_REVIEWED_ITEMS

    def _drop_expired(self, now: Seconds) -> None:
        self._expiries = {
            subject: (item, expires_at)
            for subject, (item, expires_at) in self._expiries.items()
            if now <= expires_at
        }
        self._review_size = max(MIN_REVIEWED_ITEMS, 2 * len(self._expiries))
