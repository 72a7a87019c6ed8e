"""Callers' requests on real sockets, from a caller to a target."""

import contextlib
import socket
import time
from collections import deque

import gevent
import gevent.socket
import pytest
from gevent.server import StreamServer

from wasabitray_core.filters.chain import Attempt, Filter, FilterChain
from wasabitray_core.requests import Target
from wasabitray_core.states import AttemptStatus, RefusalReason
from wasabitray_node.callers import (
    CallersApp,
    InFlightRequests,
    build_callers_app,
)
from wasabitray_node.connections import ConnectionPool
from wasabitray_node.http import build_server
from wasabitray_node.logs import LineWriter
from wasabitray_node.metrics import Metrics
from wasabitray_node.settings import Limits
from wasabitray_node.upstream import Upstream
from wasabitray_platform.callers import PlatformCallerDialect
from wasabitray_platform.targets import PlatformTargetDialect

LIMITS = Limits(hold_bytes=2_048, body_timeout_s=0.3)
BODY_BYTES = 100_000
FIRST_BYTES = 70_000
HIDDEN = b"GET /hidden HTTP/1.1\r\nHost: x\r\nRequest-Id: hidden\r\n\r\n"
# Closes a socket with a reset instead of an end.
LINGER_RESET = b"\1\0\0\0\0\0\0\0"
MAX_PAUSE_S = 1.0


class LastFilter(Filter):
    """Makes one attempt, or refuses the request at once."""

    def __init__(self, target):
        self.target = target
        self.requests = []
        self.refuses = False

    def handle(self, exchange, call_next):
        self.requests.append(exchange.request)
        if self.refuses:
            return exchange.refuse(RefusalReason.OVERLOAD, 503)
        result = yield Attempt(self.target, exchange.request, 5.0, True)
        if result.status is AttemptStatus.ANSWERED:
            return result.response
        exchange.may_have_run = result.may_have_run
        return exchange.refuse(RefusalReason.TARGET_FAILED, 502)


class UploadTarget:
    """Answers requests after the body, or does something else earlier."""

    def __init__(self):
        self.early = deque()
        self.targets = []
        self.server = StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()
        address = f"127.0.0.1:{self.server.server_port}"
        self.target = Target("t1", "rota", "south", "south-a", 2, address)

    def serve(self, sock, _address):
        file = sock.makefile("rb")
        while line := file.readline():
            self.targets.append(line.split()[1].decode())
            headers = {}
            while (line := file.readline()) != b"\r\n":
                name, _, value = line.decode().partition(":")
                headers[name.lower()] = value.strip()
            action = self.early.popleft() if self.early else ""
            if action == "reset":
                file.read(1_000)
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET
                )
                file.close()
                sock.close()
                return
            request_id = headers.get("request-id", "")
            if action == "answer":
                sock.sendall(build_response(413, request_id))
            count = read_body(file, headers)
            if action == "unstamped":
                sock.sendall(build_response(404, request_id, stamp=""))
            elif action != "answer":
                sock.sendall(build_response(200, request_id, b"%d" % count))


def read_body(file, headers):
    if headers.get("transfer-encoding") != "chunked":
        return len(file.read(int(headers.get("content-length", 0))))
    count = 0
    while size := int(file.readline(), 16):
        count += len(file.read(size))
        file.readline()
    file.readline()
    return count


def build_response(status, request_id, body=b"", stamp="s"):
    head = (
        f"HTTP/1.1 {status} Status\r\nContent-Length: {len(body)}\r\n"
        f"Request-Id: {request_id}\r\nServer-Stamp: {stamp}\r\n\r\n"
    )
    return head.encode() + body


