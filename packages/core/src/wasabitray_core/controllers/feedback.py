"""What an attempt's end tells an entry of a target's load and of the path."""

from __future__ import annotations

from wasabitray_core.ids import Seconds
from wasabitray_core.local_messages import ReleaseSlot
from wasabitray_core.placement import TargetState
from wasabitray_core.requests import LoadReport
from wasabitray_core.states import AttemptStatus

# Avoidance of a path doubles with each failure in a row, in seconds.
AVOID_FIRST_S = 0.5
AVOID_MAX_S = 8.0
PATH_FAILURES = frozenset(
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
    """Take the load that a target reported, or that it is full."""
    if release.status is AttemptStatus.SHED:
        slots = state.target.slots
        state.reported_load = LoadReport(slots, slots)
        state.reported_at = now
    elif release.load is not None:
        state.reported_load = release.load
        state.reported_at = now


def record_path_result(
    state: TargetState, release: ReleaseSlot, now: Seconds
) -> None:
    """Avoid a target that this entry can't reach, for a while."""
    if release.status is AttemptStatus.ANSWERED:
        state.path_failures = 0
        state.avoid_until = now
    elif release.status in PATH_FAILURES:
        avoided = AVOID_FIRST_S * 2**state.path_failures
        state.avoid_until = Seconds(now + min(AVOID_MAX_S, avoided))
        state.path_failures += 1
