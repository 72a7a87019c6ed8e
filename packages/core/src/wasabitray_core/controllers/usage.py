"""The average number of a service's slots that an entry uses."""

from __future__ import annotations

import math

from wasabitray_core.ids import Seconds

# Time constant of the average. An entry of a large fleet gets only a few
# requests per second: over a shorter time its average means nothing.
TIME_CONSTANT_S = 6.0


class SlotUsage:
    """An exponentially weighted average, over time, of a count."""

    def __init__(self) -> None:
        """Start at zero."""
        self._count = 0
        self._average = 0.0
        self._updated_at = Seconds(0.0)

    def adjust(self, difference: int, now: Seconds) -> None:
        """Add a difference to the count."""
        self._update_average(now)
        self._count = max(0, self._count + difference)

    def get_average(self, now: Seconds) -> float:
        """Return the average at this time."""
        self._update_average(now)
        return self._average

    def _update_average(self, now: Seconds) -> None:
        decay = math.exp(-max(0.0, now - self._updated_at) / TIME_CONSTANT_S)
        self._average = decay * self._average + (1.0 - decay) * self._count
        self._updated_at = now
