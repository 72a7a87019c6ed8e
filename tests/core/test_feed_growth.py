"""How the messages of a fleet that starts grow with its size."""

import pytest
from support.feed_fleet import FeedFleet

from wasabitray_core.controllers.hub import (
    GATHER_INTERVAL_S,
    HUB_TICK_INTERVAL_S,
    MAX_MESSAGES_PER_S,
)
from wasabitray_core.controllers.subscriber import PRESENCE_INTERVAL_S
from wasabitray_core.local_messages import Broadcast
from wasabitray_core.messages import TargetReport
from wasabitray_core.states import ReportKind

LENGTH_S = 5.0
# A host that gets an item later than this could get it with the next
# heartbeat of its hub.
SPREAD_TIME_S = 1.0


@pytest.fixture(scope="module", params=[30, 100])
def fleet(request):
    fleet = FeedFleet(request.param, targets=request.param)
    fleet.start(LENGTH_S)
    return fleet


def test_messages_to_an_entry_do_not_grow_with_the_fleet(fleet):
    allowed = (
        LENGTH_S * (1 / GATHER_INTERVAL_S + 1 / HUB_TICK_INTERVAL_S)
        + LENGTH_S / PRESENCE_INTERVAL_S
    )
    feeds = fleet.traffic["hub"].messages["Feed to entry"]
    assert feeds / len(fleet.entries) <= allowed


def test_every_host_knows_all_entries_soon_after_they_serve(fleet):
    known = fleet.count_known_serving()
    assert set(known) == {len(fleet.entries)}


def test_views_of_the_entries_are_not_published_for_each_of_them(fleet):
    allowed = 2 * LENGTH_S * (1 / GATHER_INTERVAL_S + 1 / HUB_TICK_INTERVAL_S)
    for host in fleet.entries:
        assert host.view_count <= allowed, host.name


def test_reports_of_failures_cost_a_hub_a_bounded_number_of_messages():
    fleet = FeedFleet(100, targets=100)
    fleet.start(LENGTH_S)
    counter = fleet.traffic["hub"].messages
    before = counter["Feed to entry"]
    reports = 400
    for number in range(reports):
        entry = fleet.random.choice(fleet.entries)
        report = TargetReport(f"i-{number}", 1, 12.0, ReportKind.BROKEN)
        at = fleet.random.uniform(0.0, 2.0)
        entry.reports.add(report.target)
        fleet.clock.call_later(at, entry.receive, Broadcast(report))
    fleet.run(2.5)
    feeds = counter["Feed to entry"] - before
    heartbeats = len(fleet.entries) * 2.5 / HUB_TICK_INTERVAL_S
    presences = len(fleet.entries) * 2.5 / PRESENCE_INTERVAL_S
    allowed = len(fleet.hubs) * 2.5 * MAX_MESSAGES_PER_S
    assert feeds <= allowed + heartbeats + presences
    assert {len(e.reports) for e in fleet.entries} == {reports}
