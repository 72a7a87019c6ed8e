"""The replicated log in memory, after its snapshot."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from wasabitray_core.ids import LogIndex, Term
from wasabitray_core.messages import LogRecord, Members


class ReplicatedLog:
    """Records after a base; the base is the end of the snapshot."""

    def __init__(
        self, base_index: LogIndex, base_term: Term, members: Members
    ) -> None:
        """Start at a snapshot.

        Args:
            base_index: last record that the snapshot covers.
            base_term: term of that record.
            members: the group as of that record.
        """
        self._records: list[LogRecord] = []
        self._base_index = base_index
        self._base_term = base_term
        self._base_members = members

    @property
    def base_index(self) -> LogIndex:
        """Last record covered by the snapshot."""
        return self._base_index

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
        return self.members_at(self.last_index)

    @property
    def members_index(self) -> LogIndex:
        """Index of the record that set the newest group."""
        for record in reversed(self._records):
            if isinstance(record.command, Members):
                return record.index
        return self._base_index

    def members_at(self, index: LogIndex) -> Members:
        """Return the group as of a record."""
        for record in reversed(self._records[: index - self._base_index]):
            if isinstance(record.command, Members):
                return record.command
        return self._base_members

    def term_at(self, index: LogIndex) -> Term | None:
        """Return a record's term, or None if it is not held."""
        if index == self._base_index:
            return self._base_term
        if self._base_index < index <= self.last_index:
            return self.get(index).term
        return None

    def get(self, index: LogIndex) -> LogRecord:
        """Return a record that is held."""
        return self._records[index - self._base_index - 1]

    def after(self, index: LogIndex, limit: int) -> tuple[LogRecord, ...]:
        """Return up to `limit` records after an index."""
        start = index - self._base_index
        return tuple(self._records[start : start + limit])

    def append(self, record: LogRecord) -> None:
        """Add the next record."""
        assert record.index == self.last_index + 1
        self._records.append(record)

    def merge(self, records: Iterable[LogRecord]) -> list[LogRecord]:
        """Take a leader's records; return those that were new.

        Records that conflict with a leader's are dropped with all after
        them.
        """
        added = []
        for record in records:
            if record.index <= self._base_index:
                continue
            term = self.term_at(record.index)
            if term == record.term:
                continue
            if term is not None:
                del self._records[record.index - self._base_index - 1 :]
            self.append(record)
            added.append(record)
        return added

    def compact(self, index: LogIndex) -> None:
        """Forget the records up to and with an index."""
        term = self.term_at(index)
        assert term is not None
        members = self.members_at(index)
        del self._records[: index - self._base_index]
        self._base_index, self._base_term = index, term
        self._base_members = members

    def reset(
        self, base_index: LogIndex, base_term: Term, members: Members
    ) -> None:
        """Start anew at a snapshot."""
        self._base_index = base_index
        self._base_term = base_term
        self._base_members = members
        self._records.clear()

    def is_as_new_as(self, last_term: Term, last_index: LogIndex) -> bool:
        """Tell whether another log is at least as new as this one."""
        return (last_term, last_index) >= (self.last_term, self.last_index)

    def load(self, records: Sequence[LogRecord]) -> None:
        """Take stored records in the order they were written.

        A later record of the same index replaces the earlier one and all
        after it.
        """
        for record in records:
            if record.index <= self._base_index:
                continue
            del self._records[record.index - self._base_index - 1 :]
            self.append(record)

    def __repr__(self) -> str:
        return f"<ReplicatedLog [{self._base_index}..{self.last_index}]>"
