"""Durable state of a control host: a record log and snapshots.

Files in the data folder:

- `identity`: the member of the consensus group that this disk belongs to.
- `snapshot-N`: the newest snapshot, at log index N.
- `log-K`: segments with ballots and log records in the order written.
- `departures`, `quarantines`: see `departure_file.py`, `quarantine_file.py`.

A record is a header (payload length, payload checksum, header checksum) and
a payload. An incomplete record at the very end of the newest segment was
never acknowledged and is cut off; any other damage is an error.
"""

from __future__ import annotations

import io
import os
import struct
import zlib
from collections.abc import Iterator
from pathlib import Path
from typing import BinaryIO, TypeVar

from msgspec import Struct, field

from wasabitray_core.controllers.consensus.compaction import LogReplay
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

_LENGTH_AND_CHECKSUM = struct.Struct("<II")
_HEADER_CHECKSUM = struct.Struct("<I")
HEADER_BYTES = _LENGTH_AND_CHECKSUM.size + _HEADER_CHECKSUM.size

# Bytes that are read at once after a header of zeros.
ZERO_READ_BYTES = 65_536

_Item = TypeVar("_Item", Member, Snapshot)

EMPTY_BALLOT = Ballot(Term(0), MemberId(""))


def empty_snapshot(members: Members) -> Snapshot:
    """Return the snapshot of a log without records."""
    return Snapshot(LogIndex(0), Term(0), members, Revision(0), {}, (), ())


class StoredState(Struct):
    """The state that a disk held when the process started."""

    member: Member
    ballot: Ballot = EMPTY_BALLOT
    snapshot: Snapshot = field(
        default_factory=lambda: empty_snapshot(Members(()))
    )
    records: list[LogRecord] = field(default_factory=list)


def build_frame(payload: bytes) -> bytes:
    """Return a record: a payload after its header."""
    fields = _LENGTH_AND_CHECKSUM.pack(len(payload), zlib.crc32(payload))
    return fields + _HEADER_CHECKSUM.pack(zlib.crc32(fields)) + payload


def parse_frames(data: bytes, path: str) -> tuple[list[bytes], int]:
    """Split a segment into the payloads of its records.

    Returns:
        The payloads and the number of bytes that their records take; bytes
        after that are an incomplete record.

    Raises:
        CorruptLogError: a damaged record that can't be an incomplete last
            one.
    """
    reader = FrameReader(io.BytesIO(data), len(data), path)
    return list(reader), reader.position


class FrameReader:
    """Reads the payloads of a segment one by one.

    Attributes:
        position: bytes that the records read so far take; bytes after the
            last one are an incomplete record.
    """

    def __init__(self, file: BinaryIO, size: int, path: str) -> None:
        """Start at the beginning of a file.

        Args:
            file: the open file.
            size: the number of its bytes.
            path: its name in errors.
        """
        self.position = 0
        self._file = file
        self._size = size
        self._path = path

    def __iter__(self) -> Iterator[bytes]:
        """Return the payloads.

        Raises:
            CorruptLogError: a damaged record that can't be an incomplete last
                one.
        """
        while (payload := self._read_payload()) is not None:
            self.position += HEADER_BYTES + len(payload)
            yield payload

    def _read_payload(self) -> bytes | None:
        """Return the next payload, None if no whole one is left."""
        header = self._file.read(HEADER_BYTES)
        if len(header) < HEADER_BYTES or self._is_zero_from(header):
            return None
        fields, header_checksum = (
            header[: _LENGTH_AND_CHECKSUM.size],
            header[_LENGTH_AND_CHECKSUM.size :],
        )
        if zlib.crc32(fields) != _HEADER_CHECKSUM.unpack(header_checksum)[0]:
            raise self._build_error("wrong header checksum")
        length, checksum = _LENGTH_AND_CHECKSUM.unpack(fields)
        end = self.position + HEADER_BYTES + length
        if end > self._size:
            return None
        payload = self._file.read(length)
        if zlib.crc32(payload) != checksum:
            if end == self._size:
                return None  # not all sectors of the last record were written
            raise self._build_error("wrong payload checksum")
        return payload

    def _is_zero_from(self, header: bytes) -> bool:
        """Return whether a header and all bytes after it are zero."""
        while not any(header):
            header = self._file.read(ZERO_READ_BYTES)
            if not header:
                return True
        return False

    def _build_error(self, problem: str) -> CorruptLogError:
        return _build_error(self._path, self.position, problem)

    def __repr__(self) -> str:
        return f"<FrameReader [{self._path}]>"


def _build_error(path: str, position: int, problem: str) -> CorruptLogError:
    return CorruptLogError(
        f"{problem} at byte {position}", step="read log", peer=path
    )


