"""Chooses the target of a request from what an entry knows of the targets.

The functions use only their arguments: no I/O, no clock and no random source
of their own.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Iterable
from enum import Enum

from msgspec import Struct, field

from wasabitray_core.ids import (
    FailureDomainName,
    RegionName,
    Seconds,
    TargetId,
)
from wasabitray_core.requests import LoadReport, Target
from wasabitray_core.spillover import NO_SPILLOVER, Spillover

# Age at which a target's load report no longer counts. It is short because
# the load changes quickly where requests are short.
LOAD_REPORT_TTL_S = 0.25
# Age at which the other entries' load no longer counts. Entries send their
# whole load each half second, so two of these messages may be lost.
SHARED_WORK_TTL_S = 1.5
# Probability that a request which may be repeated goes to a target in
# probation.
TRIAL_PROBABILITY = 0.1
# The users' floor: while more than a tenth of a service's requests is lost, at
# least 0.7 of its sound targets must get requests. A target that failed within
# this time doesn't count as sound.
RECENT_FAILURE_S = 2.0
# A repeatable request may go to a cooling target this long after its failure.
# If the target fails again, that costs one retry.
TRIAL_DELAY_S = 4.0
# Share of lost requests above which idle targets go first. It is lower than
# the 0.1 above which the users' floor applies, so that these targets have
# received requests by then.
LOSING_SHARE = 0.07
# Shares of lost requests at which the first cool-downs end early, and at which
# only MAX_COOLING_SHARE of the targets may still cool down. The users' floor
# applies above the second one.
FIRST_READMISSION_LOST_SHARE = 0.06
FULL_READMISSION_LOST_SHARE = 0.1
# Part of a service's targets that may cool down at the same time while that
# many requests are lost. Targets with a recent failure are not counted. The
# floor asks for 0.7 of the sound targets to be in use; the difference allows
# for targets that get no request by chance or for other reasons.
MAX_COOLING_SHARE = 0.2
# Requests per slot that targets may have before further requests wait at the
# entry and before cooling targets are used. Targets queue a few requests: to
# wait behind one and a half others costs less than the four in five requests
# that a cooling target loses.
MAX_REQUESTS_PER_SLOT = 2.5
# Requests per slot up to which a target in the entry's own region is preferred
# to all others: the wait for one request to finish compares with two round
# trips between regions.
MAX_REGION_REQUESTS_PER_SLOT = 2.0
# Requests per slot up to which a target in the entry's own failure domain is
# preferred for a request with a large response. The transfer from another
# domain costs about as much as half the work.
MAX_DOMAIN_REQUESTS_PER_SLOT = 1.5


# A target that got no request for this long goes before others with the same
# load, so that no sound target stays idle by chance. The users' floor counts
# the targets that get requests within two seconds.
MAX_IDLE_S = 1.0
# Of so many idle targets, the one that got no request for the longest time is
# chosen.
IDLE_SAMPLE_SIZE = 4


class Basis(Enum):
    """Why a target was chosen."""

    PINNED = "pinned"
    """The coordinator of long work chose it."""
    TRIAL = "trial"
    """It failed recently, or is in probation, and gets a trial request."""
    LOAD = "load"
    """It has the least load that this entry knows of."""
    NEEDED = "needed"
    """It is cooling down, but the other targets can't carry the load."""


class SharedLoad(Struct):
    """The load that the hub reports; the targets' states share it.

    Attributes:
        received_at: when the hub's last message came.
    """

    received_at: Seconds = Seconds(-math.inf)


