"""Fakes for the interfaces of the decision code: clock and outbox."""

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
    """A clock whose time changes only by `advance`."""

    def __init__(self) -> None:
        self.now = 1_000.0

    def __call__(self) -> Seconds:
        return Seconds(self.now)

    def advance(self, seconds: float) -> None:
        self.now += seconds


@dataclass
class FakeOutbox:
    """Records what a controller sends, tells, replies, persists and logs."""

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
        """Return the messages of one kind that were told to controllers."""
        return [m for _, m in self.told if isinstance(m, kind)]


class ControllerBed:
    """A test bed: one controller with a fake clock and a fake outbox."""

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
        self._token_count = 0

    def tell(self, message: Any) -> None:
        """Deliver a local message."""
        self.controller.receive(message, Origin())

    def receive(self, peer: str, message: Any) -> None:
        """Deliver a message from a peer."""
        self.controller.receive(message, Origin(peer=HostId(peer)))

    def ask(self, message: Any) -> Any:
        """Ask the controller; return its reply, None if there is none yet."""
        return self.outbox.replies.get(self.start_ask(message))

    def start_ask(self, message: Any) -> Any:
        """Ask the controller; return the token that its reply will carry."""
        self._token_count += 1
        token = ReplyToken(self._token_count)
        self.controller.receive(message, Origin(reply_token=token))
        return token

    def tick(self, seconds: float = 0.0) -> None:
        """Advance the clock and deliver a tick."""
        self.clock.advance(seconds)
        self.tell(Tick())
