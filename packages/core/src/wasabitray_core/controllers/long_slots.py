"""Slots for long requests, granted by one coordinator per service.

A long request on the last free slot of a target would block the target for
a long time. The coordinator of a service is an entry chosen by rendezvous
hashing. It grants the service's long slots to all entries, so that together
they leave free capacity for short requests.
"""

from __future__ import annotations

from collections import Counter, deque
from functools import singledispatchmethod
from typing import Any, ClassVar

from msgspec import Struct, field

from wasabitray_core.controllers.controller import (
    Context,
    Controller,
    Origin,
)
from wasabitray_core.ids import (
    HostId,
    RequestId,
    Seconds,
    ServiceName,
    TargetId,
)
from wasabitray_core.local_messages import (
    ControllerName,
    FleetView,
    GetStatus,
    LongSlotReserved,
    ReleaseLongSlot,
    ReserveLongSlot,
    SlotRefusal,
    Tick,
    UsableTargets,
)
from wasabitray_core.messages import (
    LongHeld,
    LongOccupancy,
    LongSlotRelease,
    LongSlotReply,
    LongSlotRequest,
)
from wasabitray_core.rendezvous import choose_owner
from wasabitray_core.requests import Target
from wasabitray_core.states import RefusalReason

# Target in the reply to a request for a service without usable targets.
NO_TARGET = TargetId("")
# Time for which a lease outlives the deadline of its request.
LEASE_GRACE_S = 2.0
RESEND_INTERVAL_S = 0.5

_Holder = tuple[HostId, RequestId]


class _Pending(Struct):
    """A request of this host that waits for its coordinator's reply."""

    reservation: ReserveLongSlot
    origin: Origin
    coordinator: HostId


class _Lease(Struct, frozen=True):
    target: TargetId
    expires: Seconds


class _Service(Struct):
    """A service whose long slots this host grants as its coordinator.

    Attributes:
        announced: the slots held by long requests, as last sent to the
            entries.
    """

    targets: tuple[Target, ...] = ()
    announced: tuple[LongHeld, ...] = ()
    leases: dict[_Holder, _Lease] = field(default_factory=dict)
    queue: deque[tuple[_Holder, LongSlotRequest, Seconds]] = field(
        default_factory=deque
    )

    def count_long(self, target: TargetId) -> int:
        return sum(
            1 for lease in self.leases.values() if lease.target == target
        )

    def is_below_share(self, long_share: float) -> bool:
        """Return whether long requests may use another slot."""
        slots = sum(t.slots for t in self.targets)
        return len(self.leases) < max(1, int(slots * long_share))

    def find_open_targets(self, request: LongSlotRequest) -> list[Target]:
        """Return the targets on which a long request leaves a slot free.

        A target with a single slot counts as well while no long request has
        it.
        """
        return [
            t
            for t in self.targets
            if t.target not in request.excluded
            and self.count_long(t.target) < max(1, t.slots - 1)
        ]


