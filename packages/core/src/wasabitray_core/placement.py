"""Which target gets a request: a function of what an entry knows."""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import Enum

from wasabitray_core.ids import RegionName, Seconds, TargetId
from wasabitray_core.requests import LoadReport, Target

# A target's report of its load ages quickly where requests are short.
LOAD_REPORT_TTL_S = 0.25
# Other entries' work is stated each half second; two may be lost.
SHARED_WORK_TTL_S = 1.5
TRIAL_PROBABILITY = 0.1
# A target that failed within this time is no sound one by the users' floor.
RECENT_FAILURE_S = 2.0
# A repeatable request may try a target this long after its failure, at the
# cost of a retry.
TRIAL_DELAY_S = 4.0
# Share of lost requests above which cool-downs are cut short. The users' floor
# binds at a tenth; by then the targets that return must have got requests.
EARLY_READMISSION_LOST_SHARE = 0.07
# Part of a service's targets, those with a recent failure aside, that may cool
# down at once from then on. The floor is 0.7 of the sound targets in use; the
# rest is for those that get no request by chance or for other reasons.
MAX_COOLING_SHARE = 0.2
# Requests for each slot that targets may have before others wait here, and
# before cooling targets are needed. Targets queue a few: waiting for one and a
# half others costs less than the four in five requests that a cooling target
# loses.
MAX_REQUESTS_PER_SLOT = 2.5
# Requests for each slot up to which a target of the own region is better than
# any elsewhere: one request's wait against two round trips between regions.
MAX_REGION_REQUESTS_PER_SLOT = 2.0


class Basis(Enum):
    """Why a target was chosen."""

    PINNED = "pinned"
    """The coordinator of long work chose it."""
    TRIAL = "trial"
    """It failed lately and is readmitted with few requests."""
    LOAD = "load"
    """The least loaded, as far as it is known here."""
    NEEDED = "needed"
    """It is cooling down, but the others can't carry the load."""


@dataclass(slots=True)
class TargetState:
    """One target as this entry uses it.

    Attributes:
        busy: slots in use by this entry.
        busy_long: those of them with long work.
        long_held: slots with long work of all entries.
        others_attempts: attempts of other entries, as their hub last told.
        others_received_at: when it told.
        reported_load: load of the last answer, with its time.
        avoid_until: end of this entry's own avoidance of the path.
        ramp_until: until then a new target gets one request at a time.
        failed_at: when this entry heard of the newest failure that began a
            cool-down.
        cooling_until: end of the cool-down, as it is known here.
        recovering: whether too few successes are known since that failure.
        successes: those known, in a row.
        report_number: number of the newest report about it.
        suspicion: evidence from failed responses at that report.
        suspected_at: when this entry heard it.
    """

    target: Target
    probation: bool
    ramp_until: Seconds
    busy: int = 0
    busy_long: int = 0
    long_held: int = 0
    others_attempts: int = 0
    others_received_at: Seconds = Seconds(-math.inf)
    reported_load: LoadReport | None = None
    reported_at: Seconds = Seconds(0.0)
    avoid_until: Seconds = Seconds(0.0)
    path_failures: int = 0
    failed_at: Seconds = Seconds(0.0)
    cooling_until: Seconds = Seconds(0.0)
    recovering: bool = False
    successes: int = 0
    report_number: int = 0
    suspicion: float = 0.0
    suspected_at: Seconds = Seconds(0.0)

    def slots(self, now: Seconds) -> int:
        """Return the slots that may be used now."""
        if self.probation or now < self.ramp_until:
            return 1
        if self.is_readmitted(now):
            return 1
        return self.target.slots

    def load(self, now: Seconds) -> float:
        """Return the estimated slots in use by all entries."""
        short = self.busy - self.busy_long
        known = short + max(self.busy_long, self.long_held)
        if self.has_shared_load(now):
            known += self.others_attempts
        if self.reported_load is None:
            return known
        age = now - self.reported_at
        trust = max(0.0, 1.0 - age / LOAD_REPORT_TTL_S)
        return max(known, self.reported_load.busy * trust)

    def has_shared_load(self, now: Seconds) -> bool:
        """Tell whether other entries' work is known."""
        return now - self.others_received_at < SHARED_WORK_TTL_S

    def has_free_capacity(
        self, now: Seconds, use: float = MAX_REQUESTS_PER_SLOT
    ) -> bool:
        """Tell whether another request finds a slot, now or soon.

        Other entries' work is known a moment late, when the slot that it
        names may be free again: a short queue at the target wastes none.

        Args:
            now: monotonic seconds.
            use: requests for each slot that are few enough.
        """
        queues = self.has_shared_load(now) and not self.is_readmitted(now)
        allowed = use if queues else 1.0
        return self.load(now) + 1 <= self.slots(now) * allowed + 1e-9

    def is_cooling(self, now: Seconds) -> bool:
        """Tell whether it is cooling down."""
        return now < self.cooling_until

    def is_readmitted(self, now: Seconds) -> bool:
        """Tell whether its cool-down is over and no success is known yet."""
        return self.recovering and not self.is_cooling(now)

    def may_get_trial(self, now: Seconds, is_repeatable: bool) -> bool:
        """Tell whether a request may show if it works again.

        Args:
            now: monotonic seconds.
            is_repeatable: whether the request can be repeated elsewhere.
        """
        if not self.recovering or self.probation or self.avoid_until > now:
            return False
        waited = is_repeatable and now - self.failed_at > TRIAL_DELAY_S
        return (waited or not self.is_cooling(now)) and self.load(now) <= 0

    def failure_age(self, now: Seconds) -> Seconds | None:
        """Return the seconds since the newest report of a failure, if any."""
        newest = max(self.failed_at, self.suspected_at)
        return Seconds(now - newest) if newest else None


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """What a request asks of its target.

    Attributes:
        excluded: targets already tried.
        pinned_target: the only target allowed.
        trial: whether a target on trial may get it.
        large: whether its body is costly to bring to another region.
        demand: slots of the service that all entries use now, about.
        region_demand: those that the entries of this region use.
    """

    region: RegionName
    excluded: Collection[TargetId] = ()
    pinned_target: TargetId | None = None
    trial: bool = False
    large: bool = False
    demand: float = 0.0
    region_demand: float = 0.0


