"""What several owners of sockets ask of them."""

from __future__ import annotations

import select
from typing import Any

from gevent.monkey import get_original

# The patched one yields to the event loop, which its own callbacks may not.
_new_poll = get_original("select", "poll")


def has_input(sock: Any) -> bool:
    """Tell whether bytes, or the peer's end, wait to be read.

    It never blocks and never switches tasks.
    """
    poll = _new_poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))
