"""What an entry keeps for the second attempts of one service."""

from __future__ import annotations

import math
import random
from collections.abc import Collection

from msgspec import Struct

from wasabitray_core.ids import (
    FailureDomainName,
    RegionName,
    Seconds,
    TargetId,
)
from wasabitray_core.local_messages import ReleaseSlot
from wasabitray_core.placement import (
    PlacementRequest,
    TargetState,
    choose_target,
)
from wasabitray_core.second_attempts.budget import (
    SecondAttemptBudget,
    SecondAttemptLimits,
)
from wasabitray_core.second_attempts.eligibility import (
    MAX_LOST_SHARE,
    can_take_second,
    has_room,
    is_link_sufficient,
)
from wasabitray_core.second_attempts.load_level import (
    LoadLevel,
    measure_load,
)
from wasabitray_core.second_attempts.messages import (
    PlanSecondAttempt,
    ReportResponseSize,
    RequestSecondAttempt,
    SecondAttemptVerdict,
)
from wasabitray_core.second_attempts.times import OverdueRequests, RecentTimes
from wasabitray_core.states import (
    AttemptStatus,
    SecondAttemptResult,
    WorkClass,
)

# Statuses of attempts whose time shows how long the service takes.
_TIMED = frozenset({AttemptStatus.ANSWERED, AttemptStatus.TIMED_OUT})
# Weight of the newest response in the usual size of a route's responses.
SIZE_WEIGHT = 0.1
# A response of unknown size counts as this many bytes, so as a long one.
UNKNOWN_SIZE_BYTES = 1_048_576


class ServiceView(Struct, frozen=True):
    """The state of a service, as the dispatch controller knows it.

    Attributes:
        demand: estimate of the slots that all entries use.
        lost_share: estimated share of its requests that is lost.
        waiting: requests that wait for a slot at this entry.
        is_stopping: whether this entry is stopping.
        region: the entry's region.
        failure_domain: the entry's failure domain.
    """

    targets: dict[TargetId, TargetState]
    demand: float
    lost_share: float
    waiting: int
    is_stopping: bool
    region: RegionName
    failure_domain: FailureDomainName


class ServiceAttempts:
    """Decides about the second attempts of one service at one entry."""

    def __init__(self, limits: SecondAttemptLimits) -> None:
        """Start without measured times and without rights."""
        self._limits = limits
        self._budget = SecondAttemptBudget()
        self._times = {work: RecentTimes() for work in WorkClass}
        self._overdue = OverdueRequests()
        self._load_level = LoadLevel()
        self._delays: dict[WorkClass, float] = {}
        self._sizes: dict[str, float] = {}

    def deposit(self, surplus: float, most: float, now: Seconds) -> None:
        """Count a first attempt.

        Args:
            surplus: what the retry budget has no room for.
            most: rights that this entry may keep.
            now: monotonic seconds.
        """
        self._budget.deposit(surplus, self._limits.share, most, now)

    def record_attempt(self, release: ReleaseSlot, now: Seconds) -> None:
        """Record an attempt that ended.

        One that was cancelled shows something only if it was overdue by then.
        """
        if not self._limits.share:
            return
        delay = self._delays.get(release.work, math.inf)
        is_overdue = release.elapsed >= delay
        is_cancelled = release.status is AttemptStatus.CANCELLED
        if release.status in _TIMED or (is_cancelled and is_overdue):
            self._times[release.work].record(release.elapsed, now)
        if release.status in _TIMED and not is_overdue:
            self._overdue.record(release.target, False, now)

    def record_size(self, report: ReportResponseSize) -> None:
        """Record the size of a response."""
        size = UNKNOWN_SIZE_BYTES if report.size is None else report.size
        usual = self._sizes.get(report.route, size)
        self._sizes[report.route] = usual + SIZE_WEIGHT * (size - usual)

    def plan(
        self,
        message: PlanSecondAttempt,
        states: Collection[TargetState],
        region: RegionName,
        now: Seconds,
    ) -> Seconds | None:
        """Return after which delay a second attempt may follow, if any.

        Args:
            message: the request.
            states: the service's targets.
            region: the entry's region.
            now: monotonic seconds.
        """
        self._sample_load(states, region, now)
        delay = self._times[message.work].get_delay(self._limits.quantile, now)
        if delay is None:
            return None
        self._delays[message.work] = delay
        link = self._limits.link_bytes_per_s
        usual_bytes = self._sizes.get(message.route)
        return delay if is_link_sufficient(usual_bytes, delay, link) else None

    def _sample_load(
        self, states: Collection[TargetState], region: RegionName, now: Seconds
    ) -> None:
        if not self._load_level.is_due(now):
            return
        load = measure_load(states, region, now)
        if load is not None:
            self._load_level.record(load, now)

    def decide(
        self,
        message: RequestSecondAttempt,
        view: ServiceView,
        now: Seconds,
        rng: random.Random,
    ) -> SecondAttemptVerdict:
        """Decide whether a request that is overdue gets a second attempt.

        The budget is asked last, since asking uses it.
        """
        if not message.is_repeated:
            self._overdue.record(message.first_target, True, now)
        self._sample_load(view.targets.values(), view.region, now)
        refusal = self._find_refusal(message, view, now)
        if refusal is not None:
            return SecondAttemptVerdict(refusal=refusal)
        target = _choose_target(message.first_target, view, now, rng)
        if target is None:
            refusal = SecondAttemptResult.NO_TARGET
        elif not self._budget.try_withdraw(rng.random(), now):
            refusal = SecondAttemptResult.NO_BUDGET
        if refusal is not None:
            return SecondAttemptVerdict(refusal=refusal)
        return SecondAttemptVerdict(target)

    def _find_refusal(
        self, message: RequestSecondAttempt, view: ServiceView, now: Seconds
    ) -> SecondAttemptResult | None:
        if view.is_stopping:
            return SecondAttemptResult.STOPPING
        if self._load_level.is_raised or self._overdue.is_service_slow(now):
            return SecondAttemptResult.SERVICE_SLOW
        if (
            view.waiting
            or view.lost_share > MAX_LOST_SHARE
            or not _has_room(view, now)
        ):
            return SecondAttemptResult.NO_ROOM
        # A response after the deadline is work for nothing.
        delay = self._delays.get(message.work, 0.0)
        if now + delay > message.deadline:
            return SecondAttemptResult.TOO_LATE
        return None


def _has_room(view: ServiceView, now: Seconds) -> bool:
    states = view.targets.values()
    return has_room(states, view.demand, view.region, now)


def _choose_target(
    first: TargetId, view: ServiceView, now: Seconds, rng: random.Random
) -> TargetId | None:
    """Choose a target, if possible of another failure domain."""
    free = {
        name: state
        for name, state in view.targets.items()
        if name != first and can_take_second(state, now)
    }
    first_state = view.targets.get(first)
    domain = first_state.target.failure_domain if first_state else None
    apart = {
        name: state
        for name, state in free.items()
        if state.target.failure_domain != domain
    }
    request = PlacementRequest(
        view.region, (first,), failure_domain=view.failure_domain
    )
    choice = choose_target(apart or free, request, now, rng)
    return None if choice is None else choice.state.target.target
