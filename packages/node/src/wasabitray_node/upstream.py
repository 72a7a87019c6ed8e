"""Exchanges with targets."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable, Generator

import gevent
import gevent.socket
from gevent import Timeout
from geventhttpclient.response import HTTPParseError

from wasabitray_core.errors import TruncatedAnswerError
from wasabitray_core.filters.chain import Attempt
from wasabitray_core.ids import Seconds
from wasabitray_core.requests import AttemptResult, Response
from wasabitray_core.states import AttemptStatus
from wasabitray_node.answers import SingleResponse
from wasabitray_node.connections import (
    Borrow,
    Connection,
    ConnectionPool,
    DropIdle,
    GiveBack,
    place_of,
)
from wasabitray_node.dialects import TargetDialect, TargetFacts
from wasabitray_node.headers import strip_hop_by_hop
from wasabitray_node.settings import Limits, split_address
from wasabitray_node.timers import AttemptTimer
from wasabitray_node.watch import CallerGoneError, CallerWatch

READ_BYTES = 65_536
# A body up to this size fits the socket's buffer, so that it can be sent
# before the answer is read.
SEND_AT_ONCE_BYTES = 16_384
# Bytes that a target has not acknowledged end the connection after this.
USER_TIMEOUT_MS = 2_000

_TRANSPORT_ERRORS = (OSError, HTTPParseError)
_NO_REPLY_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH)


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
        dialect: TargetDialect,
        is_stopping: Callable[[], bool] = lambda: False,
    ) -> None:
        """Take the pool that owns idle connections.

        Args:
            pool: owns idle connections.
            limits: bounds on bodies and times.
            clock: returns monotonic seconds.
            dialect: what targets speak.
            is_stopping: whether a planned stop has begun.
        """
        self._is_stopping = is_stopping
        self._tell_pool = pool.receive
        self._limits = limits
        self._clock = clock
        self._dialect = dialect

    def attempt(self, attempt: Attempt, watch: CallerWatch) -> AttemptResult:
        """Send a request to a target and read the answer.

        Args:
            attempt: what to send where.
            watch: ends the attempt when the caller goes.
        """
        started = self._clock()
        exchange = _Exchange(attempt, self._limits, self._dialect)
        try:
            timer = AttemptTimer(
                attempt.timeout, attempt.stop_extension, self._is_stopping
            )
            with timer, watch:
                exchange.connection = self._connect(attempt)
                exchange.run()
            result = exchange.to_result()
        except Timeout:
            result = self._to_failure(exchange, "timed out", timed_out=True)
        except CallerGoneError as error:
            exchange.abandon()
            result = AttemptResult(AttemptStatus.CANCELLED, detail=str(error))
        except _ConnectError as error:
            result = AttemptResult(
                AttemptStatus.UNREACHABLE, detail=str(error)
            )
        except _TRANSPORT_ERRORS as error:
            silent = getattr(error, "errno", None) in _NO_REPLY_ERRORS
            result = self._to_failure(exchange, str(error), timed_out=silent)
        elapsed = Seconds(self._clock() - started)
        self._finish(exchange, result, watch)
        return AttemptResult(
            result.status, result.response, result.load, elapsed, result.detail
        )

    def _connect(self, attempt: Attempt) -> Connection:
        target = attempt.target
        place = place_of(target)
        if not attempt.use_new_connection:
            connection = self._tell_pool(Borrow(place))
            if connection is not None:
                return connection
        timeout = min(self._limits.connect_timeout_s, attempt.timeout)
        try:
            sock = gevent.socket.create_connection(
                split_address(target.address or target.target), timeout=timeout
            )
        except OSError as error:
            raise _ConnectError(f"connect: {error}") from error
        sock.settimeout(None)  # the whole attempt has one timeout
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
        )
        now = self._clock()
        return Connection(place, sock, now, now)

    def _to_failure(
        self, exchange: _Exchange, detail: str, timed_out: bool
    ) -> AttemptResult:
        """Close the connection and tell what its end means."""
        connection = exchange.connection
        exchange.abandon()
        if connection is None:
            # Not connected: no byte of the request has left.
            return AttemptResult(AttemptStatus.UNREACHABLE, detail=detail)
        if connection.reused and not exchange.answer_began:
            self._tell_pool(DropIdle(connection.place))
            status = AttemptStatus.STALE_CONNECTION
        elif timed_out:
            status = AttemptStatus.TIMED_OUT
        elif exchange.answer_began:
            status = AttemptStatus.TRUNCATED
        else:
            status = AttemptStatus.FAILED
        return AttemptResult(status, detail=detail)

    def _finish(
        self, exchange: _Exchange, result: AttemptResult, watch: CallerWatch
    ) -> None:
        if exchange.connection is None or result.response is None:
            return
        if result.response.chunks is None:
            self._give_back(exchange)
        else:
            rest = result.response.chunks
            result.response.chunks = self._stream(exchange, rest, watch)

    def _give_back(self, exchange: _Exchange) -> None:
        connection = exchange.connection
        assert connection is not None
        if exchange.reusable:
            connection.socket.settimeout(None)
            self._tell_pool(GiveBack(connection))
        else:
            connection.close()

    def _stream(
        self,
        exchange: _Exchange,
        rest: Generator[bytes, None, None],
        watch: CallerWatch,
    ) -> Generator[bytes, None, None]:
        """Pass on the rest of a body; break if it ends early."""
        complete = False
        connection = exchange.connection
        assert connection is not None
        connection.socket.settimeout(self._limits.stream_idle_s)
        ends_at = self._clock() + self._limits.stream_timeout_s
        try:
            while True:
                with watch:
                    piece = next(rest, b"")
                if not piece:
                    break
                exchange.check_size(len(piece), self._clock() > ends_at)
                yield piece
            complete = True
        finally:
            if complete:
                self._give_back(exchange)
            else:
                exchange.abandon()


class _ConnectError(Exception):
    """No connection, so nothing was sent."""


class _Exchange:
    """One request and its answer on one connection."""

    def __init__(
        self, attempt: Attempt, limits: Limits, dialect: TargetDialect
    ) -> None:
        self._attempt = attempt
        self._limits = limits
        self._dialect = dialect
        self._response: SingleResponse | None = None
        self._body = b""
        self._size = 0
        self._sent = False
        self._sender: gevent.Greenlet | None = None
        self._send_error: BaseException | None = None
        self.connection: Connection | None = None

    @property
    def answer_began(self) -> bool:
        """Whether a whole head of an answer has arrived."""
        return self._response is not None

    @property
    def reusable(self) -> bool:
        """Whether the connection is clean after this exchange."""
        response = self._response
        return (
            self._sent and response is not None and not response.should_close()
        )

    def run(self) -> None:
        """Send the request and read the answer.

        A target may answer a long body before it has read it, so the two
        go on at the same time.
        """
        request = self._attempt.request
        if request.stream is None and len(request.body) <= SEND_AT_ONCE_BYTES:
            self._send()
            self._receive()
            return
        self._sender = gevent.spawn(self._send_aside)
        try:
            self._receive()
        except _TRANSPORT_ERRORS as error:
            if isinstance(self._send_error, CallerGoneError):
                raise self._send_error from error
            raise
        finally:
            self._sender.kill()

    def _send_aside(self) -> None:
        """Send, and wake the reader if the body can't be had."""
        assert self.connection is not None
        try:
            self._send()
        except CallerGoneError as error:
            self._send_error = error
            self._shut()
        except OSError as error:
            self._send_error = error  # the reader sees the broken connection

    def _shut(self) -> None:
        assert self.connection is not None
        try:
            self.connection.socket.shutdown(socket.SHUT_RDWR)
        except OSError as error:
            self._send_error = self._send_error or error

    def _send(self) -> None:
        assert self.connection is not None
        sock = self.connection.socket
        request = self._attempt.request
        head = self._head()
        if request.stream is None:
            sock.sendall(head + request.body)
        else:
            sock.sendall(head)
            for piece in request.stream:
                sock.sendall(_frame(piece, request.length is None))
            if request.length is None:
                sock.sendall(b"0\r\n\r\n")
        self._sent = True

    def _head(self) -> bytes:
        request = self._attempt.request
        path = request.path + (f"?{request.query}" if request.query else "")
        lines = [f"{request.method} {path} HTTP/1.1"]
        headers = self._dialect.headers(self._attempt)
        lines += [f"{name}: {value}" for name, value in headers]
        if request.length is None:
            lines.append("Transfer-Encoding: chunked")
        elif request.length or request.method not in ("GET", "HEAD"):
            lines.append(f"Content-Length: {request.length}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def _receive(self) -> None:
        """Read the head and up to the held size of the body."""
        assert self.connection is not None
        method = self._attempt.request.method
        response = SingleResponse(self.connection.socket, READ_BYTES, method)
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
        self._size = size

    def _read(self, response: SingleResponse) -> bytes:
        try:
            piece = response.read(READ_BYTES)
        except HTTPParseError as error:
            raise TruncatedBodyError(str(error)) from error
        if not piece and not response.whole:
            raise TruncatedBodyError("the answer ended early")
        return piece

    def to_result(self) -> AttemptResult:
        """Return the answer and what it says about the target."""
        response = self._response
        assert response is not None
        headers = tuple((n, v) for n, v in response.items())
        status = response.status_code
        facts = self._dialect.read(self._attempt, status, headers)
        if facts.status is not AttemptStatus.ANSWERED:
            return self._to_refusal(facts)
        answer = Response(
            status,
            strip_hop_by_hop(headers),
            self._body,
            None if response.whole else self._rest(response),
        )
        return AttemptResult(AttemptStatus.ANSWERED, answer, facts.load)

    def check_size(self, more: int, is_late: bool) -> None:
        """Count bytes of the body's rest.

        Raises:
            TruncatedAnswerError: the body is too long, or takes too long.
        """
        self._size += more
        if not is_late and self._size <= self._limits.max_body_bytes:
            return
        detail = "takes too long" if is_late else "is too long"
        raise TruncatedAnswerError(
            f"the body {detail}, {self._size} bytes so far",
            step="stream answer",
            peer=self._attempt.target.target,
        )

    def _to_refusal(self, facts: TargetFacts) -> AttemptResult:
        """Return that the target did not answer this request."""
        self.abandon()
        return AttemptResult(
            facts.status, load=facts.load, detail=facts.detail
        )

    def _rest(self, response: SingleResponse) -> Generator[bytes, None, None]:
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
        if self._sender is not None:
            self._sender.kill(block=False)
        if self.connection is not None:
            self.connection.close()


class TruncatedBodyError(OSError):
    """The answer's body ended before its stated end."""


def _frame(piece: bytes, chunked: bool) -> bytes:
    if not chunked:
        return piece
    return b"%x\r\n%b\r\n" % (len(piece), piece)
