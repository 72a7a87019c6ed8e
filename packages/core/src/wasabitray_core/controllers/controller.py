"""What all controllers share."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, ClassVar, NewType, Protocol

from wasabitray_core.ids import HostId, Seconds
from wasabitray_core.local_messages import ControllerName

ReplyToken = NewType("ReplyToken", object)
"""Token of a local ask that waits for its reply."""


class Outbox(Protocol):
    """Carries a controller's messages; sends wait for persists."""

    def send(self, host: HostId, message: Any) -> None:
        """Send a message to a peer; it can be lost."""

    def tell(self, controller: ControllerName, message: Any) -> None:
        """Put a message into another controller's mailbox."""

    def reply(self, token: ReplyToken, value: Any) -> None:
        """Reply to a local ask."""

    def persist(self, item: Any) -> None:
        """Make an item durable before anything sent after it leaves."""

    def log_event(self, event: str, **fields: Any) -> None:
        """Log a change of state."""


@dataclass(frozen=True, slots=True)
class Context:
    """What the composition root hands to every controller.

    Attributes:
        clock: returns monotonic seconds.
        random: the process's only source of randomness.
    """

    host: HostId
    clock: Callable[[], Seconds]
    random: random.Random
    outbox: Outbox


@dataclass(frozen=True, slots=True)
class Origin:
    """Where a message came from: a peer, a local ask, or neither."""

    peer: HostId | None = None
    reply_token: ReplyToken | None = None


NO_ORIGIN = Origin()


class Controller(ABC):
    """Owns one part of the state and changes it by messages only."""

    name: ClassVar[ControllerName]
    tick_interval_s: float = 0.5

    def __init__(self, context: Context) -> None:
        """Keep the context; subclasses add their state."""
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
