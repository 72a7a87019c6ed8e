"""HTTP listeners."""

from __future__ import annotations

import contextlib
import errno
import json
import logging
import re
import socket
import struct
import time
from email.parser import HeaderParser
from typing import Any

import falcon
import gevent
from gevent.event import Event
from gevent.pywsgi import (
    LoggingLogAdapter,
    OldMessage,
    WSGIHandler,
    WSGIServer,
)
from result import Err, Ok, Result

from wasabitray_node.client_budget import (
    FIELD_BYTES,
    BudgetLimits,
    ClientBudget,
    ClientPhase,
    CutOffReason,
    Holding,
)
from wasabitray_node.client_reader import ClientCutOffError, ClientReader
from wasabitray_node.logs import log_decision, log_event
from wasabitray_node.read_turns import ReadTurns
from wasabitray_node.request_input import (
    FramingTooLongError,
    MalformedBodyError,
    RequestInput,
)
from wasabitray_node.settings import Limits, split_address
from wasabitray_node.sockets import has_input

REQUEST_TARGET = "REQUEST_URI"
CALLER_SOCKET = "wasabitray.socket"
# TCP keep-alive probes of an idle connection: a caller whose machine lost
# power is detected after about 20 s and occupies a descriptor until then.
KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 3
KEEPALIVE_PROBES = 3
# A connection whose sent bytes stay unacknowledged for this long is closed.
USER_TIMEOUT_MS = 10_000
DEFAULT_IDLE_TIMEOUT_S = 75.0
MAX_LOGGED_ERROR = 200
# Bounds what a connection keeps in memory, unless the configuration lets
# callers send more; by default it states a quarter of this.
MAX_HEAD_BYTES = 262_144
# The lines of a head, each of which costs FIELD_BYTES once it is parsed. The
# shortest line has 4 bytes, so that a head of 65,536 bytes, the default of
# the configuration, has no more.
MAX_HEAD_LINES = 16_384
MIN_LINE_BYTES = 4
# Fewer than the server accepts by default: those over the limit of
# connections are closed before more are accepted.
MAX_ACCEPTED_AT_ONCE = 16
# For the bodies of operators and targets.
BODY_TIMEOUT_S = 30.0
# An upper bound for the objects that are decoded from JSON: each value
# follows one of these characters, and strings are as long as in the text.
_JSON_SEPARATORS = b"[{,:"
JSON_VALUE_BYTES = 100
RETRY_AFTER_S = 1
# What a caller still sends is read for this long after the last response on
# its connection, and until nothing has come for the shorter time.
LINGER_TIMEOUT_S = 30.0
LINGER_IDLE_S = 5.0
LINGER_READ_BYTES = 65_536
# Shorter parts of responses are within the cost of a connection.
MAX_UNCOUNTED_BYTES = 4_096
# What is dropped comes after all that is read.
MAX_TURNS = 2**31
# Closes a socket with a reset instead of an end.
_LINGER_RESET = struct.pack("ii", 1, 0)


# The token of RFC 9110 section 5.6.2.
_HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
# Other parsers may take an underscore for a hyphen. The server drops fields
# with one in their name.
_DISGUISED_FRAMING = re.compile(
    r"content_length|transfer_encoding", re.IGNORECASE
)
# The end of a message from where it quotes what a caller sent.
_QUOTED = re.compile(r"[:=]?\s*['\"].*", re.DOTALL)
_LENGTH = re.compile(r"[0-9]+")
# What may surround a field's value (RFC 9110 section 5.6.3).
_PADDING = " \t"
# The parser of the fields ends a line at a carriage return as well, and other
# parsers end a value at a null byte.
_AMBIGUOUS_BYTE = re.compile(rb"\0|\r(?!\n)")
# The absolute form of a request target: authority, path and query.
_ABSOLUTE_TARGET = re.compile(r"https?://([^/?#@]+)([/?].*)?", re.IGNORECASE)


