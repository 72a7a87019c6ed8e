"""Departures that are confirmed while links between hubs are broken."""

import pytest
from support.feed_fleet import FeedFleet

from wasabitray_core.controllers.controller import Origin
from wasabitray_core.local_messages import Deregister
from wasabitray_core.messages import Announcement
from wasabitray_core.states import TargetPhase

HUBS = 5
MAJORITY = 3
TARGET = "i-1"
READ_S = 4.0


def count_holders(fleet):
    records = (
        hub.controller.table.find(Announcement, TARGET) for hub in fleet.hubs
    )
    return sum(
        record is not None and record.item.phase is TargetPhase.LEAVING
        for record in records
    )


# A target asks the next hub after a second, or both if the first one is slow.
@pytest.mark.parametrize(
    ("outage_s", "retry_after_s"), [(0.9, 0.0), (1.2, 0.0), (2.0, 1.0)]
)
def test_hub_that_reads_a_feed_through_another_one_holds_its_departures(
    outage_s, retry_after_s
):
    fleet = FeedFleet(0, hubs=HUBS, targets=10)
    fleet.start(6.0)
    holders = []

    def deregister(hub):
        hub.receive(Deregister(TARGET, None), Origin(reply_token=confirm))

    def confirm(_):
        holders.append(count_holders(fleet))

    others = [hub.name for hub in fleet.hubs[2:]]
    outage = {("c1", other) for other in others}
    fleet.cut = outage | {("c0", other) for other in others}
    deregister(fleet.hubs[1])
    fleet.clock.call_later(retry_after_s, deregister, fleet.hubs[0])
    fleet.run(outage_s)
    fleet.cut -= outage
    fleet.run(READ_S)
    assert holders and min(holders) >= MAJORITY
