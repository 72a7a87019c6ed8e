"""Reads that wait for a confirmation of leadership."""

from __future__ import annotations

from collections import deque

from msgspec import Struct

from wasabitray_core.access.messages import RevisionQuery
from wasabitray_core.controllers.consensus.progress import is_quorum
from wasabitray_core.controllers.controller import Origin
from wasabitray_core.ids import MemberId
from wasabitray_core.local_messages import ReadDocuments
from wasabitray_core.messages import Members


class PendingRead(Struct, frozen=True):
    """A read that waits, and who asked for it."""

    query: ReadDocuments | RevisionQuery
    origin: Origin


class ReadQueue:
    """Pending reads of the newest state, in the order of arrival.

    Each read is stored with the round of leadership confirmation that must
    complete before the read may be served.
    """

    def __init__(self) -> None:
        """Start with no reads."""
        self._round = 0
        self._waiting: deque[tuple[int, PendingRead]] = deque()

    @property
    def round(self) -> int:
        """The newest round, which each append request carries."""
        return self._round

    def add(self, read: PendingRead) -> None:
        """Queue a read and start the round that will confirm it."""
        self._round += 1
        self._waiting.append((self._round, read))

    def __len__(self) -> int:
        return len(self._waiting)

    def pop_confirmed(
        self, members: Members, leader: MemberId, rounds: dict[MemberId, int]
    ) -> list[PendingRead]:
        """Remove and return the reads that a majority has confirmed.

        A confirmation counts for a read only if it belongs to the round
        started for that read, or to a later one.

        Args:
            members: the group.
            leader: the group's leader, which confirms each round itself.
            rounds: the newest round that each other member replied to.
        """
        confirmed = []
        while self._waiting:
            required_round, read = self._waiting[0]
            agreeing = {m for m, r in rounds.items() if r >= required_round}
            if not is_quorum(members, agreeing | {leader}):
                break
            self._waiting.popleft()
            confirmed.append(read)
        return confirmed

    def cancel_all(self) -> list[Origin]:
        """Remove all reads; return their origins."""
        waiting = [read.origin for _, read in self._waiting]
        self._waiting.clear()
        return waiting