def read_body(req: falcon.Request, max_bytes: int) -> bytes:
    """Return the body of a request to a listener that isn't for callers.

    Args:
        req: the request.
        max_bytes: largest size of the body.

    Raises:
        falcon.HTTPError: the body can't be read, or what is decoded from it
            may not be kept.
    """
    stream = req.stream
    try:
        with gevent.Timeout(BODY_TIMEOUT_S):
            body = stream.read(max_bytes + 1)
    except FramingTooLongError as error:
        raise falcon.HTTPError(431, title=f"too long {error}") from error
    except MalformedBodyError as error:
        raise falcon.HTTPBadRequest(
            title=f"the body is malformed: {error}"
        ) from error
    except gevent.Timeout:
        if isinstance(stream, RequestInput):
            stream.record_late()
        raise falcon.HTTPError(408, title="the body takes too long") from None
    except OSError as error:
        if isinstance(stream, RequestInput) and stream.has_given_way:
            raise _build_given_way() from error
        raise falcon.HTTPError(408, title=f"no whole body: {error}") from error
    if len(body) > max_bytes:
        raise falcon.HTTPContentTooLarge(
            title=f"the body is longer than {max_bytes} bytes"
        )
    values = sum(body.count(c) for c in _JSON_SEPARATORS)
    cost = len(body) + values * JSON_VALUE_BYTES
    if isinstance(stream, RequestInput) and not stream.reserve(cost):
        raise _build_given_way()
    return body


def _build_given_way() -> falcon.HTTPError:
    return falcon.HTTPServiceUnavailable(
        title="the request gave way to others and has not run",
        retry_after=RETRY_AFTER_S,
    )


def read_json(req: falcon.Request, max_bytes: int) -> Result[Any, str]:
    """Return the decoded body of a request, or why it can't be read.

    Args:
        req: the request.
        max_bytes: largest size of the body.

    Raises:
        falcon.HTTPError: the body ended early, took too long or gave way to
            others.
    """
    try:
        return Ok(json.loads(read_body(req, max_bytes)))
    except (falcon.HTTPBadRequest, falcon.HTTPContentTooLarge) as error:
        return Err(str(error.title))
    except RecursionError:
        return Err("the body is nested too deeply")
    except ValueError as error:
        return Err(f"the body is not JSON: {error}")


def _remove_quoted(error: ValueError) -> ValueError:
    """Return an error without the text that it quotes, maybe a key."""
    return ValueError(_QUOTED.sub("", str(error)))


class _HeadTooLongError(ValueError):
    """The request line and the header fields have too many bytes."""


class _HeadCutOffError(OSError):
    """The connection ended, or the time, before the end of a head."""


class _HeadTooSlowError(OSError):
    """A head did not end in time."""


class _IdleConnectionEndedError(Exception):
    """The server is stopping, and the connection carries no request."""


