"""Limits the second attempts of a service's requests.

Handles a burst in which many requests of all entries are slow at the same
time, and a fleet of several hundred entries.
"""

from __future__ import annotations

import math

from msgspec import Struct

from wasabitray_core.controllers.retry_budget import (
    FLEET_ALLOWANCE_SHARE,
    RetryLimits,
)
from wasabitray_core.ids import Seconds

# Time constant with which unused rights expire. Rights that are kept longer
# could be used by all entries at once.
EXPIRY_S = 10.0
# Most rights that an entry keeps, so that a few requests that are slow at the
# same time don't exhaust them.
MAX_RIGHTS = 4.0


class SecondAttemptLimits(Struct, frozen=True):
    """Limits on the second attempts of all entries together.

    Attributes:
        share: second attempts allowed per request of a service.
        link_bytes_per_s: what an entry's link carries, None if unknown.
    """

    share: float
    link_bytes_per_s: float | None = None

    @property
    def quantile(self) -> float:
        """The share of attempts that end before a second one begins."""
        return min(MAX_QUANTILE, max(MIN_QUANTILE, 1.0 - self.share))


# With a share of 0.5, half of the requests would get a second attempt.
MIN_QUANTILE = 0.9
# A higher quantile can't be estimated from the attempts that are kept.
MAX_QUANTILE = 0.99


def get_most_rights(limits: RetryLimits, entries: int) -> float:
    """Return how many rights an entry keeps in a fleet of this many entries.

    The sum over all entries is the part of the fleet's burst that retries
    leave. With more entries than that, an entry keeps a fraction of a right.
    """
    if limits.fleet_burst is None:
        return MAX_RIGHTS
    burst = (1.0 - FLEET_ALLOWANCE_SHARE) * limits.fleet_burst
    return min(MAX_RIGHTS, burst / max(1, entries))


class SecondAttemptBudget:
    """The rights to second attempts that an entry has for a service.

    Each first attempt adds a share of a right, but no more than the service's
    retry budget has no room for. Retries after failures thus come first, and
    the sum of both stays within the retry rule.

    In a large fleet an entry may keep less than a whole right. There a
    fraction of a right is spent for a chance of that size, so the sum of the
    entries' rights is the expected number of second attempts that can begin
    at the same time. An entry that had luck earns the second attempts that it
    is ahead of its rights before it gets new ones.
    """

    def __init__(self) -> None:
        """Start without rights, so that a restart adds none."""
        self._rights = 0.0
        self._updated_at = Seconds(-math.inf)
        self._ahead = 0.0
        self._keeps_whole = True

    def get_rights(self, now: Seconds) -> float:
        """Return the rights that are left."""
        age = max(0.0, now - self._updated_at)
        self._rights *= math.exp(-age / EXPIRY_S)
        self._updated_at = now
        return self._rights

    def deposit(
        self, surplus: float, share: float, most: float, now: Seconds
    ) -> None:
        """Add the share of a right that a first attempt allows.

        Args:
            surplus: what the retry budget has no room for.
            share: second attempts allowed per first attempt.
            most: rights that this entry may keep.
            now: monotonic seconds.
        """
        self._keeps_whole = most >= 1.0
        earned = min(surplus, share)
        if self._ahead >= 1.0:
            self._ahead -= earned
            earned = 0.0
        self._rights = min(most, self.get_rights(now) + earned)

    def try_withdraw(self, draw: float, now: Seconds) -> bool:
        """Withdraw a right.

        Args:
            draw: a random number from 0 to 1, which decides if this entry
                keeps only a fraction of a right.
            now: monotonic seconds.

        Returns:
            False if there is none.
        """
        rights = self.get_rights(now)
        if rights >= 1.0:
            self._rights -= 1.0
            return True
        if self._keeps_whole:
            return False
        self._rights = 0.0
        is_granted = draw < rights
        self._ahead += is_granted - rights
        return is_granted
