"""Entries that share their in-flight attempts wait less for a slot.

The simulated load: ten entries of a region send short requests to four targets
with two slots each, at 70% of the slots' capacity. Each entry sends four
requests a second, too few to know a target's load by itself.
"""

import random
from collections import deque

from support.fakes import ControllerBed

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
SERVICE_TIME_S = 0.14
SLOTS = 2
TARGETS = [f"t{n}" for n in range(4)]
ENTRIES = [f"e{n}" for n in range(10)]
RATE = 0.7 * len(TARGETS) * SLOTS / SERVICE_TIME_S
WORK = WorkClass.SHORT
SEEDS = (1, 2, 3)


class Simulation:
    """Simulates the load in steps and measures the requests' times."""

    def __init__(self, shares_in_flight, seed):
        self.random = random.Random(seed)
        self.entries = {
            e: self.make_entry(e, shares_in_flight) for e in ENTRIES
        }
        self.hub = ControllerBed(SharedWorkController, host="c1")
        subscribers = tuple(ENTRIES) if shares_in_flight else ()
        self.hub.tell(InFlightSubscribers(subscribers, ()))
        self.next_ticks = dict.fromkeys([*ENTRIES, "c1"], 0.0)
        self.running = {t: [] for t in TARGETS}
        self.queues = {t: deque() for t in TARGETS}
        self.waiting = []
        self.times = []

    def make_entry(self, name, shares_in_flight):
        bed = ControllerBed(
            DispatchController,
            "south",
            host=name,
            seed=self.random.randrange(2**32),
            shares_in_flight=shares_in_flight,
        )
        usable = tuple(
            UsableTarget(Target(t, "rota", "south", "a", SLOTS), False)
            for t in TARGETS
        )
        bed.tell(UsableTargets("rota", usable, tuple(TARGETS), ()))
        return bed

    def run(self):
        now = 0.0
        while now < LENGTH_S:
            now += STEP_S
            self.tick(now)
            self.deliver_messages()
            if self.random.random() < RATE * STEP_S:
                self.send_request(now)
            self.queue_granted()
            self.run_targets(now)
        return sorted(self.times)

    def tick(self, now):
        for name, bed in [*self.entries.items(), ("c1", self.hub)]:
            bed.clock.advance(STEP_S)
            interval = bed.controller.tick_interval_s
            if self.next_ticks[name] > now + interval:
                self.next_ticks[name] = now + interval
            if now >= self.next_ticks[name]:
                bed.tick()
                self.next_ticks[name] = now + bed.controller.tick_interval_s

    def deliver_messages(self):
        """Deliver the messages that were sent in the last step."""
        for name, bed in self.entries.items():
            for message in bed.outbox.get_told(EntryWork):
                self.hub.receive(name, message)
            bed.outbox.told.clear()
        for name, message in self.hub.outbox.sent:
            self.entries[name].receive("c1", message)
        self.hub.outbox.sent.clear()

    def send_request(self, now):
        bed = self.entries[self.random.choice(ENTRIES)]
        deadline = bed.clock.now + 5.0
        token = bed.start_ask(AcquireSlot("rota", "o", WORK, False, deadline))
        self.waiting.append((now, bed, token))

    def queue_granted(self):
        for arrived, bed, token in list(self.waiting):
            if token in bed.outbox.replies:
                self.waiting.remove((arrived, bed, token))
                target = bed.outbox.replies.pop(token).target.target
                self.queues[target].append((arrived, bed))

    def run_targets(self, now):
        """End and start requests at the targets."""
        for target, running in self.running.items():
            for end, arrived, bed in [r for r in running if r[0] <= now]:
                running.remove((end, arrived, bed))
                self.times.append(now - arrived)
                status = AttemptStatus.ANSWERED
                bed.tell(
                    ReleaseSlot(
                        "rota", target, WORK, status, SERVICE_TIME_S, None
                    )
                )
            while self.queues[target] and len(running) < SLOTS:
                arrived, bed = self.queues[target].popleft()
                running.append((now + SERVICE_TIME_S, arrived, bed))


def mean_wait(times):
    return sum(times) / len(times) - SERVICE_TIME_S


def percentile(times, share):
    return times[int(len(times) * share)]


def test_entries_that_share_their_attempts_wait_less_for_a_slot():
    separate, shared = [], []
    for seed in SEEDS:
        separate += Simulation(False, seed).run()
        shared += Simulation(True, seed).run()
    assert len(shared) > len(SEEDS) * 1_000
    assert mean_wait(shared) < 2 / 3 * mean_wait(separate)
    assert percentile(shared, 0.95) < percentile(separate, 0.95)
