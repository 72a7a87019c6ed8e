"""Base class of the controllers and what they share."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any, ClassVar, NewType, Protocol

from msgspec import Struct

from wasabitray_core.ids import HostId, Seconds
from wasabitray_core.local_messages import ControllerName

ReplyToken = NewType("ReplyToken", object)
"""Identifies the sender of a local message that waits for a reply."""


class Outbox(Protocol):
    """Sends a controller's messages and persists its items.

    A message leaves only when all items persisted before it are durable.
    """

    def send(self, host: HostId, message: Any) -> None:
        """Send a message to a peer; it may be lost."""

    def tell(self, controller: ControllerName, message: Any) -> None:
        """Put a message into the mailbox of another controller."""

    def reply(self, token: ReplyToken, value: Any) -> None:
        """Reply to a local message that was sent with `ask`."""

    def persist(self, item: Any) -> None:
        """Make an item durable before any message sent after it leaves."""

    def log_event(self, event: str, **fields: Any) -> None:
        """Log an event with its fields."""


class Context(Struct, frozen=True):
    """What every controller gets when it is created.

    Attributes:
        host: host that the controller runs on.
        clock: returns monotonic seconds.
        random: the only source of random numbers in the process.
        outbox: sends the controller's messages and persists its items.
    """

    host: HostId
    clock: Callable[[], Seconds]
    random: random.Random
    outbox: Outbox


class Origin(Struct, frozen=True):
    """Where a message came from.

    Attributes:
        peer: the host that sent it; None for a local message.
        reply_token: set if the sender of a local message waits for a reply.
    """

    peer: HostId | None = None
    reply_token: ReplyToken | None = None


NO_ORIGIN = Origin()


class Controller(ABC):
    """Owns one part of the state and changes it only to handle messages."""

    name: ClassVar[ControllerName]
    tick_interval_s: float = 0.5

    def __init__(self, context: Context) -> None:
        """Store the context; subclasses add their state."""
        self._context = context
        self._outbox = context.outbox

    @property
    def host(self) -> HostId:
        """The host this controller runs on."""
        return self._context.host

    @abstractmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message."""

    def _now(self) -> Seconds:
        return self._context.clock()

    def _reply(self, origin: Origin, value: Any) -> None:
        if origin.reply_token is not None:
            self._outbox.reply(origin.reply_token, value)

    def __repr__(self) -> str:
        return f"<{type(self).__name__} [{self.host}]>"
