"""The in-flight attempts that a hub shares between entries."""

import random
import sys
from collections import Counter

import pytest
from support.fakes import ControllerBed

from wasabitray_core.controllers.shared_work import (
    IDLE_INTERVAL_S,
    MAX_MESSAGES_PER_S,
    SOURCE_TIMEOUT_S,
    SharedWorkController,
)
from wasabitray_core.local_messages import InFlightSubscribers
from wasabitray_core.messages import (
    EntryWork,
    OthersWork,
    RequestCounts,
    TargetWork,
)


@pytest.fixture
def bed():
    test_bed = ControllerBed(SharedWorkController, host="c1")
    test_bed.tell(InFlightSubscribers(("e1", "e2"), ("c2",)))
    test_bed.tick()
    test_bed.outbox.sent.clear()
    return test_bed


def receive_counts(bed, host, full=False, **attempts):
    counts = tuple(TargetWork(t, n) for t, n in attempts.items())
    bed.receive(host, EntryWork(counts, full))


def pop_counts_sent_to(bed, host):
    """Return and clear the counts sent to a subscriber since the last call."""
    attempts_by_target = {}
    for to, message in bed.outbox.sent:
        if to == host:
            attempts_by_target |= {
                w.target: w.attempts for w in message.targets
            }
    bed.outbox.sent = [s for s in bed.outbox.sent if s[0] != host]
    return attempts_by_target


def test_entry_receives_counts_of_the_others_only(bed):
    receive_counts(bed, "e1", t1=2)
    receive_counts(bed, "e2", t1=1, t2=3)
    bed.tick(0.05)
    assert pop_counts_sent_to(bed, "e1") == {"t1": 1, "t2": 3}
    assert pop_counts_sent_to(bed, "e2") == {"t1": 2}


def test_only_changes_are_sent_between_full_counts(bed):
    receive_counts(bed, "e1", t1=2, t2=1)
    bed.tick(0.05)
    pop_counts_sent_to(bed, "e2")
    receive_counts(bed, "e1", t1=0)
    bed.tick(0.05)
    assert pop_counts_sent_to(bed, "e2") == {"t1": 0}
    bed.tick(0.5)
    assert pop_counts_sent_to(bed, "e2") == {"t2": 1}


def test_hub_in_the_region_receives_counts_of_own_entries_only(bed):
    receive_counts(bed, "c2", t1=5)
    receive_counts(bed, "e1", t1=2)
    bed.tick(0.05)
    assert pop_counts_sent_to(bed, "c2") == {"t1": 2}
    assert pop_counts_sent_to(bed, "e2") == {"t1": 7}


def test_full_counts_correct_a_lost_change(bed):
    receive_counts(bed, "e1", t1=2, t2=1)
    receive_counts(bed, "e1", full=True, t2=1)
    bed.tick(0.05)
    assert pop_counts_sent_to(bed, "e2") == {"t2": 1}


def test_counts_of_an_unresponsive_entry_expire(bed):
    receive_counts(bed, "e1", t1=2)
    bed.tick(0.05)
    bed.tick(SOURCE_TIMEOUT_S + 0.1)
    bed.outbox.sent.clear()
    bed.tick(0.5)
    (message,) = [m for to, m in bed.outbox.sent if to == "e2"]
    assert message == OthersWork((), True)


def test_changes_are_gathered_before_they_are_sent(bed):
    idle = bed.controller.tick_interval_s
    receive_counts(bed, "e1", t1=1)
    assert bed.controller.tick_interval_s < idle
    assert not bed.outbox.sent


def test_subscribers_receive_the_requests_that_other_entries_lost(bed):
    def count(ended, lost):
        return (RequestCounts("rota", ended, lost),)

    bed.receive("e1", EntryWork((), True, count(20, 1)))
    bed.receive("e2", EntryWork((), True, count(30, 6)))
    bed.receive("c2", EntryWork((), True, count(10, 2)))
    bed.tick(0.5)
    sent = {host: message.requests for host, message in bed.outbox.sent}
    assert sent == {
        "e1": count(40, 8),
        "e2": count(30, 3),
        "c2": count(50, 7),
    }
    bed.receive("e1", EntryWork((), True))
    bed.outbox.sent.clear()
    bed.tick(0.5)
    sent = {host: message.requests for host, message in bed.outbox.sent}
    assert sent["c2"] == count(30, 6)


