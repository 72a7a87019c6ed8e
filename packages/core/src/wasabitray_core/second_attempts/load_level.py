"""Tells whether a service as a whole has more work under way than usual.

Handles a service whose targets all become slow: an entry of a large fleet has
too few requests of its own to see that soon, but it knows the attempts that
all entries of its region have in flight. A few slow targets don't count.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from wasabitray_core.ids import RegionName, Seconds
from wasabitray_core.placement import TargetState

# The targets with the most attempts are left out: this share, rounded up.
LEFT_OUT_SHARE = 0.2
# Time constants of the recent and of the usual level. An entry with few
# requests takes two or three samples in the shorter one.
RECENT_S = 1.5
USUAL_S = 120.0
# Samples are taken at most this often, since each one looks at all targets.
SAMPLE_INTERVAL_S = 0.25
# Fewer samples don't show what is usual. So many are averaged evenly.
MIN_SAMPLES = 8
FIRST_SAMPLES = 40
# The service is slow above this multiple of the usual level. Levels of calm
# services vary by a quarter.
RAISED_FACTOR = 1.6


def measure_load(
    states: Iterable[TargetState], region: RegionName, now: Seconds
) -> float | None:
    """Return the attempts in flight at the less loaded targets of a region.

    Returns:
        None if the load of the other entries is not known.
    """
    loads = [
        s.load(now)
        for s in states
        if s.target.region == region and s.has_shared_load(now)
    ]
    if not loads:
        return None
    kept = len(loads) - math.ceil(LEFT_OUT_SHARE * len(loads))
    return float(sum(sorted(loads)[:kept]))


class LoadLevel:
    """The recent and the usual level of a service's load."""

    def __init__(self) -> None:
        """Start without samples."""
        self._recent = self._usual = 0.0
        self._samples = 0
        self._sampled_at = Seconds(-math.inf)

    def is_due(self, now: Seconds) -> bool:
        """Tell whether the next sample is due."""
        return now - self._sampled_at >= SAMPLE_INTERVAL_S

    def record(self, load: float, now: Seconds) -> None:
        """Record a sample."""
        age = now - self._sampled_at
        self._sampled_at = now
        self._samples += 1
        for_recent = 1.0 - math.exp(-age / RECENT_S)
        for_usual = 1.0 - math.exp(-age / USUAL_S)
        if self._samples <= FIRST_SAMPLES:
            for_usual = 1.0 / self._samples
        self._recent += for_recent * (load - self._recent)
        self._usual += for_usual * (load - self._usual)

    @property
    def is_raised(self) -> bool:
        """Whether the load is well above the usual one."""
        if self._samples < MIN_SAMPLES:
            return False
        # One attempt more is no sign at a service with hardly any.
        return self._recent > RAISED_FACTOR * max(1.0, self._usual)
