"""HTTP listeners."""

from __future__ import annotations

import logging
import re
import socket
from typing import Any

import falcon
import gevent
from gevent.event import Event
from gevent.pywsgi import LoggingLogAdapter, WSGIHandler, WSGIServer

from wasabitray_node.settings import split_address
from wasabitray_node.sockets import has_input

REQUEST_TARGET = "REQUEST_URI"
CALLER_SOCKET = "wasabitray.socket"
# Probes of an idle connection: a caller that lost its power is noticed after
# about 20 s, and costs a descriptor until then.
KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 3
KEEPALIVE_PROBES = 3
# Unacknowledged bytes end a connection after this.
USER_TIMEOUT_MS = 10_000
DEFAULT_IDLE_TIMEOUT_S = 75.0


# RFC 9110 section 5.6.2, without the underscore: the application could not
# tell it from a hyphen.
_HEADER_NAME = re.compile(r"[!#$%&'*+.^`|~0-9A-Za-z-]+")


class _IdleEndedError(Exception):
    """The server stops, and the connection carries no request."""


class StrictHandler(WSGIHandler):
    """Refuses requests that two processes could read differently.

    Two ways to state a body's length, odd names and folded lines let a
    request hide another one from one of the processes on its way (RFC 9112
    section 11.2).
    """

    def MessageClass(self, *args: Any) -> Any:  # noqa: N802
        """Parse the head; a ValueError answers 400 and closes."""
        headers = super().MessageClass(*args)
        lengths = headers.get_all("content-length", [])
        codings = headers.get_all("transfer-encoding", [])
        if lengths and codings:
            raise ValueError("both Content-Length and Transfer-Encoding")
        if len(lengths) > 1 or any(not n.strip().isdigit() for n in lengths):
            raise ValueError("more than one or a bad Content-Length")
        if codings and [c.strip().lower() for c in codings] != ["chunked"]:
            raise ValueError("a Transfer-Encoding other than chunked")
        if headers.defects:
            raise ValueError("a line that is no header")
        for name, value in headers.items():
            if not _HEADER_NAME.fullmatch(name):
                raise ValueError("a bad header name")
            if "\r" in value or "\n" in value:
                raise ValueError("a folded header line")
        return headers

    _waiting: Any = None

    def read_requestline(self) -> Any:
        """Wait for the next request; the connection is idle meanwhile."""
        self._waiting = gevent.getcurrent()
        self.server.note_idle(self)
        try:
            with gevent.Timeout(self.server.idle_timeout_s, False):
                return super().read_requestline()
        except _IdleEndedError:
            pass  # closed like one that was idle for too long
        finally:
            self._waiting = None
            self.server.note_busy(self)
        return ""

    def close_idle(self) -> None:
        """End the connection unless a request has reached it.

        The socket is left alone: to shut it down would look as if the
        caller had gone, to a request that is read in the same turn of the
        event loop.
        """
        gevent.get_hub().loop.run_callback(self._end_wait)

    def _end_wait(self) -> None:
        """Interrupt the wait for a request (called by the hub)."""
        if self._waiting is not None and not has_input(self.socket):
            self._waiting.throw(_IdleEndedError())

    def get_environ(self) -> dict[str, Any]:
        """Return the environment with the target as it was sent.

        The path in the environment is decoded, and could carry line breaks
        into a request to a target.
        """
        return {
            **super().get_environ(),
            REQUEST_TARGET: self.path,
            CALLER_SOCKET: self.socket,
        }


class NoDelayServer(WSGIServer):
    """Sends small writes at once and notices callers that are gone.

    The server writes head and body apart; with Nagle's algorithm the body
    would wait for a delayed acknowledgement, about 40 ms.

    Attributes:
        idle_timeout_s: seconds after which an idle connection is closed.
    """

    idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S

    def __init__(self, *args: Any, **options: Any) -> None:
        """Start without connections."""
        super().__init__(*args, **options)
        self._idle: set[StrictHandler] = set()
        self._open = 0
        self._ending = False
        self._all_closed = Event()
        self._all_closed.set()

    def note_idle(self, handler: StrictHandler) -> None:
        """Note that a connection waits for its next request."""
        self._idle.add(handler)
        if self._ending:
            handler.close_idle()

    def note_busy(self, handler: StrictHandler) -> None:
        """Note that a connection has a request, or has ended."""
        self._idle.discard(handler)

    def wait_closed(self, timeout: float) -> bool:
        """Wait until all connections have ended; False after the timeout.

        Idle ones are waited for as well: a request that reaches one while
        it is being ended is read and gets its answer.
        """
        return self._all_closed.wait(timeout)

    def close_idle(self) -> None:
        """End connections that carry no request, now or after their answer."""
        self._ending = True
        for handler in tuple(self._idle):
            handler.close_idle()

    def do_handle(self, *args: Any) -> None:
        """Count a connection from its acceptance on."""
        self._open += 1
        self._all_closed.clear()
        super().do_handle(*args)

    def handle(self, sock: Any, address: Any) -> None:
        """Serve one connection."""
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            watch_peer(sock)
            super().handle(sock, address)
        finally:
            self._open -= 1
            if not self._open:
                self._all_closed.set()


def watch_peer(sock: Any) -> None:
    """Make the kernel notice a peer that is gone without a word."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def build_server(address: str, app: falcon.App) -> NoDelayServer:
    """Return a server that is not started yet."""
    errors = LoggingLogAdapter(logging.getLogger("wasabitray.http"))
    return NoDelayServer(
        split_address(address),
        app,
        log=None,
        error_log=errors,
        handler_class=StrictHandler,
    )


def build_bad_request(faults: list[str]) -> falcon.HTTPError:
    """Return the error for input with faults."""
    return falcon.HTTPBadRequest(
        title="bad input", description="\n".join(faults)
    )