@pytest.mark.parametrize("count", [6, 40, 300])
def test_messages_of_a_hub_are_bounded_whatever_its_subscribers(count):
    bed = ControllerBed(SharedWorkController, host="c1")
    entries = tuple(f"e{n}" for n in range(count))
    bed.tell(InFlightSubscribers(entries, ()))
    seconds = 0.0
    while seconds < 2.0:
        receive_counts(bed, "e1", t1=round(seconds * 1_000))
        interval = bed.controller.tick_interval_s
        assert interval <= IDLE_INTERVAL_S
        bed.tick(interval)
        seconds += interval
    full_updates = count * 2.0 / IDLE_INTERVAL_S
    assert len(bed.outbox.sent) <= 2.0 * MAX_MESSAGES_PER_S + full_updates


def apply_message(known, message):
    """Apply a message to the counts that a subscriber knows."""
    if message.full:
        known.clear()
    for work in message.targets:
        assert known.get(work.target, 0) != work.attempts
        known[work.target] = work.attempts


def add_up(counts, hosts):
    total = sum((Counter(counts[h]) for h in hosts), Counter())
    return {t: n for t, n in total.items() if n}


@pytest.mark.parametrize("seed", range(20))
def test_subscribers_know_the_sum_of_the_others_after_each_message(seed):
    rng = random.Random(seed)
    bed = ControllerBed(SharedWorkController, host="c1")
    entries, hubs = [f"e{n}" for n in range(6)], ["c2", "c3"]
    counts = {host: {} for host in (*entries, *hubs)}
    known = {host: {} for host in counts}
    for step in range(60):
        present = entries if step % 20 else rng.sample(entries, 4)
        bed.tell(InFlightSubscribers(tuple(present), tuple(hubs)))
        # Sources that send nothing for a while are dropped.
        senders = list(counts) if step % 10 == 0 else []
        for host in [*senders, *rng.choices(list(counts), k=4)]:
            target = f"t{rng.randrange(5)}"
            counts[host][target] = rng.randrange(4)
            is_full = rng.random() < 0.3
            sent = counts[host] if is_full else {target: counts[host][target]}
            receive_counts(bed, host, full=is_full, **sent)
        bed.outbox.sent.clear()
        bed.tick(0.1)
        for host, message in bed.outbox.sent:
            apply_message(known[host], message)
        for host in (*present, *hubs):
            senders = [
                h for h in counts if h != host and not {h, host} <= set(hubs)
            ]
            if host in hubs:
                senders = entries
            shown = {t: n for t, n in known[host].items() if n}
            assert shown == add_up(counts, senders)


def count_lines(bed):
    """Return how many lines a tick runs."""
    count = 0

    def trace(frame, event, arg):
        nonlocal count
        count += event == "line"
        return trace

    sys.settrace(trace)
    try:
        bed.tick(0.1)
    finally:
        sys.settrace(None)
    return count


def make_busy_bed(subscribers, targets):
    bed = ControllerBed(SharedWorkController, host="c1")
    entries = tuple(f"e{n}" for n in range(subscribers))
    bed.tell(InFlightSubscribers(entries, ()))
    work = {f"t{n}": 1 + n % 3 for n in range(targets)}
    receive_counts(bed, "c2", full=True, **work)
    bed.tick()
    receive_counts(bed, "c2", t1=9)
    return bed


# Guards against a look at all targets for each subscriber.
def test_subscriber_costs_the_same_with_more_targets():
    def cost_of_subscribers(targets):
        few, many = make_busy_bed(10, targets), make_busy_bed(40, targets)
        return count_lines(many) - count_lines(few)

    assert cost_of_subscribers(300) == cost_of_subscribers(30)