@dataclass(frozen=True, slots=True)
class PlacementChoice:
    """A target and why it was chosen."""

    state: TargetState
    basis: Basis


@dataclass(frozen=True, slots=True)
class Availability:
    """How many of a service's targets get requests.

    Attributes:
        usable: targets that are not on trial.
        cooling: those of them that are cooling down.
        cooling_long: those that do so for longer than a recent failure
            explains.
    """

    usable: int
    cooling: int
    cooling_long: int


def measure_availability(
    states: Iterable[TargetState], now: Seconds
) -> Availability:
    """Count the usable and the cooling targets of a service."""
    usable = [s for s in states if not s.probation]
    cooling = [s for s in usable if s.is_cooling(now)]
    long = [s for s in cooling if now - s.failed_at > RECENT_FAILURE_S]
    return Availability(len(usable), len(cooling), len(long))


def find_early_readmissions(
    states: Iterable[TargetState], lost_share: float, now: Seconds
) -> list[TargetState]:
    """Return the targets whose cool-down is to end early.

    A cool-down pays while the other targets serve well. When they lose many
    requests too, most of a service may be cooling down that works again. Those
    that failed longest ago are the likeliest to. All entries have heard of the
    same failures, so they agree on the targets without a further exchange.

    Args:
        states: all targets of the service.
        lost_share: part of the service's requests that is lost, about.
        now: monotonic seconds.
    """
    if lost_share <= EARLY_READMISSION_LOST_SHARE:
        return []
    reachable = [s for s in states if not s.probation and s.avoid_until <= now]
    cooling = [s for s in reachable if s.is_cooling(now)]
    recent = [s for s in cooling if now - s.failed_at <= RECENT_FAILURE_S]
    older = [s for s in cooling if now - s.failed_at > RECENT_FAILURE_S]
    allowed = int(MAX_COOLING_SHARE * (len(reachable) - len(recent)))
    older.sort(key=lambda s: s.failed_at)
    return older[: max(0, len(older) - allowed)]


