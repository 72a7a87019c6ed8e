"""An entry that starts beside a running fleet, on a link of 2 Mbit/s."""

import pytest
from support.feed_fleet import FeedFleet

LINK_BYTES_PER_S = 2_000_000 / 8
CRASHES = 6_000
# In this time a configuration is promised to be in force everywhere.
CONFIGURATION_TIME_S = 2.5


@pytest.fixture(scope="module")
def fleet():
    """Return a fleet with a long feed, and an entry that has just started."""
    fleet = FeedFleet(9, targets=300, link_bytes_per_s=LINK_BYTES_PER_S)
    fleet.start(4.0)
    for _ in range(10):
        fleet.report_crashes(CRASHES // 10)
        fleet.run(0.5)
    fleet.run(2.0)
    fleet.configure()
    fleet.run(1.0)
    fleet.started_at = fleet.clock.now
    fleet.late_entry = fleet.add_entry("late")
    fleet.run(CONFIGURATION_TIME_S)
    return fleet


def test_entry_is_configured_soon_though_the_feed_is_long(fleet):
    assert fleet.late_entry.configured_at is not None


def test_entry_reads_a_long_feed_to_its_end(fleet):
    hub = fleet.hosts[fleet.late_entry.controller.hub]
    read = fleet.late_entry.controller.read_position
    assert read >= CRASHES
    assert hub.controller.table.position - read <= 10
