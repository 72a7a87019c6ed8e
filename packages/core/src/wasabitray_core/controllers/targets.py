"""Keeps the announcements of targets and derives which are usable."""

from __future__ import annotations

import math
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
from wasabitray_core.controllers.feed_table import is_newer
from wasabitray_core.controllers.known_targets import (
    KnownTarget,
    KnownTargets,
)
from wasabitray_core.ids import Seconds, ServiceName, TargetId
from wasabitray_core.local_messages import (
    Announcements,
    Broadcast,
    ConfigurationApplied,
    ControllerName,
    FleetView,
    GetStatus,
    ServiceLimits,
    TargetLeaving,
    Tick,
    UsableTarget,
    UsableTargets,
)
from wasabitray_core.messages import Announcement, Ejection
from wasabitray_core.requests import Target
from wasabitray_core.states import EjectionPhase, TargetPhase

DEFAULT_FLOOR = 1
# A change that is due between two ticks waits this long at most.
MIN_TICK_INTERVAL_S = 0.25
MAX_TICK_INTERVAL_S = 1.0
# A tick just before a change would not see it.
CLOCK_MARGIN_S = 0.001
# Version of an ejection decided on this host until the targets controller
# assigns one to it.
UNASSIGNED_VERSION = 0
SUBSCRIBERS = (
    ControllerName.DISPATCH,
    ControllerName.HEALTH,
    ControllerName.LONG_SLOTS,
)


class _KnownEjection(Struct):
    ejection: Ejection
    expires_at: Seconds


