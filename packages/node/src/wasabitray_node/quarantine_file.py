"""The file in which a control host keeps requests that crashed targets."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path

from wasabitray_core.controllers.crashes import get_time_to_live
from wasabitray_core.local_messages import RestoredQuarantine
from wasabitray_core.messages import Quarantine, StoredQuarantine
from wasabitray_node.logs import log_event
from wasabitray_node.record_file import RecordFile

FILE_NAME = "quarantines"
MAX_QUARANTINES = 4_096


class QuarantineFile:
    """Owns a file with the newest record of each request.

    A record's age is told by the time of day, as the steady clock starts anew
    with the machine.
    """

    def __init__(
        self, folder: Path, wall_clock: Callable[[], float] = time.time
    ) -> None:
        """Initialise with the data folder; nothing is read or written yet.

        Args:
            folder: the data folder.
            wall_clock: returns Unix seconds.
        """
        self._wall_clock = wall_clock
        self._file = RecordFile(
            folder / FILE_NAME, StoredQuarantine, MAX_QUARANTINES
        )

    def load(self) -> tuple[RestoredQuarantine, ...]:
        """Return the records that are still valid, the oldest first.

        It also opens the file.
        """
        now = self._wall_clock()
        try:
            self._file.load()
        except OSError as error:
            log_event("quarantines not stored", reason=str(error))
        restored = (
            RestoredQuarantine(item.record, max(0.0, now - item.stored_at))
            for item in self._file.records
        )
        return tuple(
            item
            for item in restored
            if item.age_s < get_time_to_live(item.record)
        )

    def sync(self, items: list[Quarantine]) -> None:
        """Write records to disk; returns once they are durable.

        Raises:
            OSError: the disk refuses to write; the next call tries again.
        """
        now = self._wall_clock()
        self._file.append([StoredQuarantine(item, now) for item in items])

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    def __repr__(self) -> str:
        return f"<QuarantineFile [{self._file!r}]>"
