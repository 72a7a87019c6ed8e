"""Faults of targets that callers of other systems have reported.

A late second copy of a response, a response that ends halfway, and a lost
response, for both dialects.
"""

import socket
import time

import gevent
import pytest
from gevent.server import StreamServer

from wasabitray_core.errors import TruncatedAnswerError
from wasabitray_core.filters.chain import Attempt
from wasabitray_core.requests import Request, Target
from wasabitray_core.silence import SilenceLimits
from wasabitray_core.states import AttemptStatus
from wasabitray_node.connections import ConnectionPool
from wasabitray_node.dialects import NativeTargetDialect
from wasabitray_node.settings import Limits
from wasabitray_node.upstream import Upstream
from wasabitray_node.watch import CallerWatch
from wasabitray_platform.targets import PlatformTargetDialect

DIALECTS = {
    "native": (NativeTargetDialect, "Wasabitray-Request-Id"),
    "platform": (PlatformTargetDialect, "Request-Id"),
}
BODY = b"0123456789" * 30_000
HOLD_BYTES = Limits().hold_bytes
LINGER_RESET = b"\1\0\0\0\0\0\0\0"


class ScriptedTarget:
    """Sends the scripted bytes after each head that it reads."""

    def __init__(self):
        self.script, self.ends_with = [], "close"
        self.connections = 0
        self.server = StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()
        address = f"127.0.0.1:{self.server.server_port}"
        self.target = Target("t1", "rota", "south", "south-a", 2, address)

    def serve(self, sock, _address):
        self.connections += 1
        while self.script and sock.recv(65_536):
            for piece in self.script.pop(0):
                sock.sendall(piece)
                gevent.sleep(0.01)
            if not self.script:
                break
        if self.ends_with == "reset":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            sock.close()


@pytest.fixture
def scripted():
    target = ScriptedTarget()
    yield target
    target.server.stop(timeout=0)


def build_upstream(dialect):
    limits = Limits()
    pool = ConnectionPool(limits, time.monotonic)
    return Upstream(pool, limits, time.monotonic, dialect())


def exchange(upstream, target, name, use_new_connection=False):
    headers = (("Request-Id", name),)
    request = Request("hobart", "GET", "/", headers=headers, id=name)
    attempt = Attempt(target, request, 5.0, use_new_connection)
    return upstream.attempt(attempt, CallerWatch(None))


def build_head(header, name, framing):
    head = f"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n{framing}\r\n"
    if name:
        head += f"{header}: {name}\r\n"
    return f"{head}\r\n".encode()


def build_response(header, name, body):
    head = build_head(header, name, f"Content-Length: {len(body)}")
    return head + body


@pytest.mark.parametrize("kind", DIALECTS)
@pytest.mark.parametrize("is_named", [True, False], ids=["named", "unnamed"])
def test_late_copy_reaches_no_other_request(scripted, kind, is_named):
    dialect, header = DIALECTS[kind]
    first = build_response(header, "r1" if is_named else "", b"first")
    second = build_response(header, "r2" if is_named else "", b"second")
    scripted.script = [[first], [first, second]]
    upstream = build_upstream(dialect)
    exchange(upstream, scripted.target, "r1")
    result = exchange(upstream, scripted.target, "r2")
    if is_named:
        assert scripted.connections == 1
        assert result.status is AttemptStatus.INVALID
    assert result.response is None or scripted.connections == 2


@pytest.mark.parametrize("kind", DIALECTS)
def test_connection_with_a_copy_is_not_used_again(scripted, kind):
    dialect, header = DIALECTS[kind]
    responses = [
        build_response(header, f"r{n}", f"body {n}".encode()) for n in range(3)
    ]
    scripted.script = [
        [responses[0], responses[0]], [responses[1]], [responses[2]],
    ]  # fmt: skip
    upstream = build_upstream(dialect)
    for number in range(3):
        result = exchange(upstream, scripted.target, f"r{number}")
        assert result.response.body == f"body {number}".encode()
        gevent.sleep(0.05)
    assert scripted.connections == 2


