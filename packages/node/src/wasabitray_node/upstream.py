"""Attempts at targets over pooled HTTP connections."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable, Generator
from typing import Any

import gevent
from gevent import Timeout
from geventhttpclient.response import HTTPParseError
from msgspec.structs import replace

from wasabitray_core.errors import TruncatedAnswerError
from wasabitray_core.filters.chain import Attempt
from wasabitray_core.ids import Seconds
from wasabitray_core.requests import (
    AttemptResult,
    Headers,
    Response,
    Target,
    find_header,
)
from wasabitray_core.states import AttemptStatus
from wasabitray_node.client_budget import BudgetLimits
from wasabitray_node.connections import (
    BorrowConnection,
    CloseIdleConnections,
    Connection,
    ConnectionPool,
    ReturnConnection,
    get_pool_key,
)
from wasabitray_node.dialects import ResponseMetadata, TargetDialect
from wasabitray_node.headers import strip_hop_by_hop
from wasabitray_node.held_bytes import HeldBytes
from wasabitray_node.read_ahead import ReadAhead
from wasabitray_node.settings import Limits, split_address
from wasabitray_node.silence_watch import SilenceReporter, SilenceWatch
from wasabitray_node.sockets import connect
from wasabitray_node.target_responses import SingleResponse
from wasabitray_node.timers import AttemptTimer
from wasabitray_node.watch import CallerGoneError, CallerWatch

READ_SIZE_BYTES = 65_536
# What arrives with a head is not counted until the head is complete.
HEAD_READ_SIZE_BYTES = 8_192
# While no further byte should be held, each response still needs one piece.
SMALL_READ_SIZE_BYTES = 8_192
# A shorter body is passed on as bytes, and no longer counted then: the buffer
# of the caller's socket takes most of it.
SHORT_BODY_BYTES = 16_384
# A body up to this size fits in the socket's send buffer, so it can be sent
# whole before the response is read.
SINGLE_SEND_MAX_BYTES = 16_384
# Reads of what has arrived on a connection that is closed.
MAX_DROPPED_READS = 4
# A connection whose sent bytes stay unacknowledged for this long is closed.
USER_TIMEOUT_MS = 2_000

_TRANSPORT_ERRORS = (OSError, HTTPParseError)
_NO_REPLY_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH)


class Upstream:
    """Makes attempts at targets over pooled connections.

    The client of geventhttpclient is not used: it silently sends a request
    again when a reused connection turns out to be closed, and whether to
    retry is decided by the filter chain. Only its response parser is used.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        limits: Limits,
        clock: Callable[[], Seconds],
        dialect: TargetDialect,
        is_stopping: Callable[[], bool] = lambda: False,
    ) -> None:
        """Create the client.

        Args:
            pool: owns the idle connections.
            limits: bounds on bodies and times.
            clock: returns monotonic seconds.
            dialect: writes and reads the headers that targets use.
            is_stopping: returns whether a planned stop has begun.
        """
        self._is_stopping = is_stopping
        host_limits = BudgetLimits.from_host(
            limits.memory_mb, limits.max_descriptors
        )
        self._held = HeldBytes(
            min(limits.hold_total_bytes, host_limits.response_bytes)
        )
        self._send_to_pool = pool.receive
        self._limits = limits
        self._clock = clock
        self._dialect = dialect

    @property
    def held_bytes(self) -> int:
        """Bytes of responses that wait for their callers."""
        return self._held.count

    def attempt(
        self,
        attempt: Attempt,
        watch: CallerWatch,
        report_silence: SilenceReporter | None = None,
    ) -> AttemptResult:
        """Send a request to a target and read the response.

        Args:
            attempt: the request and the target.
            watch: ends the attempt when the caller disconnects.
            report_silence: called if silence of the target is evidence.
        """
        started = self._clock()
        exchange = _HttpExchange(
            attempt, self._limits, self._dialect, self._held
        )
        # A reused connection may have gone silent for good, with a target
        # that responds on new ones.
        silence = SilenceWatch(
            attempt.silence,
            lambda: exchange.is_first and self._is_reachable(attempt.target),
            report_silence,
        )
        try:
            timer = AttemptTimer(
                attempt.timeout,
                attempt.stop_extension + attempt.response_wait,
                self._is_stopping,
            )
            with timer, watch, silence:
                exchange.connection = self._connect(attempt)
                exchange.run()
            result = exchange.build_result()
        except Timeout:
            result = self._build_failure(exchange, "timed out", timed_out=True)
        except CallerGoneError as error:
            exchange.abandon()
            result = AttemptResult(AttemptStatus.CANCELLED, detail=str(error))
        except _ConnectError as error:
            result = AttemptResult(
                AttemptStatus.UNREACHABLE, detail=str(error)
            )
        except _TRANSPORT_ERRORS as error:
            result = self._build_failure(
                exchange, str(error), timed_out=_is_no_reply(error)
            )
        except BaseException:
            exchange.abandon()
            raise
        finally:
            exchange.release_held()
        elapsed = Seconds(self._clock() - started)
        if result.is_silent:
            allowed = attempt.timeout + attempt.stop_extension
            silence.check_given_up(elapsed, allowed)
        self._release_connection(exchange, result, watch)
        return replace(result, elapsed=elapsed)

    def _connect(self, attempt: Attempt) -> Connection:
        target = attempt.target
        pool_key = get_pool_key(target)
        if not attempt.use_new_connection:
            connection = self._send_to_pool(BorrowConnection(pool_key))
            if connection is not None:
                return connection
        timeout = min(self._limits.connect_timeout_s, attempt.timeout)
        try:
            sock = _open_socket(target, timeout)
        except OSError as error:
            raise _ConnectError(f"can't connect: {error}") from error
        sock.settimeout(None)  # AttemptTimer bounds the whole attempt
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
        )
        now = self._clock()
        return Connection(pool_key, sock, now, now)

    def _is_reachable(self, target: Target) -> bool:
        """Open and close a connection; return whether that worked."""
        try:
            _open_socket(target, self._limits.connect_timeout_s).close()
        except OSError:
            return False
        return True

    def _build_failure(
        self, exchange: _HttpExchange, detail: str, timed_out: bool
    ) -> AttemptResult:
        """Close the connection and return how the attempt failed."""
        connection = exchange.connection
        exchange.abandon()
        if connection is None:
            # There was no connection, so no byte of the request was sent.
            return AttemptResult(AttemptStatus.UNREACHABLE, detail=detail)
        if connection.reused and not exchange.has_response_head:
            self._send_to_pool(CloseIdleConnections(connection.pool_key))
            status = AttemptStatus.STALE_CONNECTION
        elif timed_out:
            status = AttemptStatus.TIMED_OUT
        elif exchange.has_response_head:
            status = AttemptStatus.TRUNCATED
        else:
            status = AttemptStatus.FAILED
        return AttemptResult(status, detail=detail, is_silent=timed_out)

    def _release_connection(
        self,
        exchange: _HttpExchange,
        result: AttemptResult,
        watch: CallerWatch,
    ) -> None:
        """Release the connection now, or after the rest of a streamed body."""
        if exchange.connection is None or result.response is None:
            return
        response = result.response
        if response.chunks is None:
            self._return_connection(exchange)
            if len(response.body) <= SHORT_BODY_BYTES:
                return
            chunks = self._hold(len(response.body))
            response.is_complete = True
        else:
            chunks = self._stream(exchange, response, watch)
        next(chunks)  # closing it has no effect before it has started
        response.chunks = chunks

    def _hold(self, size: int) -> Generator[bytes, None, None]:
        """Yield nothing; count a complete body until it was sent."""
        self._held.add(size)
        try:
            yield b""
        finally:
            self._held.remove(size)

    def _return_connection(self, exchange: _HttpExchange) -> None:
        connection = exchange.connection
        assert connection is not None
        exchange.stop_sending()
        if exchange.is_reusable:
            connection.socket.settimeout(None)
            self._send_to_pool(ReturnConnection(connection))
        else:
            connection.close()

    def _stream(
        self,
        exchange: _HttpExchange,
        response: Response,
        watch: CallerWatch,
    ) -> Generator[bytes, None, None]:
        """Yield nothing, then the rest of a body.

        The beginning is counted until the rest is asked for. The connection
        is closed if the body ends early.
        """
        rest = response.chunks
        assert rest is not None
        is_complete = False
        connection = exchange.connection
        assert connection is not None
        connection.socket.settimeout(self._limits.stream_idle_s)
        deadline = self._clock() + self._limits.stream_timeout_s
        beginning = len(response.body)
        self._held.add(beginning)
        ahead = ReadAhead(rest, self._held, exchange.check_size)
        try:
            yield b""
            self._held.remove(beginning)
            beginning = 0
            while True:
                with watch:
                    piece = ahead.take()
                if not piece:
                    break
                exchange.check_time(self._clock() > deadline)
                yield piece
            is_complete = True
        finally:
            self._held.remove(beginning)
            ahead.close()
            if is_complete:
                self._return_connection(exchange)
            else:
                exchange.abandon()


