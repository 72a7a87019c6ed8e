"""How a caller that disconnects during its request is detected."""

import socket

import gevent
import pytest

from wasabitray_node.watch import CallerGoneError, CallerWatch

DETECTION_S = 0.5


@pytest.fixture
def pair():
    ours, callers = socket.socketpair()
    yield ours, callers
    ours.close()
    callers.close()


def wait_for_target(sock, seconds):
    """Wait as an attempt at a target does."""
    watch = CallerWatch(sock)
    watch.start()
    try:
        with watch:
            gevent.sleep(seconds)
    finally:
        watch.stop()


def test_caller_that_waits_is_not_interrupted(pair):
    ours, callers = pair
    callers.sendall(b"GET /next HTTP/1.1\r\n")
    wait_for_target(ours, DETECTION_S)


@pytest.mark.parametrize("sent_before", [b"", b"GET /next HTTP/1.1\r\n\r\n"])
def test_caller_that_leaves_is_detected(pair, sent_before):
    ours, callers = pair
    callers.sendall(sent_before)
    gevent.spawn_later(0.1, callers.close)
    with pytest.raises(CallerGoneError), gevent.Timeout(DETECTION_S):
        wait_for_target(ours, 5.0)


def test_caller_that_leaves_with_requests_in_transit_is_detected(pair):
    ours, callers = pair
    gevent.spawn_later(0.1, callers.sendall, b"GET /next HTTP/1.1\r\n\r\n")
    gevent.spawn_later(0.2, callers.close)
    with pytest.raises(CallerGoneError), gevent.Timeout(DETECTION_S):
        wait_for_target(ours, 5.0)


def test_caller_that_leaves_as_its_attempt_fails_interrupts_no_later_wait(
    pair,
):
    ours, callers = pair
    callers.close()
    watch = CallerWatch(ours)
    with pytest.raises(ConnectionResetError), watch:
        watch._run()
        raise ConnectionResetError
    assert watch.is_gone
    gevent.sleep(0.01)
