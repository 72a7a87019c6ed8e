"""The targets that announced themselves, and which of them are usable."""

from __future__ import annotations

from dataclasses import dataclass, replace
from functools import singledispatchmethod
from typing import Any, ClassVar

from wasabitray_core.controllers.controller import (
    Context,
    Controller,
    Origin,
)
from wasabitray_core.controllers.feed_table import is_newer
from wasabitray_core.ids import Seconds, ServiceName, TargetId
from wasabitray_core.local_messages import (
    Broadcast,
    ConfigurationApplied,
    ControllerName,
    FleetView,
    GetStatus,
    ServiceLimits,
    Tick,
    UsableTarget,
    UsableTargets,
)
from wasabitray_core.messages import Announcement, Ejection
from wasabitray_core.requests import Target
from wasabitray_core.states import EjectionPhase, TargetPhase

DEFAULT_FLOOR = 1
# Announcements also stop when a link is cut, so a quiet target is kept as a
# reserve for the floor until it has been quiet for this many leases.
FORGET_AFTER_LEASES = 20
# A target that starts cold is slow at first; that is no failure.
WARM_UP_S = 15.0
# An ejection decided on this host gets its version here.
NEW_VERSION = 0
AUDIENCE = (
    ControllerName.DISPATCH,
    ControllerName.HEALTH,
    ControllerName.LONG_SLOTS,
)


@dataclass(slots=True)
class _Entry:
    """A target's newest announcement.

    Attributes:
        began: when its generation was first heard of.
    """

    announcement: Announcement
    renewed: Seconds
    began: Seconds

    def lapsed(self, now: Seconds) -> bool:
        if not self.announcement.lease_s:
            return False
        return now - self.renewed > self.announcement.lease_s

    def forgotten(self, now: Seconds) -> bool:
        if not self.announcement.lease_s:
            return False
        limit = self.announcement.lease_s * FORGET_AFTER_LEASES
        return now - self.renewed > limit


@dataclass(slots=True)
class _Ejected:
    ejection: Ejection
    until: Seconds


