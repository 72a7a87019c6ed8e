"""Updates a target's load and reachability from an attempt that ended."""

from __future__ import annotations

from wasabitray_core.ids import Seconds
from wasabitray_core.local_messages import ReleaseSlot
from wasabitray_core.placement import TargetState
from wasabitray_core.requests import LoadReport
from wasabitray_core.states import AttemptStatus

# An unreachable target is avoided for a time that doubles with each
# consecutive failure.
MIN_AVOIDANCE_S = 0.5
MAX_AVOIDANCE_S = 8.0
# A target may state any time in `Retry-After`, also by mistake. One that is
# still overloaded after this long states it again in its next refusal.
MAX_BACK_OFF_S = 300.0
PATH_FAILURE_STATUSES = frozenset(
    {
        AttemptStatus.REFUSED,
        AttemptStatus.UNREACHABLE,
        AttemptStatus.MISDIRECTED,
        AttemptStatus.TIMED_OUT,
    }
)


def record_load(
    state: TargetState, release: ReleaseSlot, now: Seconds
) -> None:
    """Record the load that a target reported.

    A target that shed the request is taken to have no free slot.
    """
    if release.status is AttemptStatus.SHED:
        slots = state.target.slots
        state.reported_load = LoadReport(slots, slots)
        state.reported_at = now
    elif release.load is not None:
        state.reported_load = release.load
        state.reported_at = now


def record_back_off(
    state: TargetState, release: ReleaseSlot, now: Seconds
) -> None:
    """Record for how long a target wants no more requests.

    Refusals that overlap don't shorten the time.
    """
    if release.retry_after is not None:
        duration = min(MAX_BACK_OFF_S, release.retry_after)
        state.back_off_until = max(
            state.back_off_until, Seconds(now + duration)
        )


def record_path_result(
    state: TargetState, release: ReleaseSlot, now: Seconds
) -> None:
    """Start or end this entry's avoidance of a target.

    A target that can't be reached from here is avoided for a while; a
    response from it ends that earlier.
    """
    if release.status is AttemptStatus.ANSWERED:
        state.path_failures = 0
        state.avoid_until = now
    elif release.status in PATH_FAILURE_STATUSES:
        duration = MIN_AVOIDANCE_S * 2**state.path_failures
        state.avoid_until = Seconds(now + min(MAX_AVOIDANCE_S, duration))
        state.path_failures += 1
