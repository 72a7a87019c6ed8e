"""Limits the retries of a service's requests."""

from __future__ import annotations

from msgspec import Struct

RETRY_BURST = 10.0
# Part of a fleet-wide allowance that is divided among the entries; the rest
# covers entries that restart with a new share.
FLEET_ALLOWANCE_SHARE = 0.8


class RetryLimits(Struct, frozen=True):
    """Limits on the retries of all entries together.

    Attributes:
        share: retries allowed per first attempt; None uses the share in the
            service's policy.
        fleet_burst: retries of a service allowed beyond its share at one
            time, over all entries; None gives each entry a burst of its own.
    """

    share: float | None = None
    fleet_burst: float | None = None

    def get_burst(self, entries: int) -> float:
        """Return one entry's burst in a fleet of this many entries."""
        if self.fleet_burst is None:
            return RETRY_BURST
        return max(
            1.0, FLEET_ALLOWANCE_SHARE * self.fleet_burst / max(1, entries)
        )


class RetryBudget:
    """A token bucket of retries, filled by first attempts."""

    def __init__(self, burst: float) -> None:
        """Start with a full bucket."""
        self._tokens = burst

    @property
    def tokens(self) -> float:
        """Retries left."""
        return self._tokens

    def deposit(self, share: float, burst: float) -> float:
        """Add the share of a retry that a first attempt allows.

        Returns:
            What there was no room for.
        """
        tokens = self._tokens + share
        self._tokens = min(burst, tokens)
        return tokens - self._tokens

    def try_withdraw(self) -> bool:
        """Withdraw one retry.

        Returns:
            False if no retry is left.
        """
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
