"""How long the attempts of a service take."""

from __future__ import annotations

import math

from wasabitray_core.ids import Seconds

# Lowest weight of the newest attempt in the moving average.
AVERAGE_WEIGHT = 0.05
# An attempt counts for the longest time for one to two of these windows.
WINDOW_S = 30.0
# Fewer completed attempts don't show how long one usually takes.
MIN_COMPLETE_ATTEMPTS = 5
# Fewer attempts don't show how long one may take.
MIN_ATTEMPTS = 10


class AttemptTimes:
    """The average and the longest time of recent attempts."""

    def __init__(self) -> None:
        """Start without attempts."""
        self._average: float | None = None
        self._complete_count = 0
        self._window_began_at = Seconds(-math.inf)
        self._longest = self._longest_before = 0.0
        self._count = self._count_before = 0

    @property
    def average(self) -> float | None:
        """The moving average of completed attempts, None without any."""
        return self._average

    @property
    def usual(self) -> float | None:
        """The average, None if too few attempts were completed."""
        is_known = self._complete_count >= MIN_COMPLETE_ATTEMPTS
        return self._average if is_known else None

    def record(self, elapsed: float, is_complete: bool, now: Seconds) -> None:
        """Record an attempt.

        Args:
            elapsed: its time in seconds.
            is_complete: whether its target responded; if not, it would have
                taken longer.
            now: monotonic seconds.
        """
        if is_complete:
            self._complete_count += 1
            average = self._average or 0.0
            weight = max(AVERAGE_WEIGHT, 1.0 / self._complete_count)
            self._average = average + weight * (elapsed - average)
        self._advance(now)
        self._longest = max(self._longest, elapsed)
        self._count += 1

    def get_longest(self, now: Seconds) -> Seconds | None:
        """Return the longest recent time, None if too few are known."""
        self._advance(now)
        if self._count + self._count_before < MIN_ATTEMPTS:
            return None
        return Seconds(max(self._longest, self._longest_before))

    def _advance(self, now: Seconds) -> None:
        """Start a new window if the current one is over."""
        age = now - self._window_began_at
        if age < WINDOW_S:
            return
        is_previous = age < 2 * WINDOW_S
        self._longest_before = self._longest if is_previous else 0.0
        self._count_before = self._count if is_previous else 0
        self._longest, self._count = 0.0, 0
        self._window_began_at = now
