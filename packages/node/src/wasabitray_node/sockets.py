"""What several owners of sockets ask of them."""

from __future__ import annotations

import select
from typing import Any


def has_input(sock: Any) -> bool:
    """Tell whether bytes, or the peer's end, wait to be read."""
    return bool(select.select([sock.fileno()], [], [], 0)[0])