def _open_socket(target: Target, timeout: float) -> Any:
    return connect(split_address(target.address or target.target), timeout)


def _state_length(
    headers: Headers, parsed: SingleResponse, size: int
) -> Headers:
    """Add the length of a complete body that is counted until it was sent.

    A target that sends chunks states none.
    """
    if not parsed.is_complete or size <= SHORT_BODY_BYTES:
        return headers
    if find_header(headers, "Content-Length"):
        return headers
    return (*headers, ("Content-Length", str(size)))


def _drop_input(sock: Any) -> None:
    """Read what has arrived, without waiting.

    Closing a socket with unread bytes resets the connection, and a target
    that still reads the request loses the rest of it.
    """
    try:
        sock.settimeout(0.0)
        for _ in range(MAX_DROPPED_READS):
            if not sock.recv(READ_SIZE_BYTES):
                return
    except OSError:
        return  # nothing has arrived, or the connection is closed


def _is_no_reply(error: BaseException) -> bool:
    """Return whether the kernel gave up a connection without a reply."""
    return getattr(error, "errno", None) in _NO_REPLY_ERRORS


class _ConnectError(Exception):
    """No connection could be made, so nothing was sent."""


class _HttpExchange:
    """One request and its response on one connection."""

    def __init__(
        self,
        attempt: Attempt,
        limits: Limits,
        dialect: TargetDialect,
        held: HeldBytes,
    ) -> None:
        self._attempt = attempt
        self._limits = limits
        self._dialect = dialect
        self._held = held
        self._response: SingleResponse | None = None
        self._names_request = False
        self._pieces: list[bytes] = []
        self._size = 0
        self._is_sent = False
        self._sender: gevent.Greenlet | None = None
        self._send_error: BaseException | None = None
        self.connection: Connection | None = None

    @property
    def has_response_head(self) -> bool:
        """Whether the complete head of a response has arrived."""
        return self._response is not None

    @property
    def is_first(self) -> bool:
        """Whether it is the first exchange on its connection."""
        return self.connection is not None and not self.connection.reused

    @property
    def is_reusable(self) -> bool:
        """Whether the connection can carry another exchange."""
        response = self._response
        return (
            self._is_sent
            and self._names_request
            and response is not None
            and not response.should_close()
        )

    @property
    def _read_size(self) -> int:
        """How many bytes to read at once."""
        return SMALL_READ_SIZE_BYTES if self._held.is_full else READ_SIZE_BYTES

    def run(self) -> None:
        """Send the request and read the response.

        A target may respond before it has read all of a long body, so a
        long body is sent while the response is read, up to the end of both.
        """
        request = self._attempt.request
        if (
            request.stream is None
            and len(request.body) <= SINGLE_SEND_MAX_BYTES
        ):
            self._send()
            self._receive()
            return
        self._sender = gevent.spawn(self._send_in_background)
        try:
            self._receive()
        except _TRANSPORT_ERRORS as error:
            cause = self._send_error
            if isinstance(cause, CallerGoneError):
                raise cause from error
            if cause is not None and _is_no_reply(cause):
                raise cause from error
            raise

    def _send_in_background(self) -> None:
        """Send the request; end the read if the caller's body fails."""
        assert self.connection is not None
        try:
            self._send()
        except CallerGoneError as error:
            self._send_error = error
            self._shut_down_socket()
        except OSError as error:
            self._send_error = error  # the response may still be complete

    def _shut_down_socket(self) -> None:
        assert self.connection is not None
        try:
            self.connection.socket.shutdown(socket.SHUT_RDWR)
        except OSError as error:
            self._send_error = self._send_error or error

    def _send(self) -> None:
        assert self.connection is not None
        sock = self.connection.socket
        request = self._attempt.request
        head = self._build_head()
        if request.stream is None:
            sock.sendall(head + request.body)
        else:
            sock.sendall(head)
            for piece in request.stream:
                sock.sendall(_encode_piece(piece, request.length is None))
            if request.length is None:
                sock.sendall(b"0\r\n\r\n")
        self._is_sent = True

    def _build_head(self) -> bytes:
        request = self._attempt.request
        query = "" if request.query is None else f"?{request.query}"
        lines = [f"{request.method} {request.path}{query} HTTP/1.1"]
        headers = self._dialect.build_headers(self._attempt)
        lines += [f"{name}: {value}" for name, value in headers]
        if request.length is None:
            lines.append("Transfer-Encoding: chunked")
        elif request.length or request.method not in ("GET", "HEAD"):
            lines.append(f"Content-Length: {request.length}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def _receive(self) -> None:
        """Read the head, and the body up to the size that is buffered."""
        assert self.connection is not None
        method = self._attempt.request.method
        response = SingleResponse(
            self.connection.socket, HEAD_READ_SIZE_BYTES, method
        )
        self._response = response
        while piece := self._read(response):
            self._pieces.append(piece)
            self._size += len(piece)
            self._held.add(len(piece))
            # The parser may hold the last bytes of a complete response.
            if not response.is_complete and (
                self._size > self._limits.hold_bytes or self._held.is_full
            ):
                break

    def _read(self, response: SingleResponse) -> bytes:
        size = self._read_size
        # Counted before it arrives: many may be read at the same time.
        reserved = 0 if response.is_complete else size
        self._held.add(reserved)
        try:
            piece = response.read_some(size)
        except HTTPParseError as error:
            raise TruncatedBodyError(str(error)) from error
        finally:
            self._held.remove(reserved)
        if response.ended_with_connection:
            self._check_sent()
        if not piece and not response.is_complete:
            raise TruncatedBodyError("the response body ended early")
        return piece

    def _check_sent(self) -> None:
        """Check that the end of the connection was the target's own.

        If sending failed, the sender may have got the connection's error in
        place of the reader. A target that ends only its side of the
        connection still reads the rest of the request.

        Raises:
            TruncatedBodyError: the request was not sent to its end.
        """
        if self._sender is not None:
            self._sender.join(self._limits.stream_timeout_s)
        if not self._is_sent:
            raise TruncatedBodyError(
                "the connection ended before the request was sent"
            )

    def build_result(self) -> AttemptResult:
        """Return how the attempt ended, with its response and the load."""
        parsed = self._response
        assert parsed is not None
        headers = tuple((n, v) for n, v in parsed.items())
        status = parsed.status_code
        assert self.connection is not None
        metadata = self._dialect.parse_response(
            self._attempt, status, headers, self.connection.reused
        )
        if metadata.status is not AttemptStatus.ANSWERED:
            return self._build_refusal(metadata)
        self._names_request = metadata.names_request
        body = b"".join(self._pieces)
        response = Response(
            status,
            _state_length(strip_hop_by_hop(headers), parsed, len(body)),
            body,
            None if parsed.is_complete else self._read_rest(parsed),
        )
        return AttemptResult(
            AttemptStatus.ANSWERED,
            response,
            metadata.load,
            is_leaving=metadata.is_leaving,
        )

    def release_held(self) -> None:
        """Drop the pieces of the body that were held back."""
        self._held.remove(sum(map(len, self._pieces)))
        self._pieces.clear()

    def check_size(self, added_bytes: int) -> None:
        """Count further bytes of the body.

        Raises:
            TruncatedAnswerError: the body is too long.
        """
        self._size += added_bytes
        if self._size > self._limits.max_body_bytes:
            raise self._build_cut_off("is too long")

    def check_time(self, is_late: bool) -> None:
        """Check that the time for the body is not over.

        Raises:
            TruncatedAnswerError: it is.
        """
        if is_late:
            raise self._build_cut_off("takes too long")

    def _build_cut_off(self, problem: str) -> TruncatedAnswerError:
        return TruncatedAnswerError(
            f"the body {problem} ({self._size} bytes received)",
            step="stream response",
            peer=self._attempt.target.target,
        )

    def _build_refusal(self, metadata: ResponseMetadata) -> AttemptResult:
        """Return the result of a response that is not sent to the caller.

        The target did not serve the request, or the data received is no
        response to it.
        """
        self.abandon()
        return AttemptResult(
            metadata.status,
            load=metadata.load,
            detail=metadata.detail,
            is_leaving=metadata.is_leaving,
            retry_after=metadata.retry_after,
        )

    def _read_rest(
        self, response: SingleResponse
    ) -> Generator[bytes, None, None]:
        try:
            while piece := self._read(response):
                yield piece
        except _TRANSPORT_ERRORS as error:
            raise TruncatedAnswerError(
                str(error),
                step="stream response",
                peer=self._attempt.target.target,
            ) from error

    def stop_sending(self) -> None:
        """Stop sending what is left of the request."""
        if self._sender is not None:
            self._sender.kill()

    def abandon(self) -> None:
        """Close the connection, on which a late response may still come."""
        self.stop_sending()
        if self.connection is not None:
            _drop_input(self.connection.socket)
            self.connection.close()


class TruncatedBodyError(OSError):
    """A response body ended before its stated end."""


def _encode_piece(piece: bytes, chunked: bool) -> bytes:
    if not chunked:
        return piece
    return b"%x\r\n%b\r\n" % (len(piece), piece)