class TargetState(Struct):
    """What this entry knows of one target, and its use of the target.

    Attributes:
        probation: whether the target gets trial requests only.
        ramp_until: until this time a new target gets one request at a time.
        busy: slots that this entry uses.
        busy_long: those of them that are used by long work.
        long_held: slots that long work of all entries uses.
        others_attempts: in-flight attempts of the other entries, from the
            hub's last message.
        used_at: when a request of this entry or, as far as it is known, of
            another one was last sent to the target.
        reported_load: load that the target last reported.
        reported_at: when that report came.
        avoid_until: until this time this entry avoids its path to the target.
        back_off_until: until this time the target wants no requests from this
            entry.
        path_failures: failures of that path in a row.
        failed_at: when this entry learned of the newest failure that started
            a cool-down.
        cooling_until: end of the cool-down.
        recovering: whether too few successes are known since that failure.
        successes: known successes in a row since that failure.
        report_number: number of the newest report about the target.
        suspicion: evidence from failed responses, as of that report.
        suspected_at: when this entry received that report.
        shared_load: age of the other entries' load.
    """

    target: Target
    probation: bool
    ramp_until: Seconds
    busy: int = 0
    busy_long: int = 0
    long_held: int = 0
    others_attempts: int = 0
    used_at: Seconds = Seconds(-math.inf)
    reported_load: LoadReport | None = None
    reported_at: Seconds = Seconds(0.0)
    avoid_until: Seconds = Seconds(0.0)
    back_off_until: Seconds = Seconds(0.0)
    path_failures: int = 0
    failed_at: Seconds = Seconds(0.0)
    cooling_until: Seconds = Seconds(0.0)
    recovering: bool = False
    successes: int = 0
    report_number: int = 0
    suspicion: float = 0.0
    suspected_at: Seconds = Seconds(0.0)
    shared_load: SharedLoad = field(default_factory=SharedLoad)

    def slots(self, now: Seconds) -> int:
        """Return how many slots may be used now."""
        if self.probation or now < self.ramp_until:
            return 1
        if self.recovering and now >= self.cooling_until:
            return 1
        return self.target.slots

    def load(self, now: Seconds) -> float:
        """Return an estimate of the slots that all entries use."""
        in_use = self.busy
        if self.long_held > self.busy_long:
            in_use += self.long_held - self.busy_long
        if now - self.shared_load.received_at < SHARED_WORK_TTL_S:
            in_use += self.others_attempts
        age = now - self.reported_at
        if self.reported_load is None or age >= LOAD_REPORT_TTL_S:
            return in_use
        weight = 1.0 - age / LOAD_REPORT_TTL_S
        return max(in_use, self.reported_load.busy * weight)

    def has_shared_load(self, now: Seconds) -> bool:
        """Tell whether the other entries' load is known."""
        return now - self.shared_load.received_at < SHARED_WORK_TTL_S

    def is_idle(self, now: Seconds) -> bool:
        """Tell whether no entry of the region has used it for a while."""
        return self.has_shared_load(now) and now - self.used_at > MAX_IDLE_S

    def has_free_capacity(
        self, now: Seconds, requests_per_slot: float = MAX_REQUESTS_PER_SLOT
    ) -> bool:
        """Tell whether the target can take one more request, now or soon.

        The other entries' load is known with a delay, in which the slots that
        it counts may become free again. A short queue at the target keeps
        such slots from being idle.

        Args:
            now: monotonic seconds.
            requests_per_slot: how many requests each slot may have.
        """
        load = self.load(now)
        slots = self.slots(now)
        if load + 1 <= slots:
            return True
        may_queue = self.has_shared_load(now) and not self.is_readmitted(now)
        allowed = requests_per_slot if may_queue else 1.0
        return load + 1 <= slots * allowed + 1e-9

    def is_backing_off(self, now: Seconds) -> bool:
        """Tell whether the target wants no requests from this entry."""
        return now < self.back_off_until

    def is_cooling(self, now: Seconds) -> bool:
        """Tell whether the target is cooling down."""
        return now < self.cooling_until

    def is_readmitted(self, now: Seconds) -> bool:
        """Tell whether its cool-down is over but it has not yet recovered."""
        return self.recovering and not self.is_cooling(now)

    def may_get_trial(self, now: Seconds, is_repeatable: bool) -> bool:
        """Tell whether the target may get a trial request.

        Args:
            now: monotonic seconds.
            is_repeatable: whether another target may run the request too.
        """
        if not self.recovering or self.probation or self.avoid_until > now:
            return False
        waited = is_repeatable and now - self.failed_at > TRIAL_DELAY_S
        return (waited or not self.is_cooling(now)) and self.load(now) <= 0

    def failure_age(self, now: Seconds) -> Seconds | None:
        """Return the seconds since the last known failure, if there is one."""
        newest = max(self.failed_at, self.suspected_at)
        return Seconds(now - newest) if newest else None


