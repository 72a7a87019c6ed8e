"""The file with requests that crashed targets."""

import errno
import os

import pytest

from wasabitray_core.controllers.crashes import (
    QUARANTINE_TTL_S,
    SUSPICION_TTL_S,
    clear_crashes,
    count_trial,
)
from wasabitray_core.messages import Quarantine
from wasabitray_node import record_file
from wasabitray_node.quarantine_file import (
    FILE_NAME,
    MAX_QUARANTINES,
    QuarantineFile,
)

RECORD = Quarantine("f", ("t1", "t2", "t3"))


class WallClock:
    """A time of day that changes only when it is set."""

    now = 1_700_000_000.0

    def __call__(self):
        return self.now


@pytest.fixture
def wall_clock():
    return WallClock()


def write(folder, wall_clock, *batches):
    file = QuarantineFile(folder, wall_clock)
    file.load()
    for batch in batches:
        file.sync(list(batch))
    file.close()


def load(folder, wall_clock):
    file = QuarantineFile(folder, wall_clock)
    try:
        return [(item.record, item.age_s) for item in file.load()]
    finally:
        file.close()


def test_newest_record_of_a_request_is_read_again(tmp_path, wall_clock):
    newest = count_trial(RECORD)
    write(tmp_path, wall_clock, [RECORD], [newest])
    wall_clock.now += 60.0
    assert load(tmp_path, wall_clock) == [(newest, 60.0)]
    assert load(tmp_path, wall_clock) == [(newest, 60.0)]


def test_records_expire(tmp_path, wall_clock):
    suspected = Quarantine("g", ("t1",))
    write(tmp_path, wall_clock, [RECORD, suspected])
    wall_clock.now += SUSPICION_TTL_S
    assert load(tmp_path, wall_clock) == [(RECORD, SUSPICION_TTL_S)]
    wall_clock.now += QUARANTINE_TTL_S
    assert load(tmp_path, wall_clock) == []


def test_clock_that_was_set_back_ends_no_quarantine(tmp_path, wall_clock):
    write(tmp_path, wall_clock, [RECORD])
    wall_clock.now -= 1_000.0
    assert load(tmp_path, wall_clock) == [(RECORD, 0.0)]


def test_request_that_was_served_is_removed(tmp_path, wall_clock):
    write(tmp_path, wall_clock, [RECORD], [clear_crashes(RECORD)])
    assert load(tmp_path, wall_clock) == []


def test_served_request_that_is_not_on_disk_is_not_written(
    tmp_path, wall_clock
):
    write(tmp_path, wall_clock, [clear_crashes(RECORD)])
    assert (tmp_path / FILE_NAME).stat().st_size == 0


# Guards against a request in a crash loop that fills the disk.
def test_file_is_bounded(tmp_path, wall_clock, monkeypatch):
    monkeypatch.setattr(record_file, "MAX_APPENDED_BYTES", 20_000)
    file = QuarantineFile(tmp_path, wall_clock)
    file.load()
    sizes = []
    for number in range(2_000):
        file.sync([Quarantine("f", ("t1",) * 3, epoch=number)])
        sizes.append((tmp_path / FILE_NAME).stat().st_size)
    file.close()
    assert max(sizes) < 25_000
    (newest,) = load(tmp_path, wall_clock)
    assert newest[0].epoch == 1_999


def test_number_of_requests_is_bounded(tmp_path, wall_clock):
    records = [
        Quarantine(f"{n:032}", ("10.0.0.1:8080",) * 3)
        for n in range(MAX_QUARANTINES + 100)
    ]
    write(tmp_path, wall_clock, records)
    restored = load(tmp_path, wall_clock)
    assert len(restored) == MAX_QUARANTINES
    assert restored[-1][0] == records[-1]
    assert (tmp_path / FILE_NAME).stat().st_size < 2_000_000


def test_full_disk_loses_no_record_that_can_be_written_later(
    tmp_path, wall_clock, monkeypatch
):
    file = QuarantineFile(tmp_path, wall_clock)
    file.load()
    file.sync([RECORD])
    other = Quarantine("g", ("t1",))

    def refuse(descriptor, data):
        os.write(descriptor, data[: len(data) // 2])
        raise OSError(errno.ENOSPC, "no space left")

    with monkeypatch.context() as full:
        full.setattr(record_file, "write_all", refuse)
        full.setattr(os, "fsync", lambda descriptor: refuse(descriptor, b""))
        for _ in range(3):
            with pytest.raises(OSError, match="no space"):
                file.sync([other])
    file.sync([Quarantine("h", ("t1",))])
    file.close()
    restored = [record for record, _ in load(tmp_path, wall_clock)]
    assert {r.fingerprint for r in restored} == {"f", "g", "h"}


def test_records_are_read_from_a_full_disk(tmp_path, wall_clock, monkeypatch):
    write(tmp_path, wall_clock, [RECORD])

    def refuse(descriptor):
        raise OSError(errno.ENOSPC, "no space left")

    monkeypatch.setattr(os, "fsync", refuse)
    assert load(tmp_path, wall_clock) == [(RECORD, 0.0)]


@pytest.mark.parametrize("lost_bytes", range(1, 40))
def test_record_that_was_written_in_part_is_left_out(
    tmp_path, wall_clock, lost_bytes
):
    write(tmp_path, wall_clock, [RECORD], [Quarantine("g", ("t1",))])
    path = tmp_path / FILE_NAME
    path.write_bytes(path.read_bytes()[:-lost_bytes])
    assert load(tmp_path, wall_clock) == [(RECORD, 0.0)]


def test_damaged_file_is_moved_aside(tmp_path, wall_clock):
    write(tmp_path, wall_clock, [RECORD], [RECORD])
    path = tmp_path / FILE_NAME
    data = bytearray(path.read_bytes())
    data[16] ^= 0xFF
    path.write_bytes(data)
    assert load(tmp_path, wall_clock) == []
    assert (tmp_path / f"{FILE_NAME}.damaged").exists()
