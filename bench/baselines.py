"""Entries with simple policies, to compare with."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from functools import partial
from typing import Any

from world import REGIONS, World

from wasabitray_core.filters.chain import Attempt
from wasabitray_core.ids import HostId, Seconds
from wasabitray_core.requests import Exchange, Response
from wasabitray_core.states import AttemptStatus

EJECT_AFTER_FAILURES = 5
EJECT_S = 10.0


class BaselineEntry:
    """Sends each request at once to a target, with one retry.

    Args of the builders below choose the target and whether failures in a
    row eject it on this entry alone.
    """

    def __init__(
        self, world: World, number: int, least: bool, eject: bool
    ) -> None:
        """Start with all targets."""
        self.world = world
        self.host = HostId(f"e{number}")
        self.region = REGIONS[number % len(REGIONS)]
        self.least, self.eject = least, eject
        self.turn = itertools.count(number)
        self.busy = dict.fromkeys(world.targets, 0)
        self.failures = dict.fromkeys(world.targets, 0)
        self.out_until = dict.fromkeys(world.targets, 0.0)

    def tell(self, name: Any, message: Any) -> None:
        """Baselines take no messages."""

    def pick(self) -> Any:
        """Choose a target."""
        now = self.world.clock.now
        usable = [t for t, until in self.out_until.items() if until <= now]
        usable = usable or list(self.out_until)
        if not self.least:
            return usable[next(self.turn) % len(usable)]
        self.world.random.shuffle(usable)
        return min(usable, key=lambda t: self.busy[t])

    def submit(self, exchange: Exchange, done: Callable) -> None:
        """Send a request and retry once on a failure."""
        found = self.world.resolve(exchange)
        exchange.route, exchange.template = found.route, found.template
        limit = found.route.deadline_ms / 1_000
        exchange.deadline = Seconds(exchange.arrived + limit)
        self.send(exchange, done)

    def send(self, exchange: Exchange, done: Callable) -> None:
        """Make one attempt."""
        name = self.pick()
        self.busy[name] += 1
        exchange.attempts += 1
        remaining = Seconds(max(0.0, exchange.deadline - self.world.clock()))
        target = self.world.targets[name].target
        attempt = Attempt(target, exchange.request, remaining, False)

        def resume(result: Any) -> None:
            self.busy[name] -= 1
            good = result.status is AttemptStatus.ANSWERED
            self.note(name, good)
            if good:
                done(result.response)
            elif exchange.attempts < 2:
                self.send(exchange, done)
            else:
                done(Response(502))

        self.world.attempt(self, attempt, exchange, resume)

    def note(self, name: Any, good: bool) -> None:
        """Count failures in a row."""
        self.failures[name] = 0 if good else self.failures[name] + 1
        if self.eject and self.failures[name] >= EJECT_AFTER_FAILURES:
            self.failures[name] = 0
            self.out_until[name] = self.world.clock.now + EJECT_S
            self.world.events.append(
                (self.world.clock.now, self.host, "local", {"target": name})
            )


BASELINES = {
    "round robin": partial(BaselineEntry, least=False, eject=False),
    "least outstanding": partial(BaselineEntry, least=True, eject=False),
    "5 in a row": partial(BaselineEntry, least=True, eject=True),
}
