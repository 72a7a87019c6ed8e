"""Evidence, permits and the return of targets."""

import random

from support.fakes import Bed

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


def evaluator(floor=8, names=NAMES, entries=("e1", "e2", "e3")):
    bed = Bed(HealthController, "south")
    views = tuple(HostView(e, 1, HostFlag.SERVING, True) for e in entries)
    bed.tell(FleetView(views))
    bed.tell(ServiceLimits({"rota": floor}))
    bed.tell(UsableTargets("rota", (), names, ()))
    return bed


def report(bed, counts, reporter="e2", region="south"):
    samples = tuple(TargetSample(t, g, b) for t, (g, b) in counts.items())
    bed.receive(reporter, Evidence("rota", region, samples))


def report_bad(bed, bad, rounds=8, region="south"):
    """Two entries see some targets fail and the others do well."""
    for number in range(rounds):
        counts = {t: ((0, 3) if t in bad else (6, 0)) for t in NAMES}
        report(bed, counts, f"e{2 + number % 2}", region)
        bed.clock.advance(0.1)


def asked(bed):
    return bed.outbox.told_of(AcquireClaim)


def decide(bed, verdict=ClaimVerdict.GRANTED):
    for ask in asked(bed):
        bed.tell(ClaimDecided(ask.key, ask.claim, verdict))


def test_bad_target_is_ejected_with_a_permit_only():
    bed = evaluator()
    report_bad(bed, {"t0"})
    assert len(asked(bed)) == 1
    assert not bed.outbox.told_of(Ejection)
    decide(bed)
    news = bed.outbox.told_of(Ejection)[0]
    assert (news.target, news.phase) == ("t0", EjectionPhase.EJECTED)


def test_without_a_permit_nothing_is_ejected():
    bed = evaluator()
    report_bad(bed, {"t0"})
    decide(bed, ClaimVerdict.HELD)
    assert not bed.outbox.told_of(Ejection)


def test_permits_are_numbered_below_capacity_minus_floor():
    for seed in range(30):
        bed = evaluator(floor=10)
        bed.context.random.seed(seed)
        report_bad(bed, {"t0"})
        assert asked(bed)[0].key in ("eject/rota/0", "eject/rota/1")


def test_no_permit_exists_at_the_floor():
    bed = evaluator(floor=12)
    report_bad(bed, {"t0"})
    assert not asked(bed)


def test_most_targets_bad_at_once_is_reported_once_and_ejects_none():
    bed = evaluator(floor=1)
    report_bad(bed, set(NAMES[:8]), rounds=20)
    assert not asked(bed)
    events = [f for e, f in bed.outbox.events if e == "widespread failure"]
    assert events == [{"service": "rota", "present": True}]


def test_failure_seen_by_one_entry_only_is_its_path():
    bed = evaluator()
    for _ in range(20):
        report(bed, {"t0": (0, 3), "t1": (5, 0)}, "e2")
        report(bed, {"t1": (5, 0)}, "e3")
    assert not asked(bed)


def test_failure_that_another_region_does_not_see_is_a_path():
    bed = evaluator()
    for number in range(30):
        report(bed, {"t0": (0, 2), "t1": (5, 0)}, f"e{2 + number % 2}")
        report(bed, {"t0": (4, 0), "t1": (5, 0)}, "e9", "north")
        bed.clock.advance(0.05)
    assert not asked(bed)


def test_target_returns_by_trial_and_gives_its_permit_back():
    bed = evaluator()
    report_bad(bed, {"t0"})
    decide(bed)
    bed.tick(10.1)
    report(bed, {"t0": (9, 0)})
    bed.tick(0.3)
    phases = [e.phase for e in bed.outbox.told_of(Ejection)]
    assert phases == [
        EjectionPhase.EJECTED,
        EjectionPhase.PROBATION,
        EjectionPhase.RETURNED,
    ]
    assert len(bed.outbox.told_of(WithdrawClaim)) == 1


def test_failed_trial_doubles_the_wait():
    bed = evaluator()
    report_bad(bed, {"t0"})
    decide(bed)
    bed.tick(10.1)
    report(bed, {"t0": (0, 2)})
    bed.tick(0.3)
    first, *_, last = bed.outbox.told_of(Ejection)
    assert last.phase is EjectionPhase.EJECTED
    assert last.duration_s > first.duration_s + 9.0


def test_leaving_targets_bring_ejected_ones_back_for_the_floor():
    bed = evaluator(floor=8)
    report_bad(bed, {"t0"})
    decide(bed)
    bed.tell(UsableTargets("rota", (), NAMES[:8], ("t0",)))
    bed.tick(0.3)
    last = bed.outbox.told_of(Ejection)[-1]
    assert last.phase is EjectionPhase.RETURNED


def slow_evidence(warming):
    """Return the bad attempts reported for one slow target of two."""
    bed = evaluator(entries=("e1",))
    bed.tell(UsableTargets("rota", (), NAMES, (), warming))
    for _ in range(30):
        bed.tell(AttemptSample("rota", "t1", WorkClass.SHORT, True, 0.02))
    for _ in range(10):
        bed.tell(AttemptSample("rota", "t0", WorkClass.SHORT, True, 0.5))
    bed.tick(0.3)
    return bed.controller._services["rota"].targets["t0"].total().bad


def test_slowness_counts_but_not_while_a_target_warms_up():
    assert slow_evidence(()) == 10
    assert slow_evidence(("t0",)) == 0


def test_detector_finds_full_failure_in_ten_attempts_and_gray_in_fifty():
    full = CumulativeSum()
    full.add(0, 10, 0.0)
    assert full.alarmed
    gray = CumulativeSum()
    gray.add(35, 15, 0.01)
    assert gray.alarmed


def test_detector_is_quiet_on_ordinary_noise():
    noise = random.Random(3)
    detector = CumulativeSum()
    for _ in range(200_000):
        bad = noise.random() < 0.01
        detector.add(not bad, bad, 0.01)
        assert not detector.alarmed
