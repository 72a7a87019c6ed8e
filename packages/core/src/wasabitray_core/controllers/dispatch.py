"""Grants slots on targets and queues the requests that wait for one."""

from __future__ import annotations

import math
from collections import Counter
from functools import singledispatchmethod
from typing import Any, ClassVar

from msgspec import Struct, field

from wasabitray_core.admission.decision import (
    ADMITTED,
    Decision,
    ServiceHistory,
    decide,
    describe_refusal,
)
from wasabitray_core.admission.returns import MAX_WAIT_S, choose_return
from wasabitray_core.controllers.attempt_times import AttemptTimes
from wasabitray_core.controllers.controller import (
    Context,
    Controller,
    Origin,
)
from wasabitray_core.controllers.cool_downs import (
    AttemptOutcome,
    apply_report,
    evaluate_attempt,
    evaluate_silence,
    is_newer_report,
)
from wasabitray_core.controllers.feedback import (
    record_back_off,
    record_load,
    record_path_result,
)
from wasabitray_core.controllers.in_flight import (
    InFlightReporter,
    apply_others_work,
)
from wasabitray_core.controllers.losses import FleetShare, LossEstimate
from wasabitray_core.controllers.retry_budget import RetryBudget, RetryLimits
from wasabitray_core.controllers.usage import SlotUsage
from wasabitray_core.controllers.waiting import FairQueue, Waiter
from wasabitray_core.ids import (
    FailureDomainName,
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
    SilentTarget,
    SlotGrant,
    SlotRefusal,
    Tick,
    UsableTargets,
)
from wasabitray_core.messages import (
    LongOccupancy,
    OthersWork,
    RequestCounts,
    TargetReport,
)
from wasabitray_core.placement import (
    PlacementRequest,
    SharedLoad,
    TargetState,
    choose_target,
    find_back_off,
    find_early_readmissions,
    measure_availability,
)
from wasabitray_core.requests import Target
from wasabitray_core.second_attempts.budget import (
    SecondAttemptLimits,
    get_most_rights,
)
from wasabitray_core.second_attempts.messages import (
    PlanSecondAttempt,
    ReportResponseSize,
    RequestSecondAttempt,
)
from wasabitray_core.second_attempts.service import (
    ServiceAttempts,
    ServiceView,
)
from wasabitray_core.silence import get_silence_limits
from wasabitray_core.spillover import (
    NO_SPILLOVER,
    Spillover,
    find_spillover,
)
from wasabitray_core.states import AttemptStatus, RefusalReason, WorkClass
from wasabitray_core.stopping import StopSchedule, find_latest_end

# Interval of ticks while requests wait in a queue, and while none does.
DRAIN_INTERVAL_S = 0.02
IDLE_INTERVAL_S = 1.0
# Time for which a target that joins after the first ones gets one request at
# a time.
RAMP_UP_S = 5.0
# Lower bound of the hold time when a request rate is derived from it: shorter
# averages carry no information about the rate.
MIN_HOLD_TIME_S = 0.001
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 5.0
# Spreads the callers that wait for the first target that wants requests.
BACK_OFF_JITTER_S = 0.25
# Time without a refusal for lack of capacity after which the next one is
# logged as a new shortage.
SHORTAGE_END_S = 5.0
# Attempts whose time shows how long the service takes.
TIMED_STATUSES = frozenset({AttemptStatus.ANSWERED, AttemptStatus.TIMED_OUT})

_NO_DOMAIN = FailureDomainName("")
_NO_SECOND_ATTEMPTS = SecondAttemptLimits(0.0)


