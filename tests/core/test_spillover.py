"""Which requests leave a region for regions with few entries."""

import pytest

from wasabitray_core.spillover import NO_SPILLOVER, find_spillover

TARGETS = {"south": 10, "north": 10, "west": 10}


@pytest.mark.parametrize(
    ("targets", "entries"),
    [
        (TARGETS, {}),
        (TARGETS, {"south": 12, "north": 12, "west": 12}),
        (TARGETS, {"south": 12, "north": 9, "west": 8}),
        ({"south": 10}, {"south": 3}),
        ({}, {"south": 3}),
    ],
)
def test_regions_with_enough_entries_get_no_spillover(targets, entries):
    assert find_spillover(targets, entries, "south") == NO_SPILLOVER


def test_region_without_entries_gets_its_targets_share():
    spillover = find_spillover(TARGETS, {"south": 6, "north": 6}, "south")
    assert spillover.regions == {"west"}
    assert spillover.share == pytest.approx(1 / 3)


def test_region_with_few_entries_gets_what_they_lack():
    entries = {"south": 10, "north": 9, "west": 1}
    spillover = find_spillover(TARGETS, entries, "north")
    assert spillover.regions == {"west"}
    moved = spillover.share * 19 / 20
    assert moved == pytest.approx(1 / 3 - 1 / 20)


def test_entries_of_a_region_with_few_entries_keep_their_requests():
    entries = {"south": 10, "north": 9, "west": 1}
    assert find_spillover(TARGETS, entries, "west") == NO_SPILLOVER
