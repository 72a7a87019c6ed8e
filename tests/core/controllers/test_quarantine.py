"""Requests that break targets."""

from support.fakes import Bed

from wasabitray_core.controllers.quarantine import (
    ANSWERED_S,
    QUARANTINE_FIRST_S,
    QuarantineController,
)
from wasabitray_core.local_messages import (
    CheckQuarantine,
    ReportBrokenConnection,
    ReportResponse,
    Suspicion,
)
from wasabitray_core.messages import Quarantine


def check(bed):
    return bed.ask(CheckQuarantine("f"))


def break_targets(bed, *names):
    for name in names:
        bed.tell(ReportBrokenConnection("f", name))


def test_three_distinct_targets_quarantine_a_request():
    bed = Bed(QuarantineController)
    break_targets(bed, "t1", "t1", "t2")
    assert check(bed) is Suspicion.SUSPECT
    bed.receive("e2", Quarantine("f", ("t3",)))
    assert check(bed) is Suspicion.QUARANTINED


def test_an_answered_request_is_not_blamed():
    bed = Bed(QuarantineController)
    bed.tell(ReportResponse("f"))
    break_targets(bed, "t1", "t2", "t3")
    assert check(bed) is Suspicion.NONE
    bed.clock.advance(ANSWERED_S + 1)
    break_targets(bed, "t1", "t2", "t3")
    assert check(bed) is Suspicion.QUARANTINED


def test_one_attempt_is_let_through_after_each_growing_block():
    bed = Bed(QuarantineController)
    break_targets(bed, "t1", "t2", "t3")
    bed.clock.advance(QUARANTINE_FIRST_S + 0.1)
    assert check(bed) is Suspicion.SUSPECT
    assert check(bed) is Suspicion.QUARANTINED
    bed.clock.advance(QUARANTINE_FIRST_S + 0.1)
    assert check(bed) is Suspicion.QUARANTINED
    bed.clock.advance(QUARANTINE_FIRST_S)
    assert check(bed) is Suspicion.SUSPECT
