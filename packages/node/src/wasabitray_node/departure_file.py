"""The file in which a control host keeps the departures of targets."""

from __future__ import annotations

from pathlib import Path

from wasabitray_core.messages import Announcement
from wasabitray_node.record_file import RecordFile

FILE_NAME = "departures"
# Announcements arrive seconds late, not days: only the newest departures are
# kept, so that a host that starts has few to send to the entries.
MAX_DEPARTURES = 1_000


class DepartureFile:
    """Owns a file with the newest departure of each target."""

    def __init__(self, folder: Path) -> None:
        """Initialise with the data folder; nothing is read or written yet."""
        self._file = RecordFile(
            folder / FILE_NAME, Announcement, MAX_DEPARTURES
        )

    def load(self) -> tuple[Announcement, ...]:
        """Open the file; return the newest departures, the oldest first."""
        self._file.load()
        return self._file.records

    def sync(self, items: list[Announcement]) -> None:
        """Write departures to disk; returns once they are durable."""
        self._file.append(items)

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    def __repr__(self) -> str:
        return f"<DepartureFile [{self._file!r}]>"
