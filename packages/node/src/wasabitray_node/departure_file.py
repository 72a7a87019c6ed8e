"""The file in which a control host keeps the departures of targets."""

from __future__ import annotations

import os
from pathlib import Path

from wasabitray_core.errors import CorruptLogError, WasabitrayError
from wasabitray_core.ids import TargetId
from wasabitray_core.messages import Announcement
from wasabitray_node.logs import log_event
from wasabitray_node.storage import (
    build_frame,
    parse_frames,
    sync_folder,
    write_all,
)
from wasabitray_wire import decode_item, encode_item

FILE_NAME = "departures"
# Announcements arrive seconds late, not days: only the newest departures are
# kept, so that a host that starts has few to send to the entries.
MAX_DEPARTURES = 1_000


class DepartureFile:
    """Owns an append-only file with a record for each departure."""

    def __init__(self, folder: Path) -> None:
        """Initialise with the data folder; nothing is read or written yet."""
        self._folder = folder
        self._path = folder / FILE_NAME
        self._file: int | None = None

    def load(self) -> tuple[Announcement, ...]:
        """Return the newest departures, the oldest first, and open the file.

        A damaged file is moved aside. Other control hosts have its
        departures too.
        """
        departures: dict[TargetId, Announcement] = {}
        try:
            for departure in self._read():
                departures.pop(departure.target, None)
                departures[departure.target] = departure
        except CorruptLogError as error:
            self._path.rename(self._folder / f"{FILE_NAME}.damaged")
            log_event("departures damaged", reason=str(error))
        kept = tuple(departures.values())[-MAX_DEPARTURES:]
        self._rewrite(kept)
        flags = os.O_WRONLY | os.O_APPEND
        self._file = os.open(self._path, flags)
        return kept

    def sync(self, items: list[Announcement]) -> None:
        """Write departures to disk; returns once they are durable."""
        assert self._file is not None
        frames = (build_frame(encode_item(item)) for item in items)
        write_all(self._file, b"".join(frames))
        os.fdatasync(self._file)

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            os.close(self._file)
            self._file = None

    def _read(self) -> list[Announcement]:
        """Read all records; an incomplete one at the end is left out.

        Raises:
            CorruptLogError: the file is damaged.
        """
        if not self._path.exists():
            return []
        payloads, _ = parse_frames(self._path.read_bytes(), str(self._path))
        return [self._decode(payload) for payload in payloads]

    def _decode(self, payload: bytes) -> Announcement:
        path = str(self._path)
        try:
            item = decode_item(payload)
        except WasabitrayError as error:
            raise CorruptLogError(
                error.detail, step="read departures", peer=path
            ) from error
        if not isinstance(item, Announcement):
            raise CorruptLogError(
                "wrong item type", step="read departures", peer=path
            )
        return item

    def _rewrite(self, departures: tuple[Announcement, ...]) -> None:
        """Replace the file; a crash leaves either the old or the new one."""
        partial = self._folder / f"{FILE_NAME}.partial"
        with partial.open("wb") as file:
            file.writelines(build_frame(encode_item(d)) for d in departures)
            file.flush()
            os.fsync(file.fileno())
        partial.rename(self._path)
        sync_folder(self._folder)

    def __repr__(self) -> str:
        return f"<DepartureFile [{self._path}]>"
