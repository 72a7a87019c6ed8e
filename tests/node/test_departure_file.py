"""The file with the departures of targets."""

import pytest

from wasabitray_core.messages import Announcement
from wasabitray_core.states import TargetPhase
from wasabitray_node.departure_file import (
    FILE_NAME,
    MAX_DEPARTURES,
    DepartureFile,
)


def make_departure(name, generation=1):
    return Announcement(
        name, "rota", "south", "south-a", 2, generation, 7,
        TargetPhase.LEAVING, 0.0, "10.0.0.1:80",
    )  # fmt: skip


def write(folder, *batches):
    file = DepartureFile(folder)
    file.load()
    for batch in batches:
        file.sync(list(batch))
    file.close()


def load(folder):
    file = DepartureFile(folder)
    try:
        return file.load()
    finally:
        file.close()


def test_departures_are_read_again(tmp_path):
    first, second = make_departure("t1"), make_departure("t2")
    write(tmp_path, [first, second])
    assert load(tmp_path) == (first, second)
    assert load(tmp_path) == (first, second)


def test_only_the_newest_departure_of_a_target_is_kept(tmp_path):
    newest = make_departure("t1", 2)
    write(tmp_path, [make_departure("t1", 1), make_departure("t2")], [newest])
    assert load(tmp_path) == (make_departure("t2"), newest)


def test_only_the_newest_departures_are_kept(tmp_path):
    write(tmp_path, [make_departure(f"t{n}") for n in range(1_200)])
    kept = load(tmp_path)
    assert len(kept) == MAX_DEPARTURES
    assert kept[-1].target == "t1199"


@pytest.mark.parametrize("lost_bytes", range(1, 40))
def test_record_that_was_written_in_part_is_left_out(tmp_path, lost_bytes):
    write(tmp_path, [make_departure("t1")], [make_departure("t2")])
    path = tmp_path / FILE_NAME
    path.write_bytes(path.read_bytes()[:-lost_bytes])
    assert load(tmp_path) == (make_departure("t1"),)
    write(tmp_path, [make_departure("t3")])
    assert [d.target for d in load(tmp_path)] == ["t1", "t3"]


def test_damaged_file_is_moved_aside(tmp_path):
    write(tmp_path, [make_departure("t1")], [make_departure("t2")])
    path = tmp_path / FILE_NAME
    data = bytearray(path.read_bytes())
    data[16] ^= 0xFF
    path.write_bytes(data)
    assert load(tmp_path) == ()
    assert (tmp_path / f"{FILE_NAME}.damaged").exists()
    write(tmp_path, [make_departure("t3")])
    assert load(tmp_path) == (make_departure("t3"),)
