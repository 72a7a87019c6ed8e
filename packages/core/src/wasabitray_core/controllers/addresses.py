"""Which entries callers should use."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any, ClassVar

from wasabitray_core.controllers.controller import (
    Context,
    Controller,
    Origin,
)
from wasabitray_core.documents import EntryHost
from wasabitray_core.ids import FailureDomainName, HostId, RegionName
from wasabitray_core.local_messages import (
    Addresses,
    ConfigurationApplied,
    ControllerName,
    EntriesView,
    FleetView,
    GetAddresses,
    GetStatus,
    ServiceLimits,
    Tick,
)
from wasabitray_core.states import HostFlag

ADDRESS_TTL_S = 5.0
MAX_ADDRESSES = 4
# With fewer entries in a domain, one that fails costs its callers too much.
MIN_NEAR = 2
# A host that starts alone hears of the entries that serve within this.
STARTING_ALONE_S = 0.4


@dataclass(frozen=True, slots=True)
class _Entry:
    region: RegionName
    failure_domain: FailureDomainName
    caller_address: str


def _from_document(entry: EntryHost) -> _Entry:
    return _Entry(
        RegionName(entry.region),
        FailureDomainName(entry.failure_domain),
        entry.caller_address,
    )


class AddressesController(Controller):
    """Owns the list of entries that address answers are taken from."""

    name: ClassVar[ControllerName] = ControllerName.ADDRESSES

    def __init__(
        self,
        context: Context,
        limit: int = MAX_ADDRESSES,
        ttl_s: float = ADDRESS_TTL_S,
        spread: bool = True,
    ) -> None:
        """Start without any entry.

        Args:
            context: shared by all controllers.
            limit: entries in one answer.
            ttl_s: seconds that a caller keeps an answer.
            spread: whether an answer covers failure domains and regions,
                for callers that try one entry after the other; else it
                holds the nearest ones, for callers that choose at random.
        """
        super().__init__(context)
        self._limit = limit
        self._ttl_s = ttl_s
        self._spread = spread
        self._entries: dict[HostId, _Entry] = {}
        self._open: frozenset[HostId] = frozenset()
        self._starting: frozenset[HostId] = frozenset()
        self._started = context.clock()

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
    def _(self, message: ConfigurationApplied, origin: Origin) -> None:
        if message.fleet is not None:
            self._entries = {
                HostId(e.host): _from_document(e)
                for e in message.fleet.entries
            }

    @receive.register
    def _(self, message: EntriesView, origin: Origin) -> None:
        self._entries = {
            state.host: _Entry(
                state.region, state.failure_domain, state.caller_address
            )
            for state in message.entries
        }
        staying = {
            state.host: bool(state.flags & HostFlag.SERVING)
            for state in message.entries
            if state.present and not state.flags & HostFlag.LEAVING
        }
        self._open = frozenset(h for h, serves in staying.items() if serves)
        self._starting = frozenset(staying) - self._open

    @receive.register
    def _(self, message: FleetView, origin: Origin) -> None:
        self._open = frozenset(
            view.host
            for view in message.hosts
            if view.is_recent
            and view.flags & HostFlag.SERVING
            and not view.flags & HostFlag.LEAVING
        )

    @receive.register
    def _(self, message: GetStatus, origin: Origin) -> None:
        self._reply(origin, {"open": sorted(self._open)})

    @receive.register
    def _(self, message: GetAddresses, origin: Origin) -> None:
        if self._spread:
            chosen = self._choose(message.region)
        else:
            chosen = self._choose_near(message.region, message.failure_domain)
        addresses = tuple(entry.caller_address for entry in chosen)
        self._reply(origin, Addresses(addresses, self._ttl_s))

    def _choose_near(
        self, region: RegionName, domain: FailureDomainName
    ) -> list[_Entry]:
        """Choose open entries of the caller's domain, region, or all."""
        chosen = self._open or self._entries_that_start()
        entries = [e for h, e in self._entries.items() if h in chosen]
        near = [e for e in entries if e.failure_domain == domain]
        if len(near) < MIN_NEAR:
            near = [e for e in entries if e.region == region]
        if len(near) < MIN_NEAR:
            near = entries
        self._context.random.shuffle(near)
        return near[: self._limit]

    def _entries_that_start(self) -> frozenset[HostId]:
        """Return entries to use while none is open.

        After a fleet's start as a whole they hold requests until they have
        a configuration, where a caller without an address would give up.
        """
        if self._now() - self._started < STARTING_ALONE_S:
            return frozenset()
        return self._starting

    def _choose(self, region: RegionName) -> list[_Entry]:
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
        chosen = [first, *rest][: self._limit]
        if len(entries) > self._limit:
            chosen[-1] = next(
                (e for e in rest if e.region != region), chosen[-1]
            )
        return chosen