class PlacementRequest(Struct, frozen=True):
    """What a request needs, and the load of its service.

    Attributes:
        region: region of the entry.
        excluded: targets that were already tried.
        pinned_target: the only target allowed, if one is set.
        trial: whether the request may be used as a trial request.
        large: whether the body is expensive to send to another region.
        demand: estimate of the service's slots that all entries use now.
        region_demand: the part of it that the entries of this region use.
        lost_share: estimated share of the service's requests that is lost.
        spillover: requests that are sent to regions with few entries.
        failure_domain: failure domain of the entry, empty if unknown.
        large_response: whether the response is expensive to send from another
            failure domain or region.
    """

    region: RegionName
    excluded: Collection[TargetId] = ()
    pinned_target: TargetId | None = None
    trial: bool = False
    large: bool = False
    demand: float = 0.0
    region_demand: float = 0.0
    lost_share: float = 0.0
    spillover: Spillover = NO_SPILLOVER
    failure_domain: FailureDomainName = FailureDomainName("")
    large_response: bool = False

    @property
    def is_losing(self) -> bool:
        """Whether many of the service's requests are lost."""
        return self.lost_share > LOSING_SHARE


class PlacementChoice(Struct, frozen=True):
    """The chosen target and the reason for the choice."""

    state: TargetState
    basis: Basis


class Availability(Struct, frozen=True):
    """How many of a service's targets are available.

    Attributes:
        usable: targets that are not in probation.
        cooling: usable targets that are cooling down.
        cooling_long: cooling targets whose failure is not recent.
    """

    usable: int
    cooling: int
    cooling_long: int


def measure_availability(
    states: Iterable[TargetState], now: Seconds
) -> Availability:
    """Count the usable targets of a service and those that cool down."""
    usable = [s for s in states if not s.probation]
    cooling = [s for s in usable if now < s.cooling_until]
    long = [s for s in cooling if now - s.failed_at > RECENT_FAILURE_S]
    return Availability(len(usable), len(cooling), len(long))


def find_back_off(
    states: Iterable[TargetState],
    excluded: Collection[TargetId],
    now: Seconds,
) -> Seconds | None:
    """Return how long all targets of a request want no requests.

    Args:
        states: all targets of the service.
        excluded: targets that the request can't use.
        now: monotonic seconds.

    Returns:
        The seconds until the first target wants requests again; zero if
        every target is excluded; None if a target wants requests now.
    """
    shortest = math.inf
    for state in states:
        if state.target.target in excluded:
            continue
        if not state.is_backing_off(now):
            return None
        shortest = min(shortest, state.back_off_until - now)
    return Seconds(shortest if math.isfinite(shortest) else 0.0)


def find_early_readmissions(
    states: Iterable[TargetState], lost_share: float, now: Seconds
) -> list[TargetState]:
    """Return the targets whose cool-down should end early.

    A cool-down helps while the other targets serve well. If they lose many
    requests too, most of the cooling targets may work again, most likely those
    that failed longest ago. All entries know of the same failures, so they
    choose the same targets without further messages.

    The more requests are lost, the fewer targets may cool down. One that
    returns early often fails again, so a single threshold would keep the
    losses above it that it is meant to end.

    Args:
        states: all targets of the service.
        lost_share: highest share of the service's requests that may be lost,
            as far as this entry can tell.
        now: monotonic seconds.
    """
    if lost_share <= FIRST_READMISSION_LOST_SHARE:
        return []
    reachable = [s for s in states if not s.probation and s.avoid_until <= now]
    cooling = [s for s in reachable if now < s.cooling_until]
    recent = [s for s in cooling if now - s.failed_at <= RECENT_FAILURE_S]
    older = [s for s in cooling if now - s.failed_at > RECENT_FAILURE_S]
    share = _get_cooling_share(lost_share)
    allowed = int(share * (len(reachable) - len(recent)))
    older.sort(key=lambda s: s.failed_at)
    return older[: max(0, len(older) - allowed)]


def _get_cooling_share(lost_share: float) -> float:
    """Return which part of a service's targets may cool down."""
    span = FULL_READMISSION_LOST_SHARE - FIRST_READMISSION_LOST_SHARE
    left = (FULL_READMISSION_LOST_SHARE - lost_share) / span
    return MAX_COOLING_SHARE + (1.0 - MAX_COOLING_SHARE) * max(0.0, left)


