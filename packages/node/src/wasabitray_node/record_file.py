"""A file with the newest record about each subject."""

from __future__ import annotations

import os
from functools import singledispatch
from pathlib import Path
from typing import Any, Generic, TypeVar

from wasabitray_core.errors import CorruptLogError, WasabitrayError
from wasabitray_core.messages import Announcement, StoredQuarantine
from wasabitray_node.logs import log_event
from wasabitray_node.storage import (
    build_frame,
    parse_frames,
    sync_folder,
    write_all,
)
from wasabitray_wire import decode_item, encode_item

# A file that grew by this much is rewritten with the newest records alone.
MAX_APPENDED_BYTES = 4_000_000

Item = TypeVar("Item", Announcement, StoredQuarantine)


@singledispatch
def _get_subject(item: Any) -> str:
    """Return what a record is about; a newer one about it replaces it."""
    raise TypeError(f"{item!r} is not kept in a file")


@_get_subject.register
def _(item: Announcement) -> str:
    return item.target


@_get_subject.register
def _(item: StoredQuarantine) -> str:
    return item.record.fingerprint


@singledispatch
def _is_removal(item: Any) -> bool:
    """Return whether a record only removes the earlier one."""
    return False


@_is_removal.register
def _(item: StoredQuarantine) -> bool:
    return not item.record.targets  # a target has served the request


class RecordFile(Generic[Item]):
    """Owns an append-only file, which it compacts from time to time."""

    def __init__(self, path: Path, kind: type[Item], max_records: int) -> None:
        """Initialise; nothing is read or written yet.

        Args:
            path: the file, in the data folder.
            kind: the class of its records.
            max_records: how many records are kept; the oldest ones are
                dropped.
        """
        self._path = path
        self._kind: type[Item] = kind
        self._max_records = max_records
        self._newest: dict[str, Item] = {}
        self._appended_bytes = 0
        self._file: int | None = None

    @property
    def records(self) -> tuple[Item, ...]:
        """The newest records, the oldest first."""
        return tuple(self._newest.values())

    def load(self) -> None:
        """Read the records and open the file.

        A damaged file is moved aside. Other control hosts have its records
        too.

        Raises:
            OSError: the disk refuses to write; the records are read.
        """
        try:
            for item in self._read():
                self._put(item)
        except CorruptLogError as error:
            self._newest.clear()
            self._path.rename(self._path.with_name(f"{self._name}.damaged"))
            log_event(f"{self._name} damaged", reason=str(error))
        self._compact()

    def append(self, items: list[Item]) -> None:
        """Write records to disk; returns once they are durable.

        Raises:
            OSError: the disk refuses to write. The next call writes all
                records, also these.
        """
        frames = [
            build_frame(encode_item(item)) for item in items if self._put(item)
        ]
        if not frames:
            return
        data = b"".join(frames)
        self._appended_bytes += len(data)
        if self._file is None or self._appended_bytes > MAX_APPENDED_BYTES:
            self._compact()
            return
        try:
            write_all(self._file, data)
            os.fdatasync(self._file)
        except OSError:
            self.close()  # the file may end with a part of a record
            raise

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            os.close(self._file)
            self._file = None

    @property
    def _name(self) -> str:
        return self._path.name

    def _put(self, item: Item) -> bool:
        """Keep a record in memory; return whether it changes the file."""
        subject = _get_subject(item)
        known = self._newest.pop(subject, None)
        if _is_removal(item):
            return known is not None
        self._newest[subject] = item
        if len(self._newest) > self._max_records:
            del self._newest[next(iter(self._newest))]
        return True

    def _read(self) -> list[Item]:
        """Read all records; an incomplete one at the end is left out.

        Raises:
            CorruptLogError: the file is damaged.
        """
        if not self._path.exists():
            return []
        payloads, _ = parse_frames(self._path.read_bytes(), str(self._path))
        return [self._decode(payload) for payload in payloads]

    def _decode(self, payload: bytes) -> Item:
        step, path = f"read {self._name}", str(self._path)
        try:
            item = decode_item(payload)
        except WasabitrayError as error:
            raise CorruptLogError(
                error.detail, step=step, peer=path
            ) from error
        if not isinstance(item, self._kind):
            raise CorruptLogError("wrong item type", step=step, peer=path)
        return item

    def _compact(self) -> None:
        """Replace the file; a crash leaves either the old or the new one."""
        self.close()
        partial = self._path.with_name(f"{self._name}.partial")
        with partial.open("wb") as file:
            file.writelines(
                build_frame(encode_item(item))
                for item in self._newest.values()
            )
            file.flush()
            os.fsync(file.fileno())
        partial.rename(self._path)
        sync_folder(self._path.parent)
        self._file = os.open(self._path, os.O_WRONLY | os.O_APPEND)
        self._appended_bytes = 0

    def __repr__(self) -> str:
        return f"<RecordFile [{self._path}]>"