class Storage:
    """Owns the files of the data folder."""

    def __init__(self, folder: Path) -> None:
        """Initialise with the data folder; nothing is read or written yet."""
        self._folder = folder
        self._segment = 0
        self._last_index: dict[int, LogIndex] = {}
        self._ballot = EMPTY_BALLOT
        self._file: int | None = None

    def exists(self) -> bool:
        """Return whether the folder already belongs to a member."""
        return (self._folder / "identity").exists()

    def create(self, member: Member, members: Members) -> StoredState:
        """Initialise the folder for a new member."""
        self._folder.mkdir(parents=True, exist_ok=True)
        snapshot = empty_snapshot(members)
        self._replace_file("snapshot-0", encode_item(snapshot))
        self._replace_file("identity", encode_item(member))
        return self.load()

    def load(self) -> StoredState:
        """Read the state and open a new segment.

        Raises:
            CorruptLogError: the files are damaged.
        """
        member = self._read_file("identity", Member)
        stored_snapshot = self._load_snapshot()
        replay = LogReplay(stored_snapshot)
        segments = self._list("log-")
        for number in segments:
            self._load_segment(number, number == segments[-1], replay)
        self._segment = segments[-1] if segments else 0
        self._open_segment()
        if replay.snapshot.index > stored_snapshot.index:
            self._save_snapshot(replay.snapshot)
        return StoredState(
            member, self._ballot, replay.snapshot, replay.records
        )

    def sync(self, items: list[StoredItem]) -> None:
        """Write items to disk; returns once they are durable."""
        data = bytearray()
        snapshots = []
        for item in items:
            if isinstance(item, Snapshot):
                snapshots.append(item)
                continue
            data += build_frame(encode_item(item))
            self._record_item(item)
        if data:
            assert self._file is not None
            write_all(self._file, bytes(data))
            os.fdatasync(self._file)
        for snapshot in snapshots:
            self._save_snapshot(snapshot)

    def close(self) -> None:
        """Close the open segment."""
        if self._file is not None:
            os.close(self._file)
            self._file = None

    def move_aside(self) -> Path:
        """Rename a damaged folder and return its new path."""
        self.close()
        number = 1
        while True:
            new_path = self._folder.with_name(
                f"{self._folder.name}.damaged-{number}"
            )
            if not new_path.exists():
                break
            number += 1
        self._folder.rename(new_path)
        return new_path

    # Segments

    def _record_item(self, item: StoredItem) -> None:
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
        # Each segment starts with the ballot, since the older segments that
        # hold it may be deleted.
        write_all(self._file, build_frame(encode_item(self._ballot)))
        os.fdatasync(self._file)
        sync_folder(self._folder)

    def _load_segment(
        self, number: int, is_newest: bool, replay: LogReplay
    ) -> None:
        path = self._folder / f"log-{number}"
        size = path.stat().st_size
        with path.open("r+b") as file:
            reader = FrameReader(file, size, str(path))
            for payload in reader:
                item = _decode(payload, str(path))
                if isinstance(item, Ballot):
                    self._ballot = item
                elif isinstance(item, LogRecord):
                    replay.add(item)
                    last = self._last_index.get(number, item.index)
                    self._last_index[number] = max(last, item.index)
            if reader.position < size:
                if not is_newest:
                    raise _build_error(
                        str(path), reader.position, "incomplete record"
                    )
                file.truncate(reader.position)
                os.fsync(file.fileno())

    # Snapshots

    def _load_snapshot(self) -> Snapshot:
        numbers = self._list("snapshot-")
        if not numbers:
            raise CorruptLogError(
                "no snapshot found", step="read log", peer=str(self._folder)
            )
        return self._read_file(f"snapshot-{numbers[-1]}", Snapshot)

    def _save_snapshot(self, snapshot: Snapshot) -> None:
        self._replace_file(f"snapshot-{snapshot.index}", encode_item(snapshot))
        self._open_segment()
        for number in self._list("snapshot-"):
            if number < snapshot.index:
                (self._folder / f"snapshot-{number}").unlink()
        for number in self._list("log-"):
            last = self._last_index.get(number, LogIndex(0))
            if number < self._segment and last <= snapshot.index:
                (self._folder / f"log-{number}").unlink()
        sync_folder(self._folder)

    # Files

    def _list(self, prefix: str) -> list[int]:
        names = (p.name for p in self._folder.glob(f"{prefix}*"))
        numbers = (name.removeprefix(prefix) for name in names)
        return sorted(int(n) for n in numbers if n.isdigit())

    def _replace_file(self, name: str, payload: bytes) -> None:
        """Replace a file; a crash leaves either the old or the new one."""
        partial = self._folder / f"{name}.partial"
        with partial.open("wb") as file:
            file.write(build_frame(payload))
            file.flush()
            os.fsync(file.fileno())
        partial.rename(self._folder / name)
        sync_folder(self._folder)

    def _read_file(self, name: str, kind: type[_Item]) -> _Item:
        path = self._folder / name
        payloads, length = parse_frames(path.read_bytes(), str(path))
        if len(payloads) != 1 or length != path.stat().st_size:
            raise _build_error(str(path), length, "not exactly one record")
        item = _decode(payloads[0], str(path))
        if not isinstance(item, kind):
            raise _build_error(str(path), 0, "wrong item type")
        return item

    def __repr__(self) -> str:
        return f"<Storage [{self._folder}]>"


def sync_folder(folder: Path) -> None:
    """Make the names of created, renamed and removed files durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _decode(payload: bytes, path: str) -> StoredItem:
    try:
        return decode_item(payload)
    except WasabitrayError as error:
        raise CorruptLogError(
            error.detail, step="read log", peer=path
        ) from error


def write_all(descriptor: int, data: bytes) -> None:
    """Write all bytes to a file."""
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]
