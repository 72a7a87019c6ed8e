"""A hub's feed: the newest item about each subject.

A feed is a compacted log. It keeps only the last item about each subject, so
a host that reads it from the start gets the whole state, and a host that is
up to date gets only what changed.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Iterable, Iterator
from functools import singledispatch
from itertools import islice

from msgspec import Struct, field
from msgspec.structs import replace

from wasabitray_core.controllers.crashes import (
    get_time_to_live,
    merge_records,
)
from wasabitray_core.controllers.feed_readers import FEED_START
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
from wasabitray_core.states import TargetPhase

FeedItem = Announcement | Ejection | Quarantine | TargetReport | EntryState
Subject = tuple[type, str]
FeedKey = tuple[HostId, Incarnation]

# Keeps reports that start no cool-down until every reader has received them.
RECOVERY_TTL_S = 5.0


@singledispatch
def get_subject(item: FeedItem) -> str:
    """Return an item's subject; a newer item about it replaces this one."""
    raise TypeError(f"{item!r} is not a feed item")


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
    """Return a sort key; within a generation, leaving outranks active."""
    return (
        announcement.generation,
        announcement.phase,
        announcement.sequence,
    )


@singledispatch
def is_newer(item: FeedItem, known: FeedItem) -> bool:
    """Return whether an item replaces the known one about its subject."""
    raise TypeError(f"{item!r} is not a feed item")


@is_newer.register
def _(item: Announcement, known: Announcement) -> bool:
    return get_rank(item) > get_rank(known)


@is_newer.register
def _(item: Ejection, known: Ejection) -> bool:
    return item.version > known.version


@is_newer.register
def _(item: Quarantine, known: Quarantine) -> bool:
    return merge_records(known, item) != known


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
def combine(item: FeedItem, known: FeedItem) -> FeedItem:
    """Return what a newer item and the known one show together."""
    return item


@combine.register
def _(item: Quarantine, known: Quarantine) -> FeedItem:
    return merge_records(known, item)


@singledispatch
def adds_information(item: FeedItem, known: FeedItem) -> bool:
    """Return whether a newer item should be sent to other hosts.

    One that differs only in its sequence or counter should not.
    """
    return True


@adds_information.register
def _(item: Announcement, known: Announcement) -> bool:
    return replace(item, sequence=known.sequence) != known


@adds_information.register
def _(item: EntryState, known: EntryState) -> bool:
    return replace(item, counter=known.counter) != known


@singledispatch
def is_urgent(item: FeedItem) -> bool:
    """Return whether an item should be sent to other hosts at once.

    Others wait for a moment, so that several are sent together.
    """
    return True


@is_urgent.register
def _(item: Announcement) -> bool:
    return item.phase is TargetPhase.LEAVING


@is_urgent.register
def _(item: EntryState) -> bool:
    return False


@singledispatch
def get_lifetime(item: FeedItem) -> float:
    """Return the seconds after which an item expires, infinite if never."""
    return math.inf


@get_lifetime.register
def _(item: TargetReport) -> float:
    return max(item.duration_s, RECOVERY_TTL_S)


@get_lifetime.register
def _(item: Ejection) -> float:
    return item.duration_s


@get_lifetime.register
def _(item: Quarantine) -> float:
    return get_time_to_live(item)


class FeedRecord(Struct):
    """An item and where it came from.

    Attributes:
        position: its position in this hub's own feed.
        origin: the hub that first put it into a feed, and its position
            there.
        positions: where each hub's feed has this item or an earlier one
            about its subject.
        sender: the host that sent it here, which need not get it again.
        expires_at: when the item's lifetime is over.
    """

    item: FeedItem
    position: FeedPosition
    origin: FeedMark
    positions: dict[FeedKey, FeedPosition]
    sender: HostId
    received_at: Seconds
    expires_at: Seconds

    def is_expired(self, now: Seconds) -> bool:
        """Return whether the item's lifetime is over."""
        return now > self.expires_at

    def record_position(self, mark: FeedMark) -> None:
        """Record that a hub's feed has an item about the subject."""
        key = mark.hub, mark.incarnation
        known = self.positions.get(key, FEED_START)
        self.positions[key] = max(known, mark.position)

    def forget_positions(self, hub: HostId, incarnation: Incarnation) -> None:
        """Forget the feeds of a hub's other incarnations."""
        self.positions = {
            (h, i): position
            for (h, i), position in self.positions.items()
            if h != hub or i == incarnation
        }

    def with_remaining_duration(self, now: Seconds) -> FeedItem:
        """Return the item with the rest of its duration."""
        if isinstance(self.item, TargetReport | Ejection):
            remaining = self.item.duration_s - (now - self.received_at)
            return replace(self.item, duration_s=max(0.0, remaining))
        return self.item


