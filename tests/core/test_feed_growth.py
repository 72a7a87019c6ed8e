"""How the messages of a fleet that starts grow with its size."""

import pytest
from support.feed_fleet import FeedFleet

from wasabitray_core.controllers.hub import (
    GATHER_INTERVAL_S,
    HUB_TICK_INTERVAL_S,
)
from wasabitray_core.controllers.subscriber import PRESENCE_INTERVAL_S

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
