"""A hub that is lost for good while others have a part of its feed."""

from support.feed_fleet import FeedFleet

from wasabitray_core.controllers.hub_peers import HUB_TIMEOUT_S
from wasabitray_core.local_messages import Broadcast
from wasabitray_core.messages import Quarantine

MISSED, RECEIVED = (Quarantine(c * 32, ("i-1",)) for c in "ab")
READ_S = 2.0


def test_item_that_one_hub_has_after_a_gap_reaches_the_others():
    fleet = FeedFleet(0, hubs=5)
    fleet.start(6.0)
    lost_hub = fleet.hubs[0]
    fleet.cut = {("c0", hub.name) for hub in fleet.hubs[1:]}
    lost_hub.receive(Broadcast(MISSED))
    fleet.run(0.1)
    fleet.cut.remove(("c0", "c1"))
    lost_hub.receive(Broadcast(RECEIVED))
    fleet.run(0.05)
    remaining = fleet.lose_hubs([0])
    fleet.run(HUB_TIMEOUT_S + READ_S)
    holders = [
        hub.name
        for hub in remaining
        if hub.controller.table.find(Quarantine, RECEIVED.fingerprint)
    ]
    assert holders == ["c1", "c2", "c3", "c4"]
