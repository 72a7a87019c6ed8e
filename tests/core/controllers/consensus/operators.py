"""An operator who sends route tables to simulated control hosts."""

from __future__ import annotations

import random
from typing import Any

from core.controllers.consensus.timed_network import TimedNetwork
from result import Ok
from support.tables import make_route, make_table

from wasabitray_core.errors import NotLeaderError
from wasabitray_core.ids import HostId
from wasabitray_core.local_messages import ReplaceTable

CALL_TIMEOUT_S = 1.0
MAX_REDIRECTS = 2
BACKOFF_FIRST_S = 0.2
BACKOFF_MAX_S = 2.0
PATH_S = 0.015


class Order:
    """A table on its way; sent to host after host until acknowledged."""

    def __init__(self, network: TimedNetwork, version: int, seed: int):
        self.network, self.version = network, version
        self.random = random.Random(seed)
        self.sent_at = network.clock.now
        self.acknowledged_at: float | None = None
        self.backoff = BACKOFF_FIRST_S
        self.call_count = 0
        self.steps: list[tuple[float, HostId, str]] = []
        self.try_next()

    def get_wait(self, since: float, until: float) -> float:
        """Return how long of a period it had no acknowledgement."""
        acknowledged_at = self.acknowledged_at or until
        return min(acknowledged_at, until) - max(self.sent_at, since)

    def try_next(self) -> None:
        if self.acknowledged_at is None:
            self.call(self.random.choice(self.network.listed), MAX_REDIRECTS)

    def call(self, host: HostId, redirects_left: int) -> None:
        self.call_count += 1
        number = self.call_count
        network = self.network
        change = ReplaceTable(
            f"c-{self.version}-{number}",
            "ann",
            "",
            make_table(self.version, make_route("r")),
        )

        def reach() -> None:
            if network.hosts[host].is_ended:
                network.after(PATH_S, lambda: self.fail(number, host, "dead"))
            else:
                network.ask(host, change, reply)

        def reply(result: Any) -> None:
            network.after(
                PATH_S,
                lambda: self.finish(number, host, redirects_left, result),
            )

        network.after(PATH_S, reach)
        network.after(
            CALL_TIMEOUT_S, lambda: self.fail(number, host, "no response")
        )

    def finish(
        self, number: int, host: HostId, redirects_left: int, result: Any
    ) -> None:
        if number != self.call_count or self.acknowledged_at is not None:
            return
        if isinstance(result, Ok):
            self.acknowledged_at = self.network.clock.now
            self.log(host, "acknowledged")
            return
        error = result.err_value
        if isinstance(error, NotLeaderError) and error.peer and redirects_left:
            self.log(host, f"redirected to {error.peer}")
            self.call(error.peer, redirects_left - 1)
        else:
            self.fail(number, host, str(error))

    def fail(self, number: int, host: HostId, reason: str) -> None:
        if number != self.call_count or self.acknowledged_at is not None:
            return
        self.call_count += 1
        self.log(host, reason)
        self.network.after(self.backoff, self.try_next)
        self.backoff = min(BACKOFF_MAX_S, 2 * self.backoff)

    def log(self, host: HostId, step: str) -> None:
        now = round(self.network.clock.now, 2)
        self.steps.append((now, host, step))
