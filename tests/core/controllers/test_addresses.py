"""Which entries an address answer names."""

import pytest
from support.fakes import Bed

from wasabitray_core.controllers.addresses import (
    STARTING_ALONE_S,
    AddressesController,
)
from wasabitray_core.local_messages import EntriesView, GetAddresses
from wasabitray_core.messages import EntryState
from wasabitray_core.states import HostFlag

SERVING, LEAVING = HostFlag.SERVING, HostFlag.LEAVING


def entry(name, flags=SERVING, present=True, domain="a"):
    return EntryState(
        name, 1, present, flags, "south", domain, f"{name}:80", "c1"
    )


@pytest.fixture
def bed():
    return Bed(AddressesController, limit=64, spread=False)


def named(bed, *entries, domain="a"):
    bed.tell(EntriesView(entries))
    answer = bed.ask(GetAddresses("south", domain))
    return {address.partition(":")[0] for address in answer.addresses}


def test_open_entries_are_named(bed):
    given = [entry("e1"), entry("e2"), entry("e3", SERVING | LEAVING)]
    assert named(bed, *given, entry("e4", present=False)) == {"e1", "e2"}


def test_entry_that_does_not_serve_yet_is_not_named_beside_others(bed):
    bed.clock.advance(60.0)
    starting = entry("e2", HostFlag.NONE)
    assert named(bed, entry("e1"), starting) == {"e1"}


def test_entries_that_start_are_named_when_no_other_is_open(bed):
    starting = [entry("e1", HostFlag.NONE), entry("e2", LEAVING)]
    starting.append(entry("e3", HostFlag.NONE, present=False))
    assert named(bed, *starting) == set()
    bed.clock.advance(STARTING_ALONE_S + 0.01)
    assert named(bed, *starting) == {"e1"}


def test_near_entries_are_preferred_if_there_are_two(bed):
    far = [entry(f"f{n}", domain="b") for n in range(4)]
    near = [entry("n1"), entry("n2")]
    assert named(bed, *far, *near) == {"n1", "n2"}
    assert named(bed, *far, near[0]) == {"n1", "f0", "f1", "f2", "f3"}