def choose_target(
    targets: dict[TargetId, TargetState],
    request: PlacementRequest,
    now: Seconds,
    rng: random.Random,
) -> PlacementChoice | None:
    """Choose a target for a request; return None if none is free.

    A request goes to the least loaded target in the entry's own region if the
    targets there can carry the region's load, preferably in its own failure
    domain. If the other entries' load is not known, the entry compares two
    random targets (Mitzenmacher, "The power of two choices in randomized load
    balancing", 2001), since otherwise all entries would choose the same one.
    A target that this entry can't reach is used when no other target is free,
    and a cooling one when the others can't carry the load. A target that may
    work again comes first, with one trial request at a time. A target that
    asked this entry to back off is never chosen.
    """
    if request.pinned_target is not None:
        pinned = targets.get(request.pinned_target)
        if pinned is None or pinned.is_backing_off(now):
            return None
        return PlacementChoice(pinned, Basis.PINNED)
    candidates = [
        s
        for t, s in targets.items()
        if now >= s.back_off_until and t not in request.excluded
    ]
    usable = [s for s in candidates if not s.probation]
    in_use = [s for s in usable if now >= s.cooling_until]
    trial = _choose_trial(candidates, in_use, request, now, rng)
    if trial is not None:
        return PlacementChoice(trial, Basis.TRIAL)
    if request.large_response:
        near = _choose_near(usable, in_use, request, now, rng)
        if near is not None:
            return near
    if _is_overflow(in_use, request.demand / MAX_REQUESTS_PER_SLOT, rng):
        cooling = [
            s for s in usable if s.is_cooling(now) and s.has_free_capacity(now)
        ]
        if cooling:
            reachable = [s for s in cooling if s.avoid_until <= now]
            return _choose_longest_cooling(reachable or cooling)
    if _is_spillover(request, rng):
        regions = request.spillover.regions
        spillover = _filter_regions(_find_free(in_use, now), regions)
        if spillover:
            return _choose_least_loaded(spillover, request, now, rng)
    free = _find_free_in_region(in_use, request.region, now)
    if not request.large:
        free = _filter_faster_in_region(free, request, now, rng)
    return _choose_least_loaded(
        free or _find_free(in_use, now), request, now, rng
    )


def _choose_near(
    usable: list[TargetState],
    in_use: list[TargetState],
    request: PlacementRequest,
    now: Seconds,
    rng: random.Random,
) -> PlacementChoice | None:
    """Choose a target in the region for a request with a large response.

    The load that this answers: responses of hundreds of kilobytes over links
    between regions that are narrow and billed. Such a request waits behind
    others in its own region, and if it may be repeated it tries a target that
    failed there a while ago, before its response crosses to another region.
    """
    free = _find_free_in_region(in_use, request.region, now)
    in_domain = [
        s
        for s in free
        if s.target.failure_domain == request.failure_domain
        and s.has_free_capacity(now, MAX_DOMAIN_REQUESTS_PER_SLOT)
    ]
    if free:
        return _choose_least_loaded(in_domain or free, request, now, rng)
    if not request.trial:
        return None
    cooling = [
        s
        for s in usable
        if s.target.region == request.region
        and s.is_cooling(now)
        and now - s.failed_at > RECENT_FAILURE_S
        and s.avoid_until <= now
        and s.load(now) <= 0
    ]
    return _choose_longest_cooling(cooling) if cooling else None


def _find_free(states: list[TargetState], now: Seconds) -> list[TargetState]:
    """Return the targets with free capacity, if possible reachable ones."""
    free = [s for s in states if s.has_free_capacity(now)]
    return [s for s in free if s.avoid_until <= now] or free


def _find_free_in_region(
    states: list[TargetState], region: RegionName, now: Seconds
) -> list[TargetState]:
    """Return the region's part of the targets that `_find_free` returns.

    The other regions' targets matter only if none of it can be reached.
    """
    free = [
        s
        for s in states
        if s.target.region == region
        and s.avoid_until <= now
        and s.has_free_capacity(now)
    ]
    return free or _filter_regions(_find_free(states, now), {region})


def _filter_regions(
    states: list[TargetState], regions: Collection[RegionName]
) -> list[TargetState]:
    return [s for s in states if s.target.region in regions]


