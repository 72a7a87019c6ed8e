"""Responses of targets that end while a long upload is being written."""

import itertools
import socket
import sys
import time

import gevent
import gevent.socket
import pytest
from gevent.event import Event

from wasabitray_core.errors import TruncatedAnswerError
from wasabitray_core.filters.chain import Attempt
from wasabitray_core.requests import Request, Target
from wasabitray_core.states import AttemptStatus
from wasabitray_node.connections import ConnectionPool
from wasabitray_node.dialects import NativeTargetDialect
from wasabitray_node.settings import Limits
from wasabitray_node.upstream import Upstream
from wasabitray_node.watch import CallerGoneError, CallerWatch

PIECE = b"a" * 20_000
PIECES = 4
# More than the buffers of two sockets.
LONG_BODY = b"a" * 32 * 1_048_576
BODY = b"b" * 3_000
# Longer than what is read before a response is forwarded as it arrives.
LONG_RESPONSE = b"b" * 100_000
WITHOUT_LENGTH = {
    "close": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
    "keep-alive": b"HTTP/1.1 200 OK\r\n\r\n",
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\n\r\n",
}
CLOSE = b"HTTP/1.1 200 OK\r\nConnection: close\r\n"
FRAMED = {
    "length": CLOSE + b"Content-Length: 3000\r\n\r\n" + BODY,
    "chunked": CLOSE
    + b"Transfer-Encoding: chunked\r\n\r\nbb8\r\n"
    + BODY
    + b"\r\n0\r\n\r\n",
}
# Closes a socket with a reset instead of an end.
LINGER_RESET = b"\1\0\0\0\0\0\0\0"
# Time in which the other side of a connection handles what has arrived.
PAUSE_S = 0.1
TIMEOUT_S = 5.0
# Within the timeout of the attempt.
LATE_S = 3.0


class EarlyTarget:
    """Responds once it has the head of a request; then it is steered."""

    def __init__(self, response):
        self.response = response
        self.responded = Event()
        self.received = bytearray()
        self.listener = gevent.socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.socket = None
        self.greenlet = gevent.spawn(self.serve)
        address = "{}:{}".format(*self.listener.getsockname())
        self.target = Target("t1", "rota", "south", "south-a", 2, address)

    def serve(self):
        self.socket, _address = self.listener.accept()
        while b"\r\n\r\n" not in self.received:
            self.received += self.socket.recv(1)
        self.socket.sendall(self.response)
        self.responded.set()

    def end(self):
        self.socket.shutdown(socket.SHUT_WR)

    def reset(self):
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET
        )
        self.socket.close()

    def read_rest(self, until=sys.maxsize):
        self.socket.settimeout(TIMEOUT_S)
        count = self.received.count(b"a")
        while count < until:
            piece = self.socket.recv(65_536)
            if not piece:
                return
            self.received += piece
            count += piece.count(b"a")

    def close(self):
        self.greenlet.kill()
        self.listener.close()
        if self.socket is not None:
            self.socket.close()


@pytest.fixture
def early():
    targets = []

    def build(response):
        targets.append(EarlyTarget(response))
        return targets[-1]

    yield build
    for target in targets:
        target.close()


def upload(target, stream=None, body=b"", length=None, **limits):
    limits = Limits(**limits)
    pool = ConnectionPool(limits, time.monotonic)
    upstream = Upstream(pool, limits, time.monotonic, NativeTargetDialect())
    request = Request(
        "hobart", "POST", "/", body=body, stream=stream, length=length
    )
    effect = Attempt(target.target, request, TIMEOUT_S, True)
    return upstream.attempt(effect, CallerWatch(None))


def write_around(target, action, pause_s=0.0, event=None):
    """Yield a body; after its first piece, the target does something."""
    yield PIECE
    (event or target.responded).wait()
    action()
    if pause_s:
        gevent.sleep(pause_s)
    yield from itertools.repeat(PIECE, PIECES - 1)


def read_all(response):
    return response.body + b"".join(response.chunks or ())


# The sender or the reader gets the error, whichever asks first.
@pytest.mark.parametrize("pause_s", [0.0, PAUSE_S], ids=["sender", "reader"])
@pytest.mark.parametrize("is_chunked", [False, True], ids=["sized", "chunks"])
@pytest.mark.parametrize("kind", WITHOUT_LENGTH)
def test_reset_during_an_upload_cuts_a_response_without_a_length(
    early, kind, is_chunked, pause_s
):
    target = early(WITHOUT_LENGTH[kind] + BODY)
    length = None if is_chunked else PIECES * len(PIECE)
    stream = write_around(target, target.reset, pause_s)
    result = upload(target, stream, length=length)
    assert result.status is AttemptStatus.TRUNCATED
    assert result.response is None


@pytest.mark.parametrize("pause_s", [0.0, PAUSE_S], ids=["sender", "reader"])
@pytest.mark.parametrize("kind", WITHOUT_LENGTH)
def test_reset_during_an_upload_cuts_a_streamed_response(early, kind, pause_s):
    target = early(WITHOUT_LENGTH[kind] + LONG_RESPONSE)
    stream = write_around(target, target.reset, pause_s, streamed := Event())
    result = upload(target, stream, hold_bytes=1_024, stream_idle_s=1.0)
    assert result.status is AttemptStatus.ANSWERED
    streamed.set()
    with pytest.raises(TruncatedAnswerError):
        read_all(result.response)


