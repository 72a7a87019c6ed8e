"""Attempts at targets on real sockets."""

import itertools
import json
import socket
import subprocess
import sys
import time
from pathlib import Path

import gevent
import gevent.event
import pytest
from gevent.server import StreamServer
from support.endless_targets import ENDLESS

from wasabitray_core.errors import TruncatedAnswerError
from wasabitray_core.filters.chain import Attempt
from wasabitray_core.requests import Request, Target
from wasabitray_core.states import AttemptStatus
from wasabitray_node.connections import ConnectionPool
from wasabitray_node.dialects import NativeTargetDialect
from wasabitray_node.settings import Limits
from wasabitray_node.upstream import Upstream
from wasabitray_node.watch import CallerWatch

RESPONSE_DELAY_S = 0.4


@pytest.fixture
def target():
    def serve(sock, _address):
        sock.recv(65_536)
        gevent.sleep(RESPONSE_DELAY_S)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    address = f"127.0.0.1:{server.server_port}"
    yield Target("t1", "rota", "south", "south-a", 2, address)
    server.stop(timeout=0)


def attempt(target, timeout, stop_extension, is_stopping):
    limits = Limits()
    pool = ConnectionPool(limits, time.monotonic)
    upstream = Upstream(
        pool,
        limits,
        time.monotonic,
        NativeTargetDialect(),
        lambda: is_stopping,
    )
    request = Request("hobart", "GET", "/")
    effect = Attempt(target, request, timeout, True, stop_extension)
    return upstream.attempt(effect, CallerWatch(None)).status


def test_attempt_ends_after_its_timeout(target):
    status = attempt(target, 0.1, 2.0, is_stopping=False)
    assert status is AttemptStatus.TIMED_OUT


def test_stopping_entry_extends_an_attempt(target):
    status = attempt(target, 0.1, 2.0, is_stopping=True)
    assert status is AttemptStatus.ANSWERED


def test_stopping_entry_extends_no_attempt_beyond_the_request_timeout(target):
    status = attempt(target, 0.1, 0.1, is_stopping=True)
    assert status is AttemptStatus.TIMED_OUT


HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
FILLER = b"a" * 4_096
ENDLESS_HEADS = {
    "header value": (HEAD + b"X-Filler: ", FILLER),
    "header name": (HEAD, FILLER),
    "header lines": (HEAD, b"X-Filler: a\r\n" * 256),
    "status line": (b"HTTP/1.1 200 ", FILLER),
    "interim responses": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 128),
    "no protocol": (b"", FILLER),
    "chunk extension": (CHUNKED + b"1;x=", FILLER),
    "trailer": (CHUNKED + b"0\r\nX-Filler: ", FILLER),
}
ENDLESS_BODIES = {
    "chunks": (CHUNKED, b"1000\r\n" + FILLER + b"\r\n"),
    "until the end of the connection": (HEAD + b"\r\n", FILLER),
    "trailer": (
        CHUNKED + b"100000\r\n" + b"b" * 0x100000 + b"\r\n0\r\nX-Filler: ",
        FILLER,
    ),
}
# Bytes that a target can send until the connection is closed: a few times the
# limit of the head, and the buffers of two sockets.
MAX_SENT_BYTES = 16 * 1_048_576
MAX_TIME_S = 5.0


class EndlessTarget:
    """Sends bytes endlessly until its peer closes the connection."""

    def __init__(self, start, filler):
        self.start, self.filler = start, filler
        self.sent = 0
        self.closed = gevent.event.Event()
        self.server = StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()
        address = f"127.0.0.1:{self.server.server_port}"
        self.target = Target("t1", "rota", "south", "south-a", 2, address)

    def serve(self, sock, _address):
        sock.recv(65_536)
        try:
            for piece in itertools.chain(
                [self.start], itertools.repeat(self.filler)
            ):
                sock.sendall(piece)
                self.sent += len(piece)
                gevent.sleep(0)
        except OSError:
            self.closed.set()


@pytest.fixture
def endless():
    targets = []

    def build(start, filler):
        targets.append(EndlessTarget(start, filler))
        return targets[-1]

    yield build
    for target in targets:
        target.server.stop(timeout=0)


def exchange(target, timeout=MAX_TIME_S, **limits):
    limits = Limits(**limits)
    pool = ConnectionPool(limits, time.monotonic)
    upstream = Upstream(
        pool, limits, time.monotonic, NativeTargetDialect(), lambda: False
    )
    request = Request("hobart", "GET", "/")
    effect = Attempt(target, request, timeout, True, 0.0)
    return upstream.attempt(effect, CallerWatch(None))


