"""Which attempts start a target's cool-down, and what ends it.

The tests drive the dispatch controller, which owns the state of the targets.
"""

import pytest
from support.fakes import ControllerBed

from wasabitray_core.controllers.cool_downs import RECOVERY_SUCCESSES
from wasabitray_core.controllers.dispatch import DispatchController
from wasabitray_core.controllers.retry_budget import RetryLimits
from wasabitray_core.local_messages import (
    AcquireSlot,
    Broadcast,
    ReleaseSlot,
    SilentTarget,
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
    request = AcquireSlot("rota", "o", WorkClass.SHORT, idempotent, deadline)
    return bed.ask(request)


def release(
    bed, name, status=AttemptStatus.ANSWERED, elapsed=0.1, is_fault=False
):
    work = WorkClass.SHORT
    bed.tell(ReleaseSlot("rota", name, work, status, elapsed, None, is_fault))


def find_cool_downs(status):
    """Return the cool-downs broadcast after an attempt with this status."""
    retries = RetryLimits()
    bed = ControllerBed(DispatchController, "south", retries, True)
    single_target = target("t1")
    bed.tell(
        UsableTargets(
            "rota", (UsableTarget(single_target, False),), ("t1",), ()
        )
    )
    release(bed, "t1", status)
    return [m.item for m in bed.outbox.get_told(Broadcast)]


@pytest.mark.parametrize("status", [AttemptStatus.FAILED])
def test_broken_connection_cools_its_target_down_for_the_fleet(status):
    (cool_down,) = find_cool_downs(status)
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
def test_load_and_path_failures_start_no_cool_down(status):
    assert find_cool_downs(status) == []


class TestCoolDowns:
    """What starts and ends the cool-down of one failing target."""

    def setup_method(self):
        self.bed = ControllerBed(
            DispatchController, "south", RetryLimits(), True
        )
        names = ("t1", "t2", "t3")
        usable = tuple(UsableTarget(target(n), False) for n in names)
        self.bed.tell(UsableTargets("rota", usable, names, ()))

    @property
    def state(self):
        return self.bed.controller._get_service("rota").targets["t1"]

    def is_cooling(self):
        return self.state.is_cooling(self.bed.clock())

    def receive_report(self, number, kind=ReportKind.BROKEN, duration_s=12.0):
        self.bed.tell(TargetReport("t1", number, duration_s, kind))

    def release_slot(self, elapsed=0.1, is_fault=False):
        self.bed.clock.advance(elapsed + 0.01)
        release(self.bed, "t1", elapsed=elapsed, is_fault=is_fault)

    def take_reports(self):
        """Return the reports broadcast since the last call."""
        reports = [m.item for m in self.bed.outbox.get_told(Broadcast)]
        self.bed.outbox.told.clear()
        return reports

    def test_success_of_an_attempt_begun_before_the_failure_is_ignored(self):
        release(self.bed, "t1", AttemptStatus.FAILED)
        self.bed.clock.advance(0.1)
        for _ in range(RECOVERY_SUCCESSES):
            release(self.bed, "t1", elapsed=0.5)
        assert self.is_cooling()

    def test_consecutive_successes_end_a_cool_down(self):
        release(self.bed, "t1", AttemptStatus.FAILED)
        for _ in range(RECOVERY_SUCCESSES - 1):
            self.release_slot()
        assert self.is_cooling()
        self.release_slot()
        assert not self.is_cooling()

    def test_successes_that_different_entries_see_add_up(self):
        release(self.bed, "t1", AttemptStatus.FAILED)
        report = TargetReport("t1", 2, 0.0, ReportKind.SUCCESS, 0.0, 1)
        self.bed.tell(report)
        for _ in range(RECOVERY_SUCCESSES - 1):
            assert self.is_cooling()
            self.release_slot()
        assert not self.is_cooling()

    def test_failure_resets_the_count_of_successes(self):
        release(self.bed, "t1", AttemptStatus.FAILED)
        for _ in range(RECOVERY_SUCCESSES - 1):
            self.release_slot()
        release(self.bed, "t1", AttemptStatus.FAILED)
        self.release_slot()
        assert self.is_cooling()

    def test_cool_down_by_an_entry_that_missed_earlier_numbers_counts(self):
        self.receive_report(number=5)
        self.bed.clock.advance(13.0)
        assert not self.is_cooling()
        self.receive_report(number=1)
        assert self.is_cooling()

    def test_late_report_does_not_prolong_a_cool_down(self):
        self.receive_report(number=5)
        self.bed.clock.advance(11.0)
        self.receive_report(number=4)
        self.bed.clock.advance(1.5)
        assert not self.is_cooling()

    def test_ordinary_failed_response_only_raises_suspicion(self):
        self.release_slot(is_fault=True)
        assert [r.kind for r in self.take_reports()] == [ReportKind.SUSPECTED]
        assert not self.is_cooling()

    def test_failed_responses_that_different_entries_see_add_up(self):
        self.release_slot(is_fault=True)
        (report,) = self.take_reports()
        other = TestCoolDowns()
        other.setup_method()
        other.bed.tell(report)
        other.release_slot(is_fault=True)
        assert [r.kind for r in other.take_reports()] == [ReportKind.FAULTS]
        assert other.is_cooling()

    def test_failed_response_begun_before_the_failure_is_not_reported(self):
        release(self.bed, "t1", AttemptStatus.FAILED)
        self.take_reports()
        self.bed.clock.advance(0.1)
        release(self.bed, "t1", elapsed=0.5, is_fault=True)
        assert self.take_reports() == []

    def test_many_attempts_between_failed_responses_clear_the_suspicion(self):
        self.release_slot(is_fault=True)
        for _ in range(20):
            acquire(self.bed)
            acquire(self.bed)
            self.bed.clock.advance(0.5)
            release(self.bed, "t2", elapsed=0.5)
            release(self.bed, "t3", elapsed=0.5)
        self.take_reports()
        self.release_slot(is_fault=True)
        assert [r.kind for r in self.take_reports()] == [ReportKind.SUSPECTED]

    def test_suspicion_does_not_hide_a_failure_of_the_same_number(self):
        self.receive_report(1, ReportKind.SUSPECTED, 0.0)
        self.receive_report(1)
        assert self.is_cooling()


class TestReadmission:
    """A target after its cool-down, before any success is known."""

    def setup_method(self):
        self.bed = ControllerBed(
            DispatchController, "south", RetryLimits(), True
        )
        usable = (UsableTarget(target("t1", slots=6), False),)
        self.bed.tell(UsableTargets("rota", usable, ("t1",), ()))
        release(self.bed, "t1", AttemptStatus.FAILED)
        self.bed.clock.advance(12.1)

    def count_granted(self, count):
        return sum(acquire(self.bed) is not None for _ in range(count))

    def test_readmitted_target_gets_one_request_at_a_time(self):
        assert self.count_granted(3) == 1

    def test_single_failed_response_starts_another_cool_down(self):
        assert self.count_granted(1) == 1
        self.bed.clock.advance(0.1)
        release(self.bed, "t1", elapsed=0.1, is_fault=True)
        reports = [m.item for m in self.bed.outbox.get_told(Broadcast)]
        assert reports[-1].kind is ReportKind.FAULTS

    def test_successes_restore_all_slots(self):
        for _ in range(RECOVERY_SUCCESSES):
            assert self.count_granted(1) == 1
            self.bed.clock.advance(0.1)
            release(self.bed, "t1", elapsed=0.1)
        assert self.count_granted(6) == 6


def test_grant_contains_the_availability_behind_the_choice():
    bed = ControllerBed(DispatchController, "south", RetryLimits(), True)
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


def tell_silence(bed, elapsed=1.5, is_conclusive=True):
    bed.tell(
        SilentTarget("rota", "t1", WorkClass.SHORT, elapsed, is_conclusive)
    )


def get_report_kinds(bed):
    return [b.item.kind for b in bed.outbox.get_told(Broadcast)]


def make_silence_bed():
    bed = ControllerBed(DispatchController, "south", RetryLimits(), True)
    targets = [Target(f"t{n}", "rota", "south", "a", 2) for n in (1, 2)]
    usable = tuple(UsableTarget(t, False) for t in targets)
    bed.tell(UsableTargets("rota", usable, ("t1", "t2"), ()))
    return bed


def test_target_that_is_silent_for_far_too_long_cools_down():
    bed = make_silence_bed()
    tell_silence(bed)
    assert get_report_kinds(bed) == [ReportKind.SILENT]
    for _ in range(20):
        request = AcquireSlot(
            "rota", "o", WorkClass.SHORT, False, bed.clock.now + 2.0
        )
        grant = bed.ask(request)
        assert grant.target.target == "t2"
        bed.tell(
            ReleaseSlot(
                "rota", "t2", WorkClass.SHORT, AttemptStatus.ANSWERED, 0.1,
                None,
            )
        )  # fmt: skip


def test_two_attempts_that_were_given_up_cool_a_target_down():
    bed = make_silence_bed()
    tell_silence(bed, 0.9, is_conclusive=False)
    bed.clock.advance(0.2)
    tell_silence(bed, 0.9, is_conclusive=False)
    kinds = [ReportKind.SUSPECTED, ReportKind.SILENT]
    assert get_report_kinds(bed) == kinds


def test_silence_from_before_the_last_failure_shows_nothing_new():
    bed = make_silence_bed()
    tell_silence(bed, 1.5)
    bed.clock.advance(1.0)
    tell_silence(bed, 1.5)
    tell_silence(bed, 1.2)
    assert get_report_kinds(bed) == [ReportKind.SILENT]
