"""Requests that wait for a slot."""

from __future__ import annotations

from collections import deque

from msgspec import Struct, field

from wasabitray_core.controllers.controller import Origin
from wasabitray_core.ids import OrganisationName, Seconds
from wasabitray_core.local_messages import AcquireSlot

MAX_QUEUE_PER_ORGANISATION = 256


class Waiter(Struct):
    """A request that waits for a slot, and the time of its arrival."""

    request: AcquireSlot
    origin: Origin
    arrived_at: Seconds


class FairQueue(Struct):
    """Waiting requests of one work class, served fairly by organisation.

    Each organisation has a queue of its own; the queues are served in turn.
    """

    by_organisation: dict[OrganisationName, deque[Waiter]] = field(
        default_factory=dict
    )

    def __len__(self) -> int:
        return sum(len(q) for q in self.by_organisation.values())

    def append(self, waiter: Waiter) -> bool:
        """Add a request.

        Returns:
            False if the queue of its organisation is full.
        """
        queue = self.by_organisation.setdefault(
            waiter.request.organisation, deque()
        )
        if len(queue) >= MAX_QUEUE_PER_ORGANISATION:
            return False
        queue.append(waiter)
        return True

    def list_organisations(self) -> list[OrganisationName]:
        """Return the organisations, the least recently served one first."""
        return list(self.by_organisation)

    def finish_turn(self, organisation: OrganisationName) -> None:
        """Remove an organisation's first request and end its turn."""
        queue = self.by_organisation.pop(organisation)
        queue.popleft()
        if queue:
            self.by_organisation[organisation] = queue
