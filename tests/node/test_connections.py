"""The pool of idle connections to targets."""

import socket

import pytest
from support.fakes import FakeClock

from wasabitray_node.connections import (
    REVIEWED_TARGETS,
    BorrowConnection,
    Connection,
    ConnectionPool,
    PoolKey,
    ReturnConnection,
)
from wasabitray_node.settings import Limits

LIMITS = Limits(idle_connection_s=3.0, idle_connections_per_target=4)


@pytest.fixture
def clock():
    return FakeClock()


@pytest.fixture
def pool(clock):
    return ConnectionPool(LIMITS, clock)


def return_connection(pool, clock, name):
    """Return a connection to the pool; return the target's socket too."""
    own, targets = socket.socketpair()
    key = PoolKey((name, "10.0.0.1:80", 1))
    connection = Connection(key, own, clock(), clock())
    pool.receive(ReturnConnection(connection))
    return connection, targets


def is_closed(connection):
    return connection.socket.fileno() == -1


def test_idle_connection_is_borrowed_again(pool, clock):
    connection, _target = return_connection(pool, clock, "t1")
    assert pool.receive(BorrowConnection(connection.pool_key)) is connection


# Guards against connections to replaced targets that use up the descriptors.
def test_idle_connections_to_targets_that_are_gone_are_closed(pool, clock):
    gone = [return_connection(pool, clock, f"t{n}") for n in range(100)]
    clock.advance(LIMITS.idle_connection_s + 0.1)
    for number in range(len(gone) // REVIEWED_TARGETS + 1):
        return_connection(pool, clock, f"t-new-{number}")
    assert all(is_closed(connection) for connection, _ in gone)


# Guards against a target that sends without end on an idle connection.
def test_idle_connection_with_input_is_closed(pool, clock):
    connection, target = return_connection(pool, clock, "t1")
    sound, _target = return_connection(pool, clock, "t2")
    target.sendall(b"a" * 4_096)
    for _ in range(2):
        return_connection(pool, clock, "t3")
    assert is_closed(connection)
    assert not is_closed(sound)
