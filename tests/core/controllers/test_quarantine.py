"""When a request that crashes targets is quarantined."""

import pytest
from support.fakes import ControllerBed

from wasabitray_core.controllers.crashes import SUSPICION_TTL_S
from wasabitray_core.controllers.quarantine import (
    MIN_BLOCK_S,
    RESPONSE_TTL_S,
    QuarantineController,
)
from wasabitray_core.local_messages import (
    Broadcast,
    CheckQuarantine,
    ReportBrokenConnection,
    ReportResponse,
    Suspicion,
)
from wasabitray_core.messages import Quarantine

ATTEMPT_S = 0.1


@pytest.fixture
def bed():
    return ControllerBed(QuarantineController)


def check_quarantine(bed):
    return bed.ask(CheckQuarantine("f"))


def crash(bed, *names):
    """Let targets crash one after the other."""
    for name in names:
        bed.clock.advance(ATTEMPT_S)
        bed.tell(ReportBrokenConnection("f", name, ATTEMPT_S))


def crash_together(bed, *names):
    """Let targets crash at the same moment."""
    bed.clock.advance(ATTEMPT_S)
    for name in names:
        bed.tell(ReportBrokenConnection("f", name, ATTEMPT_S))


def get_broadcasts(bed):
    return [b.item for b in bed.outbox.get_told(Broadcast)]


def test_three_crashes_quarantine_a_request(bed):
    crash(bed, "t1", "t2")
    assert check_quarantine(bed) is Suspicion.SUSPECT
    bed.receive("e2", Quarantine("f", ("t3",)))
    assert check_quarantine(bed) is Suspicion.QUARANTINED


def test_one_target_that_crashes_three_times_quarantines_a_request(bed):
    crash(bed, "t1", "t1")
    assert check_quarantine(bed) is Suspicion.SUSPECT
    crash(bed, "t1")
    assert check_quarantine(bed) is Suspicion.QUARANTINED


def test_connections_that_break_in_one_crash_count_once(bed):
    crash_together(bed, "t1", "t1", "t1")
    crash_together(bed, "t2", "t2")
    assert check_quarantine(bed) is Suspicion.SUSPECT
    assert get_broadcasts(bed)[-1].targets == ("t1", "t2")


def test_crash_that_another_entry_saw_too_counts_once(bed):
    bed.clock.advance(ATTEMPT_S)
    bed.receive("e2", Quarantine("f", ("t1",)))
    bed.clock.advance(ATTEMPT_S / 2)
    bed.tell(ReportBrokenConnection("f", "t1", ATTEMPT_S))
    assert get_broadcasts(bed)[-1].targets == ("t1",)


def test_request_that_is_served_is_cleared_at_all_entries(bed):
    crash(bed, "t1", "t2")
    bed.tell(ReportResponse("f"))
    assert check_quarantine(bed) is Suspicion.NONE
    cleared = get_broadcasts(bed)[-1]
    other = ControllerBed(QuarantineController, host="e2")
    crash(other, "t1", "t2", "t3")
    other.receive("e1", cleared)
    assert check_quarantine(other) is Suspicion.NONE


def test_request_that_was_served_before_is_quarantined_by_later_crashes(bed):
    bed.tell(ReportResponse("f"))
    crash(bed, "t1", "t2")
    assert check_quarantine(bed) is Suspicion.SUSPECT
    crash(bed, "t3")
    assert check_quarantine(bed) is Suspicion.QUARANTINED


def test_targets_that_fail_together_do_not_quarantine_a_served_request(bed):
    bed.tell(ReportResponse("f"))
    crash_together(bed, "t1", "t2", "t3")
    assert check_quarantine(bed) is Suspicion.SUSPECT
    bed.clock.advance(RESPONSE_TTL_S)
    crash_together(bed, "t4", "t5")
    assert check_quarantine(bed) is Suspicion.QUARANTINED


def test_report_of_crashes_before_a_response_is_ignored(bed):
    crash(bed, "t1")
    late = get_broadcasts(bed)[-1]
    bed.tell(ReportResponse("f"))
    bed.receive("e2", late)
    assert check_quarantine(bed) is Suspicion.NONE


def test_suspicion_expires(bed):
    crash(bed, "t1", "t2")
    bed.tick(SUSPICION_TTL_S + 1.0)
    assert check_quarantine(bed) is Suspicion.NONE


def test_one_attempt_is_allowed_after_each_block_and_blocks_double(bed):
    crash(bed, "t1", "t2", "t3")
    bed.clock.advance(MIN_BLOCK_S + 0.1)
    assert check_quarantine(bed) is Suspicion.SUSPECT
    assert check_quarantine(bed) is Suspicion.QUARANTINED
    bed.clock.advance(MIN_BLOCK_S + 0.1)
    assert check_quarantine(bed) is Suspicion.QUARANTINED
    bed.clock.advance(MIN_BLOCK_S)
    assert check_quarantine(bed) is Suspicion.SUSPECT