class _Service(Struct):
    """A service's targets and its requests at this entry.

    Attributes:
        region_count: number of regions that its targets are in.
        short_at: when a request was last refused for lack of capacity.
    """

    budget: RetryBudget
    second: ServiceAttempts
    targets: dict[TargetId, TargetState] = field(default_factory=dict)
    queues: dict[WorkClass, FairQueue] = field(
        default_factory=lambda: {work: FairQueue() for work in WorkClass}
    )
    times: dict[WorkClass, AttemptTimes] = field(
        default_factory=lambda: {work: AttemptTimes() for work in WorkClass}
    )
    usage: SlotUsage = field(default_factory=SlotUsage)
    losses: LossEstimate = field(default_factory=LossEstimate)
    spillover: Spillover = NO_SPILLOVER
    region_count: int = 0
    short_at: Seconds = Seconds(-math.inf)
    history: ServiceHistory = field(default_factory=ServiceHistory)

    def count_waiting(self) -> int:
        return sum(len(q) for q in self.queues.values())


class DispatchController(Controller):
    """Owns this entry's use of the slots on targets.

    A request is granted a slot on a target with free capacity, or waits in a
    queue for its work class and organisation. A waiting request that can no
    longer finish before its deadline is refused. A target that breaks a
    connection during an attempt cools down at all entries immediately.
    """

    name: ClassVar[ControllerName] = ControllerName.DISPATCH

    def __init__(
        self,
        context: Context,
        region: RegionName,
        retries: RetryLimits | None = None,
        cool_downs: bool = False,
        startup_wait_s: float = 0.0,
        shares_in_flight: bool = False,
        failure_domain: FailureDomainName = _NO_DOMAIN,
        second_attempts: SecondAttemptLimits = _NO_SECOND_ATTEMPTS,
    ) -> None:
        """Start without targets.

        Args:
            context: shared by all controllers.
            region: this entry's region, preferred for targets.
            retries: limits on retries.
            cool_downs: whether targets that fail cool down at all entries.
            startup_wait_s: seconds after the start for which targets may
                not have been received yet; requests wait for the first ones
                instead of being refused.
            shares_in_flight: whether to report in-flight attempts, through the
                hub, to other entries.
            failure_domain: this entry's failure domain, preferred for targets
                in its region while their load is known.
            second_attempts: limits on second attempts.
        """
        super().__init__(context)
        self._region = region
        self._failure_domain = failure_domain
        self._retry_limits = retries or RetryLimits()
        self._cool_downs = cool_downs
        self._startup_wait_until = Seconds(context.clock() + startup_wait_s)
        self._is_starting = startup_wait_s > 0
        self._fleet_share = FleetShare()
        self._entries_by_region: dict[RegionName, int] = {}
        self._retry_burst = self._retry_limits.get_burst(1)
        self._second_limits = second_attempts
        self._most_rights = get_most_rights(self._retry_limits, 1)
        self._services: dict[ServiceName, _Service] = {}
        self._targets: dict[TargetId, TargetState] = {}
        self._shared_load = SharedLoad()
        self._stop: StopSchedule | None = None
        self._in_flight = (
            InFlightReporter(context.clock()) if shares_in_flight else None
        )

    @property
    def tick_interval_s(self) -> float:  # type: ignore[override]
        """Seconds between ticks.

        Short while requests wait or while changes of in-flight attempts
        have not been sent yet.
        """
        waiting = any(s.count_waiting() for s in self._services.values())
        if waiting:
            return DRAIN_INTERVAL_S
        if self._in_flight is not None:
            return self._in_flight.tick_interval_s
        return IDLE_INTERVAL_S

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message."""
        raise TypeError(f"{self!r} does not handle {message!r}")

    @receive.register
    def _(self, message: Tick, origin: Origin) -> None:
        if self._is_starting and self._now() >= self._startup_wait_until:
            self._is_starting = False
            for name, service in self._services.items():
                self._update_spillover(name, service)
        for service in self._services.values():
            if service.count_waiting():
                self._drain_queues(service)
        self._send_in_flight()

    @receive.register
    def _(self, message: UsableTargets, origin: Origin) -> None:
        service = self._get_service(message.service)
        now = self._now()
        # Targets that an entry receives while it starts are assumed to be
        # warm; those that join later may be cold and get one request at a
        # time.
        is_starting = not service.targets or now < self._startup_wait_until
        ramp_until = Seconds(now if is_starting else now + RAMP_UP_S)
        targets = {}
        for usable in message.usable:
            name = usable.target.target
            state = service.targets.get(name)
            if state is None or _is_restarted(state.target, usable.target):
                state = TargetState(
                    usable.target,
                    usable.probation,
                    ramp_until,
                    shared_load=self._shared_load,
                )
            state.target = usable.target
            state.probation = usable.probation
            targets[name] = state
        for name in service.targets.keys() - targets.keys():
            if self._targets.get(name) is service.targets[name]:
                del self._targets[name]  # no other service has the target
        self._targets.update(targets)
        service.targets = targets
        self._update_spillover(message.service, service)
        self._drain_queues(service)

    @receive.register
    def _(self, message: StopSchedule, origin: Origin) -> None:
        self._stop = message
        for service in self._services.values():
            self._drain_queues(service)

    @receive.register
    def _(self, message: LongOccupancy, origin: Origin) -> None:
        long_held = {h.target: h.slots for h in message.held}
        for target, state in self._get_service(
            message.service
        ).targets.items():
            state.long_held = long_held.get(target, 0)

    @receive.register
    def _(self, message: AcquireSlot, origin: Origin) -> None:
        service = self._get_service(message.service)
        if message.second:
            self._grant_second(service, Waiter(message, origin, self._now()))
            return
        if not self._update_retry_budget(service, message):
            refusal = SlotRefusal(
                RefusalReason.OVERLOAD, self._choose_retry_after(0.0)
            )
            self._reply(origin, refusal)
            return
        waiter = Waiter(message, origin, self._now())
        if waiter.candidate is not None:
            service.history.record_asked(waiter.candidate, self._now())
        if self._refuse_unservable(service, waiter):
            return
        fair_queue = service.queues[message.work]
        if not fair_queue.has_before(waiter.rank) and self._try_grant(
            service, waiter
        ):
            return
        if not fair_queue.append(waiter):
            wait = self._estimate_wait(service, message.work)
            refusal = SlotRefusal(
                RefusalReason.OVERLOAD, self._choose_retry_after(wait)
            )
            self._reply(origin, refusal)

    @receive.register
    def _(self, message: ReleaseSlot, origin: Origin) -> None:
        service = self._get_service(message.service)
        state = service.targets.get(message.target)
        now = self._now()
        service.usage.adjust(-1, now)
        if state is not None:
            state.busy = max(0, state.busy - 1)
            self._record_in_flight_change(message.target)
            if message.work is WorkClass.LONG:
                state.busy_long = max(0, state.busy_long - 1)
            record_load(state, message, now)
            record_path_result(state, message, now)
            record_back_off(state, message, now)
            self._report_attempt(service, state, message)
        service.second.record_attempt(message, now)
        if message.status in TIMED_STATUSES:
            is_complete = message.status is AttemptStatus.ANSWERED
            times = service.times[message.work]
            times.record(message.elapsed, is_complete, now)
        self._drain_queues(service)

    @receive.register
    def _(self, message: RequestEnded, origin: Origin) -> None:
        losses = self._get_service(message.service).losses
        losses.record_request(message.served, self._now())

    @receive.register
    def _(self, message: GetStatus, origin: Origin) -> None:
        now = self._now()
        self._reply(
            origin,
            {
                name: {
                    "waiting": {
                        work.value: len(fair_queue)
                        for work, fair_queue in service.queues.items()
                    },
                    "busy": {t: s.busy for t, s in service.targets.items()},
                    "avoided": [
                        t
                        for t, s in service.targets.items()
                        if s.avoid_until > now
                    ],
                    "backing_off": [
                        t
                        for t, s in service.targets.items()
                        if s.is_backing_off(now)
                    ],
                }
                for name, service in self._services.items()
            },
        )

    def _get_service(self, name: ServiceName) -> _Service:
        service = self._services.get(name)
        if service is None:
            service = _Service(
                RetryBudget(self._retry_burst),
                ServiceAttempts(self._second_limits),
            )
            self._services[name] = service
        return service

    def _update_retry_budget(
        self, service: _Service, request: AcquireSlot
    ) -> bool:
        """Count an attempt in the retry budget.

        Returns:
            Whether the attempt may be made.
        """
        if request.retry:
            return service.budget.try_withdraw()
        if request.excluded:
            return True  # still the first attempt: no target has received it
        share = self._retry_limits.share
        surplus = service.budget.deposit(
            request.retry_share if share is None else share, self._retry_burst
        )
        service.second.deposit(surplus, self._most_rights, self._now())
        return True

    # Second attempts

    @receive.register
    def _(self, message: PlanSecondAttempt, origin: Origin) -> None:
        service = self._get_service(message.service)
        states, now = service.targets.values(), self._now()
        delay = service.second.plan(message, states, self._region, now)
        self._reply(origin, delay)

    @receive.register
    def _(self, message: ReportResponseSize, origin: Origin) -> None:
        self._get_service(message.service).second.record_size(message)

    @receive.register
    def _(self, message: RequestSecondAttempt, origin: Origin) -> None:
        service = self._get_service(message.service)
        now = self._now()
        view = ServiceView(
            service.targets,
            self._estimate_demand(service)[0],
            service.losses.estimate_share(self._fleet_share, now).share,
            service.count_waiting(),
            self._stop is not None,
            self._region,
            self._failure_domain,
        )
        rng = self._context.random
        self._reply(origin, service.second.decide(message, view, now, rng))

    def _grant_second(self, service: _Service, waiter: Waiter) -> None:
        """Grant a slot now or refuse it: the first attempt is under way."""
        if not self._try_grant(service, waiter):
            self._reply(waiter.origin, SlotRefusal(RefusalReason.OVERLOAD))

    # In-flight attempts

    @receive.register
    def _(self, message: OthersWork, origin: Origin) -> None:
        now = self._now()
        self._shared_load.received_at = now
        apply_others_work(self._targets, message, now)
        if message.full:
            counts = {c.service: c for c in message.requests}
            for name, service in self._services.items():
                count = counts.get(name)
                ended, lost = (count.ended, count.lost) if count else (0, 0)
                service.losses.record_others(ended, lost, now)
        for service in self._services.values():
            if service.count_waiting():
                self._drain_queues(service)

    def _record_in_flight_change(self, target: TargetId) -> None:
        if self._in_flight is not None:
            self._in_flight.record_change(target)

    def _send_in_flight(self) -> None:
        if self._in_flight is None:
            return
        update = self._in_flight.build_update(
            self._targets, self._count_requests, self._now()
        )
        if update is not None:
            self._outbox.tell(ControllerName.MEMBERSHIP, update)

    def _count_requests(self) -> tuple[RequestCounts, ...]:
        now = self._now()
        counts = (
            RequestCounts(name, *service.losses.count_recent(now))
            for name, service in self._services.items()
        )
        return tuple(c for c in counts if c.ended)

    # Cool-downs

    @receive.register
    def _(self, message: TargetReport, origin: Origin) -> None:
        now = self._now()
        for service in self._services.values():
            state = service.targets.get(message.target)
            if state is not None and is_newer_report(state, message, now):
                _handle_report(service, state, message, now)

    @receive.register
    def _(self, message: FleetSize, origin: Origin) -> None:
        self._entries_by_region = dict(message.by_region)
        in_region = self._entries_by_region.get(self._region, 0)
        serving = sum(self._entries_by_region.values())
        self._fleet_share = FleetShare(
            max(1, message.entries),
            in_region / serving if in_region else 1.0,
        )
        for name, service in self._services.items():
            self._update_spillover(name, service)
        limits, entries = self._retry_limits, message.entries
        self._retry_burst = limits.get_burst(entries)
        self._most_rights = get_most_rights(limits, entries)

    def _update_spillover(self, name: ServiceName, service: _Service) -> None:
        before = service.spillover
        regions = Counter(s.target.region for s in service.targets.values())
        service.region_count = len(regions)
        service.spillover = (
            # The other regions' entries may just not be known yet.
            NO_SPILLOVER
            if self._is_starting
            else find_spillover(regions, self._entries_by_region, self._region)
        )
        if service.spillover.regions != before.regions:
            self._outbox.log_event(
                "region spillover",
                service=name,
                targets=len(service.targets),
                regions=sorted(service.spillover.regions),
                share=round(service.spillover.share, 3),
            )

    def _report_attempt(
        self, service: _Service, state: TargetState, release: ReleaseSlot
    ) -> None:
        """Broadcast what an attempt shows about its target, if anything."""
        if not self._cool_downs:
            return
        now = self._now()
        rate = self._estimate_target_rate(service, release)
        report = evaluate_attempt(state, AttemptOutcome(release, rate, now))
        if report is not None:
            self._broadcast_report(service, state, report)

    @receive.register
    def _(self, message: SilentTarget, origin: Origin) -> None:
        service = self._get_service(message.service)
        state = service.targets.get(message.target)
        if state is None or not self._cool_downs:
            return
        rate = self._estimate_target_rate(service, message)
        report = evaluate_silence(state, message, rate, self._now())
        if report is not None:
            self._broadcast_report(service, state, report)

    def _broadcast_report(
        self, service: _Service, state: TargetState, report: TargetReport
    ) -> None:
        _handle_report(service, state, report, self._now())
        self._outbox.tell(ControllerName.MEMBERSHIP, Broadcast(report))
        self._outbox.log_event(
            "target cool-down" if report.cools_down else "target report",
            target=report.target,
            service=state.target.service,
            cause=report.kind.name.lower(),
            number=report.number,
            duration_s=report.duration_s,
            suspicion=round(report.suspicion, 2),
        )

    def _estimate_target_rate(
        self, service: _Service, attempt: ReleaseSlot | SilentTarget
    ) -> float:
        """Estimate the requests per second that each target gets."""
        average = service.times[attempt.work].average
        hold_time = attempt.elapsed if average is None else average
        used, _ = self._estimate_demand(service)
        now = self._now()
        in_use = sum(
            [now >= s.cooling_until for s in service.targets.values()]
        )
        return used / max(hold_time, MIN_HOLD_TIME_S) / max(1, in_use)

    # Queues

    def _drain_queues(self, service: _Service) -> None:
        """Grant free slots to waiting requests, short ones first."""
        for work in (WorkClass.SHORT, WorkClass.LONG):
            fair_queue = service.queues[work]
            while self._grant_round(service, fair_queue):
                pass  # run another round while slots were granted

    def _grant_round(self, service: _Service, fair_queue: FairQueue) -> bool:
        """Grant each organisation of a rank a slot, the most urgent first.

        Returns:
            Whether any got one; less urgent ones have not had a turn then.
        """
        granted_rank: int | None = None
        for key in fair_queue.list_keys():
            if granted_rank is not None and key.rank > granted_rank:
                break
            queue = fair_queue.queues[key]
            while queue and self._refuse_overdue(service, queue[0]):
                queue.popleft()
            if not queue:
                del fair_queue.queues[key]
            elif self._try_grant(service, queue[0]):
                fair_queue.finish_turn(key)
                granted_rank = key.rank
        return granted_rank is not None

    def _refuse_unservable(self, service: _Service, waiter: Waiter) -> bool:
        """Refuse a request that has no target or can't be done in time.

        Returns:
            Whether the request was refused.
        """
        pinned_target = waiter.request.pinned_target
        if not service.targets and self._now() < self._startup_wait_until:
            return False  # the first targets have not been received yet
        if not service.targets or (
            pinned_target and pinned_target not in service.targets
        ):
            refusal = SlotRefusal(
                RefusalReason.NO_TARGET, self._choose_retry_after(1.0)
            )
            self._reply(waiter.origin, refusal)
            return True
        if self._refuse_too_late_to_start(service, waiter):
            return True
        if self._refuse_backed_off(service, waiter):
            return True
        wait = self._estimate_wait(service, waiter.request.work)
        if waiter.arrived_at + wait <= waiter.request.deadline:
            return False
        refusal = SlotRefusal(
            RefusalReason.OVERLOAD, self._choose_retry_after(wait)
        )
        self._reply(waiter.origin, refusal)
        return True

    def _refuse_too_late_to_start(
        self, service: _Service, waiter: Waiter
    ) -> bool:
        """Refuse a request that may not end before a planned stop does.

        The caller can send it to another entry without a wait.

        Returns:
            Whether the request was refused.
        """
        if self._find_latest_end(service, waiter.request) is not None:
            return False
        self._reply(waiter.origin, SlotRefusal(RefusalReason.STOPPING, 0.0))
        return True

    def _find_latest_end(
        self, service: _Service, request: AcquireSlot
    ) -> Seconds | None:
        """Return when a request must end, None if it should not start."""
        if self._stop is None:
            return request.deadline
        now = self._now()
        longest = service.times[request.work].get_longest(now)
        # How long a large body takes is up to its caller.
        return find_latest_end(
            self._stop,
            request.deadline,
            None if request.large else longest,
            now,
        )

    def _refuse_backed_off(self, service: _Service, waiter: Waiter) -> bool:
        """Refuse a request if none of its targets wants requests.

        Returns:
            Whether the request was refused.
        """
        back_off = find_back_off(
            service.targets.values(), waiter.request.excluded, self._now()
        )
        if back_off is None:
            return False
        # Callers that come back before the first target is ready again would
        # be refused again, so the jitter only adds to the wait.
        jitter = BACK_OFF_JITTER_S * self._context.random.random()
        refusal = SlotRefusal(RefusalReason.OVERLOAD, back_off + jitter)
        self._reply(waiter.origin, refusal)
        return True

    def _refuse_overdue(self, service: _Service, waiter: Waiter) -> bool:
        """Refuse a waiting request whose response would come too late.

        Returns:
            Whether the request was refused.
        """
        if not service.targets and self._now() >= self._startup_wait_until:
            return self._refuse_unservable(service, waiter)
        if self._refuse_too_late_to_start(service, waiter):
            return True
        if service.targets and self._refuse_backed_off(service, waiter):
            return True
        if service.targets and self._refuse_excess(service, waiter):
            return True
        hold_time = service.times[waiter.request.work].average or 0.0
        if self._now() + hold_time < waiter.request.deadline:
            return False
        wait = self._estimate_wait(service, waiter.request.work)
        refusal = SlotRefusal(
            RefusalReason.OVERLOAD, self._choose_retry_after(wait)
        )
        self._reply(waiter.origin, refusal)
        return True

    def _refuse_excess(self, service: _Service, waiter: Waiter) -> bool:
        """Refuse a request that found no capacity in the time for that.

        Returns:
            Whether the request was refused.
        """
        standing = waiter.request.standing
        if standing is None or self._now() - waiter.arrived_at < MAX_WAIT_S:
            return False
        decision = self._decide_admission(service, waiter)
        wait = choose_return(
            standing,
            decision.exceeds_share,
            waiter.request.deadline - self._now(),
            self._context.random.random(),
        )
        self._log_shortage(waiter.request.service, service, decision)
        detail = describe_refusal(standing, decision)
        refusal = SlotRefusal(RefusalReason.OVERLOAD, wait, detail)
        self._reply(waiter.origin, refusal)
        return True

    def _log_shortage(
        self, name: ServiceName, service: _Service, decision: Decision
    ) -> None:
        """Log that capacity is short, unless it was a short time ago."""
        now = self._now()
        is_new = now - service.short_at > SHORTAGE_END_S
        service.short_at = now
        if is_new:
            self._outbox.log_event(
                "service short of capacity",
                service=name,
                requests_per_slot=round(decision.fullness, 2),
                waiting=service.count_waiting(),
            )

    def _decide_admission(self, service: _Service, waiter: Waiter) -> Decision:
        candidate = waiter.candidate
        if candidate is None or waiter.request.pinned_target is not None:
            return ADMITTED
        _, region_demand = self._estimate_demand(service)
        return decide(
            candidate,
            list(service.targets.values()),
            self._region,
            region_demand,
            service.history,
            self._now(),
        )

    def _estimate_wait(self, service: _Service, work: WorkClass) -> float:
        """Estimate the seconds until a new request of a class is done."""
        hold_time = service.times[work].average or 0.0
        ahead = len(service.queues[work])
        if not ahead:
            return hold_time
        in_use = sum(s.busy for s in service.targets.values())
        return hold_time * (ahead / max(1, in_use) + 1.0)

    def _choose_retry_after(self, wait: float) -> float:
        """Return a bounded wait with jitter.

        The jitter spreads the retries of callers that are refused together.
        """
        base = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait))
        return base * (0.5 + self._context.random.random())

    # Choice of a target

    def _try_grant(self, service: _Service, waiter: Waiter) -> bool:
        request = waiter.request
        now = self._now()
        latest_end = self._find_latest_end(service, request)
        if latest_end is None:
            return False
        admission = self._decide_admission(service, waiter)
        if not admission.is_admitted:
            return False
        lost = service.losses.estimate_share(self._fleet_share, now)
        demand, region_demand = self._estimate_demand(service)
        if waiter.candidate is not None and not request.idempotent:
            # Its caller can return later. A cooling target, which would be
            # used for excess demand, would most likely lose it for good.
            demand = 0.0
        placement_request = PlacementRequest(
            self._region,
            request.excluded + admission.excluded,
            request.pinned_target,
            request.idempotent
            and request.work is WorkClass.SHORT
            and not request.retry,
            request.large,
            demand,
            region_demand,
            lost.share,
            service.spillover,
            self._failure_domain,
            request.large_response,
        )
        for state in find_early_readmissions(
            service.targets.values(), lost.upper_bound, now
        ):
            state.cooling_until = now
        choice = choose_target(
            service.targets, placement_request, now, self._context.random
        )
        if choice is None:
            return False
        if waiter.candidate is not None:
            service.history.record_admitted(waiter.candidate, now)
        state = choice.state
        load = state.load(now)
        state.busy += 1
        state.used_at = now
        self._record_in_flight_change(state.target.target)
        service.usage.adjust(+1, now)
        if request.work is WorkClass.LONG:
            state.busy_long += 1
        grant = SlotGrant(
            state.target,
            choice.basis,
            load,
            Seconds(now - waiter.arrived_at),
            measure_availability(service.targets.values(), now),
            state.failure_age(now),
            lost.share,
            latest_end,
            self._stop.response_wait if self._stop else Seconds(0.0),
            get_silence_limits(
                service.times[request.work].usual, load, state.target.slots
            ),
        )
        self._reply(waiter.origin, grant)
        return True

    def _estimate_demand(self, service: _Service) -> tuple[float, float]:
        """Estimate the slots used by all entries and by those of a region.

        Assumes that all entries have the same load and that they are spread
        evenly over the regions of the targets.
        """
        used = service.usage.get_average(self._now())
        fleet = used * self._fleet_share.entries
        return fleet, fleet / max(1, service.region_count)


def _handle_report(
    service: _Service, state: TargetState, report: TargetReport, now: Seconds
) -> None:
    """Apply a report of an attempt at this entry or at another one."""
    apply_report(state, report, now)
    if report.is_failure:
        service.losses.record_failure(now)


def _is_restarted(old: Target, new: Target) -> bool:
    """Return whether a target restarted or moved to another address."""
    return old.generation != new.generation or old.address != new.address
