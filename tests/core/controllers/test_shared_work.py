"""What a hub tells entries of each other's work in flight."""

import pytest
from support.fakes import Bed

from wasabitray_core.controllers.shared_work import (
    SOURCE_TIMEOUT_S,
    SharedWorkController,
)
from wasabitray_core.local_messages import InFlightSubscribers
from wasabitray_core.messages import EntryWork, OthersWork, TargetWork


@pytest.fixture
def bed():
    found = Bed(SharedWorkController, host="c1")
    found.tell(InFlightSubscribers(("e1", "e2"), ("c2",)))
    found.tick()
    found.outbox.sent.clear()
    return found


def state_work(bed, host, full=False, **attempts):
    work = tuple(TargetWork(t, n) for t, n in attempts.items())
    bed.receive(host, EntryWork(work, full))


def told(bed, host):
    """Return what a reader was told since the last look."""
    found = {}
    for to, message in bed.outbox.sent:
        if to == host:
            found |= {w.target: w.attempts for w in message.targets}
    bed.outbox.sent = [s for s in bed.outbox.sent if s[0] != host]
    return found


def test_entry_hears_of_the_others_only(bed):
    state_work(bed, "e1", t1=2)
    state_work(bed, "e2", t1=1, t2=3)
    bed.tick(0.05)
    assert told(bed, "e1") == {"t1": 1, "t2": 3}
    assert told(bed, "e2") == {"t1": 2}


def test_only_changes_are_told_until_all_is_stated_again(bed):
    state_work(bed, "e1", t1=2, t2=1)
    bed.tick(0.05)
    told(bed, "e2")
    state_work(bed, "e1", t1=0)
    bed.tick(0.05)
    assert told(bed, "e2") == {"t1": 0}
    bed.tick(0.5)
    assert told(bed, "e2") == {"t2": 1}


def test_hub_of_the_region_hears_of_own_entries_only(bed):
    state_work(bed, "c2", t1=5)
    state_work(bed, "e1", t1=2)
    bed.tick(0.05)
    assert told(bed, "c2") == {"t1": 2}
    assert told(bed, "e2") == {"t1": 7}


def test_full_statement_corrects_a_lost_change(bed):
    state_work(bed, "e1", t1=2, t2=1)
    state_work(bed, "e1", full=True, t2=1)
    bed.tick(0.05)
    assert told(bed, "e2") == {"t2": 1}


def test_silent_entry_has_no_work(bed):
    state_work(bed, "e1", t1=2)
    bed.tick(0.05)
    bed.tick(SOURCE_TIMEOUT_S + 0.1)
    bed.outbox.sent.clear()
    bed.tick(0.5)
    (message,) = [m for to, m in bed.outbox.sent if to == "e2"]
    assert message == OthersWork((), True)


def test_changes_are_gathered_for_a_moment(bed):
    idle = bed.controller.tick_interval_s
    state_work(bed, "e1", t1=1)
    assert bed.controller.tick_interval_s < idle
    assert not bed.outbox.sent
