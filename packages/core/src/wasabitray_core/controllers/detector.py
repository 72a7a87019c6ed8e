"""Sequential detection of a target that does worse than its peers.

Page's cumulative sum test (E. S. Page, "Continuous inspection schemes",
Biometrika 41, 1954) on attempts that are good or bad. The mean number of
attempts between false alarms is at least exp(THRESHOLD).
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# exp(20) is 4.8e8 attempts: over 10,000 hours of an instance at 13 a second.
THRESHOLD = 20.0
ORDINARY_BAD_SHARE = 0.01
GRAY_BAD_SHARE = 0.2
MAX_ORDINARY_BAD_SHARE = 0.15
PEER_MARGIN = 2.0


@dataclass(slots=True)
class CumulativeSum:
    """Evidence that one target is bad; 0 when there is none."""

    score: float = 0.0

    def add(self, good: float, bad: float, ordinary: float) -> None:
        """Add attempts.

        Args:
            good: number of good attempts, or an estimate of it.
            bad: number of bad attempts.
            ordinary: share of bad attempts among the target's peers.
        """
        expected = min(
            MAX_ORDINARY_BAD_SHARE,
            max(ORDINARY_BAD_SHARE, PEER_MARGIN * ordinary),
        )
        gray = max(GRAY_BAD_SHARE, 2.0 * expected)
        gain = math.log(gray / expected)
        loss = math.log((1.0 - gray) / (1.0 - expected))
        change = good * loss + bad * gain
        self.score = min(2.0 * THRESHOLD, max(0.0, self.score + change))

    @property
    def alarmed(self) -> bool:
        """Whether the evidence is enough."""
        return self.score >= THRESHOLD

    @property
    def suspicious(self) -> bool:
        """Whether there is clear but not yet enough evidence."""
        return self.score >= THRESHOLD / 3.0


@dataclass(slots=True)
class RunningMedian:
    """Median by stochastic steps, one number of memory.

    Ma, Muthukrishnan and Sandler, "Frugal streaming for estimating
    quantiles", 2013, with steps relative to the estimate.
    """

    value: float = 0.0
    count: int = 0

    def add(self, sample: float) -> None:
        """Move the estimate towards a sample."""
        self.count += 1
        if self.count == 1:
            self.value = sample
            return
        step = max(0.02, 1.0 / self.count)
        if sample > self.value:
            self.value *= 1.0 + step
        elif sample < self.value:
            self.value /= 1.0 + step
