"""The configuration's limits at a listener for callers."""

import socket

import falcon
import gevent
import gevent.socket
import pytest
from support.fakes import ControllerBed

from wasabitray_core.local_messages import ConfigurationApplied
from wasabitray_core.route_table import TrafficLimits
from wasabitray_node.http import (
    DEFAULT_IDLE_TIMEOUT_S,
    MAX_HEAD_BYTES,
    build_server,
)
from wasabitray_node.listeners import CallerListeners, ListenersController

DEADLINE_S = 5.0


class Accept:
    def on_get(self, req, resp):
        resp.text = "accepted"


@pytest.fixture
def server():
    app = falcon.App()
    app.add_route("/", Accept())
    with socket.create_server(("127.0.0.1", 0)) as free:
        address = f"127.0.0.1:{free.getsockname()[1]}"
    server = build_server(address, app)
    server.start()
    yield server
    server.stop(timeout=0)


@pytest.fixture
def bed(server):
    listeners = CallerListeners()
    listeners.add(server)
    return ControllerBed(ListenersController, listeners)


def apply_limits(bed, **limits):
    bed.tell(ConfigurationApplied(1, None, TrafficLimits(**limits)))


def get_status(server, head):
    address = "127.0.0.1", server.server_port
    with gevent.Timeout(DEADLINE_S):
        sock = gevent.socket.create_connection(address)
        sock.sendall(head)
        status = int(sock.recv(65_536).split()[1])
        sock.close()
    return status


# Guards against proper requests that are refused as wrong.
@pytest.mark.parametrize("kind", ["target", "field"])
def test_head_that_the_configuration_allows_is_served(bed, server, kind):
    long = "x" * (MAX_HEAD_BYTES + 1_000)
    head = {
        "target": f"GET /?{long} HTTP/1.1\r\nHost: x\r\n\r\n",
        "field": f"GET / HTTP/1.1\r\nHost: x\r\nX: {long}\r\n\r\n",
    }[kind].encode()
    assert get_status(server, head) in (414, 431)
    apply_limits(bed, max_header_bytes=2 * MAX_HEAD_BYTES)
    assert get_status(server, head) == 200
    apply_limits(bed)
    assert get_status(server, head) in (414, 431)


@pytest.mark.parametrize("name", ["idle_timeout_ms", "header_timeout_ms"])
def test_connection_stays_as_long_as_the_configuration_allows(
    bed, server, name
):
    apply_limits(bed, **{name: 300_000.0})
    assert server.idle_timeout_s == 300.0
    apply_limits(bed, **{name: 1_000.0})
    assert server.idle_timeout_s == DEFAULT_IDLE_TIMEOUT_S
