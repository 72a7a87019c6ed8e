"""A simulated clock that calls what is due."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import Any

from wasabitray_core.ids import Seconds


class Clock:
    """Simulated time and the events to come."""

    def __init__(self, start: Seconds) -> None:
        """Start at a time, without events."""
        self.now = start
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._numbers = itertools.count()

    def __call__(self) -> Seconds:
        """Return the time."""
        return self.now

    def at(self, delay: float, call: Callable, *args: Any) -> None:
        """Call something after a delay."""
        event = (self.now + delay, next(self._numbers), call, args)
        heapq.heappush(self._events, event)

    def run_until(self, end: float) -> None:
        """Handle events up to a time."""
        while self._events and self._events[0][0] <= end:
            self.now, _, call, args = heapq.heappop(self._events)
            call(*args)
        self.now = Seconds(end)
