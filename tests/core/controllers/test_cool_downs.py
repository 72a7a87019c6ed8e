"""Which attempts cool a target down, and what ends a cool-down.

Played through the controller that owns the targets.
"""

import pytest
from support.fakes import Bed

from wasabitray_core.controllers.cool_downs import RECOVERY_SUCCESSES
from wasabitray_core.controllers.dispatch import DispatchController
from wasabitray_core.controllers.retry_budget import RetryLimits
from wasabitray_core.local_messages import (
    AcquireSlot,
    Broadcast,
    ReleaseSlot,
    UsableTarget,
    UsableTargets,
)
from wasabitray_core.messages import TargetReport
from wasabitray_core.placement import Availability
from wasabitray_core.requests import Target
from wasabitray_core.states import AttemptStatus, ReportKind, WorkClass


def target(name, slots=2):
    return Target(name, "rota", "south", "south-a", slots)


def acquire(bed, idempotent=True):
    deadline = bed.clock.now + 5.0
    ask = AcquireSlot("rota", "o", WorkClass.SHORT, idempotent, deadline)
    return bed.ask(ask)


def release(
    bed, name, status=AttemptStatus.ANSWERED, took=0.1, is_fault=False
):
    work = WorkClass.SHORT
    bed.tell(ReleaseSlot("rota", name, work, status, took, None, is_fault))


def cool_downs_of(status):
    """Return the cool-downs told after one attempt that ended so."""
    retries = RetryLimits()
    bed = Bed(DispatchController, "south", retries, True)
    one = target("t1")
    bed.tell(UsableTargets("rota", (UsableTarget(one, False),), ("t1",), ()))
    release(bed, "t1", status)
    return [m.item for m in bed.outbox.told_of(Broadcast)]


@pytest.mark.parametrize("status", [AttemptStatus.FAILED])
def test_broken_attempt_cool_downs_its_target_for_the_fleet(status):
    (cool_down,) = cool_downs_of(status)
    assert (cool_down.target, cool_down.kind) == ("t1", ReportKind.BROKEN)


@pytest.mark.parametrize(
    "status",
    [
        AttemptStatus.TIMED_OUT,
        AttemptStatus.UNREACHABLE,
        AttemptStatus.SHED,
        AttemptStatus.CANCELLED,
        AttemptStatus.STALE_CONNECTION,
    ],
)
def test_load_and_paths_cool_down_nothing(status):
    assert cool_downs_of(status) == []


