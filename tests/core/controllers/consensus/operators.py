"""Operators who call simulated control hosts."""

from __future__ import annotations

import random
from typing import Any

from core.controllers.consensus.timed_network import TimedNetwork
from result import Ok
from support.tables import make_route, make_table

from wasabitray_core.errors import NotLeaderError
from wasabitray_core.ids import ConfigVersion, HostId
from wasabitray_core.local_messages import ReadDocuments, ReplaceTable
from wasabitray_core.route_table import get_table_version

CALL_TIMEOUT_S = 1.0
MAX_REDIRECTS = 2
BACKOFF_FIRST_S = 0.2
BACKOFF_MAX_S = 2.0
PATH_S = 0.015


class Errand:
    """Something sent to host after host until one of them does it."""

    def __init__(self, network: TimedNetwork, seed: int | str):
        self.network = network
        self.random = random.Random(seed)
        self.sent_at = network.clock.now
        self.ended_at: float | None = None
        self.backoff = BACKOFF_FIRST_S
        self.call_count = 0
        self.steps: list[tuple[float, HostId, str]] = []
        self.try_next()

    def make_message(self) -> Any:
        raise NotImplementedError

    def end(self, value: Any) -> None:
        self.ended_at = self.network.clock.now

    def try_next(self) -> None:
        if self.ended_at is None:
            self.call(self.random.choice(self.network.listed), MAX_REDIRECTS)

    def call(self, host: HostId, redirects_left: int) -> None:
        self.call_count += 1
        number = self.call_count
        network = self.network
        message = self.make_message()

        def reach() -> None:
            if network.hosts[host].is_ended:
                network.after(PATH_S, lambda: self.fail(number, host, "dead"))
            else:
                network.ask(host, message, reply)

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
        if number != self.call_count or self.ended_at is not None:
            return
        if isinstance(result, Ok):
            self.end(result.ok_value)
            self.log(host, "done")
            return
        error = result.err_value
        if isinstance(error, NotLeaderError) and error.peer and redirects_left:
            self.log(host, f"redirected to {error.peer}")
            self.call(HostId(error.peer), redirects_left - 1)
        else:
            self.fail(number, host, str(error))

    def fail(self, number: int, host: HostId, reason: str) -> None:
        if number != self.call_count or self.ended_at is not None:
            return
        self.call_count += 1
        self.log(host, reason)
        self.network.after(self.backoff, self.try_next)
        self.backoff = min(BACKOFF_MAX_S, 2 * self.backoff)

    def log(self, host: HostId, step: str) -> None:
        now = round(self.network.clock.now, 2)
        self.steps.append((now, host, step))


class Order(Errand):
    """A table on its way; sent to host after host until acknowledged."""

    def __init__(self, network: TimedNetwork, version: int, seed: int | str):
        self.version = version
        super().__init__(network, seed)

    @property
    def acknowledged_at(self) -> float | None:
        return self.ended_at

    def get_wait(self, since: float, until: float) -> float:
        """Return how long of a period it had no acknowledgement."""
        acknowledged_at = self.acknowledged_at or until
        return min(acknowledged_at, until) - max(self.sent_at, since)

    def make_message(self) -> ReplaceTable:
        return ReplaceTable(
            f"c-{self.version}-{self.call_count}",
            "ann",
            "",
            make_table(self.version, make_route("r")),
        )


class Reading(Errand):
    """A read of the configuration.

    Attributes:
        version: the version that was read, None until then.
    """

    version: ConfigVersion | None = None

    def make_message(self) -> ReadDocuments:
        return ReadDocuments()

    def end(self, value: Any) -> None:
        super().end(value)
        self.version = get_table_version(value.documents)
