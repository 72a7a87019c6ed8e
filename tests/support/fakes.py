"""Small fakes at the interfaces of the decisions."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

from wasabitray_core.controllers.controller import (
    Context,
    Controller,
    Origin,
    ReplyToken,
)
from wasabitray_core.ids import HostId, Seconds
from wasabitray_core.local_messages import ControllerName, Tick


class FakeClock:
    """A clock that stands still until it is moved."""

    def __init__(self) -> None:
        self.now = 1_000.0

    def __call__(self) -> Seconds:
        return Seconds(self.now)

    def advance(self, seconds: float) -> None:
        self.now += seconds


@dataclass
class FakeOutbox:
    """Keeps what a controller sends."""

    sent: list[tuple[HostId, Any]] = field(default_factory=list)
    told: list[tuple[ControllerName, Any]] = field(default_factory=list)
    replies: dict[Any, Any] = field(default_factory=dict)
    persisted: list[Any] = field(default_factory=list)
    events: list[tuple[str, dict]] = field(default_factory=list)

    def send(self, host: HostId, message: Any) -> None:
        self.sent.append((host, message))

    def tell(self, controller: ControllerName, message: Any) -> None:
        self.told.append((controller, message))

    def reply(self, token: ReplyToken, value: Any) -> None:
        self.replies[token] = value

    def persist(self, item: Any) -> None:
        self.persisted.append(item)

    def log_event(self, event: str, **fields: Any) -> None:
        self.events.append((event, fields))

    def get_told(self, kind: type) -> list[Any]:
        """Return the told messages of one kind."""
        return [m for _, m in self.told if isinstance(m, kind)]


class ControllerBed:
    """A controller with fakes around it."""

    def __init__(
        self,
        build: Any,
        *args: Any,
        host: str = "e1",
        seed: int = 7,
        **options: Any,
    ) -> None:
        self.clock = FakeClock()
        self.outbox = FakeOutbox()
        self.context = Context(
            HostId(host), self.clock, random.Random(seed), self.outbox
        )
        self.controller: Controller = build(self.context, *args, **options)
        self._asks = 0

    def tell(self, message: Any) -> None:
        """Deliver a local message."""
        self.controller.receive(message, Origin())

    def receive(self, peer: str, message: Any) -> None:
        """Deliver a peer's message."""
        self.controller.receive(message, Origin(peer=HostId(peer)))

    def ask(self, message: Any) -> Any:
        """Ask and return the reply, or None if there is none yet."""
        return self.outbox.replies.get(self.start_ask(message))

    def start_ask(self, message: Any) -> Any:
        """Ask and return the token that the reply comes under."""
        self._asks += 1
        ask = ReplyToken(self._asks)
        self.controller.receive(message, Origin(reply_token=ask))
        return ask

    def tick(self, seconds: float = 0.0) -> None:
        """Move the clock and tick."""
        self.clock.advance(seconds)
        self.tell(Tick())
