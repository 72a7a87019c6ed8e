"""Choice of the entries in an address response."""

import pytest
from support.fakes import ControllerBed

from wasabitray_core.controllers.addresses import (
    ENTRY_DISCOVERY_S,
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
    return ControllerBed(AddressesController, limit=64, spread=False)


def get_chosen_hosts(bed, *entries, domain="a"):
    bed.tell(EntriesView(entries))
    response = bed.ask(GetAddresses("south", domain))
    return {address.partition(":")[0] for address in response.addresses}


def test_only_serving_entries_are_chosen(bed):
    present_entries = [
        entry("e1"),
        entry("e2"),
        entry("e3", SERVING | LEAVING),
    ]
    assert get_chosen_hosts(
        bed, *present_entries, entry("e4", present=False)
    ) == {"e1", "e2"}


def test_starting_entry_is_not_chosen_while_others_serve(bed):
    bed.clock.advance(60.0)
    starting_entry = entry("e2", HostFlag.NONE)
    assert get_chosen_hosts(bed, entry("e1"), starting_entry) == {"e1"}


def test_starting_entries_are_chosen_when_none_is_serving(bed):
    starting_entries = [entry("e1", HostFlag.NONE), entry("e2", LEAVING)]
    starting_entries.append(entry("e3", HostFlag.NONE, present=False))
    assert get_chosen_hosts(bed, *starting_entries) == set()
    bed.clock.advance(ENTRY_DISCOVERY_S + 0.01)
    assert get_chosen_hosts(bed, *starting_entries) == {"e1"}


def test_entries_of_the_own_domain_are_preferred_if_there_are_two(bed):
    other_domain = [entry(f"f{n}", domain="b") for n in range(4)]
    own_domain = [entry("n1"), entry("n2")]
    assert get_chosen_hosts(bed, *other_domain, *own_domain) == {"n1", "n2"}
    assert get_chosen_hosts(bed, *other_domain, own_domain[0]) == {
        "n1",
        "f0",
        "f1",
        "f2",
        "f3",
    }


# Guards against wake-ups of each entry at which nothing is due.
def test_ticks_are_rare(bed):
    assert bed.controller.tick_interval_s >= 10.0
