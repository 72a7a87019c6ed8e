"""Connections, and checks of sockets, that several modules use."""

from __future__ import annotations

import select
import socket
from typing import Any

import gevent.socket
from gevent.monkey import get_original

# The patched function yields to the event loop, which a callback of the loop
# must not do.
_new_poll = get_original("select", "poll")
_END_EVENTS = (
    select.POLLRDHUP | select.POLLHUP | select.POLLERR | select.POLLNVAL
)


def connect(
    address: tuple[str, int], timeout: float, source: str = ""
) -> gevent.socket.socket:
    """Open a TCP connection to an IP address.

    The address is not looked up, as that would take a thread of its own.

    Args:
        address: the IP address and the port.
        timeout: seconds until the attempt fails; later waits have it too.
        source: the IP address to connect from, empty for any.

    Raises:
        OSError: no connection could be made.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = gevent.socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.settimeout(timeout)
        if source:
            sock.bind((source, 0))
        sock.connect(address)
    except BaseException:  # also an interruption by a timer
        sock.close()
        raise
    return sock


def has_input(sock: Any) -> bool:
    """Return whether bytes or the end of the stream wait to be read.

    It never blocks and never switches greenlets.
    """
    return bool(_poll(sock, select.POLLIN))


def has_ended(sock: Any) -> bool:
    """Return whether the peer has ended the stream or reset it.

    Bytes that wait to be read don't hide the end, as they do from a read.
    """
    return bool(_poll(sock, select.POLLRDHUP) & _END_EVENTS)


def _poll(sock: Any, events: int) -> int:
    """Return the events that are ready now."""
    poll = _new_poll()
    poll.register(sock.fileno(), events)
    ready = poll.poll(0)
    return ready[0][1] if ready else 0
