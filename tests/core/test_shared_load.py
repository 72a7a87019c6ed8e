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
from wasabitray_core.local import (
    Acquire,
    Release,
    UsableTarget,
    UsableTargets,
    WorkReaders,
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
        self.hub.tell(WorkReaders(tuple(ENTRIES), ()))
        self.due = dict.fromkeys([*ENTRIES, "c1"], 0.0)
        self.running = {t: [] for t in TARGETS}
        self.queues = {t: deque() for t in TARGETS}
        self.asked = []
        self.sent = self.queued = 0

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
            self.end_work(now)
            if self.random.random() < RATE * STEP_S:
                self.arrive()
            self.begin_work(now)
        return self.queued / self.sent

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

    def arrive(self):
        bed = self.entries[self.random.choice(ENTRIES)]
        deadline = bed.clock.now + 5.0
        ask = bed.start_ask(Acquire("rota", "o", WORK, False, deadline))
        self.asked.append((bed, ask))

    def begin_work(self, now):
        for bed, ask in list(self.asked):
            if ask not in bed.outbox.replies:
                continue
            self.asked.remove((bed, ask))
            target = bed.outbox.replies.pop(ask).target.target
            self.sent += 1
            if len(self.running[target]) < SLOTS:
                self.running[target].append((now + SERVICE_S, bed))
            else:
                self.queued += 1
                self.queues[target].append(bed)

    def end_work(self, now):
        for target, running in self.running.items():
            for end, bed in [r for r in running if r[0] <= now]:
                running.remove((end, bed))
                status = AttemptStatus.ANSWERED
                bed.tell(
                    Release("rota", target, WORK, status, SERVICE_S, None)
                )
                if self.queues[target]:
                    waiting = self.queues[target].popleft()
                    running.append((now + SERVICE_S, waiting))


def test_entries_that_share_their_work_rarely_pick_a_full_target():
    alone = Played(shares_work=False).play()
    together = Played(shares_work=True).play()
    assert alone > 0.3  # the load is one that matters
    assert together < alone / 3
