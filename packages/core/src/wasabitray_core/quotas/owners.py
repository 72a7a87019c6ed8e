"""Which host keeps the whole bucket of an organisation with a small quota.

The load: organisations with a few requests a second over all entries, on
hosts that respond up to a tenth of a second late. Divided into shares, their
tokens are on the way between hosts, in parts, for most of the time: at twice
the limit only half of it was served. One owner decides in a round trip.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from wasabitray_core.ids import HostId, OrganisationName, Seconds
from wasabitray_core.quotas.limits import Bucket
from wasabitray_core.quotas.shares import SETTLE_S, ShareSize
from wasabitray_core.rendezvous import choose_owner

# A quota with a smaller burst has an owner. With six voters, larger ones have
# shares of at least eight tokens, which rarely run out while others have some.
# It doesn't depend on the number of voters, on which hosts may differ.
MIN_SHARED_BURST = 48.0
# Tokens of a reserve that are not from its rate: it starts with one after
# each start of a process, of which one in a window is allowed for.
RESERVE_START_TOKENS = 2.0
# An owner that doesn't respond is replaced by the group within about this
# time; until then, hosts grant from their reserve without waiting for it.
OWNER_SKIP_S = 5.0
MIN_OWNER_CAPACITY = 1.0


def compute_owner_size(bucket: Bucket) -> ShareSize:
    """Return the size of the whole bucket."""
    return ShareSize(bucket.rate, max(MIN_OWNER_CAPACITY, bucket.capacity))


def compute_reserve_size(bucket: Bucket, voters: int) -> ShareSize | None:
    """Return the bucket from which a host grants while the owner is silent.

    All hosts may do so at once, beside an owner that only they can't reach:
    their reserves together fit into what the bound allows beyond the limit.

    Args:
        bucket: the whole bucket.
        voters: number of hosts that may have a reserve or be the owner.

    Returns:
        The size; None if the bound leaves no room.
    """
    spare = bucket.spare - MIN_OWNER_CAPACITY
    each = spare / max(1, voters - 1) - RESERVE_START_TOKENS
    if each <= 0.0:
        return None
    return ShareSize(each / bucket.window_s, 1.0)


class Owners:
    """The owners of quotas, by the voters of the control group."""

    def __init__(self, host: HostId) -> None:
        """Start without voters."""
        self._host = host
        self._voters: tuple[HostId, ...] = ()
        self._former: deque[tuple[Seconds, tuple[HostId, ...]]] = deque()

    @property
    def count(self) -> int:
        """Number of voters."""
        return len(self._voters)

    def replace(self, voters: Iterable[HostId], now: Seconds) -> bool:
        """Replace the voters; return whether they differ."""
        newest = tuple(sorted(voters))
        if newest == self._voters:
            return False
        if self._voters:
            self._former.append((now, self._voters))
        self._voters = newest
        return True

    def find(self, organisation: OrganisationName) -> HostId | None:
        """Return the owner to ask, None if no voters are known."""
        if not self._voters:
            return None
        return choose_owner(organisation, self._voters)

    def is_own(self, organisation: OrganisationName, now: Seconds) -> bool:
        """Return whether this host alone owns an organisation's quota.

        A former owner that doesn't know of the change may still grant. So a
        host owns only what it would also have owned with the voters of the
        last seconds.
        """
        while self._former and now - self._former[0][0] >= SETTLE_S:
            self._former.popleft()
        groups = [self._voters, *(voters for _, voters in self._former)]
        return all(
            self._host in group
            and choose_owner(organisation, group) == self._host
            for group in groups
        )

    def __repr__(self) -> str:
        return f"<Owners [{len(self._voters)} voters]>"
