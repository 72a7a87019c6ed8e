"""Checks of sockets that several modules use."""

from __future__ import annotations

import select
from typing import Any

from gevent.monkey import get_original

# The patched function yields to the event loop, which a callback of the loop
# must not do.
_new_poll = get_original("select", "poll")


def has_input(sock: Any) -> bool:
    """Return whether bytes or the end of the stream wait to be read.

    It never blocks and never switches greenlets.
    """
    poll = _new_poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))
