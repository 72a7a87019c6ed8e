"""Measures how full a service's targets are, as far as an entry knows.

Load: 100 entries with 6 requests a second each. A queue in one entry holds
one request, so only the load of the region's targets shows a shortage.
"""

from __future__ import annotations

from collections.abc import Iterable

from wasabitray_core.ids import RegionName, Seconds
from wasabitray_core.placement import TargetState

# Requests per slot up to which a region sends requests that exceed its own
# capacity to other regions: if all regions do so at once, that lengthens the
# queue of each target by two thirds of a request.
OVERFLOW_BOUND = 1.0 / 3.0
# Requests per slot that the other regions' targets may report.
OVERFLOW_REPORTED_BOUND = 1.0
# Age at which such a report no longer counts. Entries then send a request
# there to learn more, so it bounds both the time until room in another region
# is found and the requests that are sent there in vain.
REPORT_TTL_S = 3.0


def find_usable(
    states: Iterable[TargetState], now: Seconds
) -> list[TargetState]:
    """Return the targets that take requests of this entry."""
    return [
        s
        for s in states
        if not s.probation
        and now >= s.cooling_until
        and now >= s.avoid_until
        and now >= s.back_off_until
    ]


def split_by_region(
    states: Iterable[TargetState], region: RegionName
) -> tuple[list[TargetState], list[TargetState]]:
    """Return the targets of a region and those of the others."""
    own: list[TargetState] = []
    others: list[TargetState] = []
    for state in states:
        (own if state.target.region == region else others).append(state)
    return own, others


def count_requests_per_slot(
    states: list[TargetState], region_demand: float, now: Seconds
) -> float:
    """Return the requests per slot, infinite without targets.

    Args:
        states: the targets.
        region_demand: estimate of the slots that the region's entries use,
            which stands in for their load while it isn't known.
        now: monotonic seconds.
    """
    slots = sum([s.slots(now) for s in states])
    if not slots:
        return float("inf")
    load = sum([s.load(now) for s in states])
    if not states[0].has_shared_load(now):
        load = max(load, region_demand)
    return load / slots


def has_overflow_room(states: list[TargetState], now: Seconds) -> bool:
    """Tell whether targets of other regions may have room for a request.

    Their load is known only as far as they report it with their responses.
    Without recent reports, one request at a time finds out.

    Args:
        states: the targets of the other regions.
        now: monotonic seconds.
    """
    if count_requests_per_slot(states, 0.0, now) >= OVERFLOW_BOUND:
        return False
    reports = [
        s.reported_load
        for s in states
        if s.reported_load is not None and now - s.reported_at < REPORT_TTL_S
    ]
    slots = sum([r.slots for r in reports])
    if not slots:
        return not any(s.busy for s in states)
    in_use = sum([r.busy + r.waiting for r in reports])
    return in_use / slots < OVERFLOW_REPORTED_BOUND
