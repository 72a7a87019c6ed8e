"""The news that a hub holds, newest word for each subject.

A feed is a log that keeps only the last item for each subject, so that a
host that reads it from the start gets the whole state and a host that is up
to date gets what changed.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from functools import singledispatch

from wasabitray_core.ids import FeedPosition, HostId, Incarnation, Seconds
from wasabitray_core.messages import (
    Announcement,
    Ejection,
    EntryState,
    Feed,
    FeedMark,
    News,
    Quarantine,
    TargetReport,
)

FeedItem = Announcement | Ejection | Quarantine | TargetReport | EntryState
Subject = tuple[type, str]

# A quarantine is told again by the entry that meets the request next.
QUARANTINE_TTL_S = 120.0
# Reports that start no cool-down are kept until every reader has it.
RECOVERY_TTL_S = 5.0


@singledispatch
def get_subject(item: FeedItem) -> str:
    """Return what an item is about; a newer one replaces it."""
    raise TypeError(f"{item!r} is no item of a feed")


@get_subject.register
def _(item: Announcement | Ejection | TargetReport) -> str:
    return item.target


@get_subject.register
def _(item: Quarantine) -> str:
    return item.fingerprint


@get_subject.register
def _(item: EntryState) -> str:
    return item.host


def get_rank(announcement: Announcement) -> tuple[int, int, int]:
    """Order announcements; leaving wins within one generation."""
    return (
        announcement.generation,
        announcement.phase,
        announcement.sequence,
    )


@singledispatch
def is_newer(item: FeedItem, known: FeedItem) -> bool:
    """Tell whether an item replaces the one known of its subject."""
    raise TypeError(f"{item!r} is no item of a feed")


@is_newer.register
def _(item: Announcement, known: Announcement) -> bool:
    return get_rank(item) > get_rank(known)


@is_newer.register
def _(item: Ejection, known: Ejection) -> bool:
    return item.version > known.version


@is_newer.register
def _(item: Quarantine, known: Quarantine) -> bool:
    return not set(item.targets) <= set(known.targets)


@is_newer.register
def _(item: TargetReport, known: TargetReport) -> bool:
    return item.rank > known.rank


@is_newer.register
def _(item: EntryState, known: EntryState) -> bool:
    return (item.counter, not item.present) > (
        known.counter,
        not known.present,
    )


@singledispatch
def adds_information(item: FeedItem, known: FeedItem) -> bool:
    """Tell whether a newer item is worth telling others."""
    return True


@adds_information.register
def _(item: Announcement, known: Announcement) -> bool:
    return replace(item, sequence=known.sequence) != known


@adds_information.register
def _(item: EntryState, known: EntryState) -> bool:
    return replace(item, counter=known.counter) != known


@singledispatch
def get_lifetime(item: FeedItem) -> float | None:
    """Return seconds after which an item is dropped, None if never."""
    return None


@get_lifetime.register
def _(item: TargetReport) -> float | None:
    return max(item.duration_s, RECOVERY_TTL_S)


@get_lifetime.register
def _(item: Ejection) -> float | None:
    return item.duration_s


@get_lifetime.register
def _(item: Quarantine) -> float | None:
    return QUARANTINE_TTL_S


@dataclass(slots=True)
class FeedRecord:
    """An item and where it came from.

    Attributes:
        position: its place in this hub's own feed.
        origin: the hub that first put it into a feed, and its place there.
        sender: the host that it came from, which need not get it again.
    """

    item: FeedItem
    position: FeedPosition
    origin: FeedMark
    sender: HostId
    since: Seconds

    def expired(self, now: Seconds) -> bool:
        """Tell whether the item's time is over."""
        lifetime = get_lifetime(self.item)
        return lifetime is not None and now - self.since > lifetime

    def aged(self, now: Seconds) -> FeedItem:
        """Return the item with what is left of its time."""
        if isinstance(self.item, TargetReport | Ejection):
            left = self.item.duration_s - (now - self.since)
            return replace(self.item, duration_s=max(0.0, left))
        return self.item


class FeedTable:
    """The newest item of each subject, in the order they came."""

    def __init__(self, host: HostId, incarnation: Incarnation) -> None:
        """Start an empty feed of this run of a hub."""
        self._host = host
        self._incarnation = incarnation
        self._position = FeedPosition(0)
        self._held: dict[Subject, FeedRecord] = {}

    @property
    def position(self) -> FeedPosition:
        """The place of the newest item."""
        return self._position

    @property
    def incarnation(self) -> Incarnation:
        """The run of the hub that this feed belongs to."""
        return self._incarnation

    def find(self, kind: type, subject: str) -> FeedRecord | None:
        """Return what is held of a subject."""
        return self._held.get((kind, subject))

    def of_kind(self, kind: type) -> list[FeedItem]:
        """Return all items of a kind."""
        return [h.item for (k, _), h in self._held.items() if k is kind]

    def put(
        self,
        item: FeedItem,
        sender: HostId,
        now: Seconds,
        origin: FeedMark | None = None,
    ) -> FeedRecord | None:
        """Take an item; return it if others should hear of it.

        Args:
            item: the item.
            sender: the host that it came from.
            now: the time.
            origin: its place in another hub's feed, if it comes from one.
        """
        subject = (type(item), get_subject(item))
        known = self._held.get(subject)
        if known is not None:
            if not is_newer(item, known.item):
                return None
            if not adds_information(item, known.item):
                known.item = item
                return None
            del self._held[subject]  # the new one goes to the end
        self._position = FeedPosition(self._position + 1)
        if origin is None:
            origin = FeedMark(self._host, self._incarnation, self._position)
        held = FeedRecord(item, self._position, origin, sender, now)
        self._held[subject] = held
        return held

    def renew(self, kind: type, subject: str) -> FeedPosition:
        """Move an item to the end as if it had come here first."""
        held = self._held.pop((kind, subject))
        self._position = FeedPosition(self._position + 1)
        held.position = self._position
        held.origin = FeedMark(self._host, self._incarnation, held.position)
        held.sender = self._host
        self._held[(kind, subject)] = held
        return held.position

    def after(
        self, position: FeedPosition, reader: HostId, now: Seconds
    ) -> list[FeedItem]:
        """Return the items after a place that a reader has not sent."""
        return [
            held.aged(now)
            for held in self._newest_first(position)
            if held.sender != reader and not held.expired(now)
        ]

    def after_mark(self, mark: FeedMark, now: Seconds) -> list[FeedItem]:
        """Return the items of one hub's feed after a place in it."""
        return [
            held.aged(now)
            for held in self._held.values()
            if held.origin.hub == mark.hub
            and held.origin.incarnation == mark.incarnation
            and held.origin.position > mark.position
            and not held.expired(now)
        ]

    def _newest_first(self, position: FeedPosition) -> Iterator[FeedRecord]:
        for held in reversed(self._held.values()):
            if held.position <= position:
                return
            yield held

    def expire(self, now: Seconds) -> None:
        """Drop the items whose time is over."""
        self._held = {
            s: h for s, h in self._held.items() if not h.expired(now)
        }

    def __len__(self) -> int:
        return len(self._held)

    def __repr__(self) -> str:
        return f"<FeedTable [{len(self)} items, at {self._position}]>"


def items_of(message: Feed | News) -> Iterator[FeedItem]:
    """Return all items of a message."""
    yield from message.announcements
    yield from message.ejections
    yield from message.quarantines
    yield from message.reports
    if isinstance(message, Feed):
        yield from message.entry_states


def select(items: Iterable[FeedItem], kind: type) -> tuple:
    """Return the items of one kind."""
    return tuple(item for item in items if isinstance(item, kind))
