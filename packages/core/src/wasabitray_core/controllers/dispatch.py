"""Slots on targets and the queues of requests that wait for them."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import singledispatchmethod
from typing import Any, ClassVar

from wasabitray_core.controllers.controller import (
    Context,
    Controller,
    Origin,
)
from wasabitray_core.controllers.cool_downs import (
    AttemptOutcome,
    apply_report,
    evaluate_attempt,
    is_newer_report,
)
from wasabitray_core.controllers.feedback import (
    record_load,
    record_path_result,
)
from wasabitray_core.controllers.in_flight import InFlight, apply_others_work
from wasabitray_core.controllers.losses import LossEstimate
from wasabitray_core.controllers.retry_budget import RetryBudget, RetryLimits
from wasabitray_core.controllers.usage import Usage
from wasabitray_core.controllers.waiting import Queues, Waiter
from wasabitray_core.ids import (
    RegionName,
    Seconds,
    ServiceName,
    TargetId,
)
from wasabitray_core.local_messages import (
    AcquireSlot,
    Broadcast,
    ControllerName,
    FleetSize,
    GetStatus,
    ReleaseSlot,
    RequestEnded,
    SlotGrant,
    SlotRefusal,
    Tick,
    UsableTargets,
)
from wasabitray_core.messages import LongOccupancy, OthersWork, TargetReport
from wasabitray_core.placement import (
    PlacementRequest,
    TargetState,
    choose_target,
    find_early_readmissions,
    measure_availability,
)
from wasabitray_core.requests import Target
from wasabitray_core.states import AttemptStatus, RefusalReason, WorkClass

PUMP_INTERVAL_S = 0.02
IDLE_INTERVAL_S = 1.0
RAMP_S = 5.0
HOLD_TIME_WEIGHT = 0.05
# Below this a mean time of requests says nothing about their rate.
MIN_HOLD_S = 0.001
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 5.0


@dataclass(slots=True)
class _Service:
    budget: RetryBudget
    targets: dict[TargetId, TargetState] = field(default_factory=dict)
    queues: dict[WorkClass, Queues] = field(
        default_factory=lambda: {work: Queues() for work in WorkClass}
    )
    hold_time: dict[WorkClass, float] = field(default_factory=dict)
    usage: Usage = field(default_factory=Usage)
    losses: LossEstimate = field(default_factory=LossEstimate)

    def waiting(self) -> int:
        return sum(len(q) for q in self.queues.values())


class DispatchController(Controller):
    """Owns this entry's use of slots.

    A request gets a target with room, or waits in a queue of its class and
    organisation. A request that can't finish before its deadline is refused
    while it waits. A target that breaks an attempt cools down for the whole
    fleet at once.
    """

    name: ClassVar[ControllerName] = ControllerName.DISPATCH

    def __init__(
        self,
        context: Context,
        region: RegionName,
        retries: RetryLimits | None = None,
        cool_downs: bool = False,
        startup_wait_s: float = 0.0,
        shares_work: bool = False,
    ) -> None:
        """Start without targets.

        Args:
            context: shared by all controllers.
            region: this entry's region, preferred for targets.
            retries: bounds on retries.
            cool_downs: whether targets that fail cool down for the fleet.
            startup_wait_s: seconds from the start in which requests wait
                for the first targets.
            shares_work: whether other entries are told of work in flight.
        """
        super().__init__(context)
        self._region = region
        self._retries = retries or RetryLimits()
        self._cool_downs = cool_downs
        self._wait_until = Seconds(context.clock() + startup_wait_s)
        self._entries = 1
        self._burst = self._retries.burst(1)
        self._services: dict[ServiceName, _Service] = {}
        self._in_flight = InFlight(context.clock()) if shares_work else None

    @property
    def tick_interval_s(self) -> float:  # type: ignore[override]
        """Seconds between ticks; short only while requests wait."""
        waiting = any(s.waiting() for s in self._services.values())
        if waiting:
            return PUMP_INTERVAL_S
        if self._in_flight is not None:
            return self._in_flight.tick_interval_s
        return IDLE_INTERVAL_S

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message."""
        raise TypeError(f"{self!r} can't take {message!r}")

    @receive.register
    def _(self, message: Tick, origin: Origin) -> None:
        for service in self._services.values():
            if service.waiting():
                self._pump(service)
        self._share_work()

    @receive.register
    def _(self, message: UsableTargets, origin: Origin) -> None:
        service = self._service(message.service)
        now = self._now()
        # Targets known at the start are warm; later ones may start cold.
        ramp = Seconds(now + RAMP_S if service.targets else now)
        targets = {}
        for usable in message.usable:
            name = usable.target.target
            state = service.targets.get(name)
            if state is None or _is_new_run(state.target, usable.target):
                state = TargetState(usable.target, usable.probation, ramp)
            state.target = usable.target
            state.probation = usable.probation
            targets[name] = state
        service.targets = targets
        self._pump(service)

    @receive.register
    def _(self, message: LongOccupancy, origin: Origin) -> None:
        held = {h.target: h.slots for h in message.held}
        for target, state in self._service(message.service).targets.items():
            state.long_held = held.get(target, 0)

    @receive.register
    def _(self, message: AcquireSlot, origin: Origin) -> None:
        service = self._service(message.service)
        if not self._take_retry_token(service, message):
            refusal = SlotRefusal(
                RefusalReason.OVERLOAD, self._retry_after(0.0)
            )
            self._reply(origin, refusal)
            return
        waiter = Waiter(message, origin, self._now())
        if self._refuse_early(service, waiter):
            return
        queues = service.queues[message.work]
        if not len(queues) and self._try_grant(service, waiter):
            return
        if not queues.append(waiter):
            wait = self._expected_wait(service, message.work)
            refusal = SlotRefusal(
                RefusalReason.OVERLOAD, self._retry_after(wait)
            )
            self._reply(origin, refusal)

    @receive.register
    def _(self, message: ReleaseSlot, origin: Origin) -> None:
        service = self._service(message.service)
        state = service.targets.get(message.target)
        now = self._now()
        service.usage.change(-1, now)
        if state is not None:
            state.busy = max(0, state.busy - 1)
            self._note_change(message.target)
            if message.work is WorkClass.LONG:
                state.busy_long = max(0, state.busy_long - 1)
            record_load(state, message, now)
            record_path_result(state, message, now)
            self._judge_target(service, state, message)
        if message.status is AttemptStatus.ANSWERED:
            old = service.hold_time.get(message.work, message.elapsed)
            change = HOLD_TIME_WEIGHT * (message.elapsed - old)
            service.hold_time[message.work] = old + change
        self._pump(service)

    @receive.register
    def _(self, message: RequestEnded, origin: Origin) -> None:
        losses = self._service(message.service).losses
        losses.note_end(message.served, self._now())

    @receive.register
    def _(self, message: GetStatus, origin: Origin) -> None:
        now = self._now()
        self._reply(
            origin,
            {
                name: {
                    "waiting": {
                        work.value: len(queues)
                        for work, queues in service.queues.items()
                    },
                    "busy": {t: s.busy for t, s in service.targets.items()},
                    "avoided": [
                        t
                        for t, s in service.targets.items()
                        if s.avoid_until > now
                    ],
                }
                for name, service in self._services.items()
            },
        )

    def _service(self, name: ServiceName) -> _Service:
        service = self._services.get(name)
        if service is None:
            service = _Service(RetryBudget(self._burst))
            self._services[name] = service
        return service

    def _take_retry_token(self, service: _Service, ask: AcquireSlot) -> bool:
        if ask.retry:
            return service.budget.take()
        if ask.excluded:
            return True  # no target has seen the request yet
        share = self._retries.share
        service.budget.earn(
            ask.retry_share if share is None else share, self._burst
        )
        return True

    # Work in flight

    @receive.register
    def _(self, message: OthersWork, origin: Origin) -> None:
        now = self._now()
        for service in self._services.values():
            apply_others_work(service.targets, message, now)
            if service.waiting():
                self._pump(service)

    def _note_change(self, target: TargetId) -> None:
        if self._in_flight is not None:
            self._in_flight.note_change(target)

    def _share_work(self) -> None:
        if self._in_flight is None:
            return
        services = (s.targets for s in self._services.values())
        work = self._in_flight.next_statement(services, self._now())
        if work is not None:
            self._outbox.tell(ControllerName.MEMBERSHIP, work)

    # Cool-downs

    @receive.register
    def _(self, message: TargetReport, origin: Origin) -> None:
        now = self._now()
        for service in self._services.values():
            state = service.targets.get(message.target)
            if state is not None and is_newer_report(state, message, now):
                _take_report(service, state, message, now)

    @receive.register
    def _(self, message: FleetSize, origin: Origin) -> None:
        self._entries = max(1, message.entries)
        self._burst = self._retries.burst(message.entries)

    def _judge_target(
        self, service: _Service, state: TargetState, release: ReleaseSlot
    ) -> None:
        """Tell the fleet what an attempt says about its target."""
        if not self._cool_downs:
            return
        now = self._now()
        rate = self._rate_of_one(service, release)
        report = evaluate_attempt(state, AttemptOutcome(release, rate, now))
        if report is None:
            return
        _take_report(service, state, report, now)
        self._outbox.tell(ControllerName.MEMBERSHIP, Broadcast(report))
        self._outbox.log_event(
            "target cool-down" if report.cools_down else "target report",
            target=report.target,
            service=release.service,
            cause=report.kind.name.lower(),
            number=report.number,
            duration_s=report.duration_s,
            suspicion=round(report.suspicion, 2),
        )

    def _rate_of_one(self, service: _Service, release: ReleaseSlot) -> float:
        """Return about how many requests a second a target gets."""
        hold = service.hold_time.get(release.work, release.elapsed)
        used, _ = self._demand(service)
        in_use = sum(
            not s.is_cooling(self._now()) for s in service.targets.values()
        )
        return used / max(hold, MIN_HOLD_S) / max(1, in_use)

    # Queues

    def _pump(self, service: _Service) -> None:
        """Grant slots to waiting requests, short work first."""
        for work in (WorkClass.SHORT, WorkClass.LONG):
            queues = service.queues[work]
            while self._pump_round(service, queues):
                pass  # another round while slots are left

    def _pump_round(self, service: _Service, queues: Queues) -> bool:
        """Give each organisation one slot; tell whether any got one."""
        granted = False
        for organisation in queues.in_turn():
            queue = queues.by_organisation[organisation]
            while queue and self._refuse_late(service, queue[0]):
                queue.popleft()
            if not queue:
                del queues.by_organisation[organisation]
            elif self._try_grant(service, queue[0]):
                queues.served(organisation)
                granted = True
        return granted

    def _refuse_early(self, service: _Service, waiter: Waiter) -> bool:
        """Refuse a request that its queue can't serve in time."""
        pinned_target = waiter.ask.pinned_target
        if not service.targets and self._now() < self._wait_until:
            return False  # the registry is on its way
        if not service.targets or (
            pinned_target and pinned_target not in service.targets
        ):
            refusal = SlotRefusal(
                RefusalReason.NO_TARGET, self._retry_after(1.0)
            )
            self._reply(waiter.origin, refusal)
            return True
        wait = self._expected_wait(service, waiter.ask.work)
        if waiter.since + wait <= waiter.ask.deadline:
            return False
        refusal = SlotRefusal(RefusalReason.OVERLOAD, self._retry_after(wait))
        self._reply(waiter.origin, refusal)
        return True

    def _refuse_late(self, service: _Service, waiter: Waiter) -> bool:
        """Refuse a waiting request whose answer would come too late."""
        if not service.targets and self._now() >= self._wait_until:
            return self._refuse_early(service, waiter)
        hold = service.hold_time.get(waiter.ask.work, 0.0)
        if self._now() + hold < waiter.ask.deadline:
            return False
        wait = self._expected_wait(service, waiter.ask.work)
        refusal = SlotRefusal(RefusalReason.OVERLOAD, self._retry_after(wait))
        self._reply(waiter.origin, refusal)
        return True

    def _expected_wait(self, service: _Service, work: WorkClass) -> float:
        """Return seconds until a new request of a class would be done."""
        hold = service.hold_time.get(work, 0.0)
        in_use = sum(s.busy for s in service.targets.values())
        ahead = len(service.queues[work])
        return hold * (ahead / max(1, in_use) + 1.0)

    def _retry_after(self, wait: float) -> float:
        """Return a jittered wait, so that refused callers spread out."""
        base = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait))
        return base * (0.5 + self._context.random.random())

    # Choice

    def _try_grant(self, service: _Service, waiter: Waiter) -> bool:
        ask = waiter.ask
        need = PlacementRequest(
            self._region,
            ask.excluded,
            ask.pinned_target,
            ask.idempotent and ask.work is WorkClass.SHORT and not ask.retry,
            ask.large,
            *self._demand(service),
        )
        now = self._now()
        lost_share = service.losses.share(self._entries, now)
        for state in find_early_readmissions(
            service.targets.values(), lost_share, now
        ):
            state.cooling_until = now
        choice = choose_target(
            service.targets, need, now, self._context.random
        )
        if choice is None:
            return False
        state = choice.state
        load = state.load(now)
        state.busy += 1
        self._note_change(state.target.target)
        service.usage.change(+1, now)
        if ask.work is WorkClass.LONG:
            state.busy_long += 1
        grant = SlotGrant(
            state.target,
            choice.basis,
            load,
            Seconds(now - waiter.since),
            measure_availability(service.targets.values(), now),
            state.failure_age(now),
            lost_share,
        )
        self._reply(waiter.origin, grant)
        return True

    def _demand(self, service: _Service) -> tuple[float, float]:
        """Return the slots in use by all entries, and by this region's.

        Entries are taken to be alike, and spread evenly over the regions
        that the targets are in.
        """
        used = service.usage.value(self._now())
        regions = {s.target.region for s in service.targets.values()}
        fleet = used * self._entries
        return fleet, fleet / max(1, len(regions))


def _take_report(
    service: _Service, state: TargetState, report: TargetReport, now: Seconds
) -> None:
    """Take what an attempt tells of a target, here or at another entry."""
    apply_report(state, report, now)
    if report.is_failure:
        service.losses.note_failure(now)


def _is_new_run(old: Target, new: Target) -> bool:
    return old.generation != new.generation or old.address != new.address
