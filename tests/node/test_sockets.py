"""Connecting, and checking a socket for input without reading from it."""

import os
import socket
import subprocess
import sys

import gevent
import pytest

from wasabitray_node.sockets import connect, has_input

# A process like the daemon's, whose standard library is patched.
IN_THE_LOOP = """
from gevent import monkey
monkey.patch_all()
import gevent, socket
from wasabitray_node.sockets import connect, has_input
ours, theirs = socket.socketpair()
results = []
loop = gevent.get_hub().loop
loop.run_callback(lambda: results.append(has_input(ours)))
theirs.sendall(b"x")
gevent.sleep(0.05)
assert results == [True], results
"""


@pytest.fixture
def pair():
    ours, theirs = socket.socketpair()
    yield ours, theirs
    ours.close()
    theirs.close()


def test_socket_without_bytes_has_no_input(pair):
    assert not has_input(pair[0])


def test_bytes_are_input(pair):
    pair[1].sendall(b"x")
    assert has_input(pair[0])


def test_end_of_stream_is_input(pair):
    pair[1].close()
    assert has_input(pair[0])


def test_descriptors_above_1024_work(pair):
    high = os.dup(pair[0].fileno())
    try:
        os.dup2(high, 2_000)
        sock = socket.socket(fileno=2_000)
        assert not has_input(sock)
        sock.close()
    finally:
        os.close(high)


def test_has_input_works_in_a_callback_of_the_event_loop():
    completed = subprocess.run(
        [sys.executable, "-c", IN_THE_LOOP], capture_output=True, text=True
    )
    assert completed.returncode == 0, completed.stderr


def test_connecting_looks_no_address_up(monkeypatch):
    def look_up(*args, **options):
        raise AssertionError(f"looked up: {args}")

    monkeypatch.setattr(gevent.get_hub().resolver, "getaddrinfo", look_up)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = listener.getsockname()
        with connect(address, 1.0, "127.0.0.2") as sock:
            assert sock.getpeername() == address
            assert sock.getsockname()[0] == "127.0.0.2"


def test_failed_connection_raises_its_error():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = listener.getsockname()
    with pytest.raises(ConnectionRefusedError):
        connect(address, 1.0)
