"""Estimates the share of a service's requests that is lost."""

from __future__ import annotations

import math
from collections import deque

from msgspec import Struct

from wasabitray_core.ids import Seconds

# Length of the window in which failures and ended requests are counted.
WINDOW_S = 2.0
# Age at which the other entries' counts no longer hold. They come each half
# second, so two of these messages may be lost.
OTHERS_TTL_S = 1.5
# Time constant of the counts of an entry's own ended and lost requests.
LOSS_TIME_CONSTANT_S = 4.0
# Time constant of an entry's request rate. An entry gets only a few requests
# per second: with a shorter one the estimate of the fleet's rate is at times
# off by half.
RATE_TIME_CONSTANT_S = 12.0
# Served requests added to the counts of an entry and of a region as a prior. A
# few losses among few requests show little about the fleet, and an entry that
# overestimates the losses sends requests to targets that still fail.
PRIOR_REQUESTS = 40.0
# Lower bound of the fleet's requests in the window when a share is derived
# from them: with fewer, a few failures would look like a large share.
MIN_REQUESTS = 12.0


# Lower bound of a share when its standard error is derived from it: no loss
# among few requests doesn't show that there are none.
MIN_SHARE = 0.02
# Standard errors on one side of a 95% confidence interval.
STANDARD_ERRORS = 2.0


class LostShare(Struct, frozen=True):
    """An estimated share of lost requests.

    Attributes:
        share: the estimate.
        requests: the requests of the whole fleet that it is about.
    """

    share: float = 0.0
    requests: float = math.inf

    @property
    def upper_bound(self) -> float:
        """Upper end of the estimate's 95% confidence interval."""
        share = max(self.share, MIN_SHARE)
        variance = max(0.0, share * (1.0 - share)) / self.requests
        return self.share + STANDARD_ERRORS * math.sqrt(variance)


class FleetShare(Struct, frozen=True):
    """How many entries there are, and which part of them is in a region.

    Attributes:
        entries: number of all entries.
        region_share: share of them that is in this entry's region, above 0.
    """

    entries: int = 1
    region_share: float = 1.0


class LossEstimate:
    """Estimates the share of a service's requests that is lost.

    All entries report the failures of targets to each other. Other losses,
    such as requests for which no target was found, are counted by the entry
    that had them, and the hub adds up the counts of its region. The estimate
    is the largest of the shares.
    """

    def __init__(self) -> None:
        """Start without requests."""
        self._failures: deque[Seconds] = deque()
        self._ended = DecayingCounter(LOSS_TIME_CONSTANT_S)
        self._lost = DecayingCounter(LOSS_TIME_CONSTANT_S)
        self._requests = DecayingCounter(RATE_TIME_CONSTANT_S)
        self._recent: deque[tuple[Seconds, bool]] = deque()
        self._recent_lost = 0
        self._others_ended = self._others_lost = 0
        self._others_until = Seconds(-math.inf)

    def record_failure(self, now: Seconds) -> None:
        """Count a failure of a target, reported by any entry."""
        self._failures.append(now)
        self._expire_failures(now)

    def record_request(self, served: bool, now: Seconds) -> None:
        """Count a request of this entry that ended."""
        self._requests.add(now)
        self._ended.add(now)
        if not served:
            self._lost.add(now)
        self._recent.append((now, served))
        self._recent_lost += not served
        self._expire_recent(now)

    def count_recent(self, now: Seconds) -> tuple[int, int]:
        """Return this entry's requests that ended recently, and the lost."""
        self._expire_recent(now)
        return len(self._recent), self._recent_lost

    def record_others(self, ended: int, lost: int, now: Seconds) -> None:
        """Store the counts of the other entries of the region."""
        self._others_ended, self._others_lost = ended, lost
        self._others_until = Seconds(now + OTHERS_TTL_S)

    def estimate_share(self, fleet: FleetShare, now: Seconds) -> LostShare:
        """Return the estimated share of requests that is lost.

        Args:
            fleet: the entries of the fleet, assumed to have the same load.
            now: monotonic seconds.
        """
        self._expire_failures(now)
        own = self._lost.value(now) / (self._ended.value(now) + PRIOR_REQUESTS)
        region = self._count_region_requests(now)
        if region is None:
            expected = self._requests.rate(now) * fleet.entries * WINDOW_S
            region_share = 0.0
        else:
            # An entry of a large fleet has too few requests to estimate the
            # fleet's from its own.
            ended, lost = region
            expected = ended / fleet.region_share
            region_share = lost / (ended + PRIOR_REQUESTS)
        requests = max(expected, MIN_REQUESTS)
        failed = len(self._failures) / requests
        return LostShare(max(own, failed, region_share), requests)

    def _count_region_requests(self, now: Seconds) -> tuple[int, int] | None:
        """Return the region's requests that ended recently, and the lost.

        None if those of the other entries are not known.
        """
        if now >= self._others_until:
            return None
        ended, lost = self.count_recent(now)
        return ended + self._others_ended, lost + self._others_lost

    def _expire_recent(self, now: Seconds) -> None:
        while self._recent and self._recent[0][0] < now - WINDOW_S:
            _, served = self._recent.popleft()
            self._recent_lost -= not served

    def _expire_failures(self, now: Seconds) -> None:
        while self._failures and self._failures[0] < now - WINDOW_S:
            self._failures.popleft()


class DecayingCounter:
    """A count of events that decays exponentially."""

    def __init__(self, time_constant_s: float) -> None:
        """Start without events."""
        self._time_constant_s = time_constant_s
        self._count = 0.0
        self._first_at: Seconds | None = None
        self._updated_at = Seconds(0.0)

    def add(self, now: Seconds) -> None:
        """Count an event."""
        if self._first_at is None:
            self._first_at = now
        self._count = self.value(now) + 1.0
        self._updated_at = now

    def value(self, now: Seconds) -> float:
        """Return the decayed count."""
        age = max(0.0, now - self._updated_at)
        return self._count * math.exp(-age / self._time_constant_s)

    def rate(self, now: Seconds) -> float:
        """Return the events per second.

        Corrects for the short history soon after the first event.
        """
        if self._first_at is None or now <= self._first_at:
            return 0.0
        age = (now - self._first_at) / self._time_constant_s
        return self.value(now) / (
            self._time_constant_s * (1.0 - math.exp(-age))
        )