class TargetsController(Controller):
    """Owns announcements and ejections, and derives the usable targets.

    A target that announces that it leaves becomes unusable immediately and
    for the rest of its generation. A target that is only quiet, or that is
    ejected, is unusable unless the service needs it to reach its floor of
    usable targets.
    """

    name: ClassVar[ControllerName] = ControllerName.TARGETS

    def __init__(self, context: Context, first_version: int) -> None:
        """Start without any target.

        Args:
            context: shared by all controllers.
            first_version: higher than the version of any ejection that an
                earlier incarnation of this host decided.
        """
        super().__init__(context)
        self._version = first_version
        self._targets = KnownTargets()
        self._ejections: dict[TargetId, _KnownEjection] = {}
        self._floors: dict[ServiceName, int] = {}
        self._published: dict[ServiceName, UsableTargets] = {}
        # When the usable targets of a service change next if nothing is
        # announced.
        self._review_at: dict[ServiceName, float] = {}

    @property
    def tick_interval_s(self) -> float:  # type: ignore[override]
        """Seconds between ticks; short only if a change is due soon."""
        expiries = (e.expires_at for e in self._ejections.values())
        due = min((*self._review_at.values(), *expiries), default=math.inf)
        remaining = due - self._now() + CLOCK_MARGIN_S
        return min(MAX_TICK_INTERVAL_S, max(MIN_TICK_INTERVAL_S, remaining))

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message."""
        raise TypeError(f"{self!r} does not handle {message!r}")

    @receive.register
    def _(self, message: Tick, origin: Origin) -> None:
        now = self._now()
        concerned = {s for s, at in self._review_at.items() if at <= now}
        for service in list(concerned):
            for known in self._targets.get_service_targets(service):
                if known.is_expired(now):
                    concerned |= self._targets.remove(known.target)
        for target, ejected in list(self._ejections.items()):
            if now > ejected.expires_at:
                del self._ejections[target]
                concerned.add(ejected.ejection.service)
        self._publish(concerned)

    @receive.register
    def _(
        self, message: FleetView | ConfigurationApplied, origin: Origin
    ) -> None:
        """Ignored: neither hosts nor revisions affect targets."""

    @receive.register
    def _(self, message: ServiceLimits, origin: Origin) -> None:
        self._floors = dict(message.floors)
        self._publish(self._targets.get_services() | set(self._published))

    @receive.register
    def _(self, message: Announcement, origin: Origin) -> None:
        self._reply(origin, self._apply(message))

    @receive.register
    def _(self, message: Announcements, origin: Origin) -> None:
        concerned: set[ServiceName] = set()
        for announcement in message.items:
            concerned |= self._store(announcement) or set()
        self._publish(concerned)

    @receive.register
    def _(self, message: TargetLeaving, origin: Origin) -> None:
        known = self._targets.find(message.target)
        if known is None:
            return
        departure = replace(
            known.announcement,
            generation=message.generation,
            phase=TargetPhase.LEAVING,
        )
        self._apply(departure)

    def _apply(self, message: Announcement) -> bool:
        """Store and spread an announcement; return whether it is newer."""
        concerned = self._store(message)
        if concerned is None:
            return False
        self._outbox.tell(ControllerName.MEMBERSHIP, Broadcast(message))
        self._publish(concerned)
        return True

    def _store(self, message: Announcement) -> set[ServiceName] | None:
        """Store an announcement.

        Returns:
            The services that are concerned, None if it is not newer than the
            known one.
        """
        previous = self._targets.find(message.target)
        if previous is not None and not is_newer(
            message, previous.announcement
        ):
            return None
        now = self._now()
        generation_began_at = now
        if previous is not None and _has_same_generation(
            previous.announcement, message
        ):
            generation_began_at = previous.generation_began_at
        if previous is None or previous.announcement.phase != message.phase:
            self._outbox.log_event(
                "target announced",
                target=message.target,
                service=message.service,
                phase=message.phase.name.lower(),
            )
        return self._targets.put(
            KnownTarget(message, now, generation_began_at)
        )

    @receive.register
    def _(self, message: Ejection, origin: Origin) -> None:
        if message.version == UNASSIGNED_VERSION:
            message = replace(message, version=self._version + 1)
        self._version = max(self._version, message.version)
        previous = self._ejections.get(message.target)
        if (
            previous is not None
            and message.version <= previous.ejection.version
        ):
            return
        expires_at = Seconds(self._now() + message.duration_s)
        self._ejections[message.target] = _KnownEjection(message, expires_at)
        self._outbox.tell(ControllerName.MEMBERSHIP, Broadcast(message))
        self._outbox.log_event(
            "target ejection",
            target=message.target,
            service=message.service,
            phase=message.phase.name.lower(),
            evidence=message.evidence,
        )
        self._publish({message.service})

    @receive.register
    def _(self, message: GetStatus, origin: Origin) -> None:
        now = self._now()
        self._reply(
            origin,
            [self._describe(known, now) for known in self._targets.get_all()],
        )

    def _describe(self, known: KnownTarget, now: Seconds) -> dict[str, Any]:
        announcement = known.announcement
        ejected = self._ejections.get(announcement.target)
        return {
            "target": announcement.target,
            "service": announcement.service,
            "region": announcement.region,
            "failure_domain": announcement.failure_domain,
            "slots": announcement.slots,
            "phase": announcement.phase.name.lower(),
            "quiet": known.is_quiet(now),
            "ejection": ejected and ejected.ejection.phase.name.lower(),
            "evidence": ejected and ejected.ejection.evidence,
        }

    # Usable targets

    def _publish(self, services: Iterable[ServiceName]) -> None:
        """Publish the usable targets of services where they changed."""
        for service in sorted(services):
            usable = self._derive_usable(service)
            if self._published.get(service) == usable:
                continue
            self._published[service] = usable
            for controller in SUBSCRIBERS:
                self._outbox.tell(controller, usable)

    def _derive_usable(self, service: ServiceName) -> UsableTargets:
        now = self._now()
        targets = self._targets.get_service_targets(service)
        self._review_at[service] = min(
            (known.find_next_change(now) for known in targets),
            default=math.inf,
        )
        active = [
            known
            for known in targets
            if known.announcement.phase is TargetPhase.ACTIVE
            and not self._targets.is_replaced(known.announcement)
        ]
        ejected = {
            t
            for t, e in self._ejections.items()
            if e.ejection.phase is not EjectionPhase.RETURNED
        }
        usable: list[UsableTarget] = []
        reserve: list[KnownTarget] = []
        for known in active:
            target = known.announcement.target
            if known.is_quiet(now) or self._find_phase(target) is _EJECTED:
                reserve.append(known)
            else:
                on_probation = (
                    self._find_phase(target) is EjectionPhase.PROBATION
                )
                usable.append(UsableTarget(_build_target(known), on_probation))
        usable += self._choose_reserves(service, usable, reserve)
        return UsableTargets(
            service,
            tuple(usable),
            tuple(known.announcement.target for known in active),
            tuple(
                sorted(
                    ejected & {known.announcement.target for known in active}
                )
            ),
            tuple(
                known.announcement.target
                for known in active
                if known.is_warming_up(now)
            ),
        )

    def _find_phase(self, target: TargetId) -> EjectionPhase | None:
        ejected = self._ejections.get(target)
        return ejected.ejection.phase if ejected else None

    def _choose_reserves(
        self,
        service: ServiceName,
        usable: list[UsableTarget],
        reserve: list[KnownTarget],
    ) -> list[UsableTarget]:
        """Return the reserves to use so that the service has its floor.

        The most recently renewed ones come first: they are the likeliest to
        respond.
        """
        floor = self._floors.get(service, DEFAULT_FLOOR)
        healthy = sum(1 for u in usable if not u.probation)
        shortfall = max(0, floor - healthy)
        reserve.sort(key=lambda known: known.renewed_at, reverse=True)
        return [
            UsableTarget(_build_target(known), False)
            for known in reserve[:shortfall]
        ]


_EJECTED = EjectionPhase.EJECTED


def _has_same_generation(first: Announcement, second: Announcement) -> bool:
    return first.generation == second.generation


def _build_target(known: KnownTarget) -> Target:
    a = known.announcement
    return Target(
        a.target,
        a.service,
        a.region,
        a.failure_domain,
        a.slots,
        a.address or a.target,
        a.generation,
    )
