"""Which of the known hubs an entry subscribes to."""

from __future__ import annotations

from collections import Counter

from msgspec import Struct

from wasabitray_core.ids import (
    FailureDomainName,
    HostId,
    RegionName,
    Seconds,
)
from wasabitray_core.messages import HostAddress
from wasabitray_core.nearness import Nearness, get_nearness
from wasabitray_core.rendezvous import choose_owner

# Delay before a silent hub is used again, unless all failed.
HUB_RETRY_DELAY_S = 5.0
# The same for an isolated hub. It answers at once, so a try costs little.
ISOLATED_RETRY_DELAY_S = 2.0
# A region with this many isolated hubs is likely cut off as a whole.
MIN_ISOLATED_OF_REGION = 2
# An isolated hub that doesn't hear more than this share of the hubs is on one
# side of a cut. Fewer may be hosts that were lost together.
MIN_CUT_OFF_SHARE = 0.25


class _Failure(Struct, frozen=True):
    """A hub's newest failure.

    Attributes:
        at: when it was noticed.
        is_isolated: whether the hub answered, but without contact to the
            leader.
    """

    at: Seconds
    is_isolated: bool

    def is_recent(self, now: Seconds) -> bool:
        """Return whether the hub should not be used yet."""
        delay = (
            ISOLATED_RETRY_DELAY_S if self.is_isolated else HUB_RETRY_DELAY_S
        )
        return now - self.at < delay


class HubChoice:
    """The known hubs, which of them failed, and which one is best."""

    def __init__(
        self, host: HostId, region: RegionName, domain: FailureDomainName
    ) -> None:
        """Start without hubs.

        Args:
            host: the entry.
            region: its region.
            domain: its failure domain.
        """
        self._host = host
        self._region = region
        self._domain = domain
        self._seeds: tuple[HostId, ...] = ()
        self._addresses: dict[HostId, HostAddress] = {}
        self._failures: dict[HostId, _Failure] = {}
        self._isolated_side: frozenset[HostId] = frozenset()
        self._isolated_side_until = Seconds(0.0)

    @property
    def has_addresses(self) -> bool:
        """Whether a hub has sent a list of hubs."""
        return bool(self._addresses)

    def set_seeds(self, seeds: tuple[HostId, ...]) -> None:
        """Set the hubs to contact before others are known."""
        self._seeds = seeds

    def update_addresses(
        self, addresses: tuple[HostAddress, ...], is_complete: bool
    ) -> tuple[HostAddress, ...]:
        """Store a hub's list of hubs; return the new or changed ones.

        Args:
            addresses: the list.
            is_complete: whether hubs that it leaves out are gone. The list
                of an isolated hub lacks those that it can't reach.
        """
        changed = tuple(
            a for a in addresses if self._addresses.get(a.host) != a
        )
        if is_complete:
            self._addresses.clear()
        self._addresses |= {a.host: a for a in addresses}
        self._failures = {
            h: f for h, f in self._failures.items() if self.is_known(h)
        }
        return changed

    def is_known(self, host: HostId) -> bool:
        """Return whether a hub is a seed or in a list of hubs."""
        return host in self._addresses or host in self._seeds

    def get_nearness(self, host: HostId | None) -> Nearness:
        """Return how near a hub is to the entry."""
        address = self._addresses.get(host) if host else None
        if address is None:
            return Nearness.ELSEWHERE
        return get_nearness(address, self._region, self._domain)

    def record_isolated_side(
        self, addresses: tuple[HostAddress, ...], now: Seconds
    ) -> None:
        """Record the hubs that an isolated hub hears.

        If a cut separates them from the others, they are isolated as well.
        """
        heard = frozenset(a.host for a in addresses)
        cut_off = set(self._addresses) - heard
        min_count = max(1.0, MIN_CUT_OFF_SHARE * len(self._addresses))
        is_cut = len(cut_off) > min_count
        self._isolated_side = heard if is_cut else frozenset()
        self._isolated_side_until = Seconds(now + ISOLATED_RETRY_DELAY_S)

    def record_failure(
        self, host: HostId, now: Seconds, is_isolated: bool
    ) -> None:
        """Record that a hub is silent, or isolated from the leader."""
        self._failures[host] = _Failure(now, is_isolated)

    def record_contact(self, host: HostId) -> None:
        """Record that a hub has contact with the leader."""
        self._failures.pop(host, None)

    def forget_isolated(self) -> None:
        """Let isolated hubs be tried again without delay."""
        self._failures = {
            h: f for h, f in self._failures.items() if not f.is_isolated
        }

    def has_untried(self, now: Seconds) -> bool:
        """Return whether there is a hub without a recent failure."""
        return bool(self._find_usable(now))

    def choose(
        self, now: Seconds, excluded: HostId | None = None
    ) -> HostId | None:
        """Choose one of the nearest hubs without a recent failure.

        Hubs on the same side of a cut as an isolated one, and regions with
        several isolated hubs come last. Rendezvous hashing distributes
        entries over hubs that are equally good. If all hubs failed recently,
        an isolated one comes before silent ones, and the one whose failure is
        the oldest before others.

        Args:
            now: monotonic seconds.
            excluded: a hub that should be replaced by another one; then none
                that failed recently is chosen.

        Returns:
            The hub, None if there is none.
        """
        usable = [h for h in self._find_usable(now) if h != excluded]
        if not usable and excluded is not None:
            return None
        if not usable:
            return min(self._get_hosts(), key=self._rank_failed, default=None)
        isolated = self._count_isolated(now)
        is_side_known = now < self._isolated_side_until
        isolated_side = self._isolated_side if is_side_known else frozenset()

        def rank(host: HostId) -> tuple[bool, bool, Nearness]:
            count = isolated[self._get_region(host)]
            return (
                host not in isolated_side,
                count < MIN_ISOLATED_OF_REGION,
                self.get_nearness(host),
            )

        best = max(map(rank, usable))
        return choose_owner(self._host, [h for h in usable if rank(h) == best])

    def rank_hosts(self) -> list[HostId]:
        """Return the hubs, the nearest first."""
        return sorted(self._get_hosts(), key=self.get_nearness, reverse=True)

    def _get_hosts(self) -> list[HostId]:
        return sorted({*self._addresses, *self._seeds})

    def _find_usable(self, now: Seconds) -> list[HostId]:
        return [h for h in self._get_hosts() if not self._has_failed(h, now)]

    def _has_failed(self, host: HostId, now: Seconds) -> bool:
        failure = self._failures.get(host)
        return failure is not None and failure.is_recent(now)

    def _rank_failed(self, host: HostId) -> tuple[bool, Seconds, HostId]:
        failure = self._failures[host]
        return not failure.is_isolated, failure.at, host

    def _count_isolated(self, now: Seconds) -> Counter[RegionName | None]:
        return Counter(
            self._get_region(host)
            for host, failure in self._failures.items()
            if failure.is_isolated and failure.is_recent(now)
        )

    def _get_region(self, host: HostId) -> RegionName | None:
        address = self._addresses.get(host)
        return address.region if address else None
