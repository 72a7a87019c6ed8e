"""The pool of idle connections to targets."""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any, NewType

from msgspec import Struct

from wasabitray_core.ids import Seconds
from wasabitray_core.requests import Target
from wasabitray_node.settings import Limits
from wasabitray_node.sockets import has_input

# Whose idle connections are reviewed with each connection that is returned.
# With two, the pool shrinks faster than new targets can add to it.
REVIEWED_TARGETS = 2

PoolKey = NewType("PoolKey", tuple[str, str, int])
"""A target, its address and its generation.

A connection is used for one generation only; a restarted target has a new
generation.
"""


def get_pool_key(target: Target) -> PoolKey:
    """Return the key under which a target's connections are pooled."""
    return PoolKey((target.target, target.address, target.generation))


class Connection(Struct):
    """A connection to a target; one task owns it at a time.

    Attributes:
        reused: whether it has carried an exchange before.
    """

    pool_key: PoolKey
    socket: Any
    opened: Seconds
    idle_since: Seconds
    reused: bool = False

    def is_clean(self) -> bool:
        """Return whether nothing has arrived since the last exchange.

        Bytes on an idle connection belong to no request. A connection that
        the target has closed shows as readable as well.
        """
        return not has_input(self.socket)

    def close(self) -> None:
        """Close the socket."""
        self.socket.close()


class BorrowConnection(Struct, frozen=True):
    """Asks the pool for an idle connection; the reply is None if it has none.

    The borrower owns the connection.
    """

    pool_key: PoolKey


class ReturnConnection(Struct, frozen=True):
    """Returns a reusable connection to the pool."""

    connection: Connection


class CloseIdleConnections(Struct, frozen=True):
    """Closes a target's idle connections: their path may be broken."""

    pool_key: PoolKey


class ConnectionPool:
    """Owns the idle connections to all targets and handles messages.

    It never waits, so it needs no greenlet of its own.
    """

    def __init__(self, limits: Limits, clock: Callable[[], Seconds]) -> None:
        """Create an empty pool.

        Args:
            limits: bounds on the number and the age of idle connections.
            clock: returns monotonic seconds.
        """
        self._limits = limits
        self._clock = clock
        self._idle: dict[PoolKey, deque[Connection]] = {}

    @singledispatchmethod
    def receive(self, message: Any) -> Connection | None:
        """Handle one message."""
        raise TypeError(f"{self!r} does not handle {message!r}")

    @receive.register
    def _(self, message: BorrowConnection) -> Connection | None:
        return self._borrow_idle(message.pool_key)

    @receive.register
    def _(self, message: ReturnConnection) -> None:
        self._store_idle(message.connection)

    @receive.register
    def _(self, message: CloseIdleConnections) -> None:
        for connection in self._idle.pop(message.pool_key, ()):
            connection.close()

    def _borrow_idle(self, pool_key: PoolKey) -> Connection | None:
        idle = self._idle.get(pool_key)
        while idle:
            connection = idle.pop()
            if self._is_usable(connection, self._clock()):
                return connection
            connection.close()
        return None

    def _store_idle(self, connection: Connection) -> None:
        idle = self._idle.setdefault(connection.pool_key, deque())
        connection.reused = True
        connection.idle_since = self._clock()
        idle.append(connection)
        if len(idle) > self._limits.idle_connections_per_target:
            idle.popleft().close()
        self._review_oldest()

    def _review_oldest(self) -> None:
        """Close what is no longer usable among a few targets' connections.

        Targets that are gone are never borrowed from again, and a faulty one
        may send on an idle connection. Targets are looked at in turn, so that
        no request waits for a review of all.
        """
        now = self._clock()
        for pool_key in list(itertools.islice(self._idle, REVIEWED_TARGETS)):
            usable: deque[Connection] = deque()
            for connection in self._idle.pop(pool_key):
                if self._is_usable(connection, now):
                    usable.append(connection)
                else:
                    connection.close()
            if usable:
                self._idle[pool_key] = usable  # at the end

    def _is_usable(self, connection: Connection, now: Seconds) -> bool:
        age = now - connection.idle_since
        return age <= self._limits.idle_connection_s and connection.is_clean()