class Entry:
    """The listener for callers, with one filter before one target."""

    def __init__(self):
        self.upload_target = UploadTarget()
        self.filter = LastFilter(self.upload_target.target)
        pool = ConnectionPool(LIMITS, time.monotonic)
        app = CallersApp(
            FilterChain([self.filter]),
            None,
            Upstream(pool, LIMITS, time.monotonic, PlatformTargetDialect()),
            Metrics(LineWriter()),
            LIMITS,
            time.monotonic,
            InFlightRequests(),
            PlatformCallerDialect(),
        )
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.address = probe.getsockname()
        address = f"127.0.0.1:{self.address[1]}"
        self.server = build_server(address, build_callers_app(app, None))
        self.server.start()

    @property
    def served(self):
        """The paths of the requests that were read."""
        return [r.path for r in self.filter.requests]

    def stop(self):
        self.server.stop(timeout=0)
        self.upload_target.server.stop(timeout=0)


@pytest.fixture
def entry():
    entry = Entry()
    yield entry
    entry.stop()


def encode_head(path, *headers, method="POST"):
    lines = [f"{method} {path} HTTP/1.1", "Host: rota.example"]
    lines += [f"Request-Id: id{path.replace('/', '-')}", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def encode_chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def exchange(entry, *parts, pause_s=0.2, ends=False):
    """Send parts with pauses, then read until the end or a long pause.

    Args:
        entry: the entry to send them to.
        parts: bytes to send.
        pause_s: seconds between the parts.
        ends: whether the sending side of the connection is closed then.
    """
    received = b""
    with gevent.socket.create_connection(entry.address) as sock:
        sock.settimeout(MAX_PAUSE_S)
        for number, part in enumerate(parts):
            if number:
                gevent.sleep(pause_s)
            sock.sendall(part)
        if ends:
            sock.shutdown(socket.SHUT_WR)
        with contextlib.suppress(TimeoutError):
            while piece := sock.recv(65_536):
                received += piece
    return received


def encode_upload(is_chunked):
    """Return the two parts of a long upload."""
    first, rest = b"f" * FIRST_BYTES, b"r" * (BODY_BYTES - FIRST_BYTES)
    if is_chunked:
        head = encode_head("/a", "Transfer-Encoding: chunked")
        first = b"%x\r\n" % BODY_BYTES + first
        return head + first, rest + b"\r\n0\r\n\r\n"
    return encode_head("/a", f"Content-Length: {BODY_BYTES}") + first, rest


# The text in the file is where a reader that is off by a part looks for the
# next request.
FILE = (HIDDEN + b"." * 1_000) * 40
FILE_UPLOAD = encode_head("/b", f"Content-Length: {len(FILE)}") + FILE
STATUSES = {"answer": 413, "reset": 502, "refused": 503}


@pytest.mark.parametrize("is_chunked", [False, True], ids=["sized", "chunks"])
@pytest.mark.parametrize("kind", STATUSES)
def test_rest_of_an_upload_that_ended_early_is_not_read_as_a_request(
    entry, kind, is_chunked
):
    entry.upload_target.early.append(kind)
    entry.filter.refuses = kind == "refused"
    received = exchange(entry, *encode_upload(is_chunked), FILE_UPLOAD)
    assert entry.served == ["/a"]
    assert received.startswith(b"HTTP/1.1 %d" % STATUSES[kind])
    assert b"\r\nConnection: close\r\n" in received
    assert received.count(b"HTTP/1.1 ") == 1


# Guards against a reset that destroys an early response.
def test_caller_that_reads_after_its_whole_upload_gets_an_early_response(
    entry,
):
    entry.upload_target.early.append("answer")
    count = 20
    piece = b"p" * 200_000
    head = encode_head("/a", f"Content-Length: {len(piece) * count}")
    received = exchange(entry, head, *[piece] * count, pause_s=0.05)
    assert received.startswith(b"HTTP/1.1 413")


@pytest.mark.parametrize("is_chunked", [False, True], ids=["sized", "chunks"])
def test_connection_is_kept_after_an_upload_that_was_read(entry, is_chunked):
    upload = b"".join(encode_upload(is_chunked))
    last = encode_head("/c", "Connection: close", method="GET")
    received = exchange(entry, upload, upload, last)
    assert received.count(b"HTTP/1.1 200") == 3
    assert received.count(b"\r\n\r\n%d" % BODY_BYTES) == 2
    assert entry.served == ["/a", "/a", "/c"]


@pytest.mark.parametrize("is_chunked", [False, True], ids=["sized", "chunks"])
def test_body_of_a_request_to_upgrade_is_read_as_others(entry, is_chunked):
    framing = (
        "Transfer-Encoding: chunked" if is_chunked else "Content-Length: 4"
    )
    head = encode_head("/a", "Connection: Upgrade", "Upgrade: x", framing)
    body = encode_chunk(b"body") + b"0\r\n\r\n" if is_chunked else b"body"
    last = encode_head("/c", "Connection: close", method="GET")
    received = exchange(entry, head + body, last)
    assert received.count(b"HTTP/1.1 200") == 2
    assert entry.served == ["/a", "/c"]


PARTIAL_BODIES = {
    "sized": encode_head("/a", "Content-Length: 1000") + b"b" * 900,
    "long": encode_head("/a", f"Content-Length: {BODY_BYTES}") + b"b" * 900,
    "in a chunk": encode_head("/a", "Transfer-Encoding: chunked")
    + encode_chunk(b"b" * 900)[:-200],
    "between chunks": encode_head("/a", "Transfer-Encoding: chunked")
    + encode_chunk(b"b" * 900),
}


@pytest.mark.parametrize("kind", PARTIAL_BODIES)
def test_body_that_takes_too_long_is_not_reported_as_invalid(entry, kind):
    received = exchange(entry, PARTIAL_BODIES[kind], HIDDEN * 40, pause_s=0.5)
    assert received.startswith(b"HTTP/1.1 408")
    assert b"\r\nConnection: close\r\n" in received
    assert received.count(b"HTTP/1.1 ") == 1
    assert entry.served == []


@pytest.mark.parametrize("kind", PARTIAL_BODIES)
def test_body_that_is_cut_off_is_not_reported_as_invalid(entry, kind):
    received = exchange(entry, PARTIAL_BODIES[kind], ends=True)
    assert received.startswith(b"HTTP/1.1 408")
    assert entry.served == []


MALFORMED_CHUNKS = {
    "size": b"x\r\n",
    "no size": b"\r\n",
    "end of data": b"4\r\nbodyX",
    "trailer": b"0\r\n@: 1\r\n",
}


@pytest.mark.parametrize("kind", MALFORMED_CHUNKS)
def test_nothing_is_read_after_a_malformed_chunk(entry, kind):
    head = encode_head("/a", "Transfer-Encoding: chunked")
    received = exchange(entry, head + MALFORMED_CHUNKS[kind] + HIDDEN)
    assert received.startswith(b"HTTP/1.1 400")
    assert b"\r\nConnection: close\r\n" in received
    assert received.count(b"HTTP/1.1 ") == 1
    assert entry.served == []


TARGETS = ["/x?", "/x", "/x?a=1", "/x??", "/%2e/x?%3f", "/x?a=/b?c"]


@pytest.mark.parametrize("target", TARGETS)
def test_request_target_is_forwarded_unchanged(entry, target):
    exchange(entry, encode_head(target, "Connection: close", method="GET"))
    assert entry.upload_target.targets == [target]


ABSOLUTE_TARGETS = {
    "http://other.example/x?a=1": "/x?a=1",
    "http://other.example:80/x?": "/x?",
    "HTTPS://other.example/x": "/x",
    "http://other.example": "/",
    "http://other.example?a=/b": "/?a=/b",
}


@pytest.mark.parametrize("target", ABSOLUTE_TARGETS)
def test_absolute_target_names_the_host_and_the_path(entry, target):
    head = encode_head(target, "Connection: close", method="GET")
    assert exchange(entry, head).startswith(b"HTTP/1.1 200")
    assert entry.upload_target.targets == [ABSOLUTE_TARGETS[target]]
    [request] = entry.filter.requests
    assert request.authority.startswith("other.example")
    assert "other.example" not in request.path


@pytest.mark.parametrize("target", ["http:///x", "http://a@b/x", "x", "*"])
def test_invalid_target_is_refused(entry, target):
    head = encode_head(target, "Connection: close", method="GET")
    assert exchange(entry, head).startswith(b"HTTP/1.1 4")
    assert entry.served == []


def test_refusal_that_is_not_the_targets_does_not_reach_the_caller(entry):
    entry.upload_target.early.append("unstamped")
    received = exchange(entry, encode_head("/a", "Connection: close"))
    assert received.startswith(b"HTTP/1.1 502")


# An underscore is allowed in a name (RFC 9110 section 5.6.2).
def test_field_name_with_an_underscore_does_not_make_a_request_invalid(entry):
    fields = "X_Trace: 1", "Request_Id: other", "Connection: close"
    received = exchange(entry, encode_head("/a", *fields, method="GET"))
    assert received.startswith(b"HTTP/1.1 200")
    [request] = entry.filter.requests
    assert request.id == "id-a"
    assert not [n for n, _ in request.headers if n.lower() == "x-trace"]


CHUNKED = "Transfer-Encoding: chunked"
CHUNKS = b"2\r\nxx\r\n0\r\n\r\n"
EXPECT = "Expect: 100-continue"
SIZED = "Content-Length: 2"
# Method, target, fields and body.
VALID_REQUESTS = {
    "options": ("OPTIONS", "/a", [], b""),
    "unknown method": ("PURGE", "/a", [], b""),
    "get with a body": ("GET", "/a", [SIZED], b"xx"),
    "get with chunks": ("GET", "/a", [CHUNKED], CHUNKS),
    "delete with a body": ("DELETE", "/a", [SIZED], b"xx"),
    "delete with no body": ("DELETE", "/a", ["Content-Length: 0"], b""),
    "escapes": ("GET", "/a%2Fb/%0a%0d%00%ff?%ff=%0a", [], b""),
    "invalid escapes": ("GET", "/a/%zz%?%=%zz&&&=;", [], b""),
    "empty segments": ("GET", "//a//b/", [], b""),
    "dot segments": ("GET", "/a/../b/./c/..", [], b""),
    "reserved characters": ("GET", "/a:b@c;p=1,2!$&'()*+=~", [], b""),
    "long target": ("GET", f"/{'a' * 15_000}?{'b=1&' * 5_000}", [], b""),
    "many fields": ("GET", "/a", [f"X-{n}: {n}" for n in range(200)], b""),
    "long field": ("GET", "/a", [f"Cookie: {'c' * 16_000}"], b""),
    "empty fields": ("GET", "/a", ["X-A:", "X-B: ", "X-C:\t1\t"], b""),
    "repeated fields": ("GET", "/a", ["X-A: 1", "X-A: 2"], b""),
    "odd names": ("GET", "/a", ["X!#$%&'*+-.^`|~: 1"], b""),
    "odd values": ("GET", "/a", ["Range: x", "Date: x", "Accept: ?"], b""),
    "nested type": ("POST", "/a", ["Content-Type: message/x", SIZED], b"xx"),
    "no boundary": ("POST", "/a", ["Content-Type: multipart/x", SIZED], b"xx"),
    "upgrade": ("GET", "/a", ["Upgrade: h2c", "HTTP2-Settings: x"], b""),
    "continue": ("POST", "/a", [EXPECT, SIZED], b"xx"),
    "continue, chunks": ("POST", "/a", [EXPECT, CHUNKED], CHUNKS),
    "extensions": ("POST", "/a", [CHUNKED], b'2;a="b"\r\nxx\r\n0;c\r\n\r\n'),
    "trailers": ("POST", "/a", [CHUNKED], CHUNKS[:-2] + b"X-T: 1\r\n\r\n"),
    "chunks in upper case": ("POST", "/a", [CHUNKED.upper()], CHUNKS),
}  # fmt: skip


@pytest.mark.parametrize("kind", VALID_REQUESTS)
def test_valid_request_is_not_refused(entry, kind):
    method, target, fields, body = VALID_REQUESTS[kind]
    head = encode_head(target, *fields, method=method)
    last = encode_head("/last", "Connection: close", method="GET")
    received = exchange(entry, head + body + last)
    assert received.count(b"HTTP/1.1 200") == 2
    assert entry.upload_target.targets == [target, "/last"]


@pytest.mark.parametrize("kind", VALID_REQUESTS)
def test_valid_request_that_arrives_in_pieces_is_not_refused(entry, kind):
    method, target, fields, body = VALID_REQUESTS[kind]
    fields = [*fields, "Connection: close"]
    data = encode_head(target, *fields, method=method) + body
    size = max(1, len(data) // 40)
    pieces = [data[n : n + size] for n in range(0, len(data), size)]
    received = exchange(entry, *pieces, pause_s=0.001)
    assert received.count(b"HTTP/1.1 200") == 1
    assert entry.upload_target.targets == [target]


LONG_FILE = FILE * 10


class StreamingTarget:
    """Sends the start of a long response, then its rest or a reset."""

    def __init__(self):
        self.head = b""
        self.is_cut = False
        self.server = StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()
        address = f"127.0.0.1:{self.server.server_port}"
        self.target = Target("t1", "rota", "south", "south-a", 2, address)

    def serve(self, sock, _address):
        file = sock.makefile("rb")
        names = b""
        while (line := file.readline()) != b"\r\n":
            if line.lower().startswith((b"request-id:", b"connection:")):
                names += line
        sock.sendall(b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n" + names)
        sock.sendall(self.head + LONG_FILE[: len(LONG_FILE) // 2])
        gevent.sleep(0.1)
        if self.is_cut:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        else:
            sock.sendall(LONG_FILE[len(LONG_FILE) // 2 :] + b"\r\n0\r\n\r\n")
        file.close()


@pytest.fixture
def streaming(entry):
    target = StreamingTarget()
    target.head = b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % len(LONG_FILE)
    entry.filter.target = target.target
    yield target
    target.server.stop(timeout=0)


OLD_REQUESTS = {
    "plain": b"GET /a HTTP/1.0\r\nHost: x\r\nRequest-Id: id-a\r\n\r\n",
    "keep-alive": (
        b"GET /a HTTP/1.0\r\nHost: x\r\nRequest-Id: id-a\r\n"
        b"Connection: keep-alive\r\n\r\n"
    ),
    "unread upload": (
        b"POST /a HTTP/1.0\r\nHost: x\r\nRequest-Id: id-a\r\n"
        b"Content-Length: 100000\r\n\r\n" + b"u" * 50_000
    ),
}


def read_to_end(entry, request):
    received = b""
    with gevent.socket.create_connection(entry.address) as sock:
        sock.settimeout(MAX_PAUSE_S)
        sock.sendall(request)
        while piece := sock.recv(65_536):
            received += piece
    return received.partition(b"\r\n\r\n")[2]


@pytest.mark.parametrize("kind", OLD_REQUESTS)
def test_response_in_chunks_ends_for_a_caller_that_knows_none(
    entry, streaming, kind
):
    assert read_to_end(entry, OLD_REQUESTS[kind]) == LONG_FILE


@pytest.mark.parametrize("kind", OLD_REQUESTS)
def test_cut_response_does_not_end_for_a_caller_that_knows_no_chunks(
    entry, streaming, kind
):
    streaming.is_cut = True
    with pytest.raises(ConnectionResetError):
        read_to_end(entry, OLD_REQUESTS[kind])


@pytest.mark.parametrize("framing", ["sized", "chunks"])
def test_cut_response_is_incomplete_for_a_caller(entry, streaming, framing):
    streaming.is_cut = True
    if framing == "sized":
        streaming.head = b"Content-Length: %d\r\n\r\n" % len(LONG_FILE)
    request = OLD_REQUESTS["plain"].replace(b"HTTP/1.0", b"HTTP/1.1")
    received = read_to_end(entry, request)
    assert len(received) < len(LONG_FILE)
    assert not received.endswith(b"0\r\n\r\n")
