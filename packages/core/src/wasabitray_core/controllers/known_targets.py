"""The targets that an entry knows, by name, service and address."""

from __future__ import annotations

import math
from collections.abc import Iterable

from msgspec import Struct

from wasabitray_core.ids import Seconds, ServiceName, TargetId
from wasabitray_core.messages import Announcement

# Announcements also stop when a link is cut. A quiet target, one whose lease
# has expired, is therefore kept as a reserve for the floor until no
# announcement of it has arrived for this many leases.
EXPIRE_AFTER_LEASES = 20
# A target that starts cold is slow at first: for this long, slow attempts do
# not count as failed.
WARM_UP_S = 15.0


class KnownTarget(Struct):
    """A target's newest announcement.

    Attributes:
        renewed_at: when it was received.
        generation_began_at: when the first announcement of the target's
            generation was received.
    """

    announcement: Announcement
    renewed_at: Seconds
    generation_began_at: Seconds

    @property
    def target(self) -> TargetId:
        """The target's name."""
        return self.announcement.target

    def is_quiet(self, now: Seconds) -> bool:
        """Return whether its lease has expired."""
        if not self.announcement.lease_s:
            return False
        return now - self.renewed_at > self.announcement.lease_s

    def is_expired(self, now: Seconds) -> bool:
        """Return whether it has been quiet for too long to be kept."""
        if not self.announcement.lease_s:
            return False
        limit = self.announcement.lease_s * EXPIRE_AFTER_LEASES
        return now - self.renewed_at > limit

    def is_warming_up(self, now: Seconds) -> bool:
        """Return whether it is slow since it started not long ago."""
        return now - self.generation_began_at < WARM_UP_S

    def find_next_change(self, now: Seconds) -> float:
        """Return when one of these changes next without an announcement."""
        times = [math.inf]
        if self.is_warming_up(now):
            times.append(self.generation_began_at + WARM_UP_S)
        lease_s = self.announcement.lease_s
        if lease_s:
            leases = EXPIRE_AFTER_LEASES if self.is_quiet(now) else 1
            times.append(self.renewed_at + leases * lease_s)
        return min(times)


class KnownTargets:
    """All known targets.

    Each change reports the services that it concerns, so that the others
    need not be looked at.
    """

    def __init__(self) -> None:
        """Start without targets."""
        self._targets: dict[TargetId, KnownTarget] = {}
        self._by_service: dict[ServiceName, set[TargetId]] = {}
        self._by_address: dict[str, set[TargetId]] = {}

    def find(self, target: TargetId) -> KnownTarget | None:
        """Return a target, None if it is unknown."""
        return self._targets.get(target)

    def get_all(self) -> Iterable[KnownTarget]:
        """Return all targets."""
        return self._targets.values()

    def get_services(self) -> set[ServiceName]:
        """Return the services that have targets."""
        return {
            service for service, names in self._by_service.items() if names
        }

    def get_service_targets(self, service: ServiceName) -> list[KnownTarget]:
        """Return the targets of a service, sorted by name."""
        names = self._by_service.get(service, ())
        return [self._targets[name] for name in sorted(names)]

    def put(self, known: KnownTarget) -> set[ServiceName]:
        """Store a target; return the services that are concerned."""
        concerned = self.remove(known.target)
        announcement = known.announcement
        self._targets[known.target] = known
        self._by_service.setdefault(announcement.service, set()).add(
            known.target
        )
        concerned.add(announcement.service)
        if announcement.address:
            concerned |= self._get_services_at(announcement.address)
            self._by_address.setdefault(announcement.address, set()).add(
                known.target
            )
        return concerned

    def remove(self, target: TargetId) -> set[ServiceName]:
        """Remove a target; return the services that are concerned."""
        known = self._targets.pop(target, None)
        if known is None:
            return set()
        announcement = known.announcement
        self._by_service[announcement.service].discard(target)
        concerned = {announcement.service}
        if announcement.address:
            names = self._by_address[announcement.address]
            names.discard(target)
            concerned |= self._get_services_at(announcement.address)
            if not names:
                del self._by_address[announcement.address]
        return concerned

    def is_replaced(self, announcement: Announcement) -> bool:
        """Return whether a newer generation of another target has its address.

        The address is then in use by that target.
        """
        others = self._by_address.get(announcement.address, set())
        return any(
            self._targets[name].announcement.generation
            > announcement.generation
            for name in others
            if name != announcement.target
        )

    def _get_services_at(self, address: str) -> set[ServiceName]:
        names = self._by_address.get(address, ())
        return {self._targets[name].announcement.service for name in names}
