"""Which targets are usable, and how the floor is kept."""

import sys
from collections import Counter

import pytest
from support.fakes import ControllerBed

from wasabitray_core.controllers.known_targets import WARM_UP_S
from wasabitray_core.controllers.targets import (
    SUBSCRIBERS,
    TargetsController,
)
from wasabitray_core.local_messages import (
    Announcements,
    Broadcast,
    ServiceLimits,
    TargetLeaving,
    UsableTargets,
)
from wasabitray_core.messages import Announcement, Ejection
from wasabitray_core.states import EjectionPhase, TargetPhase

LEASE_S = 3.0


def make_announcement(
    name, sequence=1, phase=TargetPhase.ACTIVE, generation=1
):
    return Announcement(
        name, "rota", "south", "south-a", 2, generation, sequence, phase,
        LEASE_S,
    )  # fmt: skip


def make_ejection(name, version=1, phase=EjectionPhase.EJECTED):
    return Ejection(name, "rota", version, phase, 10.0, "evidence")


def make_bed(count, floor):
    bed = ControllerBed(TargetsController, 0)
    bed.tell(ServiceLimits({"rota": floor}))
    for number in range(count):
        bed.tell(make_announcement(f"t{number}"))
    return bed


def get_usable(bed):
    newest = bed.outbox.get_told(UsableTargets)[-1]
    return {u.target.target for u in newest.usable}


def test_leaving_target_is_removed_immediately_even_below_the_floor():
    bed = make_bed(2, floor=2)
    bed.tell(make_announcement("t0", 2, TargetPhase.LEAVING))
    assert get_usable(bed) == {"t1"}


def test_late_announcement_does_not_bring_a_leaving_target_back():
    bed = make_bed(1, floor=1)
    bed.tell(make_announcement("t0", 2, TargetPhase.LEAVING))
    bed.tell(make_announcement("t0", 3))
    assert get_usable(bed) == set()
    bed.tell(make_announcement("t0", 1, generation=2))
    assert get_usable(bed) == {"t0"}


def test_quiet_targets_are_removed_only_down_to_the_floor():
    bed = make_bed(4, floor=3)
    bed.clock.advance(LEASE_S - 0.5)
    bed.tell(make_announcement("t0", 2))
    bed.tick(1.0)
    assert len(get_usable(bed)) == 3
    assert "t0" in get_usable(bed)


def test_ejections_of_several_evaluators_never_go_below_the_floor():
    bed = make_bed(12, floor=8)
    for number in range(12):
        bed.receive("e9", make_ejection(f"t{number}"))
        assert len(get_usable(bed)) >= 8


def test_ejection_expires_if_its_evaluator_has_left():
    bed = make_bed(3, floor=1)
    bed.tell(make_ejection("t0"))
    assert get_usable(bed) == {"t1", "t2"}
    bed.tick(10.1)
    for number in range(3):
        bed.tell(make_announcement(f"t{number}", 2))
    assert get_usable(bed) == {"t0", "t1", "t2"}


def test_ejection_with_an_older_version_is_ignored():
    bed = make_bed(3, floor=1)
    bed.tell(make_ejection("t0", 5, EjectionPhase.RETURNED))
    bed.tell(make_ejection("t0", 4))
    assert "t0" in get_usable(bed)


def test_new_and_restarted_targets_warm_up_for_15_seconds():
    bed = make_bed(1, floor=1)
    for sequence in range(2, 9):
        bed.tick(2.0)
        bed.tell(make_announcement("t0", sequence))
    assert bed.outbox.get_told(UsableTargets)[-1].warming == ("t0",)
    bed.tick(1.5)
    assert bed.outbox.get_told(UsableTargets)[-1].warming == ()
    bed.tell(make_announcement("t0", 1, generation=2))
    assert bed.outbox.get_told(UsableTargets)[-1].warming == ("t0",)


def test_known_announcement_is_not_broadcast_again():
    bed = make_bed(1, floor=1)
    before = len(bed.outbox.get_told(Broadcast))
    bed.tell(make_announcement("t0"))
    assert len(bed.outbox.get_told(Broadcast)) == before


def test_target_that_responds_as_leaving_leaves_the_fleet():
    bed = make_bed(2, floor=2)
    bed.tell(TargetLeaving("t0", 1))
    assert get_usable(bed) == {"t1"}
    told = bed.outbox.get_told(Broadcast)[-1].item
    assert (told.target, told.generation) == ("t0", 1)
    assert told.phase is TargetPhase.LEAVING


def test_late_announcement_does_not_undo_a_leaving_response():
    bed = make_bed(2, floor=1)
    bed.tell(TargetLeaving("t0", 1))
    bed.tell(make_announcement("t0", 9))
    assert get_usable(bed) == {"t1"}
    bed.tell(make_announcement("t0", 1, generation=2))
    assert get_usable(bed) == {"t0", "t1"}


