"""Entries that place work together: the load of a crest, played in steps.

The load: ten entries of a region send short requests to four targets with
two slots each, at 70% of what the slots allow. Each entry makes four
requests a second, too few to know a target's load by itself.
"""

import random
from collections import deque

from support.fakes import Bed

from wasabitray_core.controllers.dispatch import DispatchController
from wasabitray_core.controllers.shared_work import SharedWorkController
from wasabitray_core.local_messages import (
    AcquireSlot,
    InFlightSubscribers,
    ReleaseSlot,
    UsableTarget,
    UsableTargets,
)
from wasabitray_core.messages import EntryWork
from wasabitray_core.requests import Target
from wasabitray_core.states import AttemptStatus, WorkClass

STEP_S = 0.005
LENGTH_S = 40.0
SERVICE_S = 0.14
SLOTS = 2
TARGETS = [f"t{n}" for n in range(4)]
ENTRIES = [f"e{n}" for n in range(10)]
RATE = 0.7 * len(TARGETS) * SLOTS / SERVICE_S
WORK = WorkClass.SHORT


class Played:
    """Steps through a load and counts who waited at a target."""

    def __init__(self, shares_work):
        self.random = random.Random(11)
        self.entries = {e: self.entry(e, shares_work) for e in ENTRIES}
        self.hub = Bed(SharedWorkController, host="c1")
        self.hub.tell(InFlightSubscribers(tuple(ENTRIES), ()))
        self.due = dict.fromkeys([*ENTRIES, "c1"], 0.0)
        self.running = {t: [] for t in TARGETS}
        self.queues = {t: deque() for t in TARGETS}
        self.asked = []
        self.times = []

    def entry(self, name, shares_work):
        bed = Bed(
            DispatchController, "south", host=name, shares_work=shares_work
        )
        usable = tuple(
            UsableTarget(Target(t, "rota", "south", "a", SLOTS), False)
            for t in TARGETS
        )
        bed.tell(UsableTargets("rota", usable, tuple(TARGETS), ()))
        return bed

    def play(self):
        now = 0.0
        while now < LENGTH_S:
            now += STEP_S
            self.tick(now)
            self.carry()
            if self.random.random() < RATE * STEP_S:
                self.arrive(now)
            self.begin_work()
            self.work(now)
        return sorted(self.times)

    def tick(self, now):
        for name, bed in [*self.entries.items(), ("c1", self.hub)]:
            bed.clock.advance(STEP_S)
            interval = bed.controller.tick_interval_s
            if self.due[name] > now + interval:
                self.due[name] = now + interval
            if now >= self.due[name]:
                bed.tick()
                self.due[name] = now + bed.controller.tick_interval_s

    def carry(self):
        """Bring messages over; each takes one step."""
        for name, bed in self.entries.items():
            for message in bed.outbox.told_of(EntryWork):
                self.hub.receive(name, message)
            bed.outbox.told.clear()
        for name, message in self.hub.outbox.sent:
            self.entries[name].receive("c1", message)
        self.hub.outbox.sent.clear()

    def arrive(self, now):
        bed = self.entries[self.random.choice(ENTRIES)]
        deadline = bed.clock.now + 5.0
        ask = bed.start_ask(AcquireSlot("rota", "o", WORK, False, deadline))
        self.asked.append((now, bed, ask))

    def begin_work(self):
        for arrived, bed, ask in list(self.asked):
            if ask in bed.outbox.replies:
                self.asked.remove((arrived, bed, ask))
                target = bed.outbox.replies.pop(ask).target.target
                self.queues[target].append((arrived, bed))

    def work(self, now):
        """End and start work at the targets."""
        for target, running in self.running.items():
            for end, arrived, bed in [r for r in running if r[0] <= now]:
                running.remove((end, arrived, bed))
                self.times.append(now - arrived)
                status = AttemptStatus.ANSWERED
                bed.tell(
                    ReleaseSlot("rota", target, WORK, status, SERVICE_S, None)
                )
            while self.queues[target] and len(running) < SLOTS:
                arrived, bed = self.queues[target].popleft()
                running.append((now + SERVICE_S, arrived, bed))


def mean_wait(times):
    return sum(times) / len(times) - SERVICE_S


def percentile(times, share):
    return times[int(len(times) * share)]


def test_entries_that_share_their_work_wait_less_for_a_slot():
    alone = Played(shares_work=False).play()
    together = Played(shares_work=True).play()
    assert len(together) > 1_000
    assert mean_wait(together) < 2 / 3 * mean_wait(alone)
    assert percentile(together, 0.95) < percentile(alone, 0.95)