@pytest.mark.parametrize("kind", ENDLESS_HEADS)
def test_endless_bytes_without_a_body_end_the_attempt(endless, kind):
    source = endless(*ENDLESS_HEADS[kind])
    started = time.monotonic()
    result = exchange(source.target)
    assert result.response is None
    assert result.status in (AttemptStatus.FAILED, AttemptStatus.TRUNCATED)
    assert time.monotonic() - started < MAX_TIME_S / 2
    assert source.closed.wait(1.0)
    assert source.sent < MAX_SENT_BYTES


@pytest.mark.parametrize("kind", ENDLESS_BODIES)
def test_endless_body_is_cut_off_and_raises(endless, kind):
    source = endless(*ENDLESS_BODIES[kind])
    result = exchange(source.target, stream_timeout_s=0.5)
    assert result.status is AttemptStatus.ANSWERED
    longest = 0
    started = time.monotonic()
    with pytest.raises(TruncatedAnswerError):
        for piece in result.response.chunks:
            longest = max(longest, len(piece))
    assert time.monotonic() - started < 1.0
    assert longest <= Limits().hold_bytes
    assert source.closed.wait(1.0)


# The memory of the smallest entries, less that of an entry without requests.
MAX_GROWN_BYTES = (200 - 50) * 1_000_000
MANY = 300


# Guards against targets that send bytes without end and exhaust the memory of
# an entry, or keep it from serving others.
@pytest.mark.parametrize("count", [1, MANY], ids=["one", "many"])
@pytest.mark.parametrize("kind", ENDLESS)
def test_endless_responses_take_little_memory(kind, count):
    command = [sys.executable, "-m", "support.endless_targets"]
    process = subprocess.run(
        [*command, kind, str(count)],
        cwd=Path(__file__).parent.parent,
        capture_output=True,
        check=True,
        timeout=100,
    )
    measured = json.loads(process.stdout)
    assert measured["grown_bytes"] < MAX_GROWN_BYTES, measured
    assert measured["sound_answered"] == measured["sound"], measured


def test_body_above_the_limit_is_cut_off(endless):
    source = endless(*ENDLESS_BODIES["chunks"])
    result = exchange(source.target, max_body_bytes=1_048_576)
    read = len(result.response.body)
    with pytest.raises(TruncatedAnswerError):
        for piece in result.response.chunks:
            read += len(piece)
    assert read <= 2 * 1_048_576


HELD = Limits().hold_bytes
# Beyond what is read at once, and beyond what is held.
LONG_SIZES = [
    start + extra
    for start in (65_536, HELD)
    for extra in range(1, 140_000, 7_919)
]


@pytest.mark.parametrize("hold_total", [HELD * 2, 1_024], ids=["held", "full"])
@pytest.mark.parametrize("framing", ["length", "chunked", "end"])
def test_response_that_exceeds_the_held_bytes_loses_none_of_its_end(
    framing, hold_total
):
    def serve(sock, _address):
        sock.recv(65_536)
        sock.sendall(responses[0])

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    address = f"127.0.0.1:{server.server_port}"
    target = Target("t1", "rota", "south", "south-a", 2, address)
    for size in LONG_SIZES:
        body = b"b" * size
        responses = [
            {
                "length": HEAD + b"Content-Length: %d\r\n\r\n" % size + body,
                "chunked": CHUNKED + b"%x\r\n%b\r\n0\r\n\r\n" % (size, body),
                "end": HEAD + b"\r\n" + body,
            }[framing]
        ]
        response = exchange(target, hold_total_bytes=hold_total).response
        read = response.body + b"".join(response.chunks or ())
        assert len(read) == size
    server.stop(timeout=0)


OK = b"HTTP/1.1 200 OK\r\nServer-Stamp: s-1\r\n"
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
CUT_HEADS = {
    "with a length": OK + b"Content-Length: 2\r\n\r\n",
    "empty body": OK + b"Content-Length: 0\r\n\r\n",
    "chunked": OK + b"Transfer-Encoding: chunked\r\n\r\n",
    "without a length": OK + b"\r\n",
    "after an interim response": EARLY_HINTS + OK + b"\r\n",
    "ends the connection": OK + b"Connection: close\r\n\r\n",
}
COMPLETE = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
    b"Wasabitray-Request-Id: id-1\r\n\r\nok"
)
# Closes a socket with a reset instead of an end.
LINGER_RESET = b"\1\0\0\0\0\0\0\0"


class CuttingTarget:
    """Sends a part of a response's head and ends the connection."""

    def __init__(self):
        self.responses = []
        self.resets = False
        self.server = StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()
        address = f"127.0.0.1:{self.server.server_port}"
        self.target = Target("t1", "rota", "south", "south-a", 2, address)

    def serve(self, sock, _address):
        while self.responses and sock.recv(65_536):
            response = self.responses.pop(0)
            sock.sendall(response)
            if response != COMPLETE:
                break
        if self.resets:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)


@pytest.fixture
def cutting():
    target = CuttingTarget()
    yield target
    target.server.stop(timeout=0)


