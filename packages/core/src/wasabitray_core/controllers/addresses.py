"""Which entries callers should use."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import Any, ClassVar

from wasabitray_core.controllers.controller import (
    Context,
    Controller,
    Origin,
)
from wasabitray_core.documents import EntryHost
from wasabitray_core.ids import HostId, RegionName
from wasabitray_core.local import (
    Addresses,
    ControllerName,
    FleetView,
    GetAddresses,
    GetStatus,
    InForce,
    ServiceLimits,
    Tick,
)
from wasabitray_core.states import HostFlag

ADDRESS_TTL_S = 5.0
MAX_ADDRESSES = 4


class AddressesController(Controller):
    """Owns the list of entries that address answers are taken from."""

    name: ClassVar[ControllerName] = ControllerName.ADDRESSES

    def __init__(self, context: Context) -> None:
        """Start without any entry."""
        super().__init__(context)
        self._entries: dict[HostId, EntryHost] = {}
        self._open: frozenset[HostId] = frozenset()

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message."""
        raise TypeError(f"{self!r} can't take {message!r}")

    @receive.register
    def _(self, message: Tick, origin: Origin) -> None:
        """Nothing is due by time alone."""

    @receive.register
    def _(self, message: ServiceLimits, origin: Origin) -> None:
        """Floors do not matter to addresses."""

    @receive.register
    def _(self, message: InForce, origin: Origin) -> None:
        if message.fleet is not None:
            self._entries = {HostId(e.host): e for e in message.fleet.entries}

    @receive.register
    def _(self, message: FleetView, origin: Origin) -> None:
        self._open = frozenset(
            view.host
            for view in message.hosts
            if view.fresh
            and view.flags & HostFlag.SERVING
            and not view.flags & HostFlag.LEAVING
        )

    @receive.register
    def _(self, message: GetStatus, origin: Origin) -> None:
        self._reply(origin, {"open": sorted(self._open)})

    @receive.register
    def _(self, message: GetAddresses, origin: Origin) -> None:
        chosen = self._choose(message.region)
        addresses = tuple(entry.caller_address for entry in chosen)
        self._reply(origin, Addresses(addresses, ADDRESS_TTL_S))

    def _choose(self, region: RegionName) -> list[EntryHost]:
        """Order open entries: own region first, then other domains.

        The first two lie in different failure domains and the last in
        another region where that is possible, so that a caller survives
        the loss of either.
        """
        entries = [e for h, e in self._entries.items() if h in self._open]
        self._context.random.shuffle(entries)
        entries.sort(key=lambda e: e.region != region)
        if not entries:
            return []
        first, *rest = entries
        rest.sort(
            key=lambda e: (
                e.region != region,
                e.failure_domain == first.failure_domain,
            )
        )
        chosen = [first, *rest][:MAX_ADDRESSES]
        if len(entries) > MAX_ADDRESSES:
            chosen[-1] = next(
                (e for e in rest if e.region != region), chosen[-1]
            )
        return chosen