class TargetsController(Controller):
    """Owns announcements and ejections, and derives the usable targets.

    A target that says it leaves is dropped at once and for good. A target
    that is only quiet, or ejected, is dropped as long as the service keeps
    its floor of usable targets.
    """

    name: ClassVar[ControllerName] = ControllerName.TARGETS
    tick_interval_s = 0.25

    def __init__(self, context: Context, first_version: int) -> None:
        """Start without any target.

        Args:
            context: shared by all controllers.
            first_version: above any ejection's version of an earlier run.
        """
        super().__init__(context)
        self._version = first_version
        self._entries: dict[TargetId, _Entry] = {}
        self._ejected: dict[TargetId, _Ejected] = {}
        self._floors: dict[ServiceName, int] = {}
        self._published: dict[ServiceName, UsableTargets] = {}

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message."""
        raise TypeError(f"{self!r} can't take {message!r}")

    @receive.register
    def _(self, message: Tick, origin: Origin) -> None:
        now = self._now()
        for target, entry in list(self._entries.items()):
            if entry.forgotten(now):
                del self._entries[target]
        for target, ejected in list(self._ejected.items()):
            if now > ejected.until:
                del self._ejected[target]
        self._publish_all()

    @receive.register
    def _(
        self, message: FleetView | ConfigurationApplied, origin: Origin
    ) -> None:
        """Contacts and revisions do not matter to targets."""

    @receive.register
    def _(self, message: ServiceLimits, origin: Origin) -> None:
        self._floors = dict(message.floors)
        self._publish_all()

    @receive.register
    def _(self, message: Announcement, origin: Origin) -> None:
        known = self._entries.get(message.target)
        if known is not None and not is_newer(message, known.announcement):
            self._reply(origin, False)
            return
        now = self._now()
        began = now
        if known is not None and _is_same_run(known.announcement, message):
            began = known.began
        self._entries[message.target] = _Entry(message, now, began)
        self._outbox.tell(ControllerName.MEMBERSHIP, Broadcast(message))
        if known is None or known.announcement.phase != message.phase:
            self._outbox.log_event(
                "target announced",
                target=message.target,
                service=message.service,
                phase=message.phase.name.lower(),
            )
        self._publish(message.service)
        self._reply(origin, True)

    @receive.register
    def _(self, message: Ejection, origin: Origin) -> None:
        if message.version == NEW_VERSION:
            message = replace(message, version=self._version + 1)
        self._version = max(self._version, message.version)
        known = self._ejected.get(message.target)
        if known is not None and message.version <= known.ejection.version:
            return
        until = Seconds(self._now() + message.duration_s)
        self._ejected[message.target] = _Ejected(message, until)
        self._outbox.tell(ControllerName.MEMBERSHIP, Broadcast(message))
        self._outbox.log_event(
            "target ejection",
            target=message.target,
            service=message.service,
            phase=message.phase.name.lower(),
            evidence=message.evidence,
        )
        self._publish(message.service)

    @receive.register
    def _(self, message: GetStatus, origin: Origin) -> None:
        now = self._now()
        self._reply(
            origin, [self._describe(e, now) for e in self._entries.values()]
        )

    def _describe(self, entry: _Entry, now: Seconds) -> dict[str, Any]:
        announcement = entry.announcement
        ejected = self._ejected.get(announcement.target)
        return {
            "target": announcement.target,
            "service": announcement.service,
            "region": announcement.region,
            "failure_domain": announcement.failure_domain,
            "slots": announcement.slots,
            "phase": announcement.phase.name.lower(),
            "quiet": entry.lapsed(now),
            "ejection": ejected and ejected.ejection.phase.name.lower(),
            "evidence": ejected and ejected.ejection.evidence,
        }

    # Usable targets

    def _publish_all(self) -> None:
        services = {e.announcement.service for e in self._entries.values()}
        for service in sorted(services | set(self._published)):
            self._publish(service)

    def _publish(self, service: ServiceName) -> None:
        usable = self._derive(service)
        if self._published.get(service) == usable:
            return
        self._published[service] = usable
        for controller in AUDIENCE:
            self._outbox.tell(controller, usable)

    def _derive(self, service: ServiceName) -> UsableTargets:
        now = self._now()
        active = [
            entry
            for _, entry in sorted(self._entries.items())
            if entry.announcement.service == service
            and entry.announcement.phase is TargetPhase.ACTIVE
            and not self._is_replaced(entry.announcement)
        ]
        ejected = {
            t
            for t, e in self._ejected.items()
            if e.ejection.phase is not EjectionPhase.RETURNED
        }
        usable: list[UsableTarget] = []
        reserve: list[_Entry] = []
        for entry in active:
            target = entry.announcement.target
            if entry.lapsed(now) or self._phase(target) is _EJECTED:
                reserve.append(entry)
            else:
                on_trial = self._phase(target) is EjectionPhase.PROBATION
                usable.append(UsableTarget(_target_of(entry), on_trial))
        usable += self._fill_floor(service, usable, reserve)
        return UsableTargets(
            service,
            tuple(usable),
            tuple(e.announcement.target for e in active),
            tuple(sorted(ejected & {e.announcement.target for e in active})),
            tuple(
                e.announcement.target
                for e in active
                if now - e.began < WARM_UP_S
            ),
        )

    def _is_replaced(self, announcement: Announcement) -> bool:
        """Tell whether a later run of any target has the address."""
        if not announcement.address:
            return False
        return any(
            other.announcement.address == announcement.address
            and other.announcement.target != announcement.target
            and other.announcement.generation > announcement.generation
            for other in self._entries.values()
        )

    def _phase(self, target: TargetId) -> EjectionPhase | None:
        ejected = self._ejected.get(target)
        return ejected.ejection.phase if ejected else None

    def _fill_floor(
        self,
        service: ServiceName,
        usable: list[UsableTarget],
        reserve: list[_Entry],
    ) -> list[UsableTarget]:
        """Return reserves to use until the service has its floor.

        The most recently renewed come first: they are the likeliest to
        answer.
        """
        floor = self._floors.get(service, DEFAULT_FLOOR)
        healthy = sum(1 for u in usable if not u.probation)
        missing = max(0, floor - healthy)
        reserve.sort(key=lambda e: e.renewed, reverse=True)
        return [UsableTarget(_target_of(e), False) for e in reserve[:missing]]


_EJECTED = EjectionPhase.EJECTED


def _is_same_run(one: Announcement, other: Announcement) -> bool:
    return one.generation == other.generation


def _target_of(entry: _Entry) -> Target:
    a = entry.announcement
    return Target(
        a.target,
        a.service,
        a.region,
        a.failure_domain,
        a.slots,
        a.address or a.target,
        a.generation,
    )