@pytest.mark.parametrize("resets", [False, True], ids=["end", "reset"])
@pytest.mark.parametrize("is_reused", [False, True], ids=["new", "reused"])
@pytest.mark.parametrize("kind", CUT_HEADS)
def test_head_that_ends_early_is_no_response(cutting, kind, is_reused, resets):
    cutting.resets = resets
    limits = Limits()
    pool = ConnectionPool(limits, time.monotonic)
    upstream = Upstream(pool, limits, time.monotonic, NativeTargetDialect())
    request = Request("hobart", "GET", "/", id="id-1")
    effect = Attempt(cutting.target, request, MAX_TIME_S, not is_reused, 0.0)
    for cut in range(len(CUT_HEADS[kind])):
        cutting.responses = [CUT_HEADS[kind][:cut]]
        if is_reused:
            cutting.responses.insert(0, COMPLETE)
            first = upstream.attempt(effect, CallerWatch(None))
            assert first.status is AttemptStatus.ANSWERED
        result = upstream.attempt(effect, CallerWatch(None))
        assert result.response is None, cut
        assert result.may_be_crash, cut


class KeepingTarget:
    """Sends the parts of a response and keeps the connection."""

    def __init__(self):
        self.parts = []
        self.server = StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()
        address = f"127.0.0.1:{self.server.server_port}"
        self.target = Target("t1", "rota", "south", "south-a", 2, address)

    def serve(self, sock, _address):
        sock.recv(65_536)
        for part in self.parts:
            sock.sendall(part)
            gevent.sleep(0.05)
        sock.recv(1)


@pytest.fixture
def keeping():
    target = KeepingTarget()
    yield target
    target.server.stop(timeout=0)


FRAMED = b"Content-Length: 2\r\n\r\nok"


@pytest.mark.parametrize("framing", [FRAMED, b"\r\n"], ids=["sized", "open"])
@pytest.mark.parametrize(
    "status",
    ["000", "001", "099", "600", "999", "", "20", "2000", "2x0", "abc", "-10"],
)
def test_status_outside_the_protocol_is_no_response(keeping, status, framing):
    keeping.parts = [b"HTTP/1.1 %b X\r\n" % status.encode() + framing]
    result = exchange(keeping.target)
    assert result.response is None
    assert result.status is AttemptStatus.FAILED
    assert not result.is_silent


@pytest.mark.parametrize("status", ["200", "299", "404", "500", "599"])
def test_status_within_the_protocol_is_a_response(keeping, status):
    keeping.parts = [b"HTTP/1.1 %b X\r\n" % status.encode() + FRAMED]
    assert exchange(keeping.target).response.status == int(status)


INTERIM_STATUSES = ["100", "102", "103", "199"]


@pytest.mark.parametrize("split", [False, True], ids=["at once", "in parts"])
@pytest.mark.parametrize("interim", INTERIM_STATUSES)
def test_response_after_an_interim_one_is_read_to_its_end(
    keeping, interim, split
):
    head = b"HTTP/1.1 %b X\r\n\r\n" % interim.encode()
    parts = [head, HEAD + b"Content-Length: 4\r\n\r\nok", b"ok"]
    keeping.parts = parts if split else [head + parts[1], b"ok"]
    response = exchange(keeping.target).response
    assert (response.status, response.body) == (200, b"okok")


@pytest.mark.parametrize("interim", INTERIM_STATUSES)
def test_response_after_an_interim_one_may_end_with_its_connection(
    cutting, interim
):
    head = b"HTTP/1.1 %b X\r\n\r\n" % interim.encode()
    cutting.responses = [head + HEAD + b"\r\nok"]
    assert exchange(cutting.target).response.body == b"ok"
    cutting.resets = True
    cutting.responses = [head + HEAD + b"\r\nok"]
    assert exchange(cutting.target).response is None


@pytest.mark.parametrize("fields", [b"", b"Upgrade: x\r\n"])
def test_switch_of_protocols_is_no_response(keeping, fields):
    keeping.parts = [b"HTTP/1.1 101 X\r\n" + fields + b"\r\nok"]
    result = exchange(keeping.target)
    assert result.response is None
    assert result.status is AttemptStatus.FAILED


BODYLESS = {
    "204": b"HTTP/1.1 204 No Content\r\n\r\n",
    "204 with a length": b"HTTP/1.1 204 X\r\nContent-Length: 2\r\n\r\n",
    "304": b"HTTP/1.1 304 X\r\nContent-Length: 2\r\n\r\n",
}


@pytest.mark.parametrize("extra", [b"", b"ok"], ids=["bare", "with bytes"])
@pytest.mark.parametrize("kind", BODYLESS)
def test_response_without_a_body_has_none(keeping, kind, extra):
    keeping.parts = [BODYLESS[kind] + extra]
    response = exchange(keeping.target).response
    assert response.status in (204, 304)
    assert response.body == b""
    assert response.chunks is None
