"""Entries behind five of nine control hosts that are cut off from a leader."""

from support.feed_fleet import FeedFleet

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