class FeedPart(Struct, frozen=True):
    """The items after a position of a feed.

    Attributes:
        reached: the position up to which they reach.
        senders: the hosts that they came from.
        messages: the messages made of them, by whether they list the hubs.
    """

    items: list[FeedItem]
    reached: FeedPosition
    senders: frozenset[HostId] = frozenset()
    messages: dict[bool, Feed] = field(default_factory=dict)


def _get_position(record: FeedRecord) -> FeedPosition:
    return record.position


class FeedTable:
    """The newest item about each subject, in the order of arrival."""

    def __init__(self, host: HostId, incarnation: Incarnation) -> None:
        """Start an empty feed for this incarnation of a hub."""
        self._host = host
        self._incarnation = incarnation
        self._position = FeedPosition(0)
        self._own_position = FeedPosition(0)
        self._records: dict[Subject, FeedRecord] = {}
        self._by_kind: dict[type, dict[Subject, FeedRecord]] = {}

    @property
    def position(self) -> FeedPosition:
        """The position of the newest item."""
        return self._position

    @property
    def own_position(self) -> FeedPosition:
        """The position of the newest item that entered the fleet here."""
        return self._own_position

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation of the hub that this feed belongs to."""
        return self._incarnation

    def find(self, kind: type, subject: str) -> FeedRecord | None:
        """Return the record about a subject, None if there is none."""
        return self._records.get((kind, subject))

    def get_items_of_kind(self, kind: type) -> list[FeedItem]:
        """Return all items of a kind."""
        records = self._by_kind.get(kind, {})
        return [record.item for record in records.values()]

    def put(
        self,
        item: FeedItem,
        sender: HostId,
        now: Seconds,
        origin: FeedMark | None = None,
    ) -> FeedRecord | None:
        """Store an item if it is newer than the known one.

        Args:
            item: the item.
            sender: the host that it came from.
            now: the time.
            origin: its position in another hub's feed, if it comes from one.

        Returns:
            The new record if the item should be sent to other hosts, else
            None.
        """
        subject = (type(item), get_subject(item))
        known = self._records.get(subject)
        positions: dict[FeedKey, FeedPosition] = {}
        if known is not None:
            if origin is not None:
                known.record_position(origin)
            if not is_newer(item, known.item):
                return None
            if not adds_information(item, known.item):
                known.item = item
                return None
            combined = combine(item, known.item)
            if combined != item:
                item, sender = combined, self._host  # new to the sender too
            positions = known.positions
            self._remove(subject)  # the new record goes to the end
        self._position = FeedPosition(self._position + 1)
        if origin is None:
            origin = self._mark_own()
        expires_at = Seconds(now + get_lifetime(item))
        record = FeedRecord(
            item, self._position, origin, positions, sender, now, expires_at
        )
        record.record_position(origin)
        self._append(subject, record)
        return record

    def _append(self, subject: Subject, record: FeedRecord) -> None:
        """Store a record at the feed's end."""
        self._records[subject] = record
        self._by_kind.setdefault(subject[0], {})[subject] = record

    def _remove(self, subject: Subject) -> FeedRecord:
        """Remove and return a record."""
        del self._by_kind[subject[0]][subject]
        return self._records.pop(subject)

    def republish(self, kind: type, subject: str) -> FeedPosition:
        """Move an item to the feed's end as if it had originated here."""
        record = self._remove((kind, subject))
        self._position = FeedPosition(self._position + 1)
        record.position = self._position
        record.origin = self._mark_own()
        record.record_position(record.origin)
        record.sender = self._host
        self._append((kind, subject), record)
        return record.position

    def adopt(self, hub: HostId, incarnation: Incarnation) -> bool:
        """Take over the items of a hub's earlier incarnations.

        The hub has lost them, and no feed of its own has them any more. They
        keep their order here, so entries don't get them again.

        Args:
            hub: the hub that restarted.
            incarnation: its current incarnation.

        Returns:
            Whether there are any.
        """
        for record in self._records.values():
            record.forget_positions(hub, incarnation)
        return self._adopt_records(
            record
            for record in self._records.values()
            if record.origin.hub == hub
            and record.origin.incarnation != incarnation
        )

    def adopt_after(self, mark: FeedMark) -> bool:
        """Take over the items of a silent hub after a mark in its feed.

        Items before them are missing here, so the feed isn't forwarded up to
        them. Another hub may lack them as well.

        Returns:
            Whether there are any.
        """
        return self._adopt_records(
            record
            for record in self._records.values()
            if record.origin.hub == mark.hub
            and (
                record.origin.incarnation != mark.incarnation
                or record.origin.position > mark.position
            )
        )

    def _adopt_records(self, records: Iterable[FeedRecord]) -> bool:
        lost = list(records)
        if lost:
            self._position = FeedPosition(self._position + 1)
        for record in lost:
            record.origin = self._mark_own()
            record.record_position(record.origin)
        return bool(lost)

    def _mark_own(self) -> FeedMark:
        """Return the mark of an item that enters the fleet here now."""
        self._own_position = self._position
        return FeedMark(self._host, self._incarnation, self._position)

    def get_items_after(
        self,
        position: FeedPosition,
        reader: HostId,
        now: Seconds,
        limit: int,
        started_at: FeedPosition = FEED_START,
    ) -> tuple[list[FeedItem], FeedPosition]:
        """Return the first items after a position, oldest first.

        Those that came from the reader since it started are left out.

        Args:
            position: the reader's position in this feed.
            reader: the host that reads it.
            now: the time.
            limit: largest number of items.
            started_at: the feed's position when the reader started.

        Returns:
            The items and the position that they reach.
        """
        items: list[FeedItem] = []
        for record in self._list_records_after(position, limit):
            is_own = record.sender == reader and record.position > started_at
            if is_own or record.is_expired(now):
                continue
            if len(items) >= limit:
                return items, FeedPosition(record.position - 1)
            items.append(record.with_remaining_duration(now))
        return items, self._position

    def get_part_after(
        self, position: FeedPosition, now: Seconds, limit: int
    ) -> FeedPart | None:
        """Return all items after a position, None if they are too many.

        Readers that sent none of them can share the part.
        """
        records = [
            record
            for record in self._list_records_after(position, limit)
            if not record.is_expired(now)
        ]
        if len(records) > limit:
            return None
        items = [record.with_remaining_duration(now) for record in records]
        senders = frozenset(record.sender for record in records)
        return FeedPart(items, self._position, senders)

    def _list_records_after(
        self, position: FeedPosition, limit: int
    ) -> list[FeedRecord]:
        """Return the records after a position, oldest first.

        Most readers lack few records, so these are looked for at the end.
        """
        newest = list(islice(reversed(self._records.values()), limit + 1))
        newest.reverse()
        records = newest
        if newest and newest[0].position > position:
            records = list(self._records.values())
        first = bisect_right(records, position, key=_get_position)
        return records[first:]

    def get_items_after_mark(
        self, mark: FeedMark, now: Seconds
    ) -> list[FeedItem]:
        """Return the items of one hub's feed after a position in it.

        Those that this hub knows from elsewhere are among them, as a reader
        that gets to the feed's end is taken to hold them.
        """
        key = mark.hub, mark.incarnation
        return [
            record.with_remaining_duration(now)
            for record in self._records.values()
            if record.positions.get(key, FEED_START) > mark.position
            and not record.is_expired(now)
        ]

    def expire(self, now: Seconds) -> None:
        """Drop the items whose lifetime is over."""
        expired = [
            subject
            for subject, record in self._records.items()
            if record.is_expired(now)
        ]
        for subject in expired:
            self._remove(subject)

    def __len__(self) -> int:
        return len(self._records)

    def __repr__(self) -> str:
        return f"<FeedTable [{len(self)} items, at {self._position}]>"


def iterate_items(message: Feed | News) -> Iterator[FeedItem]:
    """Return all items of a message."""
    yield from message.announcements
    yield from message.ejections
    yield from message.quarantines
    yield from message.reports
    if isinstance(message, Feed):
        yield from message.entry_states


def select_by_kind(items: Iterable[FeedItem], kind: type) -> tuple:
    """Return the items of one kind."""
    return tuple(item for item in items if isinstance(item, kind))
