"""Entries behind five of nine control hosts that are cut off from a leader."""

import pytest
from support.feed_fleet import LEADER_LOSS_S, FeedFleet

# In this time a configuration is promised to be in force everywhere.
CONFIGURATION_TIME_S = 2.5
ENTRIES = 45
ISOLATED_HUBS = 5


def test_no_entry_keeps_an_old_configuration_behind_a_split():
    fleet = FeedFleet(ENTRIES, targets=100)
    fleet.start(8.0)
    fleet.split(ISOLATED_HUBS, leader=ISOLATED_HUBS)
    fleet.run(0.3)
    fleet.configure(fleet.hubs[ISOLATED_HUBS:])
    fleet.run(CONFIGURATION_TIME_S)
    late = [h.name for h in fleet.entries if h.configured_at is None]
    assert late == []


# An entry takes hubs that an isolated one doesn't hear for the other side.
@pytest.mark.parametrize("leaderless_s", [0.2, 1.0, 2.0])
@pytest.mark.parametrize("lost", [(0, 5, 6), (0, 5, 6, 7)])
def test_entries_follow_the_next_leader_when_many_hubs_are_lost(
    lost, leaderless_s
):
    fleet = FeedFleet(ENTRIES, targets=50)
    fleet.start(8.0)
    remaining = fleet.lose_hubs(lost)
    fleet.lose_leader(remaining, "c0")
    fleet.run(LEADER_LOSS_S + leaderless_s)
    fleet.elect(remaining, remaining[0])
    fleet.configure(remaining)
    fleet.run(CONFIGURATION_TIME_S)
    late = [h.name for h in fleet.entries if h.configured_at is None]
    assert late == []
