"""Decides which requests and services may have second attempts.

Handles a service that is short of room, and requests that may crash targets:
in both cases a second attempt would add to the damage.
"""

from __future__ import annotations

from collections.abc import Iterable

from wasabitray_core.ids import RegionName, Seconds
from wasabitray_core.placement import TargetState
from wasabitray_core.requests import Exchange
from wasabitray_core.states import SecondAttemptResult, WorkClass

# Share of the service's slots that may be in use with the second attempt. The
# load of the other entries is known with a delay, and the rest is needed for
# the next first attempts.
MAX_USED_SHARE = 0.75
# Above this share of lost requests, the retries need what is left.
MAX_LOST_SHARE = 0.03
# Responses above this size are long: the entry's link decides about them.
LONG_RESPONSE_BYTES = 32_768
# A long response may occupy the entry's link for this part of the delay, so
# that two at the same time don't make each other late.
MAX_LINK_SHARE = 0.25

# A request that is refused a second attempt asks again after this part of the
# delay, so many times at most. In a large fleet an entry holds a fraction of
# a right at a time; it earns further ones while the request waits.
REPEAT_SHARE = 0.25
MAX_REPEATS = 12
_TEMPORARY = frozenset(
    {SecondAttemptResult.NO_BUDGET, SecondAttemptResult.NO_ROOM}
)


def is_temporary(refusal: SecondAttemptResult | None) -> bool:
    """Tell whether a second attempt may be allowed a little later."""
    return refusal in _TEMPORARY


def is_eligible(exchange: Exchange) -> bool:
    """Tell whether a request may have a second attempt at all.

    It must be repeatable and its first attempt must not have been made. A
    request that failed before is retried instead: it may have crashed its
    target. Long work gets its targets from a coordinator of its own.
    """
    route = exchange.matched_route
    return (
        route.idempotent
        and route.work is WorkClass.SHORT
        and route.attempts > 1
        and exchange.request.stream is None
        and not exchange.is_suspect
        and not exchange.tried_targets
        and not exchange.may_have_run
    )


def is_link_sufficient(
    usual_bytes: float | None,
    delay: float,
    link_bytes_per_s: float | None,
) -> bool:
    """Tell whether an entry's link carries a response twice.

    Args:
        usual_bytes: usual size of the route's responses, None if unknown.
        delay: seconds until the second attempt.
        link_bytes_per_s: what the link carries, None if unknown.
    """
    if usual_bytes is None:
        return False
    if usual_bytes <= LONG_RESPONSE_BYTES:
        return True
    if link_bytes_per_s is None:
        return False
    return usual_bytes / link_bytes_per_s <= MAX_LINK_SHARE * delay


def has_room(
    states: Iterable[TargetState],
    demand: float,
    region: RegionName,
    now: Seconds,
) -> bool:
    """Tell whether a service has free slots beyond its load.

    The load is that of the region's targets if the region's entries share
    theirs. Otherwise it is estimated from this entry's own requests.

    Args:
        states: the service's targets.
        demand: estimate of the slots that all entries use.
        region: the entry's region.
        now: monotonic seconds.
    """
    sound = [s for s in states if _is_sound(s, now)]
    known = [
        s
        for s in sound
        if s.target.region == region and s.has_shared_load(now)
    ]
    load = sum([s.load(now) for s in known or sound])
    if not known:
        load = max(load, demand)
    slots = sum([s.slots(now) for s in known or sound])
    return load + 1.0 <= MAX_USED_SHARE * slots


def can_take_second(state: TargetState, now: Seconds) -> bool:
    """Tell whether a target may get a second attempt.

    It must have a free slot and no sign of failure; a target that is new may
    be cold.
    """
    return (
        _is_sound(state, now)
        and now >= state.ramp_until
        and state.load(now) + 1.0 <= state.slots(now)
    )


def _is_sound(state: TargetState, now: Seconds) -> bool:
    return not (
        state.probation
        or state.recovering
        or state.is_cooling(now)
        or state.is_backing_off(now)
        or state.avoid_until > now
    )
