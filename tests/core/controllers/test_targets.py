"""Usable targets, leaving and the floor."""

from support.fakes import Bed

from wasabitray_core.controllers.targets import TargetsController
from wasabitray_core.local_messages import (
    Broadcast,
    ServiceLimits,
    UsableTargets,
)
from wasabitray_core.messages import Announcement, Ejection
from wasabitray_core.states import EjectionPhase, TargetPhase

LEASE_S = 3.0


def announcement(name, sequence=1, phase=TargetPhase.ACTIVE, generation=1):
    return Announcement(
        name, "rota", "south", "south-a", 2, generation, sequence, phase,
        LEASE_S,
    )  # fmt: skip


def ejection(name, version=1, phase=EjectionPhase.EJECTED):
    return Ejection(name, "rota", version, phase, 10.0, "evidence")


def bed_with(count, floor):
    bed = Bed(TargetsController, 0)
    bed.tell(ServiceLimits({"rota": floor}))
    for number in range(count):
        bed.tell(announcement(f"t{number}"))
    return bed


def usable(bed):
    newest = bed.outbox.told_of(UsableTargets)[-1]
    return {u.target.target for u in newest.usable}


def test_leaving_target_is_dropped_at_once_even_below_the_floor():
    bed = bed_with(2, floor=2)
    bed.tell(announcement("t0", 2, TargetPhase.LEAVING))
    assert usable(bed) == {"t1"}


def test_late_announcement_does_not_bring_a_leaving_target_back():
    bed = bed_with(1, floor=1)
    bed.tell(announcement("t0", 2, TargetPhase.LEAVING))
    bed.tell(announcement("t0", 3))
    assert usable(bed) == set()
    bed.tell(announcement("t0", 1, generation=2))
    assert usable(bed) == {"t0"}


def test_quiet_targets_are_dropped_down_to_the_floor_only():
    bed = bed_with(4, floor=3)
    bed.clock.advance(LEASE_S - 0.5)
    bed.tell(announcement("t0", 2))
    bed.tick(1.0)
    assert len(usable(bed)) == 3
    assert "t0" in usable(bed)


def test_ejections_of_several_evaluators_never_go_below_the_floor():
    bed = bed_with(12, floor=8)
    for number in range(12):
        bed.receive("e9", ejection(f"t{number}"))
        assert len(usable(bed)) >= 8


def test_ejection_ends_by_itself_when_its_evaluator_is_gone():
    bed = bed_with(3, floor=1)
    bed.tell(ejection("t0"))
    assert usable(bed) == {"t1", "t2"}
    bed.tick(10.1)
    for number in range(3):
        bed.tell(announcement(f"t{number}", 2))
    assert usable(bed) == {"t0", "t1", "t2"}


def test_older_ejection_news_is_ignored():
    bed = bed_with(3, floor=1)
    bed.tell(ejection("t0", 5, EjectionPhase.RETURNED))
    bed.tell(ejection("t0", 4))
    assert "t0" in usable(bed)


def test_new_and_restarted_targets_are_warming_for_a_while():
    bed = bed_with(1, floor=1)
    for sequence in range(2, 9):
        bed.tick(2.0)
        bed.tell(announcement("t0", sequence))
    assert bed.outbox.told_of(UsableTargets)[-1].warming == ("t0",)
    bed.tick(1.5)
    assert bed.outbox.told_of(UsableTargets)[-1].warming == ()
    bed.tell(announcement("t0", 1, generation=2))
    assert bed.outbox.told_of(UsableTargets)[-1].warming == ("t0",)


def test_news_is_spread_once():
    bed = bed_with(1, floor=1)
    before = len(bed.outbox.told_of(Broadcast))
    bed.tell(announcement("t0"))
    assert len(bed.outbox.told_of(Broadcast)) == before
