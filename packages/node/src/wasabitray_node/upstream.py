"""Connections to targets and exchanges over them."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable, Generator
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any

import gevent.socket
from gevent import Timeout
from geventhttpclient.response import HTTPParseError, HTTPSocketResponse

from wasabitray_core.errors import TruncatedAnswerError
from wasabitray_core.filters.chain import Attempt
from wasabitray_core.ids import Seconds, TargetId
from wasabitray_core.requests import (
    Answer,
    AttemptResult,
    LoadReport,
    Request,
)
from wasabitray_core.states import AttemptStatus
from wasabitray_node.headers import (
    DEADLINE_HEADER,
    LOAD_HEADER,
    ORGANISATION_HEADER,
    OUTCOME_HEADER,
    strip_hop_by_hop,
)
from wasabitray_node.settings import Limits, split_address

NOT_RUN = "not-run"
SHED_STATUSES = frozenset({429, 503})
READ_BYTES = 65_536

_TRANSPORT_ERRORS = (OSError, HTTPParseError)


class CallerGoneError(Exception):
    """The caller's body ended early or could not be read."""


@dataclass(slots=True)
class Connection:
    """A connection to a target; one task owns it at a time.

    Attributes:
        reused: whether it has carried an exchange before.
    """

    target: TargetId
    socket: Any
    opened: Seconds
    idle_since: Seconds
    reused: bool = False

    def close(self) -> None:
        """Close the socket."""
        self.socket.close()


@dataclass(frozen=True, slots=True)
class Borrow:
    """Asks the pool for an idle connection; the reply may be None."""

    target: TargetId


@dataclass(frozen=True, slots=True)
class GiveBack:
    """Hands a connection that is clean to the pool."""

    connection: Connection


@dataclass(frozen=True, slots=True)
class DropIdle:
    """Closes a target's idle connections: their path may be dead."""

    target: TargetId


class ConnectionPool:
    """Owns the idle connections to all targets and takes messages.

    It never waits, so it needs no greenlet of its own.
    """

    def __init__(self, limits: Limits, clock: Callable[[], Seconds]) -> None:
        """Start without connections."""
        self._limits = limits
        self._clock = clock
        self._idle: dict[TargetId, deque[Connection]] = {}

    @singledispatchmethod
    def receive(self, message: Any) -> Connection | None:
        """Handle one message."""
        raise TypeError(f"{self!r} can't take {message!r}")

    @receive.register
    def _(self, message: Borrow) -> Connection | None:
        return self._take(message.target)

    @receive.register
    def _(self, message: GiveBack) -> None:
        self._keep(message.connection)

    @receive.register
    def _(self, message: DropIdle) -> None:
        for connection in self._idle.pop(message.target, ()):
            connection.close()

    def _take(self, target: TargetId) -> Connection | None:
        idle = self._idle.get(target)
        while idle:
            connection = idle.pop()
            age = self._clock() - connection.idle_since
            if age <= self._limits.idle_connection_s:
                return connection
            connection.close()
        return None

    def _keep(self, connection: Connection) -> None:
        idle = self._idle.setdefault(connection.target, deque())
        connection.reused = True
        connection.idle_since = self._clock()
        idle.append(connection)
        if len(idle) > self._limits.idle_connections_per_target:
            idle.popleft().close()


