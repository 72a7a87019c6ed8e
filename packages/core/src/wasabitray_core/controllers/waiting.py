"""Requests that wait for a slot."""

from __future__ import annotations

from collections import deque

from msgspec import Struct, field

from wasabitray_core.admission.decision import Candidate
from wasabitray_core.controllers.controller import Origin
from wasabitray_core.ids import OrganisationName, Seconds
from wasabitray_core.local_messages import AcquireSlot

MAX_QUEUE_PER_ORGANISATION = 256


class Waiter(Struct):
    """A request that waits for a slot, and the time of its arrival."""

    request: AcquireSlot
    origin: Origin
    arrived_at: Seconds

    @property
    def candidate(self) -> Candidate | None:
        """What its admission depends on, None if every one is admitted."""
        request = self.request
        if request.standing is None:
            return None
        return Candidate(request.organisation, request.standing)

    @property
    def rank(self) -> int:
        """Number of more urgent priorities; 0 if priorities don't count."""
        standing = self.request.standing
        return standing.rank if standing else 0


class QueueKey(Struct, frozen=True):
    """Identifies the queue of an organisation's requests of one rank."""

    rank: int
    organisation: OrganisationName


class FairQueue(Struct):
    """Waiting requests of one work class, served fairly by organisation.

    Each organisation has a queue of its own for each rank. The queues of the
    most urgent rank are served first, those of the same rank in turn.
    """

    queues: dict[QueueKey, deque[Waiter]] = field(default_factory=dict)

    def __len__(self) -> int:
        return sum(len(q) for q in self.queues.values())

    def append(self, waiter: Waiter) -> bool:
        """Add a request.

        Returns:
            False if the queue of its organisation is full.
        """
        key = QueueKey(waiter.rank, waiter.request.organisation)
        queue = self.queues.setdefault(key, deque())
        if len(queue) >= MAX_QUEUE_PER_ORGANISATION:
            return False
        queue.append(waiter)
        return True

    def has_before(self, rank: int) -> bool:
        """Tell whether a request waits that precedes a new one of a rank."""
        return any(key.rank <= rank for key in self.queues)

    def list_keys(self) -> list[QueueKey]:
        """Return the queues, of each rank the least recently served first."""
        return sorted(self.queues, key=lambda k: k.rank)

    def finish_turn(self, key: QueueKey) -> None:
        """Remove a queue's first request and end its turn."""
        queue = self.queues.pop(key)
        queue.popleft()
        if queue:
            self.queues[key] = queue
