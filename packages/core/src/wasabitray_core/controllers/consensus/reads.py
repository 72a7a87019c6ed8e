"""Reads that wait until the lead is confirmed."""

from __future__ import annotations

from collections import deque

from wasabitray_core.controllers.consensus.progress import is_quorum
from wasabitray_core.controllers.controller import Origin
from wasabitray_core.ids import MemberId
from wasabitray_core.messages import Members


class Reads:
    """Asks for the newest state, each with the round that confirms it."""

    def __init__(self) -> None:
        """Start empty."""
        self._round = 0
        self._waiting: deque[tuple[int, Origin]] = deque()

    @property
    def round(self) -> int:
        """The newest round; each message to a member carries it."""
        return self._round

    def add(self, origin: Origin) -> None:
        """Start a round for a read."""
        self._round += 1
        self._waiting.append((self._round, origin))

    def take_confirmed(
        self, members: Members, leader: MemberId, rounds: dict[MemberId, int]
    ) -> list[Origin]:
        """Return the reads that a majority has confirmed since they came.

        Args:
            members: the group.
            leader: its leader, which counts for itself.
            rounds: newest round that each other member answered.
        """
        confirmed = []
        while self._waiting:
            number, origin = self._waiting[0]
            agreeing = {m for m, r in rounds.items() if r >= number}
            if not is_quorum(members, agreeing | {leader}):
                break
            self._waiting.popleft()
            confirmed.append(origin)
        return confirmed

    def abandon(self) -> list[Origin]:
        """Forget everything; return the reads that still wait."""
        waiting = [origin for _, origin in self._waiting]
        self._waiting.clear()
        return waiting
