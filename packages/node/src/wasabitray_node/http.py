"""HTTP listeners."""

from __future__ import annotations

import json
import logging
import re
import socket
from typing import Any

import falcon
import gevent
from gevent.event import Event
from gevent.pywsgi import LoggingLogAdapter, WSGIHandler, WSGIServer
from result import Err, Ok, Result

from wasabitray_node.logs import log_event
from wasabitray_node.settings import split_address
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


# The token of RFC 9110 section 5.6.2, without the underscore: in the WSGI
# environment it can't be distinguished from a hyphen.
_HEADER_NAME = re.compile(r"[!#$%&'*+.^`|~0-9A-Za-z-]+")


def read_json(req: falcon.Request, max_bytes: int) -> Result[Any, str]:
    """Return the decoded body of a request, or why it can't be read.

    Args:
        req: the request.
        max_bytes: largest size of the body.
    """
    # Falcon takes a body without a length for an empty one.
    is_chunked = req.get_header("Transfer-Encoding") is not None
    stream = req.stream if is_chunked else req.bounded_stream
    body = stream.read(max_bytes + 1)
    if len(body) > max_bytes:
        return Err(f"the body is longer than {max_bytes} bytes")
    try:
        return Ok(json.loads(body))
    except RecursionError:
        return Err("the body is nested too deeply")
    except ValueError as error:
        return Err(f"the body is not JSON: {error}")


class _IdleConnectionEndedError(Exception):
    """The server is stopping, and the connection carries no request."""


class StrictHandler(WSGIHandler):
    """Rejects requests that another HTTP parser could read differently.

    A body's length stated in two ways, invalid header names and folded
    header lines allow request smuggling: a request hides another one from
    one of the processes on its path (RFC 9112 section 11.2).
    """

    def MessageClass(self, *args: Any) -> Any:  # noqa: N802
        """Parse the head.

        Raises:
            ValueError: the head is ambiguous; the server responds with 400
                and closes the connection.
        """
        headers = super().MessageClass(*args)
        lengths = headers.get_all("content-length", [])
        codings = headers.get_all("transfer-encoding", [])
        if lengths and codings:
            raise ValueError("both Content-Length and Transfer-Encoding")
        if len(lengths) > 1 or any(not n.strip().isdigit() for n in lengths):
            raise ValueError("more than one or an invalid Content-Length")
        if codings and [c.strip().lower() for c in codings] != ["chunked"]:
            raise ValueError("a Transfer-Encoding other than chunked")
        if headers.defects:
            raise ValueError("a line that is not a header")
        for name, value in headers.items():
            if not _HEADER_NAME.fullmatch(name):
                raise ValueError("an invalid header name")
            if "\r" in value or "\n" in value:
                raise ValueError("a folded header line")
        return headers

    def handle_one_request(self) -> Any:
        """Serve one request; log one that is refused for its head."""
        result = super().handle_one_request()
        if isinstance(result, tuple):
            log_event(
                "request head refused",
                status=int(result[0]),
                caller=str(self.client_address),
            )
        return result

    def log_error(self, msg: str, *args: Any) -> None:
        """Log an error of the listener as one kind of event."""
        detail = msg % args if args else msg
        log_event("listener error", detail=detail[:MAX_LOGGED_ERROR])

    _waiting_greenlet: Any = None

    def read_requestline(self) -> Any:
        """Wait for the next request; the connection is idle meanwhile."""
        self._waiting_greenlet = gevent.getcurrent()
        self.server.record_idle(self)
        try:
            with gevent.Timeout(self.server.idle_timeout_s, False):
                return super().read_requestline()
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

    def get_environ(self) -> dict[str, Any]:
        """Return the environment, with the request target as it was sent.

        The path in the environment is percent-decoded, so line breaks in it
        could get into a request to a target.
        """
        return {
            **super().get_environ(),
            REQUEST_TARGET: self.path,
            CALLER_SOCKET: self.socket,
        }


class NoDelayServer(WSGIServer):
    """Disables Nagle's algorithm and detects callers that disappeared.

    The server writes head and body separately; with Nagle's algorithm the
    body would wait for a delayed acknowledgement, about 40 ms.

    Attributes:
        idle_timeout_s: seconds after which an idle connection is closed.
    """

    idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S

    def __init__(self, *args: Any, **options: Any) -> None:
        """Create the server; it has no connections yet."""
        super().__init__(*args, **options)
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
            super().handle(sock, address)
        finally:
            self._open_count -= 1
            if not self._open_count:
                self._all_closed.set()


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