class LongSlotsController(Controller):
    """Owns the leases on long slots, as requester and as coordinator.

    A requester sends its request again until the coordinator replies.
    """

    name: ClassVar[ControllerName] = ControllerName.LONG_SLOTS
    tick_interval_s = RESEND_INTERVAL_S

    def __init__(self, context: Context) -> None:
        """Start without leases."""
        super().__init__(context)
        self._entries: tuple[HostId, ...] = (context.host,)
        self._services: dict[ServiceName, _Service] = {}
        self._pending: dict[RequestId, _Pending] = {}
        self._coordinators: dict[RequestId, HostId] = {}
        self._last_request = context.random.randrange(2**40)

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message."""
        raise TypeError(f"{self!r} does not handle {message!r}")

    @receive.register
    def _(self, message: FleetView, origin: Origin) -> None:
        self._entries = message.get_recent_entries() or (self.host,)

    @receive.register
    def _(self, message: UsableTargets, origin: Origin) -> None:
        service = self._services.setdefault(message.service, _Service())
        service.targets = tuple(
            u.target for u in message.usable if not u.probation
        )
        self._serve_queue(service)

    @receive.register
    def _(self, message: Tick, origin: Origin) -> None:
        now = self._now()
        for request, pending in list(self._pending.items()):
            if now >= pending.reservation.deadline:
                self._cancel_request(request, pending)
            else:
                self._send_request(request, pending)
        for name, service in self._services.items():
            self._expire(service, now)
            self._serve_queue(service)
            self._broadcast_occupancy(name, service)

    @receive.register
    def _(self, message: ReserveLongSlot, origin: Origin) -> None:
        self._last_request += 1
        request = RequestId(self._last_request)
        coordinator = choose_owner(f"long/{message.service}", self._entries)
        pending = _Pending(message, origin, coordinator)
        self._pending[request] = pending
        self._send_request(request, pending)

    @receive.register
    def _(self, message: ReleaseLongSlot, origin: Origin) -> None:
        coordinator = self._coordinators.pop(message.request, None)
        if coordinator is not None:
            self._outbox.send(coordinator, LongSlotRelease(message.request))

    @receive.register
    def _(self, message: LongSlotReply, origin: Origin) -> None:
        pending = self._pending.pop(message.request, None)
        if pending is None or message.target == NO_TARGET:
            if pending is not None:
                refusal = SlotRefusal(RefusalReason.NO_TARGET, 1.0)
                self._reply(pending.origin, refusal)
            return
        self._coordinators[message.request] = pending.coordinator
        reserved = LongSlotReserved(message.request, message.target)
        self._reply(pending.origin, reserved)

    @receive.register
    def _(self, message: LongSlotRequest, origin: Origin) -> None:
        assert origin.peer is not None
        holder = (origin.peer, message.request)
        service = self._services.setdefault(message.service, _Service())
        lease = service.leases.get(holder)
        if lease is not None:  # a resend: the reply was lost
            reply = LongSlotReply(message.request, lease.target)
            self._outbox.send(origin.peer, reply)
        elif not service.targets:
            reply = LongSlotReply(message.request, NO_TARGET)
            self._outbox.send(origin.peer, reply)
        elif all(holder != queued[0] for queued in service.queue):
            expires = Seconds(self._now() + message.ttl_s)
            service.queue.append((holder, message, expires))
            self._serve_queue(service)

    @receive.register
    def _(self, message: LongSlotRelease, origin: Origin) -> None:
        assert origin.peer is not None
        holder = (origin.peer, message.request)
        for service in self._services.values():
            service.leases.pop(holder, None)
            queued = (q for q in service.queue if q[0] != holder)
            service.queue = deque(queued)
            self._serve_queue(service)

    @receive.register
    def _(self, message: GetStatus, origin: Origin) -> None:
        self._reply(
            origin,
            {
                name: {"leases": len(s.leases), "waiting": len(s.queue)}
                for name, s in self._services.items()
            },
        )

    # Requester

    def _send_request(self, request: RequestId, pending: _Pending) -> None:
        reservation = pending.reservation
        ttl = reservation.deadline - self._now() + LEASE_GRACE_S
        message = LongSlotRequest(
            request,
            reservation.service,
            reservation.long_share,
            ttl,
            reservation.excluded,
        )
        self._outbox.send(pending.coordinator, message)

    def _cancel_request(self, request: RequestId, pending: _Pending) -> None:
        del self._pending[request]
        self._outbox.send(pending.coordinator, LongSlotRelease(request))
        self._reply(pending.origin, SlotRefusal(RefusalReason.OVERLOAD, 1.0))

    # Coordinator

    @staticmethod
    def _expire(service: _Service, now: Seconds) -> None:
        service.leases = {
            h: lease
            for h, lease in service.leases.items()
            if lease.expires > now
        }
        service.queue = deque(q for q in service.queue if q[2] > now)

    def _broadcast_occupancy(
        self, name: ServiceName, service: _Service
    ) -> None:
        """Send the slots held by long requests to all entries if changed."""
        counts = Counter(lease.target for lease in service.leases.values())
        held = tuple(LongHeld(t, n) for t, n in sorted(counts.items()))
        if held == service.announced:
            return
        service.announced = held
        for host in self._entries:
            self._outbox.send(host, LongOccupancy(name, held))

    def _serve_queue(self, service: _Service) -> None:
        while service.queue:
            holder, request, expires = service.queue[0]
            if not service.is_below_share(request.long_share):
                return
            targets = service.find_open_targets(request)
            if not targets:
                return
            service.queue.popleft()
            self._context.random.shuffle(targets)
            chosen = min(targets, key=lambda t: service.count_long(t.target))
            service.leases[holder] = _Lease(chosen.target, expires)
            reply = LongSlotReply(request.request, chosen.target)
            self._outbox.send(holder[0], reply)
