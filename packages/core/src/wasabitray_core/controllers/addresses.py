"""Choice of the entries that callers should use."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import Any, ClassVar

from msgspec import Struct

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
# With fewer entries in a domain, one that fails costs its callers too large a
# share of their requests.
MIN_NEAREST_ENTRIES = 2
# A host that restarts alone learns within this time which entries serve.
ENTRY_DISCOVERY_S = 0.4


class _EntryAddress(Struct, frozen=True):
    region: RegionName
    failure_domain: FailureDomainName
    caller_address: str


def _read_entry(entry: EntryHost) -> _EntryAddress:
    return _EntryAddress(
        RegionName(entry.region),
        FailureDomainName(entry.failure_domain),
        entry.caller_address,
    )


class AddressesController(Controller):
    """Owns the list of entries that address responses are taken from."""

    name: ClassVar[ControllerName] = ControllerName.ADDRESSES
    tick_interval_s = 60.0

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
            limit: maximum number of entries in a response.
            ttl_s: seconds for which a caller keeps a response.
            spread: whether a response covers several failure domains and
                regions, for callers that try one entry after the other;
                else it holds the nearest entries, for callers that choose
                one at random.
        """
        super().__init__(context)
        self._limit = limit
        self._ttl_s = ttl_s
        self._spread = spread
        self._entries: dict[HostId, _EntryAddress] = {}
        self._serving: frozenset[HostId] = frozenset()
        self._starting: frozenset[HostId] = frozenset()
        self._started = context.clock()

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message."""
        raise TypeError(f"{self!r} does not handle {message!r}")

    @receive.register
    def _(self, message: Tick, origin: Origin) -> None:
        """Ignored: nothing depends on time alone."""

    @receive.register
    def _(self, message: ServiceLimits, origin: Origin) -> None:
        """Ignored: addresses don't depend on floors."""

    @receive.register
    def _(self, message: ConfigurationApplied, origin: Origin) -> None:
        if message.fleet is not None:
            self._entries = {
                HostId(e.host): _read_entry(e) for e in message.fleet.entries
            }

    @receive.register
    def _(self, message: EntriesView, origin: Origin) -> None:
        self._entries = {
            state.host: _EntryAddress(
                state.region, state.failure_domain, state.caller_address
            )
            for state in message.entries
        }
        serving_by_host = {
            state.host: bool(state.flags & HostFlag.SERVING)
            for state in message.entries
            if state.present and not state.flags & HostFlag.LEAVING
        }
        self._serving = frozenset(
            h for h, serves in serving_by_host.items() if serves
        )
        self._starting = frozenset(serving_by_host) - self._serving

    @receive.register
    def _(self, message: FleetView, origin: Origin) -> None:
        self._serving = frozenset(
            view.host
            for view in message.hosts
            if view.is_recent
            and view.flags & HostFlag.SERVING
            and not view.flags & HostFlag.LEAVING
        )

    @receive.register
    def _(self, message: GetStatus, origin: Origin) -> None:
        self._reply(origin, {"open": sorted(self._serving)})

    @receive.register
    def _(self, message: GetAddresses, origin: Origin) -> None:
        if self._spread:
            chosen_entries = self._choose_spread(message.region)
        else:
            chosen_entries = self._choose_nearest(
                message.region, message.failure_domain
            )
        addresses = tuple(entry.caller_address for entry in chosen_entries)
        self._reply(origin, Addresses(addresses, self._ttl_s))

    def _choose_nearest(
        self, region: RegionName, domain: FailureDomainName
    ) -> list[_EntryAddress]:
        """Choose serving entries of the caller's domain, region, or all.

        The scope is widened while it holds fewer than MIN_NEAREST_ENTRIES.
        """
        candidates = self._serving or self._get_starting_entries()
        entries = [e for h, e in self._entries.items() if h in candidates]
        nearest = [e for e in entries if e.failure_domain == domain]
        if len(nearest) < MIN_NEAREST_ENTRIES:
            nearest = [e for e in entries if e.region == region]
        if len(nearest) < MIN_NEAREST_ENTRIES:
            nearest = entries
        self._context.random.shuffle(nearest)
        return nearest[: self._limit]

    def _get_starting_entries(self) -> frozenset[HostId]:
        """Return the entries to use while none is serving.

        After a start of the whole fleet, these entries hold requests until
        they have a configuration, while a caller without an address would
        give up.
        """
        if self._now() - self._started < ENTRY_DISCOVERY_S:
            return frozenset()
        return self._starting

    def _choose_spread(self, region: RegionName) -> list[_EntryAddress]:
        """Choose serving entries, those of the caller's region first.

        The first two are in different failure domains and the last is in
        another region if possible, so that the loss of a domain or a region
        leaves the caller an entry.
        """
        entries = [e for h, e in self._entries.items() if h in self._serving]
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
        chosen_entries = [first, *rest][: self._limit]
        if len(entries) > self._limit:
            chosen_entries[-1] = next(
                (e for e in rest if e.region != region), chosen_entries[-1]
            )
        return chosen_entries