def choose_target(
    targets: dict[TargetId, TargetState],
    need: PlacementRequest,
    now: Seconds,
    source: random.Random,
) -> PlacementChoice | None:
    """Choose a target for a request, or None if none has room.

    A request gets the least loaded target in the entry's own region if those
    there can carry the region's load. Without word of other entries' work,
    two random ones are compared (Mitzenmacher, "The power of two choices in
    randomized load balancing", 2001), since all entries would choose the
    same one. A target that is unreachable from here gets work when no other
    has room, a cooling one when the others can't carry the load. One that may
    work again is tried first, by one request at a time.
    """
    if need.pinned_target is not None:
        pinned_target = targets.get(need.pinned_target)
        return (
            PlacementChoice(pinned_target, Basis.PINNED)
            if pinned_target
            else None
        )
    left = [s for t, s in targets.items() if t not in need.excluded]
    tested = _choose_trial(left, need, now, source)
    if tested is not None:
        return PlacementChoice(tested, Basis.TRIAL)
    usable = [s for s in left if not s.probation]
    in_use = [s for s in usable if not s.is_cooling(now)]
    if _is_short(in_use, need.demand / MAX_REQUESTS_PER_SLOT, source):
        cooling = [
            s for s in usable if s.is_cooling(now) and s.has_free_capacity(now)
        ]
        if cooling:
            reachable = [s for s in cooling if s.avoid_until <= now]
            return _longest_cooling(reachable or cooling)
    free = [s for s in in_use if s.has_free_capacity(now)]
    reachable = [s for s in free if s.avoid_until <= now] or free
    near = [s for s in reachable if s.target.region == need.region]
    if not need.large:
        near = _with_time_for(near, need, now, source)
    return _least_loaded(near or reachable, now, source)


def _choose_trial(
    states: list[TargetState],
    need: PlacementRequest,
    now: Seconds,
    source: random.Random,
) -> TargetState | None:
    """Choose a target that failed, to see whether it works again.

    Repeatable requests try it a while after its failure, others once its
    cool-down is over.
    """
    if need.trial and source.random() < TRIAL_PROBABILITY:
        free = [s for s in states if s.has_free_capacity(now)]
        trials = [s for s in free if s.probation and not s.busy]
        if trials:
            return source.choice(trials)
    near = [s for s in states if s.target.region == need.region]
    recovering = [s for s in near if s.may_get_trial(now, need.trial)]
    return source.choice(recovering) if recovering else None


def _with_time_for(
    near: list[TargetState],
    need: PlacementRequest,
    now: Seconds,
    source: random.Random,
) -> list[TargetState]:
    """Return the targets of the region that beat the way to another one."""
    if all(s.has_shared_load(now) for s in near):
        return [
            s
            for s in near
            if s.has_free_capacity(now, MAX_REGION_REQUESTS_PER_SLOT)
        ]
    return [] if _is_short(near, need.region_demand, source) else near


def _is_short(
    states: list[TargetState], demand: float, source: random.Random
) -> bool:
    """Tell whether a request belongs to what some targets can't carry.

    The part of the requests for which this is true grows with what lacks,
    so that all entries together send just that part elsewhere.
    """
    capacity = _slots(states)
    if demand <= capacity:
        return not states
    return source.random() * demand > capacity


def _longest_cooling(states: list[TargetState]) -> PlacementChoice:
    """Choose the target that had the longest time to recover.

    Otherwise a cool-down that leaves too little for the load would turn few
    lost requests into many late ones.
    """
    return PlacementChoice(
        min(states, key=lambda s: s.cooling_until), Basis.NEEDED
    )


def _slots(states: Iterable[TargetState]) -> int:
    return sum(s.target.slots for s in states)


def _least_loaded(
    states: list[TargetState], now: Seconds, source: random.Random
) -> PlacementChoice | None:
    if not states:
        return None
    informed = all(s.has_shared_load(now) for s in states)
    compared = len(states) if informed else min(2, len(states))
    sample = source.sample(states, compared)  # ties go to a random one
    chosen = min(sample, key=lambda s: s.load(now) / s.target.slots)
    return PlacementChoice(chosen, Basis.LOAD)
