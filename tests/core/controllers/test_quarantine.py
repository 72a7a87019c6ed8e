"""When a request that breaks connections is quarantined."""

from support.fakes import ControllerBed

from wasabitray_core.controllers.quarantine import (
    MIN_BLOCK_S,
    RESPONSE_TTL_S,
    QuarantineController,
)
from wasabitray_core.local_messages import (
    CheckQuarantine,
    ReportBrokenConnection,
    ReportResponse,
    Suspicion,
)
from wasabitray_core.messages import Quarantine


def check_quarantine(bed):
    return bed.ask(CheckQuarantine("f"))


def break_connections(bed, *names):
    for name in names:
        bed.tell(ReportBrokenConnection("f", name))


def test_three_distinct_targets_quarantine_a_request():
    bed = ControllerBed(QuarantineController)
    break_connections(bed, "t1", "t1", "t2")
    assert check_quarantine(bed) is Suspicion.SUSPECT
    bed.receive("e2", Quarantine("f", ("t3",)))
    assert check_quarantine(bed) is Suspicion.QUARANTINED


def test_request_with_a_response_is_not_suspected():
    bed = ControllerBed(QuarantineController)
    bed.tell(ReportResponse("f"))
    break_connections(bed, "t1", "t2", "t3")
    assert check_quarantine(bed) is Suspicion.NONE
    bed.clock.advance(RESPONSE_TTL_S + 1)
    break_connections(bed, "t1", "t2", "t3")
    assert check_quarantine(bed) is Suspicion.QUARANTINED


def test_one_attempt_is_allowed_after_each_block_and_blocks_double():
    bed = ControllerBed(QuarantineController)
    break_connections(bed, "t1", "t2", "t3")
    bed.clock.advance(MIN_BLOCK_S + 0.1)
    assert check_quarantine(bed) is Suspicion.SUSPECT
    assert check_quarantine(bed) is Suspicion.QUARANTINED
    bed.clock.advance(MIN_BLOCK_S + 0.1)
    assert check_quarantine(bed) is Suspicion.QUARANTINED
    bed.clock.advance(MIN_BLOCK_S)
    assert check_quarantine(bed) is Suspicion.SUSPECT
