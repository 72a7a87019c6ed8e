"""HTTP listeners."""

from __future__ import annotations

import logging
import socket
from typing import Any

import falcon
from gevent.pywsgi import LoggingLogAdapter, WSGIHandler, WSGIServer

from wasabitray_node.settings import split_address

SHUTDOWN_GRACE_S = 1.0


class StrictHandler(WSGIHandler):
    """Refuses requests whose length is ambiguous.

    Two ways to state a body's length let a request hide another one from
    one of the processes on its way (RFC 9112 section 11.2).
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
        return headers


class NoDelayServer(WSGIServer):
    """Sends small writes at once.

    The server writes head and body apart; with Nagle's algorithm the body
    would wait for a delayed acknowledgement, about 40 ms.
    """

    def handle(self, sock: Any, address: Any) -> None:
        """Serve one connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)


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


def bad_request(faults: list[str]) -> falcon.HTTPError:
    """Return the error for input with faults."""
    return falcon.HTTPBadRequest(
        title="bad input", description="\n".join(faults)
    )
