"""Idle connections to targets."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any, NewType

from wasabitray_core.ids import Seconds
from wasabitray_core.requests import Target
from wasabitray_node.settings import Limits
from wasabitray_node.sockets import has_input

Place = NewType("Place", tuple[str, str, int])
"""A run of a target at its address; no connection outlives it."""


def place_of(target: Target) -> Place:
    """Return what connections of a target have in common."""
    return Place((target.target, target.address, target.generation))


@dataclass(slots=True)
class Connection:
    """A connection to a target; one task owns it at a time.

    Attributes:
        reused: whether it has carried an exchange before.
    """

    place: Place
    socket: Any
    opened: Seconds
    idle_since: Seconds
    reused: bool = False

    def is_quiet(self) -> bool:
        """Tell whether nothing has come since the last exchange.

        Bytes on an idle connection belong to no request, and its end shows
        as readable too.
        """
        return not has_input(self.socket)

    def close(self) -> None:
        """Close the socket."""
        self.socket.close()


@dataclass(frozen=True, slots=True)
class Borrow:
    """Asks the pool for an idle connection; the reply may be None."""

    place: Place


@dataclass(frozen=True, slots=True)
class GiveBack:
    """Hands a connection that is clean to the pool."""

    connection: Connection


@dataclass(frozen=True, slots=True)
class DropIdle:
    """Closes a target's idle connections: their path may be dead."""

    place: Place


class ConnectionPool:
    """Owns the idle connections to all targets and takes messages.

    It never waits, so it needs no greenlet of its own.
    """

    def __init__(self, limits: Limits, clock: Callable[[], Seconds]) -> None:
        """Start without connections."""
        self._limits = limits
        self._clock = clock
        self._idle: dict[Place, deque[Connection]] = {}

    @singledispatchmethod
    def receive(self, message: Any) -> Connection | None:
        """Handle one message."""
        raise TypeError(f"{self!r} can't take {message!r}")

    @receive.register
    def _(self, message: Borrow) -> Connection | None:
        return self._take(message.place)

    @receive.register
    def _(self, message: GiveBack) -> None:
        self._keep(message.connection)

    @receive.register
    def _(self, message: DropIdle) -> None:
        for connection in self._idle.pop(message.place, ()):
            connection.close()

    def _take(self, place: Place) -> Connection | None:
        idle = self._idle.get(place)
        while idle:
            connection = idle.pop()
            age = self._clock() - connection.idle_since
            fresh = age <= self._limits.idle_connection_s
            if fresh and connection.is_quiet():
                return connection
            connection.close()
        return None

    def _keep(self, connection: Connection) -> None:
        idle = self._idle.setdefault(connection.place, deque())
        connection.reused = True
        connection.idle_since = self._clock()
        idle.append(connection)
        if len(idle) > self._limits.idle_connections_per_target:
            idle.popleft().close()
