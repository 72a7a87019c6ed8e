"""Evidence about targets, permits to eject them, and their return."""

import random

from support.fakes import ControllerBed

from wasabitray_core.controllers.detector import CumulativeSum
from wasabitray_core.controllers.health import HealthController
from wasabitray_core.local_messages import (
    AcquireClaim,
    AttemptSample,
    ClaimDecided,
    ClaimVerdict,
    FleetView,
    HostView,
    ServiceLimits,
    UsableTargets,
    WithdrawClaim,
)
from wasabitray_core.messages import Ejection, Evidence, TargetSample
from wasabitray_core.states import EjectionPhase, HostFlag, WorkClass

NAMES = tuple(f"t{n}" for n in range(12))


def make_evaluator(floor=8, names=NAMES, entries=("e1", "e2", "e3")):
    bed = ControllerBed(HealthController, "south")
    views = tuple(HostView(e, 1, HostFlag.SERVING, True) for e in entries)
    bed.tell(FleetView(views))
    bed.tell(ServiceLimits({"rota": floor}))
    bed.tell(UsableTargets("rota", (), names, ()))
    return bed


def send_report(bed, counts, reporter="e2", region="south"):
    samples = tuple(TargetSample(t, g, b) for t, (g, b) in counts.items())
    bed.receive(reporter, Evidence("rota", region, samples))


def send_failure_reports(bed, failing, rounds=8, region="south"):
    """Two entries report that some targets fail and the others succeed."""
    for number in range(rounds):
        counts = {t: ((0, 3) if t in failing else (6, 0)) for t in NAMES}
        send_report(bed, counts, f"e{2 + number % 2}", region)
        bed.clock.advance(0.1)


def find_permit_requests(bed):
    return bed.outbox.get_told(AcquireClaim)


def decide_permits(bed, verdict=ClaimVerdict.GRANTED):
    for request in find_permit_requests(bed):
        bed.tell(ClaimDecided(request.key, request.claim, verdict))


def test_failing_target_is_ejected_only_with_a_permit():
    bed = make_evaluator()
    send_failure_reports(bed, {"t0"})
    assert len(find_permit_requests(bed)) == 1
    assert not bed.outbox.get_told(Ejection)
    decide_permits(bed)
    ejection = bed.outbox.get_told(Ejection)[0]
    assert (ejection.target, ejection.phase) == ("t0", EjectionPhase.EJECTED)


def test_without_a_permit_nothing_is_ejected():
    bed = make_evaluator()
    send_failure_reports(bed, {"t0"})
    decide_permits(bed, ClaimVerdict.HELD)
    assert not bed.outbox.get_told(Ejection)


def test_permits_are_numbered_below_capacity_minus_floor():
    for seed in range(30):
        bed = make_evaluator(floor=10)
        bed.context.random.seed(seed)
        send_failure_reports(bed, {"t0"})
        assert find_permit_requests(bed)[0].key in (
            "eject/rota/0",
            "eject/rota/1",
        )


def test_no_permit_exists_at_the_floor():
    bed = make_evaluator(floor=12)
    send_failure_reports(bed, {"t0"})
    assert not find_permit_requests(bed)


def test_widespread_failure_is_logged_once_and_ejects_no_target():
    bed = make_evaluator(floor=1)
    send_failure_reports(bed, set(NAMES[:8]), rounds=20)
    assert not find_permit_requests(bed)
    events = [f for e, f in bed.outbox.events if e == "widespread failure"]
    assert events == [{"service": "rota", "present": True}]


def test_failure_seen_by_only_one_entry_is_a_path_failure():
    bed = make_evaluator()
    for _ in range(20):
        send_report(bed, {"t0": (0, 3), "t1": (5, 0)}, "e2")
        send_report(bed, {"t1": (5, 0)}, "e3")
    assert not find_permit_requests(bed)


def test_failure_not_seen_from_another_region_is_a_path_failure():
    bed = make_evaluator()
    for number in range(30):
        send_report(bed, {"t0": (0, 2), "t1": (5, 0)}, f"e{2 + number % 2}")
        send_report(bed, {"t0": (4, 0), "t1": (5, 0)}, "e9", "north")
        bed.clock.advance(0.05)
    assert not find_permit_requests(bed)


def test_target_returns_after_probation_and_its_permit_is_withdrawn():
    bed = make_evaluator()
    send_failure_reports(bed, {"t0"})
    decide_permits(bed)
    bed.tick(10.1)
    send_report(bed, {"t0": (9, 0)})
    bed.tick(0.3)
    phases = [e.phase for e in bed.outbox.get_told(Ejection)]
    assert phases == [
        EjectionPhase.EJECTED,
        EjectionPhase.PROBATION,
        EjectionPhase.RETURNED,
    ]
    assert len(bed.outbox.get_told(WithdrawClaim)) == 1


def test_failed_probation_doubles_the_ejection():
    bed = make_evaluator()
    send_failure_reports(bed, {"t0"})
    decide_permits(bed)
    bed.tick(10.1)
    send_report(bed, {"t0": (0, 2)})
    bed.tick(0.3)
    first, *_, last = bed.outbox.get_told(Ejection)
    assert last.phase is EjectionPhase.EJECTED
    assert last.duration_s > first.duration_s + 9.0


def test_ejected_targets_return_if_others_leave_and_the_floor_needs_them():
    bed = make_evaluator(floor=8)
    send_failure_reports(bed, {"t0"})
    decide_permits(bed)
    bed.tell(UsableTargets("rota", (), NAMES[:8], ("t0",)))
    bed.tick(0.3)
    last = bed.outbox.get_told(Ejection)[-1]
    assert last.phase is EjectionPhase.RETURNED


def count_slow_attempts(warming):
    """Return the attempts counted as failed for a slow target of two."""
    bed = make_evaluator(entries=("e1",))
    bed.tell(UsableTargets("rota", (), NAMES, (), warming))
    for _ in range(30):
        bed.tell(AttemptSample("rota", "t1", WorkClass.SHORT, True, 0.02))
    for _ in range(10):
        bed.tell(AttemptSample("rota", "t0", WorkClass.SHORT, True, 0.5))
    bed.tick(0.3)
    return (
        bed.controller._services["rota"].targets["t0"].count_total().failures
    )


def test_slow_attempts_count_as_failed_except_during_warm_up():
    assert count_slow_attempts(()) == 10
    assert count_slow_attempts(("t0",)) == 0


def test_detector_alarms_after_10_failures_or_50_attempts_with_15_failures():
    full = CumulativeSum()
    full.add(0, 10, 0.0)
    assert full.is_alarmed
    gray = CumulativeSum()
    gray.add(35, 15, 0.01)
    assert gray.is_alarmed


def test_detector_does_not_alarm_at_a_normal_failure_share():
    noise = random.Random(3)
    detector = CumulativeSum()
    for _ in range(200_000):
        failed = noise.random() < 0.01
        detector.add(not failed, failed, 0.01)
        assert not detector.is_alarmed
