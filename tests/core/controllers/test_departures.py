"""How departures of targets become durable before they are acknowledged."""

from support.fakes import ControllerBed

from wasabitray_core.controllers.departures import (
    DeparturesController,
    UnstoredDepartures,
)
from wasabitray_core.controllers.hub import HubController
from wasabitray_core.ids import FeedPosition, HostId, Incarnation
from wasabitray_core.local_messages import (
    DeparturesStored,
    GroupContact,
    Register,
    StoreDepartures,
)
from wasabitray_core.messages import (
    Announcement,
    Feed,
    FeedMark,
    HostAddress,
    Presence,
)
from wasabitray_core.states import HostFlag, TargetPhase


def make_announcement(
    name, phase=TargetPhase.LEAVING, sequence=2, generation=1
):
    return Announcement(
        name, "rota", "south", "south-a", 2, generation, sequence, phase, 0.0,
        "10.0.0.1:80",
    )  # fmt: skip


def make_hub(stored=()):
    bed = ControllerBed(
        HubController,
        HostAddress("c1", "10.0.0.1:7200", "south"),
        "inc-1",
        100,
        stored,
        host="c1",
    )
    bed.tell(GroupContact(True, HostId("c1"), ("c1", "c2", "c3")))
    return bed


def report_read(bed, hub, position):
    """Deliver another hub's heartbeat with its position in c1's feed."""
    mark = FeedMark(HostId("c1"), Incarnation("inc-1"), position)
    presence = Presence(
        1, 0, HostFlag.CONTROL, "south", "", "10.0.0.2:7200", (mark,)
    )
    bed.receive(hub, presence)


def make_feed(hub, after, position, *announcements):
    return Feed(
        hub, "inc-9", after, position, 0, True, 0, (), announcements, (), (),
    )  # fmt: skip


def get_reported_mark(bed, hub):
    """Return c1's read position in another hub's feed, as last reported."""
    presences = [m for _, m in bed.outbox.sent if isinstance(m, Presence)]
    return next((m.position for m in presences[-1].marks if m.hub == hub), 0)


def get_requested(bed):
    requests = bed.outbox.get_told(StoreDepartures)
    return [d for request in requests for d in request.departures]


def test_departures_are_written_before_they_are_reported_as_stored():
    bed = ControllerBed(DeparturesController)
    departure = make_announcement("t1")
    bed.tell(StoreDepartures((departure,)))
    assert bed.outbox.persisted == [departure]
    assert bed.outbox.get_told(DeparturesStored) == [
        DeparturesStored((departure,))
    ]


def test_departure_is_acknowledged_once_a_majority_has_it_on_disk():
    bed = make_hub()
    departure = make_announcement("t1")
    token = bed.start_ask(Register(departure))
    report_read(bed, "c2", bed.controller.table.position)
    assert token not in bed.outbox.replies  # only c2 has it on disk
    bed.tell(DeparturesStored((departure,)))
    assert bed.outbox.replies[token] is True


def test_own_disk_alone_is_no_majority():
    bed = make_hub()
    departure = make_announcement("t1")
    token = bed.start_ask(Register(departure))
    bed.tell(DeparturesStored((departure,)))
    assert token not in bed.outbox.replies


def test_position_in_another_feed_is_reported_once_it_is_on_disk():
    bed = make_hub()
    report_read(bed, "c2", 0)
    departure = make_announcement("t1")
    active = make_announcement("t2", TargetPhase.ACTIVE)
    bed.receive("c2", make_feed("c2", 0, 4, active))
    assert get_reported_mark(bed, "c2") == 4
    bed.receive("c2", make_feed("c2", 4, 9, departure))
    bed.receive("c2", make_feed("c2", 9, 11))
    assert get_reported_mark(bed, "c2") == 4
    assert get_requested(bed) == [departure]
    bed.tell(DeparturesStored((departure,)))
    assert get_reported_mark(bed, "c2") == 11


def test_departure_known_from_elsewhere_holds_the_position_too():
    bed = make_hub()
    report_read(bed, "c2", 0)
    departure = make_announcement("t1")
    bed.receive("c3", make_feed("c3", 0, 5, departure))
    bed.receive("c2", make_feed("c2", 0, 9, departure))
    assert get_reported_mark(bed, "c2") == 0
    assert get_requested(bed) == [departure]
    bed.tell(DeparturesStored((departure,)))
    assert get_reported_mark(bed, "c2") == 9


def test_restarted_hub_keeps_a_late_registration_out():
    departure = make_announcement("t1")
    bed = make_hub((departure,))
    assert bed.ask(Register(make_announcement("t1", TargetPhase.ACTIVE, 9)))
    record = bed.controller.table.find(Announcement, "t1")
    assert record.item.phase is TargetPhase.LEAVING
    started = make_announcement("t1", TargetPhase.ACTIVE, 1, generation=2)
    assert bed.ask(Register(started))
    record = bed.controller.table.find(Announcement, "t1")
    assert record.item.phase is TargetPhase.ACTIVE


def test_newer_departure_of_a_target_is_waited_for():
    unstored = UnstoredDepartures()
    older, newer = make_announcement("t1"), make_announcement("t1", 2, 5, 2)
    unstored.add(older)
    unstored.add(newer)
    mark = FeedMark(HostId("c2"), Incarnation("i"), FeedPosition(3))
    unstored.hold(mark, ["t1", "unknown"])
    assert unstored.remove((older,)) == set()
    assert unstored.limit("c2", "i", 8) == 3
    assert unstored.limit("c2", "other", 8) == 8
    assert unstored.remove((newer,)) == {"c2"}
    assert unstored.limit("c2", "i", 8) == 8
