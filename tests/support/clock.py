"""A simulated clock that runs scheduled functions."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import Any

from wasabitray_core.ids import Seconds


class Clock:
    """Simulated time and the function calls scheduled for later."""

    def __init__(self, start: Seconds) -> None:
        """Start at the given time, with nothing scheduled."""
        self.now = start
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._numbers = itertools.count()

    def __call__(self) -> Seconds:
        """Return the current time."""
        return self.now

    def call_later(self, delay: float, function: Callable, *args: Any) -> None:
        """Schedule a function call after a delay in seconds."""
        event = (self.now + delay, next(self._numbers), function, args)
        heapq.heappush(self._events, event)

    def run_until(self, end: float) -> None:
        """Run all calls that are due up to a time."""
        while self._events and self._events[0][0] <= end:
            self.now, _, function, args = heapq.heappop(self._events)
            function(*args)
        self.now = Seconds(end)
