"""Slots on targets and the queues of requests that wait for them."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from functools import singledispatchmethod
from typing import Any, ClassVar

from wasabitray_core.controllers.controller import (
    Context,
    Controller,
    Origin,
)
from wasabitray_core.ids import (
    OrganisationName,
    RegionName,
    Seconds,
    ServiceName,
    TargetId,
)
from wasabitray_core.local import (
    Acquire,
    ControllerName,
    GetStatus,
    Grant,
    Refusal,
    Release,
    Tick,
    UsableTargets,
)
from wasabitray_core.messages import LongOccupancy
from wasabitray_core.requests import LoadReport, Target
from wasabitray_core.states import AttemptStatus, RefusalReason, WorkClass

PUMP_INTERVAL_S = 0.02
IDLE_INTERVAL_S = 1.0
# Other entries' work shows only in reported load, which ages quickly.
LOAD_REPORT_TTL_S = 0.25
AVOID_FIRST_S = 0.5
AVOID_MAX_S = 8.0
RAMP_S = 5.0
TRIAL_CHANCE = 0.1
RETRY_BURST = 10.0
MAX_QUEUE_PER_ORGANISATION = 256
HOLD_TIME_WEIGHT = 0.05
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 5.0


@dataclass(slots=True)
class _TargetState:
    """One target as this entry uses it.

    Attributes:
        busy: slots in use by this entry.
        busy_long: those of them with long work.
        long_held: slots with long work of all entries.
        reported: load of the last answer, with its time.
        avoid_until: end of this entry's own avoidance of the path.
        ramp_until: until then a new target gets one request at a time.
    """

    target: Target
    probation: bool
    ramp_until: Seconds
    busy: int = 0
    busy_long: int = 0
    long_held: int = 0
    reported: LoadReport | None = None
    reported_at: Seconds = Seconds(0.0)
    avoid_until: Seconds = Seconds(0.0)
    path_failures: int = 0

    def slots(self, now: Seconds) -> int:
        if self.probation or now < self.ramp_until:
            return 1
        return self.target.slots

    def load(self, now: Seconds) -> float:
        """Return the estimated slots in use by all entries."""
        short = self.busy - self.busy_long
        known = short + max(self.busy_long, self.long_held)
        if self.reported is None:
            return known
        age = now - self.reported_at
        trust = max(0.0, 1.0 - age / LOAD_REPORT_TTL_S)
        return max(known, self.reported.busy * trust)

    def has_room(self, now: Seconds) -> bool:
        return self.load(now) + 1 <= self.slots(now) + 1e-9


@dataclass(slots=True)
class _Waiter:
    ask: Acquire
    origin: Origin
    since: Seconds


@dataclass(slots=True)
class _Queues:
    """Waiting requests of one class, fair between organisations."""

    by_organisation: dict[OrganisationName, deque[_Waiter]] = field(
        default_factory=dict
    )

    def __len__(self) -> int:
        return sum(len(q) for q in self.by_organisation.values())

    def append(self, waiter: _Waiter) -> bool:
        """Queue a request; False when its organisation's queue is full."""
        queue = self.by_organisation.setdefault(
            waiter.ask.organisation, deque()
        )
        if len(queue) >= MAX_QUEUE_PER_ORGANISATION:
            return False
        queue.append(waiter)
        return True

    def in_turn(self) -> list[OrganisationName]:
        """Return the organisations, the longest unserved first."""
        return list(self.by_organisation)

    def served(self, organisation: OrganisationName) -> None:
        """Remove an organisation's first request and end its turn."""
        queue = self.by_organisation.pop(organisation)
        queue.popleft()
        if queue:
            self.by_organisation[organisation] = queue


@dataclass(slots=True)
class _Service:
    targets: dict[TargetId, _TargetState] = field(default_factory=dict)
    queues: dict[WorkClass, _Queues] = field(
        default_factory=lambda: {work: _Queues() for work in WorkClass}
    )
    hold_time: dict[WorkClass, float] = field(default_factory=dict)
    retry_tokens: float = RETRY_BURST

    def waiting(self) -> int:
        return sum(len(q) for q in self.queues.values())