class TestCoolDowns:
    """One target that fails, and what ends its cool-down."""

    def setup_method(self):
        self.bed = Bed(DispatchController, "south", RetryLimits(), True)
        names = ("t1", "t2", "t3")
        usable = tuple(UsableTarget(target(n), False) for n in names)
        self.bed.tell(UsableTargets("rota", usable, names, ()))

    @property
    def state(self):
        return self.bed.controller._service("rota").targets["t1"]

    def is_cooling(self):
        return self.state.is_cooling(self.bed.clock())

    def hear(self, number, kind=ReportKind.BROKEN, duration_s=12.0):
        self.bed.tell(TargetReport("t1", number, duration_s, kind))

    def answer(self, took=0.1, is_fault=False):
        self.bed.clock.advance(took + 0.01)
        release(self.bed, "t1", took=took, is_fault=is_fault)

    def told(self):
        """Return the reports about the target since the last look."""
        reports = [m.item for m in self.bed.outbox.told_of(Broadcast)]
        self.bed.outbox.told.clear()
        return reports

    def test_answer_to_an_attempt_from_before_the_failure_does_not_count(self):
        release(self.bed, "t1", AttemptStatus.FAILED)
        self.bed.clock.advance(0.1)
        for _ in range(RECOVERY_SUCCESSES):
            release(self.bed, "t1", took=0.5)
        assert self.is_cooling()

    def test_some_successes_in_a_row_end_it(self):
        release(self.bed, "t1", AttemptStatus.FAILED)
        for _ in range(RECOVERY_SUCCESSES - 1):
            self.answer()
        assert self.is_cooling()
        self.answer()
        assert not self.is_cooling()

    def test_successes_that_different_entries_see_add_up(self):
        release(self.bed, "t1", AttemptStatus.FAILED)
        report = TargetReport("t1", 2, 0.0, ReportKind.SUCCESS, 0.0, 1)
        self.bed.tell(report)
        for _ in range(RECOVERY_SUCCESSES - 1):
            assert self.is_cooling()
            self.answer()
        assert not self.is_cooling()

    def test_failure_starts_the_count_anew(self):
        release(self.bed, "t1", AttemptStatus.FAILED)
        for _ in range(RECOVERY_SUCCESSES - 1):
            self.answer()
        release(self.bed, "t1", AttemptStatus.FAILED)
        self.answer()
        assert self.is_cooling()

    def test_cool_down_by_an_entry_that_missed_earlier_numbers_counts(self):
        self.hear(number=5)
        self.bed.clock.advance(13.0)
        assert not self.is_cooling()
        self.hear(number=1)
        assert self.is_cooling()

    def test_late_report_does_not_prolong_a_cool_down(self):
        self.hear(number=5)
        self.bed.clock.advance(11.0)
        self.hear(number=4)
        self.bed.clock.advance(1.5)
        assert not self.is_cooling()

    def test_ordinary_failed_response_only_raises_suspicion(self):
        self.answer(is_fault=True)
        assert [r.kind for r in self.told()] == [ReportKind.SUSPECTED]
        assert not self.is_cooling()

    def test_failed_responses_that_different_entries_see_add_up(self):
        self.answer(is_fault=True)
        (report,) = self.told()
        other = TestCoolDowns()
        other.setup_method()
        other.bed.tell(report)
        other.answer(is_fault=True)
        assert [r.kind for r in other.told()] == [ReportKind.FAULTS]
        assert other.is_cooling()

    def test_failed_response_from_before_the_failure_tells_nothing_new(self):
        release(self.bed, "t1", AttemptStatus.FAILED)
        self.told()
        self.bed.clock.advance(0.1)
        release(self.bed, "t1", took=0.5, is_fault=True)
        assert self.told() == []

    def test_many_attempts_between_failed_responses_clear_the_suspicion(self):
        self.answer(is_fault=True)
        for _ in range(20):
            acquire(self.bed)
            acquire(self.bed)
            self.bed.clock.advance(0.5)
            release(self.bed, "t2", took=0.5)
            release(self.bed, "t3", took=0.5)
        self.told()
        self.answer(is_fault=True)
        assert [r.kind for r in self.told()] == [ReportKind.SUSPECTED]

    def test_suspicion_does_not_hide_a_failure_of_the_same_number(self):
        self.hear(1, ReportKind.SUSPECTED, 0.0)
        self.hear(1)
        assert self.is_cooling()


class TestReadmission:
    """A target after its cool-down, before a success is known."""

    def setup_method(self):
        self.bed = Bed(DispatchController, "south", RetryLimits(), True)
        usable = (UsableTarget(target("t1", slots=6), False),)
        self.bed.tell(UsableTargets("rota", usable, ("t1",), ()))
        release(self.bed, "t1", AttemptStatus.FAILED)
        self.bed.clock.advance(12.1)

    def granted(self, count):
        return sum(acquire(self.bed) is not None for _ in range(count))

    def test_it_gets_one_request_at_a_time(self):
        assert self.granted(3) == 1

    def test_failed_response_is_enough_to_cool_it_down_again(self):
        assert self.granted(1) == 1
        self.bed.clock.advance(0.1)
        release(self.bed, "t1", took=0.1, is_fault=True)
        reports = [m.item for m in self.bed.outbox.told_of(Broadcast)]
        assert reports[-1].kind is ReportKind.FAULTS

    def test_successes_give_it_all_its_slots_again(self):
        for _ in range(RECOVERY_SUCCESSES):
            assert self.granted(1) == 1
            self.bed.clock.advance(0.1)
            release(self.bed, "t1", took=0.1)
        assert self.granted(6) == 6


def test_grant_tells_what_the_choice_was_made_from():
    bed = Bed(DispatchController, "south", RetryLimits(), True)
    names = tuple(f"t{n}" for n in range(1, 9))
    usable = tuple(UsableTarget(target(n), False) for n in names)
    bed.tell(UsableTargets("rota", usable, names, ()))
    bed.tell(TargetReport("t1", 1, 12.0, ReportKind.BROKEN))
    bed.clock.advance(3.0)
    bed.tell(TargetReport("t2", 1, 12.0, ReportKind.BROKEN))
    grant = acquire(bed, idempotent=False)
    assert grant.target.target not in ("t1", "t2")
    assert grant.availability == Availability(8, 2, 1)
    assert grant.failure_age is None
