"""Attempts at targets on real sockets."""

import time

import gevent
import pytest
from gevent.server import StreamServer

from wasabitray_core.filters.chain import Attempt
from wasabitray_core.requests import Request, Target
from wasabitray_core.states import AttemptStatus
from wasabitray_node.connections import ConnectionPool
from wasabitray_node.dialects import NativeTargetDialect
from wasabitray_node.settings import Limits
from wasabitray_node.upstream import Upstream
from wasabitray_node.watch import CallerWatch

ANSWER_AFTER_S = 0.4


@pytest.fixture
def target():
    def serve(sock, _address):
        sock.recv(65_536)
        gevent.sleep(ANSWER_AFTER_S)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    address = f"127.0.0.1:{server.server_port}"
    yield Target("t1", "rota", "south", "south-a", 2, address)
    server.stop(timeout=0)


def attempt(target, timeout, patience, stopping):
    limits = Limits()
    pool = ConnectionPool(limits, time.monotonic)
    upstream = Upstream(
        pool, limits, time.monotonic, NativeTargetDialect(), lambda: stopping
    )
    request = Request("hobart", "GET", "/")
    asked = Attempt(target, request, timeout, True, patience)
    return upstream.attempt(asked, CallerWatch(None)).status


def test_attempt_ends_after_its_time(target):
    status = attempt(target, 0.1, 2.0, stopping=False)
    assert status is AttemptStatus.TIMED_OUT


def test_stopping_entry_breaks_no_attempt_off(target):
    status = attempt(target, 0.1, 2.0, stopping=True)
    assert status is AttemptStatus.ANSWERED


def test_stopping_entry_waits_no_longer_than_the_request_may_take(target):
    status = attempt(target, 0.1, 0.1, stopping=True)
    assert status is AttemptStatus.TIMED_OUT