class StrictHandler(WSGIHandler):
    """Rejects requests that another HTTP parser could read differently.

    A body's length stated in two ways, invalid header names and folded
    header lines allow request smuggling: a request hides another one from
    one of the processes on its path (RFC 9112 section 11.2).
    """

    path: str
    wsgi_input: RequestInput | None = None
    _is_cut = False

    def __init__(self, sock: Any, address: Any, server: Any) -> None:
        """Create the handler of a connection."""
        self.holding = Holding(self._give_way)
        reader = ClientReader(sock, self.holding, server.budget, server.turns)
        super().__init__(sock, address, server, reader)

    def _give_way(self, reason: CutOffReason) -> None:
        """End the connection in favour of others (called by the budget)."""
        phase = self.holding.phase
        log_decision(
            "client cut off",
            cause=reason.value,
            phase=phase.value,
            caller=str(self.client_address),
        )
        # A response that refuses the request can still be written.
        is_reading = phase in (ClientPhase.IDLE, ClientPhase.READING)
        with contextlib.suppress(OSError):
            self.socket.shutdown(
                socket.SHUT_RD if is_reading else socket.SHUT_RDWR
            )

    def _enter(self, phase: ClientPhase) -> None:
        self.holding.enter(phase, self.server.budget.now())

    def MessageClass(self, file: Any, *_: Any) -> Any:  # noqa: N802
        """Read and parse the header fields.

        Raises:
            ValueError: the head is ambiguous or too long; the server refuses
                it and closes the connection.
        """
        text = self._read_fields(file).decode("latin-1")
        headers = HeaderParser(_class=OldMessage).parsestr(text)
        lengths = headers.get_all("content-length", [])
        codings = headers.get_all("transfer-encoding", [])
        if lengths and codings:
            raise ValueError("both Content-Length and Transfer-Encoding")
        if len(lengths) > 1 or any(
            not _LENGTH.fullmatch(n.strip(_PADDING)) for n in lengths
        ):
            raise ValueError("more than one or an invalid Content-Length")
        if codings and [c.strip(_PADDING).lower() for c in codings] != [
            "chunked"
        ]:
            raise ValueError("a Transfer-Encoding other than chunked")
        if headers.defects:
            raise ValueError("a line that is not a header")
        for name, value in headers.items():
            if not _HEADER_NAME.fullmatch(name):
                raise ValueError("an invalid header name")
            if _DISGUISED_FRAMING.fullmatch(name):
                raise ValueError("a body's length under another name")
            if "\r" in value or "\n" in value:
                raise ValueError("a folded header line")
        return headers

    def read_request(self, raw_requestline: str) -> bool:
        """Parse the head; take the host from a target that states it.

        It goes before the `Host` field (RFC 9112 section 3.2.2).

        Raises:
            ValueError: the head can't be parsed.
        """
        is_valid = super().read_request(raw_requestline)
        match = _ABSOLUTE_TARGET.fullmatch(self.path)
        if match is not None:
            authority, target = match[1], match[2] or "/"
            self.path = target if target.startswith("/") else f"/{target}"
            del self.headers["Host"]
            self.headers["Host"] = authority
        return is_valid

    def _read_fields(self, file: ClientReader) -> bytes:
        """Return the lines after the request line, up to an empty one."""
        limit = self.server.max_head_bytes - len(self.requestline)
        fields = file.read_block(limit) or self._read_lines(file, limit)
        if _AMBIGUOUS_BYTE.search(fields):
            raise ValueError("a carriage return or null byte in a field")
        lines = fields.count(b"\n")
        if lines > self.server.max_head_lines:
            raise self._build_too_long(file)
        if not file.reserve(lines * FIELD_BYTES):
            raise ClientCutOffError("too many header fields are kept")
        return fields

    def _read_lines(self, file: ClientReader, limit: int) -> bytes:
        """Return lines that have not all arrived yet."""
        fields = bytearray()
        lines_left = self.server.max_head_lines
        while True:
            line = file.readline(limit - len(fields) + 1)
            fields += line
            lines_left -= 1
            if len(fields) > limit or lines_left < 0:
                raise self._build_too_long(file)
            if not line.endswith(b"\n"):
                raise _HeadCutOffError("in the header fields")
            if _AMBIGUOUS_BYTE.search(line):
                raise ValueError("a carriage return or null byte in a field")
            if line in (b"\r\n", b"\n"):
                return bytes(fields)

    def _build_too_long(self, file: ClientReader) -> _HeadTooLongError:
        file.record_cut_off(CutOffReason.HEAD_SIZE)
        return _HeadTooLongError("the header fields are too long")

    def handle_one_request(self) -> Any:
        """Serve one request.

        Returns:
            True if another request may follow on the connection, else None.
        """
        self.wsgi_input = None
        if self.rfile.closed:
            return None
        self.response_length = 0
        try:
            line = self.read_requestline()
            if line == "\r\n":  # ignored as RFC 9112 section 2.2 asks
                line = self.read_requestline()
            if not line:
                return None
            too_slow = _HeadTooSlowError("the head takes too long")
            with gevent.Timeout(self.server.idle_timeout_s, too_slow):
                refusal = self._parse_head(line)
        except _HeadTooSlowError:
            self.rfile.record_cut_off(CutOffReason.TIME)
            return None
        except OSError:
            is_reading = self.holding.phase is ClientPhase.READING
            if not (self.holding.is_shed and is_reading):
                return None
            refusal = (
                503,
                _build_refusal("503 Service Unavailable", RETRY_AFTER_S),
            )
        if refusal is not None:
            self._refuse_head(*refusal)
            return None
        self.environ = self.get_environ()
        self.application = self.server.application
        try:
            self.handle_one_response()
        finally:
            self.holding.has_served = True
            self._forget_request()
        if self._is_cut or self.holding.is_shed:
            return None
        if self.wsgi_input is not None and not self.wsgi_input.is_complete:
            self._linger()
            return None
        return None if self.close_connection or self.rfile.closed else True

    def _forget_request(self) -> None:
        """Drop what was parsed; a connection may stay idle for long."""
        self.environ = {}
        self.__dict__.pop("headers", None)  # the class has an empty one
        self.requestline = self.path = ""
        self.rfile.release_read()

    def _parse_head(self, line: str) -> tuple[int, bytes] | None:
        """Read the rest of a head; return the response that refuses it.

        Raises:
            OSError: the connection ended before the head.
        """
        if len(line) > self.server.max_head_bytes:
            self.rfile.record_cut_off(CutOffReason.HEAD_SIZE)
            return 414, _build_refusal("414 URI Too Long")
        if not line.endswith("\n"):
            raise _HeadCutOffError("in the request line")
        try:
            self.read_request(line)
        except _HeadTooLongError:
            return 431, _build_refusal("431 Request Header Fields Too Large")
        except ValueError as error:
            status, response = self._handle_client_error(_remove_quoted(error))
            return int(status), response
        return None

    def _refuse_head(self, status: int, response: bytes) -> None:
        log_event(
            "request head refused",
            status=status,
            caller=str(self.client_address),
        )
        with contextlib.suppress(OSError):
            with gevent.Timeout(LINGER_IDLE_S, False):
                self.socket.sendall(response)
            self._linger()

    def handle_error(self, *exc_info: Any) -> None:
        """End the response; reset a connection whose end would complete it.

        So it is if the caller knows no chunks and the length is not stated.
        """
        super().handle_error(*exc_info)
        self._is_cut = (
            self.headers_sent
            and not self.response_use_chunked
            and self.provided_content_length is None
        )
        if self._is_cut:
            with contextlib.suppress(OSError):
                self.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
                )

    def _sendall(self, data: Any) -> None:
        """Send a part of a response, which is kept until it is read."""
        holding, budget = self.holding, self.server.budget
        counted = len(data) if len(data) > MAX_UNCOUNTED_BYTES else 0
        if counted:
            self._enter(ClientPhase.WRITING)
            budget.add(holding, counted)
        else:
            holding.phase = ClientPhase.WRITING
        try:
            super()._sendall(data)
        except OSError as error:
            if holding.is_shed:
                # The server takes this for a client that disconnected.
                raise BrokenPipeError(
                    errno.EPIPE, "the connection gave way to others"
                ) from error
            raise
        finally:
            holding.phase = ClientPhase.RUNNING
            if counted:
                budget.release(holding, counted)

    def log_error(self, msg: str, *args: Any) -> None:
        """Log an error of the listener as one kind of event."""
        detail = msg % args if args else msg
        log_event("listener error", detail=detail[:MAX_LOGGED_ERROR])

    _waiting_greenlet: Any = None

    def read_requestline(self) -> Any:
        """Wait for the next request; the connection is idle meanwhile."""
        self._waiting_greenlet = gevent.getcurrent()
        self._enter(ClientPhase.IDLE)
        self.server.record_idle(self)
        try:
            with gevent.Timeout(self.server.idle_timeout_s, False):
                line = self.rfile.readline(self.server.max_head_bytes + 1)
                self._enter(ClientPhase.READING)
                return line.decode("latin-1")
        except _IdleConnectionEndedError:
            pass  # the connection is closed as after the idle timeout
        finally:
            self._waiting_greenlet = None
            self.server.record_busy(self)
        return ""

    def close_idle(self) -> None:
        """End the connection unless bytes of a request have arrived.

        The socket is not shut down here: a request that is read in the same
        iteration of the event loop would take that for a caller that
        disconnected.
        """
        gevent.get_hub().loop.run_callback(self._end_wait)

    def _end_wait(self) -> None:
        """Interrupt the wait for a request (called by the hub)."""
        if self._waiting_greenlet is not None and not has_input(self.socket):
            self._waiting_greenlet.throw(_IdleConnectionEndedError())

    def start_response(
        self, status: str, headers: list[tuple[str, str]], exc_info: Any = None
    ) -> Any:
        """Begin the response.

        It is the last one if the body wasn't read, or if only the end of the
        connection ends it.
        """
        is_unread = (
            self.wsgi_input is not None and not self.wsgi_input.is_complete
        )
        is_unframed = self.request_version == "HTTP/1.0" and not any(
            name.lower() == "content-length" for name, _ in headers
        )
        if is_unread or is_unframed:
            others = [h for h in headers if h[0].lower() != "connection"]
            headers = [*others, ("Connection", "close")]
        return super().start_response(status, headers, exc_info)

    def _linger(self) -> None:
        """End the response's side, and drop what the caller still sends.

        Closing a socket with unread input resets the connection, and the
        caller could lose the response (RFC 9112 section 9.6).
        """
        if self.holding.is_shed:
            return
        with (
            contextlib.suppress(OSError),
            gevent.Timeout(LINGER_TIMEOUT_S, False),
        ):
            self._enter(ClientPhase.DRAINING)
            self.socket.shutdown(socket.SHUT_WR)
            self.socket.settimeout(LINGER_IDLE_S)
            while not self.holding.is_shed:
                if not self.socket.recv(LINGER_READ_BYTES):
                    break
                self.server.turns.wait(MAX_TURNS)  # it may never stop

    def get_environ(self) -> dict[str, Any]:
        """Return the environment, with the request target as it was sent.

        The path in the environment is percent-decoded, so line breaks in it
        could get into a request to a target.
        """
        environ = super().get_environ()
        awaits_continue = environ.get("HTTP_EXPECT") == "100-continue"
        self.wsgi_input = RequestInput(
            self.rfile,
            self.content_length,
            self.socket if awaits_continue else None,
            "HTTP_TRANSFER_ENCODING" in environ,
            self.rfile,
        )
        return {
            **environ,
            "wsgi.input": self.wsgi_input,
            "wsgi.input_terminated": True,
            REQUEST_TARGET: self.path,
            CALLER_SOCKET: self.socket,
        }