def build_halves(header):
    """Return responses of which half of the body arrives."""
    chunk = b"%x\r\n%b\r\n" % (len(BODY), BODY)
    return {
        "length": build_head(header, "r1", f"Content-Length: {2 * len(BODY)}")
        + BODY,
        "chunks": build_head(header, "r1", "Transfer-Encoding: chunked")
        + chunk,
        "within a chunk": build_head(
            header, "r1", "Transfer-Encoding: chunked"
        )
        + chunk[: len(chunk) // 2],
        "end of the connection": build_head(header, "r1", "X-Other: 1") + BODY,
    }


# The end of the connection is the end of a body without a length.
HALVES = [
    (framing, ends_with)
    for framing in build_halves("")
    for ends_with in ("close", "reset")
    if (framing, ends_with) != ("end of the connection", "close")
]


@pytest.mark.parametrize("kind", DIALECTS)
@pytest.mark.parametrize(("framing", "ends_with"), HALVES)
@pytest.mark.parametrize("size", ["buffered", "streamed"])
def test_half_a_response_is_never_complete(
    scripted, kind, framing, ends_with, size
):
    dialect, header = DIALECTS[kind]
    half = build_halves(header)[framing]
    if size == "buffered":
        half = half[: len(half) - len(BODY) + HOLD_BYTES // 2]
    scripted.script, scripted.ends_with = [[half, b""]], ends_with
    result = exchange(build_upstream(dialect), scripted.target, "r1")
    if result.response is None:
        assert result.may_have_run
        return
    with pytest.raises(TruncatedAnswerError):
        list(result.response.chunks)


@pytest.mark.parametrize("kind", DIALECTS)
@pytest.mark.parametrize("is_reused", [False, True], ids=["new", "reused"])
@pytest.mark.parametrize("ends_with", ["close", "reset"])
def test_request_whose_response_is_lost_may_have_run(
    scripted, kind, is_reused, ends_with
):
    dialect, header = DIALECTS[kind]
    scripted.ends_with = ends_with
    scripted.script = [[b""]]
    upstream = build_upstream(dialect)
    if is_reused:
        scripted.script.insert(0, [build_response(header, "r1", b"first")])
        exchange(upstream, scripted.target, "r1")
    result = exchange(upstream, scripted.target, "r2")
    assert result.response is None
    assert result.may_have_run
    assert result.was_sent
    assert scripted.connections == 1


@pytest.fixture
def silent():
    """A target that accepts connections and never responds."""
    server = StreamServer(("127.0.0.1", 0), lambda s, a: gevent.sleep(60))
    server.start()
    address = f"127.0.0.1:{server.server_port}"
    yield Target("t1", "rota", "south", "south-a", 2, address), server
    server.stop(timeout=0)


def collect_silence(target, timeout, limits, before=lambda: None):
    """Return the reports of an attempt that gets no response."""
    reports = []
    upstream = build_upstream(NativeTargetDialect)
    request = Request("hobart", "GET", "/", id="r1")
    attempt = Attempt(target, request, timeout, True, silence=limits)
    gevent.spawn_later(0.02, before)
    upstream.attempt(
        attempt, CallerWatch(None), lambda *report: reports.append(report)
    )
    gevent.sleep(0.1)
    return reports


def test_silent_target_is_reported_while_the_attempt_waits(silent):
    target, _ = silent
    reports = collect_silence(target, 0.3, SilenceLimits(0.05, 0.1))
    assert reports == [(0.1, True)]


def test_attempt_that_is_given_up_before_that_is_reported_too(silent):
    target, _ = silent
    ((elapsed, is_conclusive),) = collect_silence(
        target, 0.2, SilenceLimits(0.1, 9.0)
    )
    assert elapsed >= 0.2
    assert not is_conclusive
    assert not collect_silence(target, 0.2, SilenceLimits(0.5, 9.0))
    assert not collect_silence(target, 0.2, None)


def test_silence_of_a_path_is_not_reported(silent):
    target, server = silent
    limits = SilenceLimits(0.05, 0.1)
    # The listener is closed, so the check of the path fails.
    assert not collect_silence(target, 0.3, limits, server.close)


def test_response_in_time_is_no_silence(scripted):
    scripted.script = [
        [build_response("Wasabitray-Request-Id", "r1", b"body")]
    ]
    limits = SilenceLimits(0.0, 0.05)
    assert not collect_silence(scripted.target, 5.0, limits)


def test_silence_of_a_connection_that_was_used_before_is_not_reported(
    scripted,
):
    scripted.script = [
        [build_response("Wasabitray-Request-Id", "r1", b"first")],
        [],  # the second request gets no response
        [],
    ]
    upstream = build_upstream(NativeTargetDialect)
    exchange(upstream, scripted.target, "r1")
    reports = []
    request = Request("hobart", "GET", "/", id="r2")
    limits = SilenceLimits(0.05, 0.1)
    attempt = Attempt(scripted.target, request, 0.3, False, silence=limits)
    result = upstream.attempt(
        attempt, CallerWatch(None), lambda *report: reports.append(report)
    )
    gevent.sleep(0.1)
    assert result.status is AttemptStatus.STALE_CONNECTION
    assert scripted.connections == 1
    assert not reports
