"""When the log is replaced by a snapshot, and how stored logs are loaded."""

from __future__ import annotations

from wasabitray_core.controllers.consensus.log import ReplicatedLog
from wasabitray_core.controllers.consensus.state_machine import (
    ConfigurationStateMachine,
)
from wasabitray_core.ids import LogIndex
from wasabitray_core.messages import Change, LogRecord, Snapshot
from wasabitray_core.sizes import get_size

SNAPSHOT_INTERVAL_RECORDS = 1_000
RECORDS_KEPT_AFTER_SNAPSHOT = 200
# Below this, a snapshot costs more than the records that it replaces.
MIN_SNAPSHOT_INTERVAL_BYTES = 2_097_152


class SnapshotSchedule:
    """Decides when a snapshot is due.

    The log may grow to the size of the last snapshot, so that snapshots at
    most double what is written.
    """

    def __init__(self, snapshot: Snapshot) -> None:
        """Start with the newest snapshot."""
        self.record_snapshot(snapshot)

    @property
    def interval_bytes(self) -> int:
        """Size of the applied records at which a snapshot is due."""
        return max(MIN_SNAPSHOT_INTERVAL_BYTES, self._snapshot_size)

    @property
    def applied_bytes(self) -> int:
        """Size of the records applied since the last snapshot."""
        return self._applied_bytes

    def record_snapshot(self, snapshot: Snapshot) -> None:
        """Record that a snapshot was taken or restored."""
        self._snapshot_size = get_size(snapshot)
        self._applied_bytes = 0

    def record_applied(self, size: int) -> None:
        """Record that a record was applied."""
        self._applied_bytes += size

    def is_due(self, log: ReplicatedLog, applied: LogIndex) -> bool:
        """Return whether the log up to an index should be replaced."""
        return (
            applied - log.base_index >= SNAPSHOT_INTERVAL_RECORDS
            or self._applied_bytes >= self.interval_bytes
        )

    def compact(self, log: ReplicatedLog, applied: LogIndex) -> None:
        """Remove records that a snapshot at an index covers.

        The newest of them are kept for members that lag behind a little.
        """
        log.compact(
            log.find_compaction_index(
                applied, RECORDS_KEPT_AFTER_SNAPSHOT, self.interval_bytes
            )
        )


class LogReplay:
    """Loads a stored log within a bound of memory.

    A leader appends a change only after all changes before it were committed.
    Each change but the last one in a log is therefore committed and can be
    applied while the log is loaded.
    """

    def __init__(self, snapshot: Snapshot) -> None:
        """Start with the stored snapshot."""
        self._snapshot = snapshot
        self._log = ReplicatedLog(
            snapshot.index, snapshot.term, snapshot.members
        )
        self._max_bytes = SnapshotSchedule(snapshot).interval_bytes

    @property
    def snapshot(self) -> Snapshot:
        """The stored snapshot, or a newer one that covers applied records."""
        return self._snapshot

    @property
    def records(self) -> list[LogRecord]:
        """The records after the snapshot."""
        log = self._log
        return [
            log.get(LogIndex(index))
            for index in range(log.base_index + 1, log.last_index + 1)
        ]

    def add(self, record: LogRecord) -> None:
        """Add the next record in the order in which they were written."""
        self._log.load((record,))
        is_change = isinstance(record.command, Change)
        if is_change and self._log.size > self._max_bytes:
            self._apply_up_to(self._find_change_before(record.index))

    def _find_change_before(self, index: LogIndex) -> LogIndex:
        """Return the index of the change before an index, or the base."""
        base = self._log.base_index
        for earlier in range(index - 1, base, -1):
            if isinstance(self._log.get(LogIndex(earlier)).command, Change):
                return LogIndex(earlier)
        return base

    def _apply_up_to(self, index: LogIndex) -> None:
        log = self._log
        if index == log.base_index:
            return
        machine = ConfigurationStateMachine()
        machine.restore(self._snapshot)
        for applied in range(log.base_index + 1, index + 1):
            command = log.get(LogIndex(applied)).command
            if isinstance(command, Change):
                machine.apply(command)
        term = log.find_term(index)
        assert term is not None
        members = log.get_members_at(index)
        self._snapshot = machine.snapshot(index, term, members)
        log.compact(index)

    def __repr__(self) -> str:
        return f"<LogReplay [{self._log!r}]>"
