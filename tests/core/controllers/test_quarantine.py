"""When a request that crashes targets is quarantined."""

import pytest
from support.fakes import ControllerBed

from wasabitray_core.controllers.crashes import (
    QUARANTINE_TTL_S,
    SUSPICION_TTL_S,
    TRIAL_WAITS_S,
    count_trial,
)
from wasabitray_core.controllers.quarantine import (
    MAX_SUSPECTS,
    REBROADCAST_INTERVAL_S,
    RESPONSE_TTL_S,
    TRIAL_REPLY_TIMEOUT_S,
    TRIAL_RETRY_S,
    QuarantineController,
)
from wasabitray_core.local_messages import (
    AdmitAttempt,
    Broadcast,
    CheckQuarantine,
    ReportBrokenConnection,
    ReportResponse,
    ReportUnusedTrial,
    SendToLeader,
    Suspicion,
)
from wasabitray_core.messages import Quarantine, TrialReply, TrialRequest

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


def ask_for_trial(bed):
    """Ask to make an attempt; return the token of the reply."""
    return bed.start_ask(AdmitAttempt("f"))


def get_trial_requests(bed):
    messages = [m.message for m in bed.outbox.get_told(SendToLeader)]
    return [m.record for m in messages if isinstance(m, TrialRequest)]


class TestTrials:
    """Attempts of a quarantined request."""

    @pytest.fixture
    def bed(self):
        bed = ControllerBed(QuarantineController)
        crash(bed, "t1", "t2", "t3")
        return bed

    def test_no_trial_is_requested_before_the_wait_is_over(self, bed):
        bed.clock.advance(TRIAL_WAITS_S[0] - 0.1)
        assert check_quarantine(bed) is Suspicion.QUARANTINED
        assert bed.ask(AdmitAttempt("f")) is Suspicion.QUARANTINED
        assert get_trial_requests(bed) == []

    def test_only_the_attempt_that_the_leader_allows_is_made(self, bed):
        bed.clock.advance(TRIAL_WAITS_S[0])
        assert check_quarantine(bed) is Suspicion.TRIAL
        token = ask_for_trial(bed)
        assert bed.ask(AdmitAttempt("f")) is Suspicion.QUARANTINED
        (record,) = get_trial_requests(bed)
        bed.receive("c1", TrialReply(count_trial(record), True))
        assert bed.outbox.replies[token] is Suspicion.TRIAL
        assert get_broadcasts(bed)[-1].trials == 1
        bed.clock.advance(TRIAL_WAITS_S[0])
        assert check_quarantine(bed) is Suspicion.QUARANTINED

    def test_attempt_that_the_leader_denies_is_not_made(self, bed):
        bed.clock.advance(TRIAL_WAITS_S[0])
        token = ask_for_trial(bed)
        (record,) = get_trial_requests(bed)
        bed.receive("c1", TrialReply(count_trial(record), False))
        assert bed.outbox.replies[token] is Suspicion.QUARANTINED
        assert check_quarantine(bed) is Suspicion.QUARANTINED

    def test_attempt_without_a_reply_of_the_leader_is_not_made(self, bed):
        bed.clock.advance(TRIAL_WAITS_S[0])
        token = ask_for_trial(bed)
        bed.tick(TRIAL_REPLY_TIMEOUT_S)
        assert bed.outbox.replies[token] is Suspicion.QUARANTINED
        late = TrialReply(count_trial(get_trial_requests(bed)[0]), True)
        bed.receive("c1", late)
        bed.clock.advance(TRIAL_RETRY_S)
        assert check_quarantine(bed) is Suspicion.TRIAL

    def test_quarantine_stays_after_the_last_trial(self, bed):
        used = len(TRIAL_WAITS_S)
        bed.receive("e2", Quarantine("f", ("t1", "t2", "t3"), trials=used))
        bed.tick(QUARANTINE_TTL_S - 1.0)
        assert check_quarantine(bed) is Suspicion.QUARANTINED

    def test_trial_that_did_not_run_may_be_repeated(self, bed):
        used = len(TRIAL_WAITS_S)
        bed.receive("e2", Quarantine("f", ("t1", "t2", "t3"), trials=used))
        bed.tell(ReportUnusedTrial("f"))
        bed.clock.advance(TRIAL_WAITS_S[-1])
        assert check_quarantine(bed) is Suspicion.TRIAL

    def test_trial_that_is_served_ends_the_quarantine(self, bed):
        bed.tell(ReportResponse("f"))
        assert check_quarantine(bed) is Suspicion.NONE

    def test_refusals_repeat_the_quarantine_for_hubs_that_lost_it(self, bed):
        known = len(get_broadcasts(bed))
        check_quarantine(bed)
        assert len(get_broadcasts(bed)) == known
        bed.clock.advance(REBROADCAST_INTERVAL_S)
        check_quarantine(bed)
        check_quarantine(bed)
        assert len(get_broadcasts(bed)) == known + 1

    def test_attempt_whose_record_is_evicted_gets_a_reply(self, bed):
        bed.clock.advance(TRIAL_WAITS_S[0])
        token = ask_for_trial(bed)
        crashes = ("t1", "t2", "t3")
        for number in range(MAX_SUSPECTS):
            bed.receive("e2", Quarantine(f"g{number}", crashes))
        assert bed.outbox.replies[token] is Suspicion.QUARANTINED
