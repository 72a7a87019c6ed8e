"""A hub that restarts and has lost the items that entered the fleet there."""

import pytest
from support.feed_fleet import FeedFleet

from wasabitray_core.messages import Announcement, Feed, Quarantine

TARGETS = 60
# Hubs send heartbeats each half second.
READ_S = 2.0


@pytest.mark.parametrize("down_s", [0.3, 5.0])
def test_restarted_hub_learns_the_targets_that_registered_with_it(down_s):
    fleet = FeedFleet(9, targets=TARGETS)
    fleet.start(6.0)
    hub = fleet.restart_hub(0, down_s)
    fleet.run(READ_S)
    known = hub.controller.table.get_items_of_kind(Announcement)
    assert len(known) == TARGETS


def test_entry_that_starts_beside_a_restarted_hub_knows_all_targets():
    fleet = FeedFleet(9, targets=TARGETS)
    fleet.start(6.0)
    fleet.restart_hub(0, 0.3)
    fleet.run(READ_S)
    entry = fleet.add_entry("late")
    fleet.run(READ_S)
    assert entry.controller.hub == "c0"
    assert len(entry.targets) == TARGETS


def test_entries_do_not_get_the_items_again_when_a_hub_restarts():
    fleet = FeedFleet(9, targets=TARGETS)
    fleet.start(6.0)
    entries = [e for e in fleet.entries if e.controller.hub != "c0"]
    before = [e.announced for e in entries]
    fleet.restart_hub(0, 0.3)
    fleet.run(READ_S)
    assert [e.announced for e in entries] == before


def restart_beside_many_items(crashes):
    """Return a hub that restarts, and the number of items sent to it."""
    fleet = FeedFleet(9)
    fleet.start(4.0)
    fleet.report_crashes(crashes)
    fleet.run(3.0)
    sent = []
    deliver = fleet.deliver

    def count(sender, host, message):
        if host == "c0" and isinstance(message, Feed):
            sent.extend(message.quarantines)
        deliver(sender, host, message)

    fleet.deliver = count
    hub = fleet.restart_hub(0, 0.3)
    fleet.run(READ_S)
    return hub, len(sent)


def test_restarted_hub_is_sent_each_item_about_once():
    crashes = 900
    hub, sent = restart_beside_many_items(crashes)
    assert len(hub.controller.table.get_items_of_kind(Quarantine)) == crashes
    # Several hubs adopt the items that had entered the fleet at this one.
    assert sent <= 2 * crashes
