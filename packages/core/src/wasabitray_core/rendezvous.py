"""Rendezvous hashing.

Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
IEEE/ACM Transactions on Networking, 1998.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from wasabitray_core.ids import HostId


def choose_owner(name: str, hosts: Iterable[HostId]) -> HostId:
    """Return the host with the highest weight for a name.

    Each process that knows the same hosts chooses the same owner.
    """
    return max(hosts, key=lambda host: (_weight(name, host), host))


def _weight(name: str, host: HostId) -> bytes:
    digest = hashlib.blake2b(digest_size=8)
    digest.update(f"{len(name)}:{name}{host}".encode())
    return digest.digest()
