"""How many slots of a service an entry uses on average."""

from __future__ import annotations

import math

from wasabitray_core.ids import Seconds

# One entry of many gets a few requests a second; over a shorter time its
# average says nothing.
AVERAGING_S = 6.0


class Usage:
    """A time average of a count, with exponentially fading memory."""

    def __init__(self) -> None:
        """Start at zero."""
        self._count = 0
        self._average = 0.0
        self._at = Seconds(0.0)

    def change(self, by: int, now: Seconds) -> None:
        """Change the count."""
        self._fade(now)
        self._count = max(0, self._count + by)

    def value(self, now: Seconds) -> float:
        """Return the average up to now."""
        self._fade(now)
        return self._average

    def _fade(self, now: Seconds) -> None:
        kept = math.exp(-max(0.0, now - self._at) / AVERAGING_S)
        self._average = kept * self._average + (1.0 - kept) * self._count
        self._at = now