def test_response_of_an_earlier_start_does_not_remove_a_target():
    bed = make_bed(1, floor=1)
    bed.tell(make_announcement("t0", 1, generation=5))
    count = len(bed.outbox.get_told(Broadcast))
    bed.tell(TargetLeaving("t0", 4))
    bed.tell(TargetLeaving("unknown", 4))
    assert get_usable(bed) == {"t0"}
    assert len(bed.outbox.get_told(Broadcast)) == count


def make_hub_announcement(number, service="rota", generation=1):
    """Return the announcement of a target that has no lease."""
    return Announcement(
        f"{service}-{number}", service, "south", "south-a", 2, generation, 1,
        TargetPhase.ACTIVE, 0.0, f"10.0.0.{number}:80",
    )  # fmt: skip


def test_announcements_of_one_feed_are_published_together():
    bed = ControllerBed(TargetsController, 0)
    items = [make_hub_announcement(n) for n in range(50)]
    items += [make_hub_announcement(n + 50, "desk") for n in range(50)]
    bed.tell(Announcements(tuple(items)))
    published = bed.outbox.get_told(UsableTargets)
    assert Counter(m.service for m in published) == {
        "rota": len(SUBSCRIBERS),
        "desk": len(SUBSCRIBERS),
    }
    assert {len(m.usable) for m in published} == {50}


def test_target_whose_address_another_service_takes_is_unusable_at_once():
    bed = ControllerBed(TargetsController, 0)
    bed.tell(make_hub_announcement(1))
    bed.tell(make_hub_announcement(1, "desk", generation=2))
    newest = {m.service: m for m in bed.outbox.get_told(UsableTargets)}
    assert [len(newest[s].usable) for s in ("rota", "desk")] == [0, 1]


def count_calls(work):
    """Return how many functions were called during some work."""
    calls = Counter()
    sys.setprofile(lambda frame, event, arg: calls.update([event]))
    try:
        work()
    finally:
        sys.setprofile(None)
    return calls["call"] + calls["c_call"]


@pytest.mark.parametrize("warm_up_s", [0.0, 20.0])
def test_ticks_cost_the_same_whatever_the_number_of_targets(warm_up_s):
    calls = []
    for count in (30, 300):
        bed = ControllerBed(TargetsController, 0)
        items = tuple(make_hub_announcement(n) for n in range(count))
        bed.tell(Announcements(items))
        bed.tick(warm_up_s)
        calls.append(count_calls(lambda b=bed: b.tick(0.25)))
    assert calls[0] == calls[1]


def test_cost_of_an_announcement_grows_no_faster_than_the_targets():
    calls = []
    for count in (30, 300):
        bed = ControllerBed(TargetsController, 0)
        items = tuple(make_hub_announcement(n) for n in range(count))
        bed.tell(Announcements(items))
        new = make_hub_announcement(count)
        calls.append(count_calls(lambda b=bed, n=new: b.tell(n)))
    assert calls[1] <= 10 * calls[0]


def run_ticks(bed, seconds):
    """Tick as the controller's task does; return when, from now on."""
    started, times = bed.clock.now, []
    while bed.clock.now - started < seconds:
        bed.tick(bed.controller.tick_interval_s)
        times.append(bed.clock.now - started)
    return times


# Guards against wake-ups of each entry at which nothing is due.
def test_ticks_are_rare_while_no_change_is_due():
    bed = ControllerBed(TargetsController, 0)
    bed.tell(Announcements((make_hub_announcement(1),)))
    bed.tick(WARM_UP_S + 1.0)
    assert len(run_ticks(bed, 10.0)) <= 11


@pytest.mark.parametrize("offset_s", [0.0, 0.1, 0.13, 0.9])
def test_quiet_target_is_found_when_its_lease_ends(offset_s):
    bed = make_bed(2, floor=1)
    bed.clock.advance(offset_s)
    bed.tell(make_announcement("t0", 2))
    renewed_at = bed.clock.now
    while get_usable(bed) != {"t0"}:
        bed.tick(bed.controller.tick_interval_s)
    assert bed.clock.now - renewed_at <= LEASE_S - offset_s + 0.26
    while get_usable(bed) == {"t0"} and bed.clock.now - renewed_at < 9.0:
        bed.tick(bed.controller.tick_interval_s)
    assert get_usable(bed) == {"t0"}  # the floor keeps it


@pytest.mark.parametrize("after_s", [0.0, 0.3])
def test_ejection_ends_no_later_than_a_quarter_second_after_it_is_due(
    after_s,
):
    bed = ControllerBed(TargetsController, 0)
    bed.tell(Announcements(tuple(make_hub_announcement(n) for n in (1, 2))))
    bed.tick(WARM_UP_S + after_s)
    name = make_hub_announcement(1).target
    bed.tell(Ejection(name, "rota", 1, EjectionPhase.EJECTED, 2.6, "why"))
    assert name not in get_usable(bed)
    times = run_ticks(bed, 2.6)
    assert name in get_usable(bed)
    assert times[-1] <= 2.6 + 0.25