class Upstream:
    """Makes attempts at targets over pooled connections.

    The library's own client is not used whole: it silently sends a request
    again when a reused connection turns out closed, and whether to repeat
    is this system's decision. Its response parser is used as it is.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        limits: Limits,
        clock: Callable[[], Seconds],
    ) -> None:
        """Take the pool that owns idle connections."""
        self._tell_pool = pool.receive
        self._limits = limits
        self._clock = clock

    def attempt(self, attempt: Attempt) -> AttemptResult:
        """Send a request to a target and read the answer."""
        started = self._clock()
        exchange = _Exchange(attempt, self._limits)
        try:
            with Timeout(max(0.001, attempt.timeout)):
                exchange.connection = self._connect(attempt)
                exchange.send()
                exchange.receive()
            result = exchange.to_result()
        except Timeout:
            result = self._to_failure(exchange, "timed out", timed_out=True)
        except CallerGoneError as error:
            exchange.abandon()
            result = AttemptResult(AttemptStatus.CANCELLED, detail=str(error))
        except _TRANSPORT_ERRORS as error:
            result = self._to_failure(exchange, str(error), timed_out=False)
        elapsed = Seconds(self._clock() - started)
        self._finish(exchange, result)
        return AttemptResult(
            result.status, result.answer, result.load, elapsed, result.detail
        )

    def _connect(self, attempt: Attempt) -> Connection:
        target = attempt.target.target
        if not attempt.fresh:
            connection = self._tell_pool(Borrow(target))
            if connection is not None:
                return connection
        timeout = min(self._limits.connect_timeout_s, attempt.timeout)
        try:
            sock = gevent.socket.create_connection(
                split_address(target), timeout=timeout
            )
        except OSError as error:
            raise ConnectionRefusedError(str(error)) from error
        sock.settimeout(None)  # the whole attempt has one timeout
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        now = self._clock()
        return Connection(target, sock, now, now)

    def _to_failure(
        self, exchange: _Exchange, detail: str, timed_out: bool
    ) -> AttemptResult:
        """Close the connection and tell what its end means."""
        connection = exchange.connection
        exchange.abandon()
        if connection is None:
            # Not connected: no byte of the request has left.
            return AttemptResult(AttemptStatus.REFUSED, detail=detail)
        if connection.reused and not exchange.answer_began:
            self._tell_pool(DropIdle(connection.target))
            status = AttemptStatus.STALE_CONNECTION
        elif timed_out:
            status = AttemptStatus.TIMED_OUT
        elif exchange.answer_began:
            status = AttemptStatus.TRUNCATED
        else:
            status = AttemptStatus.FAILED
        return AttemptResult(status, detail=detail)

    def _finish(self, exchange: _Exchange, result: AttemptResult) -> None:
        connection = exchange.connection
        if connection is None or result.answer is None:
            return
        if result.answer.chunks is None:
            self._give_back(exchange)
        else:
            rest = result.answer.chunks
            result.answer.chunks = self._stream(exchange, rest)

    def _give_back(self, exchange: _Exchange) -> None:
        connection = exchange.connection
        assert connection is not None
        if exchange.reusable:
            connection.socket.settimeout(None)
            self._tell_pool(GiveBack(connection))
        else:
            connection.close()

    def _stream(
        self, exchange: _Exchange, rest: Generator[bytes, None, None]
    ) -> Generator[bytes, None, None]:
        """Pass on the rest of a body; break if it ends early."""
        complete = False
        connection = exchange.connection
        assert connection is not None
        connection.socket.settimeout(self._limits.stream_idle_s)
        try:
            yield from rest
            complete = True
        finally:
            if complete:
                self._give_back(exchange)
            else:
                exchange.abandon()


class _Exchange:
    """One request and its answer on one connection."""

    def __init__(self, attempt: Attempt, limits: Limits) -> None:
        self._attempt = attempt
        self._limits = limits
        self._response: HTTPSocketResponse | None = None
        self._body = b""
        self.connection: Connection | None = None

    @property
    def answer_began(self) -> bool:
        """Whether a whole head of an answer has arrived."""
        return self._response is not None

    @property
    def reusable(self) -> bool:
        """Whether the connection is clean after this exchange."""
        response = self._response
        return response is not None and not response.should_close()

    def send(self) -> None:
        """Send the request."""
        assert self.connection is not None
        sock = self.connection.socket
        request = self._attempt.request
        sock.sendall(self._head(request) + request.body)
        if request.stream is not None:
            for piece in request.stream:
                sock.sendall(piece)

    def _head(self, request: Request) -> bytes:
        target = self._attempt.target.target
        path = request.path + (f"?{request.query}" if request.query else "")
        lines = [f"{request.method} {path} HTTP/1.1", f"Host: {target}"]
        lines += [f"{name}: {value}" for name, value in request.headers]
        lines.append(f"{ORGANISATION_HEADER}: {request.organisation}")
        deadline_ms = int(self._attempt.timeout * 1_000)
        lines.append(f"{DEADLINE_HEADER}: {deadline_ms}")
        if request.length or request.method not in ("GET", "HEAD"):
            lines.append(f"Content-Length: {request.length}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def receive(self) -> None:
        """Read the head and up to the held size of the body."""
        assert self.connection is not None
        method = self._attempt.request.method
        response = HTTPSocketResponse(
            self.connection.socket, READ_BYTES, method
        )
        self._response = response
        # The response closes its socket when it is dropped; here the
        # connection's owner does that.
        pieces = []
        size = 0
        while size <= self._limits.hold_bytes:
            piece = self._read(response)
            if not piece:
                break
            pieces.append(piece)
            size += len(piece)
        self._body = b"".join(pieces)

    def _read(self, response: HTTPSocketResponse) -> bytes:
        try:
            piece = response.read(READ_BYTES)
        except HTTPParseError as error:
            raise TruncatedBodyError(str(error)) from error
        if not piece and not response.message_complete:
            raise TruncatedBodyError("the answer ended early")
        return piece

    def to_result(self) -> AttemptResult:
        """Return the answer and what it says about the target."""
        response = self._response
        assert response is not None
        headers = tuple((n, v) for n, v in response.items())
        status = response.status_code
        outcome = str(response.get(OUTCOME_HEADER, ""))
        load = parse_load(str(response.get(LOAD_HEADER, "")))
        if status in SHED_STATUSES and outcome == NOT_RUN:
            self.abandon()
            return AttemptResult(
                AttemptStatus.SHED, load=load, detail=f"shed with {status}"
            )
        whole = response.message_complete
        answer = Answer(
            status,
            strip_hop_by_hop(headers),
            self._body,
            None if whole else self._rest(response),
        )
        return AttemptResult(AttemptStatus.ANSWERED, answer, load)

    def _rest(
        self, response: HTTPSocketResponse
    ) -> Generator[bytes, None, None]:
        try:
            while piece := self._read(response):
                yield piece
        except _TRANSPORT_ERRORS as error:
            raise TruncatedAnswerError(
                str(error),
                step="stream answer",
                peer=self._attempt.target.target,
            ) from error

    def abandon(self) -> None:
        """Close the connection: it may still carry a late answer."""
        if self.connection is not None:
            self.connection.close()


class TruncatedBodyError(OSError):
    """The answer's body ended before its stated end."""


def parse_load(value: str) -> LoadReport | None:
    """Parse `busy=1, slots=2` from a target's load header."""
    fields = {}
    for part in value.split(","):
        name, _, number = part.strip().partition("=")
        if number.isdigit():
            fields[name] = int(number)
    if "busy" in fields and "slots" in fields:
        return LoadReport(fields["busy"], fields["slots"])
    return None