def _build_refusal(status: str, retry_after_s: int = 0) -> bytes:
    """Return the response to a head that can't be parsed or kept."""
    retry = f"Retry-After: {retry_after_s}\r\n" if retry_after_s else ""
    return (
        f"HTTP/1.1 {status}\r\nConnection: close\r\n{retry}"
        "Content-Length: 0\r\n\r\n"
    ).encode()


def build_budget(limits: Limits) -> ClientBudget:
    """Return the budget that all listeners of a process share."""
    return ClientBudget(
        BudgetLimits.from_host(limits.memory_mb, limits.max_descriptors),
        time.monotonic,
    )


class NoDelayServer(WSGIServer):
    """Disables Nagle's algorithm and detects callers that disappeared.

    The server writes head and body separately; with Nagle's algorithm the
    body would wait for a delayed acknowledgement, about 40 ms.

    Attributes:
        idle_timeout_s: seconds after which a connection is closed that is
            idle, or whose request line doesn't end; after it, the rest of
            the head may take as long again.
        max_head_bytes: largest size of a request's head.
        max_head_lines: largest number of lines of a head.
        budget: what clients of this process may keep; until it is set, the
            listener has one of its own.
        turns: the turns of connections that send much, as the budget.
    """

    idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
    max_head_bytes = MAX_HEAD_BYTES
    max_head_lines = MAX_HEAD_LINES
    max_accept = MAX_ACCEPTED_AT_ONCE

    def __init__(self, *args: Any, **options: Any) -> None:
        """Create the server; it has no connections yet."""
        super().__init__(*args, **options)
        self.budget = build_budget(Limits())
        self.turns = ReadTurns()
        self._idle: set[StrictHandler] = set()
        self._open_count = 0
        self._closes_idle = False
        self._all_closed = Event()
        self._all_closed.set()

    def record_idle(self, handler: StrictHandler) -> None:
        """Record that a connection waits for its next request."""
        self._idle.add(handler)
        if self._closes_idle:
            handler.close_idle()

    def record_busy(self, handler: StrictHandler) -> None:
        """Record that a connection has a request, or has ended."""
        self._idle.discard(handler)

    def wait_closed(self, timeout: float) -> bool:
        """Wait until all connections have ended.

        Idle connections count as well: a request that arrives on one while
        it is being ended is read and gets its response.

        Returns:
            Whether all connections ended before the timeout.
        """
        return self._all_closed.wait(timeout)

    def close_idle(self) -> None:
        """End each connection once it carries no request.

        Idle connections are ended now, the others after their response.
        """
        self._closes_idle = True
        for handler in tuple(self._idle):
            handler.close_idle()

    def do_handle(self, *args: Any) -> None:
        """Count a connection as soon as it is accepted, then serve it."""
        self._open_count += 1
        self._all_closed.clear()
        super().do_handle(*args)

    def handle(self, sock: Any, address: Any) -> None:
        """Serve one connection."""
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            enable_keepalive(sock)
            self.handle_connection(sock, address)
        finally:
            self._open_count -= 1
            if not self._open_count:
                self._all_closed.set()

    def handle_connection(self, sock: Any, address: Any) -> None:
        """Serve a connection within the budget."""
        handler = self.handler_class(sock, address, self)
        if not self.budget.open(handler.holding):
            log_decision(
                "client cut off",
                cause=CutOffReason.DESCRIPTORS.value,
                caller=str(address),
            )
            sock.close()
            return
        try:
            handler.handle()
        finally:
            self.budget.close(handler.holding)


def enable_keepalive(sock: Any) -> None:
    """Make the kernel detect a peer that vanished without a FIN or RST."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def build_server(address: str, app: falcon.App) -> NoDelayServer:
    """Return a server for the application; it is not started yet."""
    errors = LoggingLogAdapter(logging.getLogger("wasabitray.http"))
    return NoDelayServer(
        split_address(address),
        app,
        log=None,
        error_log=errors,
        handler_class=StrictHandler,
    )


def build_bad_request(problems: list[str]) -> falcon.HTTPError:
    """Return the error for invalid input, with a line for each problem."""
    return falcon.HTTPBadRequest(
        title="invalid input", description="\n".join(problems)
    )
