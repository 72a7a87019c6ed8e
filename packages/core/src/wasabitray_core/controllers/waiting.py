"""Requests that wait for a slot."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from wasabitray_core.controllers.controller import Origin
from wasabitray_core.ids import OrganisationName, Seconds
from wasabitray_core.local_messages import AcquireSlot

MAX_QUEUE_PER_ORGANISATION = 256


@dataclass(slots=True)
class Waiter:
    """A request's ask for a slot, and when it came."""

    ask: AcquireSlot
    origin: Origin
    since: Seconds


@dataclass(slots=True)
class Queues:
    """Waiting requests of one class, fair between organisations."""

    by_organisation: dict[OrganisationName, deque[Waiter]] = field(
        default_factory=dict
    )

    def __len__(self) -> int:
        return sum(len(q) for q in self.by_organisation.values())

    def append(self, waiter: Waiter) -> bool:
        """Queue a request; False when its organisation's queue is full."""
        queue = self.by_organisation.setdefault(
            waiter.ask.organisation, deque()
        )
        if len(queue) >= MAX_QUEUE_PER_ORGANISATION:
            return False
        queue.append(waiter)
        return True

    def in_turn(self) -> list[OrganisationName]:
        """Return the organisations, the longest unserved first."""
        return list(self.by_organisation)

    def served(self, organisation: OrganisationName) -> None:
        """Remove an organisation's first request and end its turn."""
        queue = self.by_organisation.pop(organisation)
        queue.popleft()
        if queue:
            self.by_organisation[organisation] = queue
