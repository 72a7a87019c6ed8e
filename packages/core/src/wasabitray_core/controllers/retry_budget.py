"""How many retries a service may get."""

from __future__ import annotations

from dataclasses import dataclass

RETRY_BURST = 10.0
# Part of a fleet-wide allowance that the entries share out; the rest covers
# entries that restart with a new share.
FLEET_SHARE = 0.8


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Bounds on retries over all entries together.

    Attributes:
        share: retries for each first attempt; None leaves it to the
            service's policy.
        fleet_burst: retries of a service beyond its share at one time, over
            all entries; None gives each entry a burst of its own.
    """

    share: float | None = None
    fleet_burst: float | None = None

    def burst(self, entries: int) -> float:
        """Return one entry's burst in a fleet of some size."""
        if self.fleet_burst is None:
            return RETRY_BURST
        return max(1.0, FLEET_SHARE * self.fleet_burst / max(1, entries))


class RetryBudget:
    """A token bucket that first attempts fill."""

    def __init__(self, burst: float) -> None:
        """Start with a full bucket."""
        self._tokens = burst

    @property
    def tokens(self) -> float:
        """Retries left."""
        return self._tokens

    def earn(self, share: float, burst: float) -> None:
        """Count a first attempt."""
        self._tokens = min(burst, self._tokens + share)

    def take(self) -> bool:
        """Take a retry, if there is one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
