"""HTTP listeners."""

from __future__ import annotations

import logging
import re
import socket
from typing import Any

import falcon
from gevent.pywsgi import LoggingLogAdapter, WSGIHandler, WSGIServer

from wasabitray_node.settings import split_address

REQUEST_TARGET = "REQUEST_URI"


# RFC 9110 section 5.6.2, without the underscore: the application could not
# tell it from a hyphen.
_HEADER_NAME = re.compile(r"[!#$%&'*+.^`|~0-9A-Za-z-]+")


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

    def get_environ(self) -> dict[str, Any]:
        """Return the environment with the target as it was sent.

        The path in the environment is decoded, and could carry line breaks
        into a request to a target.
        """
        return {**super().get_environ(), REQUEST_TARGET: self.path}


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
