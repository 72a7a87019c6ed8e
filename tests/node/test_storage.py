"""Durable state: incomplete records, damage and snapshots."""

import pytest

from wasabitray_core.errors import CorruptLogError
from wasabitray_core.messages import (
    Ballot,
    Change,
    DocumentEdit,
    LogRecord,
    Member,
    Members,
    Noop,
    Snapshot,
)
from wasabitray_node.storage import HEADER_BYTES, Storage

MEMBER = Member("c1.0", "c1")
GROUP = Members((MEMBER,))


def record(index, term=1):
    return LogRecord(index, term, Noop())


def snapshot(index):
    return Snapshot(index, 1, GROUP, index, {"fleet": "{}"}, (), ())


def new_storage(tmp_path):
    storage = Storage(tmp_path / "data")
    storage.create(MEMBER, GROUP)
    return storage


def reload(tmp_path):
    return Storage(tmp_path / "data").load()


def segment(tmp_path):
    """Return the path of the largest segment, which holds the records."""
    paths = sorted((tmp_path / "data").glob("log-*"))
    return max(paths, key=lambda p: p.stat().st_size)


def test_synced_items_are_loaded_again(tmp_path):
    storage = new_storage(tmp_path)
    storage.sync([Ballot(3, "c1.0"), record(1), record(2)])
    state = reload(tmp_path)
    assert state.member == MEMBER
    assert state.ballot == Ballot(3, "c1.0")
    assert state.records == [record(1), record(2)]


def test_incomplete_last_record_of_any_length_is_cut_off(tmp_path):
    storage = new_storage(tmp_path)
    storage.sync([record(1)])
    one_record = segment(tmp_path).read_bytes()
    storage.sync([record(2)])
    storage.close()
    path = segment(tmp_path)
    two_records = path.read_bytes()
    for length in range(len(one_record), len(two_records)):
        path.write_bytes(two_records[:length])
        for newer in (tmp_path / "data").glob("log-*"):
            if newer != path:
                newer.unlink()
        assert reload(tmp_path).records == [record(1)], length


def test_damage_before_the_last_record_is_reported_at_any_byte(tmp_path):
    storage = new_storage(tmp_path)
    storage.sync([record(n) for n in range(1, 6)])
    storage.close()
    path = segment(tmp_path)
    intact = path.read_bytes()
    last = len(intact) - len(intact) // 6
    for position in range(0, last, 3):
        damaged = bytearray(intact)
        damaged[position] ^= 0x55
        path.write_bytes(bytes(damaged))
        with pytest.raises(CorruptLogError):
            reload(tmp_path)


def test_missing_snapshot_is_reported(tmp_path):
    new_storage(tmp_path).close()
    (tmp_path / "data" / "snapshot-0").unlink()
    with pytest.raises(CorruptLogError):
        reload(tmp_path)


def test_snapshot_replaces_old_segments_and_keeps_the_ballot(tmp_path):
    storage = new_storage(tmp_path)
    storage.sync([Ballot(4, "c1.0"), *(record(n) for n in range(1, 9))])
    storage.sync([snapshot(8)])
    storage.sync([record(9)])
    state = reload(tmp_path)
    assert state.snapshot.index == 8
    assert state.ballot.term == 4
    assert [r.index for r in state.records] == [9]


def test_records_after_the_snapshot_in_an_old_segment_are_kept(tmp_path):
    storage = new_storage(tmp_path)
    storage.sync([record(n) for n in range(1, 9)])
    storage.sync([snapshot(6)])
    indexes = {r.index for r in reload(tmp_path).records}
    assert {7, 8} <= indexes


def test_partly_written_snapshot_is_ignored(tmp_path):
    storage = new_storage(tmp_path)
    storage.sync([record(1)])
    partial = tmp_path / "data" / "snapshot-7.partial"
    partial.write_bytes(b"\0" * HEADER_BYTES)
    assert reload(tmp_path).snapshot.index == 0


# Guards against a control host that exceeds its memory whenever it loads a log
# that an earlier version let grow.
def test_large_log_is_loaded_in_part_and_becomes_small(tmp_path):
    storage = new_storage(tmp_path)
    text = "x" * 500_000
    for n in range(1, 41):
        edit = DocumentEdit("route/r", f"{n}{text}")
        change = Change(f"c-{n}", n - 1, "ann", "", (edit,))
        storage.sync([LogRecord(n, 1, change)])
    storage.close()
    for _ in range(2):
        state = reload(tmp_path)
        assert len(state.records) <= 5
        assert state.records[-1].index == 40
        assert state.snapshot.index == 40 - len(state.records)
        assert state.snapshot.revision == state.snapshot.index
    storage = Storage(tmp_path / "data")
    storage.load()
    storage.sync([snapshot(40)])
    size = sum(p.stat().st_size for p in (tmp_path / "data").iterdir())
    assert size < len(text)


def test_damaged_folder_is_moved_aside(tmp_path):
    storage = new_storage(tmp_path)
    moved_path = storage.move_aside()
    assert moved_path.exists()
    assert not storage.exists()
