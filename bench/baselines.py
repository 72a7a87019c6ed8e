"""Entries with simple policies, as baselines of the comparison."""

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
    """Sends each request to a target without queueing, with one retry.

    The builders in BASELINES choose how it selects a target, and whether
    consecutive failures eject a target, which applies to this entry alone.
    """

    def __init__(
        self, world: World, number: int, least_outstanding: bool, ejects: bool
    ) -> None:
        """Start with all targets available."""
        self.world = world
        self.host = HostId(f"e{number}")
        self.region = REGIONS[number % len(REGIONS)]
        self.least_outstanding, self.ejects = least_outstanding, ejects
        self.turns = itertools.count(number)
        self.in_flight = dict.fromkeys(world.targets, 0)
        self.failures = dict.fromkeys(world.targets, 0)
        self.ejected_until = dict.fromkeys(world.targets, 0.0)

    def tell(self, name: Any, message: Any) -> None:
        """Ignore a message: baselines need none."""

    def choose_target(self) -> Any:
        """Choose a target that is not ejected, or any if all are."""
        now = self.world.clock.now
        usable = [t for t, until in self.ejected_until.items() if until <= now]
        usable = usable or list(self.ejected_until)
        if not self.least_outstanding:
            return usable[next(self.turns) % len(usable)]
        self.world.random.shuffle(usable)
        return min(usable, key=lambda t: self.in_flight[t])

    def submit(self, exchange: Exchange, done: Callable) -> None:
        """Send a request and retry once on a failure."""
        resolution = self.world.resolve(exchange)
        exchange.route, exchange.template = (
            resolution.route,
            resolution.template,
        )
        limit = resolution.route.deadline_ms / 1_000
        exchange.deadline = Seconds(exchange.arrived + limit)
        self.send(exchange, done)

    def send(self, exchange: Exchange, done: Callable) -> None:
        """Make one attempt."""
        name = self.choose_target()
        self.in_flight[name] += 1
        exchange.attempts += 1
        remaining = Seconds(max(0.0, exchange.deadline - self.world.clock()))
        target = self.world.targets[name].target
        attempt = Attempt(target, exchange.request, remaining, False)

        def resume(result: Any) -> None:
            self.in_flight[name] -= 1
            is_successful = result.status is AttemptStatus.ANSWERED
            self.record_result(name, is_successful)
            if is_successful:
                done(result.response)
            elif exchange.attempts < 2:
                self.send(exchange, done)
            else:
                done(Response(502))

        self.world.attempt(self, attempt, exchange, resume)

    def record_result(self, name: Any, is_successful: bool) -> None:
        """Count consecutive failures and eject the target if configured."""
        self.failures[name] = 0 if is_successful else self.failures[name] + 1
        if self.ejects and self.failures[name] >= EJECT_AFTER_FAILURES:
            self.failures[name] = 0
            self.ejected_until[name] = self.world.clock.now + EJECT_S
            self.world.events.append(
                (self.world.clock.now, self.host, "local", {"target": name})
            )


BASELINES = {
    "round robin": partial(
        BaselineEntry, least_outstanding=False, ejects=False
    ),
    "least outstanding": partial(
        BaselineEntry, least_outstanding=True, ejects=False
    ),
    "5 in a row": partial(BaselineEntry, least_outstanding=True, ejects=True),
}
