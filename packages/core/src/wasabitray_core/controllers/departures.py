"""Departures of targets that a hub keeps on its disk.

A hub and the entries know from an announcement that a target has left. An
earlier announcement of the target may arrive late, after all of them have
restarted, so an acknowledged departure has to outlive their memory.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import singledispatchmethod
from typing import Any, ClassVar

from msgspec import Struct
from msgspec.structs import replace

from wasabitray_core.controllers.controller import (
    Context,
    Controller,
    Origin,
)
from wasabitray_core.ids import (
    FeedPosition,
    HostId,
    Incarnation,
    TargetId,
)
from wasabitray_core.local_messages import (
    ControllerName,
    DeparturesStored,
    GetStatus,
    StoreDepartures,
    Tick,
)
from wasabitray_core.messages import Announcement, FeedMark


class DeparturesController(Controller):
    """Owns the disk file of departures.

    It is a task of its own, so that a slow disk delays neither the hub's feed
    nor its heartbeats.
    """

    name: ClassVar[ControllerName] = ControllerName.DEPARTURES
    tick_interval_s = 60.0

    def __init__(self, context: Context) -> None:
        """Start; the stored departures are the hub's to load."""
        super().__init__(context)
        self._stored_count = 0

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message."""
        raise TypeError(f"{self!r} does not handle {message!r}")

    @receive.register
    def _(self, message: Tick, origin: Origin) -> None:
        """Ignored: nothing is due at a time."""

    @receive.register
    def _(self, message: StoreDepartures, origin: Origin) -> None:
        for departure in message.departures:
            self._outbox.persist(departure)
        self._stored_count += len(message.departures)
        stored = DeparturesStored(message.departures)
        self._outbox.tell(ControllerName.MEMBERSHIP, stored)

    @receive.register
    def _(self, message: GetStatus, origin: Origin) -> None:
        self._reply(origin, {"stored": self._stored_count})


class _Hold(Struct):
    """A read position that is held back until departures are durable."""

    mark: FeedMark
    waits_for: set[TargetId]


class UnstoredDepartures:
    """The departures that a hub has not yet on its disk.

    A hub reports the position up to which it has read a feed only once the
    departures before it are durable. Another hub that acknowledges a
    departure counts these positions.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._pending: dict[TargetId, Announcement] = {}
        self._holds: list[_Hold] = []

    def add(self, departure: Announcement) -> None:
        """Add a departure that is being written."""
        self._pending[departure.target] = departure

    def hold(self, mark: FeedMark, targets: Iterable[TargetId]) -> None:
        """Hold a read position back while targets' departures are written.

        Args:
            mark: the position before these departures.
            targets: the targets; those without a pending departure are
                ignored.
        """
        waits_for = {t for t in targets if t in self._pending}
        if waits_for:
            self._holds.append(_Hold(mark, waits_for))

    def remove(self, departures: Iterable[Announcement]) -> set[HostId]:
        """Remove departures that are durable.

        Returns:
            The hubs in whose feeds the read position is no longer held.
        """
        durable = {
            d.target for d in departures if self._pending.get(d.target) == d
        }
        for target in durable:
            del self._pending[target]
        for hold in self._holds:
            hold.waits_for -= durable
        ended = {h.mark.hub for h in self._holds if not h.waits_for}
        self._holds = [h for h in self._holds if h.waits_for]
        return ended

    def limit_mark(self, mark: FeedMark) -> FeedMark:
        """Return a mark, or the lowest position at which it is held."""
        if not self._holds:
            return mark
        position = self.limit(mark.hub, mark.incarnation, mark.position)
        return replace(mark, position=position)

    def limit(
        self, hub: HostId, incarnation: Incarnation, position: FeedPosition
    ) -> FeedPosition:
        """Return a read position, or the lowest at which it is held."""
        held = (
            h.mark.position
            for h in self._holds
            if (h.mark.hub, h.mark.incarnation) == (hub, incarnation)
        )
        return min([position, *held])
