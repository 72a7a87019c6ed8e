"""Durable state of a control host: a record log and snapshots.

Files in the data folder:

- `identity`: the member that this disk is.
- `snapshot-N`: the newest snapshot, at log index N.
- `log-K`: segments of ballots and log records in the order written.

A record is a header (payload length, payload checksum, header checksum) and
a payload. An incomplete record at the very end of the newest segment was
never acknowledged and is cut off; any other damage is reported.
"""

from __future__ import annotations

import os
import struct
import zlib
from dataclasses import dataclass, field
from pathlib import Path
from typing import TypeVar

from wasabitray_core.errors import CorruptLogError, WasabitrayError
from wasabitray_core.ids import LogIndex, MemberId, Revision, Term
from wasabitray_core.messages import (
    Ballot,
    LogRecord,
    Member,
    Members,
    Snapshot,
)
from wasabitray_wire import StoredItem, decode_item, encode_item

_BODY = struct.Struct("<II")
_CHECK = struct.Struct("<I")
HEADER_BYTES = _BODY.size + _CHECK.size

_Item = TypeVar("_Item", Member, Snapshot)

EMPTY_BALLOT = Ballot(Term(0), MemberId(""))


def empty_snapshot(members: Members) -> Snapshot:
    """Return the snapshot of a log without records."""
    return Snapshot(LogIndex(0), Term(0), members, Revision(0), {}, (), ())


@dataclass(slots=True)
class StoredState:
    """What a disk held at the start."""

    member: Member
    ballot: Ballot = EMPTY_BALLOT
    snapshot: Snapshot = field(
        default_factory=lambda: empty_snapshot(Members(()))
    )
    records: list[LogRecord] = field(default_factory=list)


def frame(payload: bytes) -> bytes:
    """Return a payload with its header."""
    body = _BODY.pack(len(payload), zlib.crc32(payload))
    return body + _CHECK.pack(zlib.crc32(body)) + payload


def parse_frames(data: bytes, where: str) -> tuple[list[bytes], int]:
    """Split a segment into payloads.

    Returns:
        The payloads and the number of bytes they take; bytes after that
        are an incomplete record.

    Raises:
        CorruptLogError: a record is damaged that can't be an incomplete
            last one.
    """
    payloads = []
    position = 0
    while position < len(data):
        header = data[position : position + HEADER_BYTES]
        if len(header) < HEADER_BYTES or not any(data[position:]):
            break
        body, check = header[: _BODY.size], header[_BODY.size :]
        if zlib.crc32(body) != _CHECK.unpack(check)[0]:
            raise _corrupt(where, position, "header checksum")
        length, checksum = _BODY.unpack(body)
        end = position + HEADER_BYTES + length
        payload = data[position + HEADER_BYTES : end]
        if len(payload) < length:
            break
        if zlib.crc32(payload) != checksum:
            if end == len(data):
                break  # the last record, its sectors not all written
            raise _corrupt(where, position, "payload checksum")
        payloads.append(payload)
        position = end
    return payloads, position


def _corrupt(where: str, position: int, what: str) -> CorruptLogError:
    return CorruptLogError(
        f"{what} wrong at byte {position}", step="read log", peer=where
    )