class DispatchController(Controller):
    """Owns this entry's use of slots.

    A request gets the less loaded of two random targets with room
    (Mitzenmacher, "The power of two choices in randomized load balancing",
    2001), or waits in a queue of its class and organisation. A request that
    can't finish before its deadline is refused while it waits.
    """

    name: ClassVar[ControllerName] = ControllerName.DISPATCH

    def __init__(self, context: Context, region: RegionName) -> None:
        """Start without targets.

        Args:
            context: shared by all controllers.
            region: this entry's region, preferred for targets.
        """
        super().__init__(context)
        self._region = region
        self._services: dict[ServiceName, _Service] = {}

    @property
    def tick_interval_s(self) -> float:  # type: ignore[override]
        """Seconds between ticks; short only while requests wait."""
        waiting = any(s.waiting() for s in self._services.values())
        return PUMP_INTERVAL_S if waiting else IDLE_INTERVAL_S

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message."""
        raise TypeError(f"{self!r} can't take {message!r}")

    @receive.register
    def _(self, message: Tick, origin: Origin) -> None:
        for service in self._services.values():
            if service.waiting():
                self._pump(service)

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
            if state is None:
                state = _TargetState(usable.target, usable.probation, ramp)
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
    def _(self, message: Acquire, origin: Origin) -> None:
        service = self._service(message.service)
        if not self._take_retry_token(service, message):
            refusal = Refusal(RefusalReason.OVERLOAD, self._retry_after(0.0))
            self._reply(origin, refusal)
            return
        waiter = _Waiter(message, origin, self._now())
        if self._refuse_early(service, waiter):
            return
        queues = service.queues[message.work]
        if not len(queues) and self._try_grant(service, waiter):
            return
        if not queues.append(waiter):
            wait = self._expected_wait(service, message.work)
            refusal = Refusal(RefusalReason.OVERLOAD, self._retry_after(wait))
            self._reply(origin, refusal)

    @receive.register
    def _(self, message: Release, origin: Origin) -> None:
        service = self._service(message.service)
        state = service.targets.get(message.target)
        now = self._now()
        if state is not None:
            state.busy = max(0, state.busy - 1)
            if message.work is WorkClass.LONG:
                state.busy_long = max(0, state.busy_long - 1)
            self._note_load(state, message, now)
            self._note_path(state, message, now)
        if message.status is AttemptStatus.ANSWERED:
            old = service.hold_time.get(message.work, message.elapsed)
            change = HOLD_TIME_WEIGHT * (message.elapsed - old)
            service.hold_time[message.work] = old + change
        self._pump(service)

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
        return self._services.setdefault(name, _Service())

    # Retry budget

    def _take_retry_token(self, service: _Service, ask: Acquire) -> bool:
        if not ask.retry:
            tokens = service.retry_tokens + ask.retry_share
            service.retry_tokens = min(RETRY_BURST, tokens)
            return True
        if service.retry_tokens < 1.0:
            return False
        service.retry_tokens -= 1.0
        return True

    # Queues

    def _pump(self, service: _Service) -> None:
        """Grant slots to waiting requests, short work first."""
        for work in (WorkClass.SHORT, WorkClass.LONG):
            queues = service.queues[work]
            while self._pump_round(service, queues):
                pass  # another round while slots are left

    def _pump_round(self, service: _Service, queues: _Queues) -> bool:
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

    def _refuse_early(self, service: _Service, waiter: _Waiter) -> bool:
        """Refuse a request that its queue can't serve in time."""
        pinned = waiter.ask.pinned
        if not service.targets or (pinned and pinned not in service.targets):
            refusal = Refusal(RefusalReason.NO_TARGET, self._retry_after(1.0))
            self._reply(waiter.origin, refusal)
            return True
        wait = self._expected_wait(service, waiter.ask.work)
        if waiter.since + wait <= waiter.ask.deadline:
            return False
        refusal = Refusal(RefusalReason.OVERLOAD, self._retry_after(wait))
        self._reply(waiter.origin, refusal)
        return True

    def _refuse_late(self, service: _Service, waiter: _Waiter) -> bool:
        """Refuse a waiting request whose answer would come too late."""
        hold = service.hold_time.get(waiter.ask.work, 0.0)
        if self._now() + hold < waiter.ask.deadline:
            return False
        wait = self._expected_wait(service, waiter.ask.work)
        refusal = Refusal(RefusalReason.OVERLOAD, self._retry_after(wait))
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

    def _try_grant(self, service: _Service, waiter: _Waiter) -> bool:
        state = self._choose(service, waiter.ask)
        if state is None:
            return False
        state.busy += 1
        if waiter.ask.work is WorkClass.LONG:
            state.busy_long += 1
        self._reply(waiter.origin, Grant(state.target))
        return True

    def _choose(self, service: _Service, ask: Acquire) -> _TargetState | None:
        now = self._now()
        if ask.pinned is not None:
            # The coordinator of long work has already found the room.
            return service.targets.get(ask.pinned)
        allowed = [
            s
            for t, s in service.targets.items()
            if t not in ask.excluded and s.has_room(now)
        ]
        trial = self._choose_trial(allowed, ask)
        if trial is not None:
            return trial
        candidates = [s for s in allowed if not s.probation]
        candidates = self._prefer_open_paths(candidates, now)
        candidates = self._prefer_own_region(candidates)
        if not candidates:
            return None
        count = min(2, len(candidates))
        pair = self._context.random.sample(candidates, count)
        return min(pair, key=lambda s: s.load(now) / s.target.slots)

    def _choose_trial(
        self, allowed: list[_TargetState], ask: Acquire
    ) -> _TargetState | None:
        """Now and then send repeatable short work to a target on trial."""
        if not ask.idempotent or ask.work is not WorkClass.SHORT or ask.retry:
            return None
        if self._context.random.random() >= TRIAL_CHANCE:
            return None
        trials = [s for s in allowed if s.probation and not s.busy]
        return self._context.random.choice(trials) if trials else None

    @staticmethod
    def _prefer_open_paths(
        states: list[_TargetState], now: Seconds
    ) -> list[_TargetState]:
        open_paths = [s for s in states if s.avoid_until <= now]
        return open_paths or states

    def _prefer_own_region(
        self, states: list[_TargetState]
    ) -> list[_TargetState]:
        """Keep to the own region: links between regions are narrow."""
        near = [s for s in states if s.target.region == self._region]
        return near or states

    # Feedback

    @staticmethod
    def _note_load(
        state: _TargetState, release: Release, now: Seconds
    ) -> None:
        if release.status is AttemptStatus.SHED:
            slots = state.target.slots
            state.reported = LoadReport(slots, slots)
            state.reported_at = now
        elif release.load is not None:
            state.reported = release.load
            state.reported_at = now

    @staticmethod
    def _note_path(
        state: _TargetState, release: Release, now: Seconds
    ) -> None:
        """Avoid a target that this entry can't reach, for a while."""
        if release.status is AttemptStatus.ANSWERED:
            state.path_failures = 0
            state.avoid_until = now
        elif release.status in (
            AttemptStatus.REFUSED,
            AttemptStatus.TIMED_OUT,
        ):
            pause = AVOID_FIRST_S * 2**state.path_failures
            state.avoid_until = Seconds(now + min(AVOID_MAX_S, pause))
            state.path_failures += 1
