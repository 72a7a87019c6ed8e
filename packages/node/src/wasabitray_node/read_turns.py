"""Turns of connections that send much, so that they don't hold up others."""

from __future__ import annotations

import heapq
import itertools
from typing import Any

import gevent
from gevent.event import Event


class ReadTurns:
    """Lets one connection go on in each iteration of the event loop.

    Hundreds of connections that always have input would otherwise all go on
    in the same iteration, and each step of an ordinary request would wait for
    all of them. Those that had the fewest turns go first, so that a request
    of an ordinary size isn't held up by endless ones.
    """

    def __init__(self) -> None:
        """Start with nobody waiting."""
        self._waiting: list[tuple[int, int, Event]] = []
        self._numbers = itertools.count()
        self._timer: Any = None

    def wait(self, turns_taken: int) -> None:
        """Wait for the next turn.

        Args:
            turns_taken: how many turns the request has had.
        """
        turn = Event()
        entry = turns_taken, next(self._numbers), turn
        heapq.heappush(self._waiting, entry)
        if self._timer is None:
            self._start_timer()
        try:
            turn.wait()
        except BaseException:  # a time limit or a kill
            if entry in self._waiting:
                self._waiting.remove(entry)
                heapq.heapify(self._waiting)
            raise

    def _start_timer(self) -> None:
        self._timer = gevent.get_hub().loop.timer(0)
        self._timer.start(self._grant)

    def _grant(self) -> None:
        """Grant one turn (called by the event loop)."""
        self._timer.close()
        self._timer = None
        if self._waiting:
            _, _, turn = heapq.heappop(self._waiting)
            turn.set()
        if self._waiting:
            self._start_timer()

    def __repr__(self) -> str:
        return f"<ReadTurns [{len(self._waiting)} waiting]>"