class Storage:
    """Owns the files of the data folder."""

    def __init__(self, folder: Path) -> None:
        """Take the folder; nothing is read or written yet."""
        self._folder = folder
        self._segment = 0
        self._last_index: dict[int, LogIndex] = {}
        self._ballot = EMPTY_BALLOT
        self._file: int | None = None

    def exists(self) -> bool:
        """Tell whether the folder belongs to a member already."""
        return (self._folder / "identity").exists()

    def create(self, member: Member, members: Members) -> StoredState:
        """Make the folder a new member's."""
        self._folder.mkdir(parents=True, exist_ok=True)
        snapshot = empty_snapshot(members)
        self._write_whole("snapshot-0", encode_item(snapshot))
        self._write_whole("identity", encode_item(member))
        return self.load()

    def load(self) -> StoredState:
        """Read the state and open a new segment.

        Raises:
            CorruptLogError: the files are damaged.
        """
        state = StoredState(self._read_whole("identity", Member))
        state.snapshot = self._load_snapshot()
        segments = self._list("log-")
        for number in segments:
            self._load_segment(number, number == segments[-1], state)
        self._ballot = state.ballot
        self._segment = segments[-1] if segments else 0
        self._open_segment()
        return state

    def sync(self, items: list[StoredItem]) -> None:
        """Make items durable; it returns once they are."""
        data = bytearray()
        snapshots = []
        for item in items:
            if isinstance(item, Snapshot):
                snapshots.append(item)
                continue
            data += frame(encode_item(item))
            self._note(item)
        if data:
            assert self._file is not None
            _write_all(self._file, bytes(data))
            os.fdatasync(self._file)
        for snapshot in snapshots:
            self._save_snapshot(snapshot)

    def close(self) -> None:
        """Close the open segment."""
        if self._file is not None:
            os.close(self._file)
            self._file = None

    def set_aside(self) -> Path:
        """Move a damaged folder away and return where it is now."""
        self.close()
        number = 1
        while True:
            target = self._folder.with_name(
                f"{self._folder.name}.damaged-{number}"
            )
            if not target.exists():
                break
            number += 1
        self._folder.rename(target)
        return target

    # Segments

    def _note(self, item: StoredItem) -> None:
        if isinstance(item, Ballot):
            self._ballot = item
        elif isinstance(item, LogRecord):
            last = self._last_index.get(self._segment, item.index)
            self._last_index[self._segment] = max(last, item.index)

    def _open_segment(self) -> None:
        self.close()
        self._segment += 1
        path = self._folder / f"log-{self._segment}"
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._file = os.open(path, flags, 0o600)
        # Older segments may go later, so each starts with the ballot.
        _write_all(self._file, frame(encode_item(self._ballot)))
        os.fdatasync(self._file)
        self._sync_folder()

    def _load_segment(
        self, number: int, newest: bool, state: StoredState
    ) -> None:
        path = self._folder / f"log-{number}"
        data = path.read_bytes()
        payloads, length = parse_frames(data, str(path))
        if length < len(data):
            if not newest:
                raise _corrupt(str(path), length, "end")
            with path.open("r+b") as file:
                file.truncate(length)
                os.fsync(file.fileno())
        for payload in payloads:
            item = _decode(payload, str(path))
            if isinstance(item, Ballot):
                state.ballot = item
            elif isinstance(item, LogRecord):
                state.records.append(item)
                last = self._last_index.get(number, item.index)
                self._last_index[number] = max(last, item.index)

    # Snapshots

    def _load_snapshot(self) -> Snapshot:
        numbers = self._list("snapshot-")
        if not numbers:
            raise CorruptLogError(
                "no snapshot", step="read log", peer=str(self._folder)
            )
        return self._read_whole(f"snapshot-{numbers[-1]}", Snapshot)

    def _save_snapshot(self, snapshot: Snapshot) -> None:
        self._write_whole(f"snapshot-{snapshot.index}", encode_item(snapshot))
        self._open_segment()
        for number in self._list("snapshot-"):
            if number < snapshot.index:
                (self._folder / f"snapshot-{number}").unlink()
        for number in self._list("log-"):
            last = self._last_index.get(number, LogIndex(0))
            if number < self._segment and last <= snapshot.index:
                (self._folder / f"log-{number}").unlink()
        self._sync_folder()

    # Files

    def _list(self, prefix: str) -> list[int]:
        names = (p.name for p in self._folder.glob(f"{prefix}*"))
        numbers = (name.removeprefix(prefix) for name in names)
        return sorted(int(n) for n in numbers if n.isdigit())

    def _write_whole(self, name: str, payload: bytes) -> None:
        """Replace a file so that a crash leaves the old or the new one."""
        partial = self._folder / f"{name}.partial"
        with partial.open("wb") as file:
            file.write(frame(payload))
            file.flush()
            os.fsync(file.fileno())
        partial.rename(self._folder / name)
        self._sync_folder()

    def _read_whole(self, name: str, kind: type[_Item]) -> _Item:
        path = self._folder / name
        payloads, length = parse_frames(path.read_bytes(), str(path))
        if len(payloads) != 1 or length != path.stat().st_size:
            raise _corrupt(str(path), length, "content")
        item = _decode(payloads[0], str(path))
        if not isinstance(item, kind):
            raise _corrupt(str(path), 0, "kind")
        return item

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def __repr__(self) -> str:
        return f"<Storage [{self._folder}]>"


def _decode(payload: bytes, where: str) -> StoredItem:
    try:
        return decode_item(payload)
    except WasabitrayError as error:
        raise CorruptLogError(
            error.detail, step="read log", peer=where
        ) from error


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]