def _choose_trial(
    states: list[TargetState],
    in_use: list[TargetState],
    request: PlacementRequest,
    now: Seconds,
    rng: random.Random,
) -> TargetState | None:
    """Choose a target for a trial request, to see whether it works again.

    A repeatable request may go to a target some seconds after its failure,
    any other request only when the target's cool-down is over. While many
    requests are lost, trials leave idle targets their share of the others.
    """
    if request.trial and rng.random() < TRIAL_PROBABILITY:
        free = [s for s in states if s.has_free_capacity(now)]
        trials = [s for s in free if s.probation and not s.busy]
        if trials:
            return rng.choice(trials)
    recovering = [
        s
        for s in states
        if s.recovering
        and s.target.region == request.region
        and s.may_get_trial(now, request.trial)
    ]
    if not recovering or not request.is_losing:
        return rng.choice(recovering) if recovering else None
    idle = [
        s
        for s in in_use
        if s.target.region == request.region
        and not s.recovering
        and s.is_idle(now)
    ]
    chosen = rng.choice([*recovering, *idle])
    return chosen if chosen.recovering else None


def _is_spillover(request: PlacementRequest, rng: random.Random) -> bool:
    """Tell whether it is the turn of the regions with few entries."""
    share = 0.0 if request.large else request.spillover.share
    return bool(share) and rng.random() < share


def _filter_faster_in_region(
    in_region: list[TargetState],
    request: PlacementRequest,
    now: Seconds,
    rng: random.Random,
) -> list[TargetState]:
    """Return the targets that respond sooner than other regions' would."""
    if _have_shared_load(in_region, now):
        return [
            s
            for s in in_region
            if s.has_free_capacity(now, MAX_REGION_REQUESTS_PER_SLOT)
        ]
    return (
        []
        if _is_overflow(in_region, request.region_demand, rng)
        else in_region
    )


def _is_overflow(
    states: list[TargetState], demand: float, rng: random.Random
) -> bool:
    """Tell whether a request is part of the excess over the capacity.

    The result is random. The share of requests for which it is true equals
    the excess, so that all entries together send that share elsewhere.
    """
    capacity = _count_slots(states)
    if demand <= capacity:
        return not states
    return rng.random() * demand > capacity


def _choose_longest_cooling(states: list[TargetState]) -> PlacementChoice:
    """Choose the target that has had the longest time to recover.

    A cooling target is used when the others can't carry the load, since the
    queues would otherwise delay many requests to save a few.
    """
    return PlacementChoice(
        min(states, key=lambda s: s.cooling_until), Basis.NEEDED
    )


def _have_shared_load(states: list[TargetState], now: Seconds) -> bool:
    """Tell whether the other entries' load at all targets is known."""
    received = [s.shared_load.received_at for s in states]
    return now - min(received, default=now) < SHARED_WORK_TTL_S


def _count_slots(states: Iterable[TargetState]) -> int:
    return sum([s.target.slots for s in states])


def _choose_least_loaded(
    states: list[TargetState],
    request: PlacementRequest,
    now: Seconds,
    rng: random.Random,
) -> PlacementChoice | None:
    """Choose the target with the least load for its slots.

    A target in the entry's own failure domain counts as if it had one request
    less: bytes between domains are costly, and it still has a free slot where
    the others are idle. While many requests are lost, targets that are idle
    go first, those of other domains too, which may have too few entries.
    """
    if not states:
        return None
    if not _have_shared_load(states, now):
        sample = rng.sample(states, min(2, len(states)))
        chosen = min(sample, key=lambda s: s.load(now) / s.target.slots)
        return PlacementChoice(chosen, Basis.LOAD)
    domain = request.failure_domain
    loads = [
        (s.load(now) - (s.target.failure_domain == domain)) / s.target.slots
        for s in states
    ]
    least = min(loads)
    tied = [s for s, load in zip(states, loads, strict=True) if load == least]
    best = _filter_domain(tied, domain)
    idle = [s for s in best if s.is_idle(now)]
    if not idle and request.is_losing:
        idle = [s for s in states if s.is_idle(now) and s.load(now) <= 0]
    if not idle:
        return PlacementChoice(rng.choice(best), Basis.LOAD)
    # Other entries choose at the same time, so the choice keeps some chance.
    sample = rng.sample(idle, min(IDLE_SAMPLE_SIZE, len(idle)))
    return PlacementChoice(min(sample, key=lambda s: s.used_at), Basis.LOAD)


def _filter_domain(
    states: list[TargetState], domain: FailureDomainName
) -> list[TargetState]:
    """Return the targets of a failure domain, or all if it has none."""
    return [s for s in states if s.target.failure_domain == domain] or states
