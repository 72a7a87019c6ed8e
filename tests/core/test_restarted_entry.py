"""An entry that restarts under its name before its hub misses it."""

import pytest
from support.feed_fleet import FeedFleet

from wasabitray_core.controllers.feed_readers import RESEND_AFTER_S

TARGETS = 50


@pytest.mark.parametrize("number", range(9))
def test_restarted_entry_does_not_wait_until_items_are_sent_again(number):
    fleet = FeedFleet(9, targets=TARGETS, seed=number)
    fleet.start(8.0)
    entry = fleet.restart_entry(number, 0.5 + 0.1 * (number % 4))
    fleet.run(RESEND_AFTER_S)
    hub = fleet.hosts[entry.controller.hub].controller
    assert entry.controller.read_position >= TARGETS
    assert entry.controller.read_position == hub.table.position
