"""How much of a service's work is lost, as far as an entry can tell."""

from __future__ import annotations

import math
from collections import deque

from wasabitray_core.ids import Seconds

# Failures that other entries tell of count for this long.
WINDOW_S = 2.0
# Memory of an entry's own losses.
MEMORY_S = 4.0
# Memory of its rate of requests, of which it has a few each second: with a
# shorter one the estimate of the fleet's rate is off by half at times.
RATE_MEMORY_S = 12.0
# Served requests that an entry adds to its own: some losses among few requests
# say little of the fleet, and each entry that errs tries targets in vain.
PRIOR_REQUESTS = 40.0
# Fewer requests of the fleet than this give no share.
MIN_REQUESTS = 12.0


class LossEstimate:
    """Estimates the share of a service's requests that is lost.

    Failures of targets are heard of from all entries, but other losses, such
    as requests that found no target, are known to the entry alone that had
    them. The larger of the two estimates counts.
    """

    def __init__(self) -> None:
        """Start without requests."""
        self._failures: deque[Seconds] = deque()
        self._ended = DecayingCounter(MEMORY_S)
        self._lost = DecayingCounter(MEMORY_S)
        self._requests = DecayingCounter(RATE_MEMORY_S)

    def note_failure(self, now: Seconds) -> None:
        """Count a failure of a target that some entry saw."""
        self._failures.append(now)
        self._forget(now)

    def note_end(self, served: bool, now: Seconds) -> None:
        """Count a request of this entry."""
        self._requests.add(now)
        self._ended.add(now)
        if not served:
            self._lost.add(now)

    def share(self, entries: int, now: Seconds) -> float:
        """Return the estimated share of requests that is lost.

        Args:
            entries: number of entries, taken to be alike.
            now: monotonic seconds.
        """
        self._forget(now)
        own = self._lost.value(now) / (self._ended.value(now) + PRIOR_REQUESTS)
        expected = self._requests.rate(now) * entries * WINDOW_S
        fleet = len(self._failures) / max(expected, MIN_REQUESTS)
        return max(own, fleet)

    def _forget(self, now: Seconds) -> None:
        while self._failures and self._failures[0] < now - WINDOW_S:
            self._failures.popleft()


class DecayingCounter:
    """A count of events with exponentially fading memory."""

    def __init__(self, memory_s: float) -> None:
        """Start without events."""
        self._memory_s = memory_s
        self._count = 0.0
        self._first: Seconds | None = None
        self._at = Seconds(0.0)

    def add(self, now: Seconds) -> None:
        """Count an event."""
        if self._first is None:
            self._first = now
        self._count = self.value(now) + 1.0
        self._at = now

    def value(self, now: Seconds) -> float:
        """Return the events that are remembered."""
        age = max(0.0, now - self._at)
        return self._count * math.exp(-age / self._memory_s)

    def rate(self, now: Seconds) -> float:
        """Return events a second, also soon after the first."""
        if self._first is None or now <= self._first:
            return 0.0
        age = (now - self._first) / self._memory_s
        return self.value(now) / (self._memory_s * (1.0 - math.exp(-age)))
