"""Sequential detection of a target that fails more than its peers.

Page's cumulative sum test (E. S. Page, "Continuous inspection schemes",
Biometrika 41, 1954) on attempts that succeed or fail. The mean number of
attempts between false alarms is at least exp(ALARM_THRESHOLD).
"""

from __future__ import annotations

import math

from msgspec import Struct

# exp(20) is 4.8e8 attempts: over 10,000 hours of a target that gets 13
# attempts per second.
ALARM_THRESHOLD = 20.0
# The test decides between two shares of failed attempts: that of a normal
# target and that of a target with a gray failure. Lowest share of a normal
# target; it applies if the target's peers seldom fail.
NORMAL_FAILURE_SHARE = 0.01
# Lowest share of a target with a gray failure.
GRAY_FAILURE_SHARE = 0.2
# Highest share of a normal target.
MAX_NORMAL_FAILURE_SHARE = 0.15
# A normal target may fail this many times as often as its peers.
PEER_MARGIN = 2.0


class CumulativeSum(Struct):
    """Evidence that one target fails too often; 0 if there is none."""

    score: float = 0.0

    def add(
        self, successes: float, failures: float, peers_failure_share: float
    ) -> None:
        """Add attempts.

        Args:
            successes: number of successful attempts, or an estimate of it.
            failures: number of failed attempts.
            peers_failure_share: share of failed attempts among the target's
                peers.
        """
        normal_share = min(
            MAX_NORMAL_FAILURE_SHARE,
            max(NORMAL_FAILURE_SHARE, PEER_MARGIN * peers_failure_share),
        )
        gray_share = max(GRAY_FAILURE_SHARE, 2.0 * normal_share)
        failure_weight = math.log(gray_share / normal_share)
        success_weight = math.log((1.0 - gray_share) / (1.0 - normal_share))
        change = successes * success_weight + failures * failure_weight
        self.score = min(2.0 * ALARM_THRESHOLD, max(0.0, self.score + change))

    @property
    def is_alarmed(self) -> bool:
        """Whether the evidence suffices to eject the target."""
        return self.score >= ALARM_THRESHOLD

    @property
    def is_suspicious(self) -> bool:
        """Whether there is clear evidence, even if not yet enough."""
        return self.score >= ALARM_THRESHOLD / 3.0


class RunningMedian(Struct):
    """Estimates a median by stochastic steps, with one number as its state.

    The algorithm is that of Ma, Muthukrishnan and Sandler, "Frugal streaming
    for estimating quantiles", 2013, with steps relative to the estimate.
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