@pytest.mark.parametrize("kind", WITHOUT_LENGTH)
def test_reset_during_a_buffered_upload_cuts_a_response(early, kind):
    target = early(WITHOUT_LENGTH[kind] + BODY)

    def reset():
        target.responded.wait()
        gevent.sleep(PAUSE_S)
        target.reset()

    gevent.spawn(reset)
    result = upload(target, body=LONG_BODY, length=len(LONG_BODY))
    assert result.status is AttemptStatus.TRUNCATED


# A process that is killed may end its connections before it resets them.
@pytest.mark.parametrize("kind", WITHOUT_LENGTH)
def test_end_before_a_refused_upload_cuts_a_response(early, kind):
    target = early(WITHOUT_LENGTH[kind] + BODY)

    def end():
        target.end()
        gevent.sleep(PAUSE_S)
        target.reset()

    result = upload(target, write_around(target, end))
    assert result.status is AttemptStatus.TRUNCATED


# The target does not read, so the kernel gives the connection up.
def test_timeout_of_an_upload_is_no_end_of_a_response(early):
    target = early(WITHOUT_LENGTH["close"] + BODY)
    result = upload(target, body=LONG_BODY, length=len(LONG_BODY))
    assert result.response is None
    assert result.is_silent
    assert not result.may_be_crash


# The entry itself ends the connection to the target.
@pytest.mark.parametrize("kind", WITHOUT_LENGTH)
def test_invalid_upload_is_no_end_of_a_response(early, kind):
    target = early(WITHOUT_LENGTH[kind] + BODY)

    def fail():
        raise CallerGoneError("the body is malformed")

    result = upload(target, write_around(target, fail))
    assert result.status is AttemptStatus.CANCELLED


@pytest.mark.parametrize("is_chunked", [False, True], ids=["sized", "chunks"])
@pytest.mark.parametrize("kind", WITHOUT_LENGTH)
def test_response_without_a_length_that_ends_during_an_upload_is_whole(
    early, kind, is_chunked
):
    target = early(WITHOUT_LENGTH[kind] + BODY)

    def end():
        target.end()
        gevent.spawn(target.read_rest)
        gevent.sleep(PAUSE_S)

    length = None if is_chunked else PIECES * len(PIECE)
    result = upload(target, write_around(target, end), length=length)
    assert result.status is AttemptStatus.ANSWERED
    assert read_all(result.response) == BODY


@pytest.mark.parametrize("pause_s", [0.0, PAUSE_S], ids=["sender", "reader"])
@pytest.mark.parametrize("kind", FRAMED)
def test_reset_after_a_whole_early_response_leaves_it_whole(
    early, kind, pause_s
):
    target = early(FRAMED[kind])
    stream = write_around(target, target.reset, pause_s)
    result = upload(target, stream)
    assert result.status is AttemptStatus.ANSWERED
    assert read_all(result.response) == BODY


@pytest.mark.parametrize("kind", FRAMED)
def test_reset_within_an_early_response_cuts_it(early, kind):
    target = early(FRAMED[kind][:-1])
    result = upload(target, write_around(target, target.reset))
    assert result.status is AttemptStatus.TRUNCATED


@pytest.mark.parametrize("is_chunked", [False, True], ids=["sized", "chunks"])
def test_upload_goes_on_while_its_response_is_streamed(early, is_chunked):
    target = early(CLOSE + b"Content-Length: 200000\r\n\r\n" + LONG_RESPONSE)
    size = PIECES * len(PIECE)

    def finish():
        target.read_rest(until=size)
        target.socket.sendall(LONG_RESPONSE)

    result = upload(
        target,
        write_around(target, lambda: gevent.spawn(finish), PAUSE_S),
        length=None if is_chunked else size,
        hold_bytes=1_024,
        stream_idle_s=1.0,
    )
    assert read_all(result.response) == LONG_RESPONSE * 2


def test_upload_ends_with_a_streamed_response_that_is_not_read(early):
    target = early(CLOSE + b"Content-Length: 200000\r\n\r\n" + LONG_RESPONSE)
    stream = write_around(target, Event().wait)
    result = upload(target, stream, hold_bytes=1_024)
    result.response.chunks.close()
    gevent.sleep(PAUSE_S)
    assert next(stream, None) is None
    target.read_rest()


# An instance at work on other requests may read an upload late.
def test_target_that_reads_a_long_upload_late_is_waited_for(early):
    target = early(b"")

    def respond_late():
        target.responded.wait()
        gevent.sleep(LATE_S)
        target.read_rest(until=len(LONG_BODY))
        target.socket.sendall(FRAMED["length"])

    late = gevent.spawn(respond_late)
    result = upload(target, body=LONG_BODY, length=len(LONG_BODY))
    late.kill()
    assert result.status is AttemptStatus.ANSWERED
