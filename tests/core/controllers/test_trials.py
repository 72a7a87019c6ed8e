"""Which trials of quarantined requests the leader grants."""

import pytest
from support.fakes import ControllerBed

from wasabitray_core.controllers.crashes import TRIAL_WAITS_S, count_trial
from wasabitray_core.controllers.trials import (
    MAX_RECORDS,
    STORE_INTERVAL_S,
    TrialsController,
)
from wasabitray_core.local_messages import (
    GroupContact,
    RestoredQuarantine,
    StoreQuarantines,
)
from wasabitray_core.messages import Quarantine, TrialReply, TrialRequest

RECORD = Quarantine("f", ("t1", "t2", "t3"))


def start_leader(host, restored=()):
    bed = ControllerBed(TrialsController, restored, host=host)
    bed.tell(GroupContact(True, host, ("c1", "c2", "c3")))
    return bed


@pytest.fixture
def bed():
    bed = start_leader("c1")
    bed.clock.advance(max(TRIAL_WAITS_S))
    return bed


def request_trial(bed, record=RECORD, entry="e1"):
    """Request a trial; return the reply, None if there is none."""
    bed.outbox.sent.clear()
    bed.receive(entry, TrialRequest(record))
    replies = [m for _, m in bed.outbox.sent if isinstance(m, TrialReply)]
    return replies[0] if replies else None


def test_one_entry_at_a_time_gets_a_trial(bed):
    assert request_trial(bed).granted
    other = request_trial(bed, entry="e2")
    assert (other.granted, other.record.trials) == (False, 1)


def test_no_more_trials_are_granted_than_the_fleet_may_make(bed):
    granted = 0
    for _ in range(20):
        granted += request_trial(bed).granted
        bed.clock.advance(max(TRIAL_WAITS_S))
    assert granted == len(TRIAL_WAITS_S)


def test_new_leader_counts_the_trials_that_entries_know_of(bed):
    record = RECORD
    for _ in TRIAL_WAITS_S:
        record = count_trial(record)
    assert not request_trial(bed, record).granted


def test_two_leaders_at_a_hand_over_grant_one_trial(bed):
    assert request_trial(bed).granted
    successor = start_leader("c2")
    assert not request_trial(successor, entry="e2").granted
    successor.clock.advance(TRIAL_WAITS_S[0])
    known = count_trial(RECORD)
    assert not request_trial(successor, known, "e2").granted


def test_leader_that_lost_contact_grants_no_trial_at_once(bed):
    for in_contact in (False, True):
        bed.tell(GroupContact(in_contact, "c1", ("c1", "c2", "c3")))
    assert not request_trial(bed).granted
    bed.clock.advance(TRIAL_WAITS_S[0])
    assert request_trial(bed).granted


def test_served_request_that_crashes_targets_again_gets_new_trials(bed):
    for _ in TRIAL_WAITS_S:
        bed.clock.advance(max(TRIAL_WAITS_S))
        request_trial(bed)
    bed.clock.advance(max(TRIAL_WAITS_S))
    again = Quarantine("f", RECORD.targets, epoch=1)
    assert request_trial(bed, again).granted


@pytest.mark.parametrize(
    "contact",
    [
        GroupContact(True, "c2", ("c1", "c2", "c3")),
        GroupContact(False, "c1", ("c1", "c2", "c3")),
    ],
)
def test_only_a_leader_in_contact_replies(bed, contact):
    bed.tell(contact)
    assert request_trial(bed) is None


# Guards against trials that are granted anew after all processes ended.
def test_restarted_leader_counts_the_trials_on_its_disk():
    used = RECORD
    for _ in TRIAL_WAITS_S:
        used = count_trial(used)
    bed = start_leader("c1", (RestoredQuarantine(used, 5.0),))
    bed.clock.advance(max(TRIAL_WAITS_S))
    assert not request_trial(bed).granted


def test_trial_is_stored_before_the_entry_learns_of_it(bed):
    reply = request_trial(bed)
    assert bed.outbox.persisted == [reply.record]


def test_records_are_stored_together(bed):
    for number in range(100):
        bed.tell(StoreQuarantines((Quarantine(f"f{number % 10}", ("t1",)),)))
    assert bed.outbox.persisted == []
    assert bed.controller.tick_interval_s == STORE_INTERVAL_S
    bed.tick(STORE_INTERVAL_S)
    assert len(bed.outbox.persisted) == 10
    bed.tick(STORE_INTERVAL_S)
    assert len(bed.outbox.persisted) == 10


def test_quarantine_is_stored_at_once_unless_another_just_was(bed):
    other = Quarantine("g", RECORD.targets)
    bed.tell(StoreQuarantines((RECORD,)))
    assert bed.outbox.persisted == [RECORD]
    bed.tell(StoreQuarantines((other,)))
    assert bed.outbox.persisted == [RECORD]
    bed.tick(STORE_INTERVAL_S)
    assert bed.outbox.persisted == [RECORD, other]


def test_records_that_wait_to_be_stored_are_bounded(bed):
    for number in range(MAX_RECORDS + 10):
        bed.tell(StoreQuarantines((Quarantine(f"f{number}", ("t1",)),)))
    bed.tick(STORE_INTERVAL_S)
    assert len(bed.outbox.persisted) == MAX_RECORDS


def test_older_record_does_not_replace_a_stored_trial(bed):
    bed.tell(StoreQuarantines((RECORD,)))
    reply = request_trial(bed)
    bed.tick(STORE_INTERVAL_S)
    assert bed.outbox.persisted[-1] == reply.record
