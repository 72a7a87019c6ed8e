"""The in-memory part of the replicated log."""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Sequence

from wasabitray_core.ids import LogIndex, Term
from wasabitray_core.messages import LogRecord, Members
from wasabitray_core.sizes import get_size


class ReplicatedLog:
    """The records that follow the last record covered by a snapshot.

    That last covered record is the log's base.
    """

    def __init__(
        self, base_index: LogIndex, base_term: Term, members: Members
    ) -> None:
        """Start with no records after a snapshot.

        Args:
            base_index: index of the last record that the snapshot covers.
            base_term: term of that record.
            members: the group as of that record.
        """
        self._records: list[LogRecord] = []
        self._sizes: list[int] = []
        self._size = 0
        self._base_index = base_index
        self._base_term = base_term
        self._base_members = members

    @property
    def base_index(self) -> LogIndex:
        """Index of the last record that the snapshot covers."""
        return self._base_index

    @property
    def size(self) -> int:
        """Bytes that the records take."""
        return self._size

    @property
    def last_index(self) -> LogIndex:
        """Index of the newest record."""
        return LogIndex(self._base_index + len(self._records))

    @property
    def last_term(self) -> Term:
        """Term of the newest record."""
        return self._records[-1].term if self._records else self._base_term

    @property
    def members(self) -> Members:
        """The newest group in the log, committed or not."""
        return self.get_members_at(self.last_index)

    @property
    def members_index(self) -> LogIndex:
        """Index of the record that set the newest group."""
        for record in reversed(self._records):
            if isinstance(record.command, Members):
                return record.index
        return self._base_index

    def get_members_at(self, index: LogIndex) -> Members:
        """Return the group as of a record."""
        for record in reversed(self._records[: index - self._base_index]):
            if isinstance(record.command, Members):
                return record.command
        return self._base_members

    def find_term(self, index: LogIndex) -> Term | None:
        """Return a record's term, or None if the log doesn't have it."""
        if index == self._base_index:
            return self._base_term
        if self._base_index < index <= self.last_index:
            return self.get(index).term
        return None

    def get(self, index: LogIndex) -> LogRecord:
        """Return a record that the log has."""
        return self._records[index - self._base_index - 1]

    def get_record_size(self, index: LogIndex) -> int:
        """Return the bytes that a record of the log takes."""
        return self._sizes[index - self._base_index - 1]

    def get_records_after(
        self, index: LogIndex, limit: int, max_bytes: int
    ) -> tuple[LogRecord, ...]:
        """Return the next records after an index.

        Args:
            index: the index.
            limit: the number of records.
            max_bytes: the size of all of them; the first one is returned
                whatever its size.
        """
        start = index - self._base_index
        sizes = itertools.accumulate(self._sizes[start : start + limit])
        count = sum(1 for size in sizes if size <= max_bytes)
        return tuple(self._records[start : start + max(1, count)])

    def find_compaction_index(
        self, index: LogIndex, max_records: int, max_bytes: int
    ) -> LogIndex:
        """Return the index up to which records can be removed.

        Args:
            index: the last record that a snapshot covers.
            max_records: how many records before it are kept.
            max_bytes: the size of those records.
        """
        end = index - self._base_index
        newest = reversed(self._sizes[max(0, end - max_records) : end])
        sizes = itertools.accumulate(newest)
        kept = sum(1 for size in sizes if size <= max_bytes)
        return LogIndex(index - kept)

    def append(self, record: LogRecord) -> None:
        """Add the next record."""
        assert record.index == self.last_index + 1
        size = get_size(record)
        self._records.append(record)
        self._sizes.append(size)
        self._size += size

    def _truncate(self, index: LogIndex) -> None:
        """Remove a record and all after it."""
        start = index - self._base_index - 1
        self._size -= sum(self._sizes[start:])
        del self._records[start:]
        del self._sizes[start:]

    def merge(self, records: Iterable[LogRecord]) -> list[LogRecord]:
        """Append a leader's records that are new; return those.

        A record that conflicts with one of the leader's is removed together
        with all records after it.
        """
        appended = []
        for record in records:
            if record.index <= self._base_index:
                continue
            term = self.find_term(record.index)
            if term == record.term:
                continue
            if term is not None:
                self._truncate(record.index)
            self.append(record)
            appended.append(record)
        return appended

    def compact(self, index: LogIndex) -> None:
        """Remove the records up to and including an index."""
        term = self.find_term(index)
        assert term is not None
        members = self.get_members_at(index)
        count = index - self._base_index
        self._size -= sum(self._sizes[:count])
        del self._records[:count]
        del self._sizes[:count]
        self._base_index, self._base_term = index, term
        self._base_members = members

    def reset(
        self, base_index: LogIndex, base_term: Term, members: Members
    ) -> None:
        """Remove all records and start again after a snapshot."""
        self._base_index = base_index
        self._base_term = base_term
        self._base_members = members
        self._records.clear()
        self._sizes.clear()
        self._size = 0

    def is_not_newer_than(self, last_term: Term, last_index: LogIndex) -> bool:
        """Return whether another log is at least as new as this one.

        Args:
            last_term: term of the other log's newest record.
            last_index: index of the other log's newest record.
        """
        return (last_term, last_index) >= (self.last_term, self.last_index)

    def load(self, records: Sequence[LogRecord]) -> None:
        """Load stored records in the order in which they were written.

        A later record with the same index replaces the earlier one and all
        records after it.
        """
        for record in records:
            if record.index <= self._base_index:
                continue
            self._truncate(record.index)
            self.append(record)

    def __repr__(self) -> str:
        return f"<ReplicatedLog [{self._base_index}..{self.last_index}]>"
