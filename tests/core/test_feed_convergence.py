"""Feeds through lost links and restarts of entries and hubs."""

import pytest
from support.feed_fleet import FeedFleet

from wasabitray_core.controllers.feed_readers import MAX_RESEND_AFTER_S
from wasabitray_core.controllers.subscriber import PRESENCE_INTERVAL_S
from wasabitray_core.messages import Quarantine

TARGETS = 40
STEPS = 24
LINK_BYTES_PER_S = 2_000_000 / 8
LOSS_RATE = 0.01
# The longest resend time and the heartbeat after it, at a hub and then at an
# entry.
SETTLE_S = 2 * (MAX_RESEND_AFTER_S + PRESENCE_INTERVAL_S)


@pytest.fixture(scope="module", params=range(3))
def fleet(request):
    """Return a fleet in which all faults have ended."""
    fleet = FeedFleet(
        12,
        hubs=5,
        targets=TARGETS,
        seed=request.param,
        link_bytes_per_s=LINK_BYTES_PER_S,
    )
    fleet.start(5.0)
    fleet.loss_rate = LOSS_RATE
    for step in range(STEPS):
        fleet.report_crashes(fleet.random.choice([5, 50, 300]))
        down_s = fleet.random.choice([0.1, 0.6, 1.5, 3.5])
        if step % 6 == 2:
            number = fleet.random.randrange(len(fleet.entries))
            fleet.restart_entry(number, down_s)
        elif step % 6 == 5:
            fleet.restart_hub(fleet.random.randrange(5), down_s)
        fleet.run(0.5)
    fleet.loss_rate = 0.0
    fleet.lost_until.clear()
    fleet.run(SETTLE_S)
    return fleet


def get_crashes(hub):
    records = hub.controller.table.get_items_of_kind(Quarantine)
    return {record.fingerprint for record in records}


def test_all_hubs_have_the_same_items(fleet):
    crashes = [get_crashes(hub) for hub in fleet.hubs]
    assert [len(c ^ crashes[0]) for c in crashes] == [0] * len(crashes)


def test_each_entry_has_all_items_of_its_hub(fleet):
    missing = {}
    for entry in fleet.entries:
        hub = fleet.hosts[entry.controller.hub]
        missing[entry.name] = len(get_crashes(hub) - entry.crashes)
    assert not any(missing.values()), missing


def test_each_entry_knows_all_targets(fleet):
    assert {len(e.targets) for e in fleet.entries} == {TARGETS}
