"""Short rests of targets that break attempts.

Answers bad spells of some seconds in which a target resets most of what it
gets while its health check is good: the entry that meets one first tells the
whole fleet.
"""

from __future__ import annotations

from wasabitray_core.ids import Seconds
from wasabitray_core.local import Release
from wasabitray_core.messages import Pause
from wasabitray_core.placement import TargetState
from wasabitray_core.states import AttemptStatus, PauseCause

# What an attempt's end says against its target, and seconds of pause.
# docs/DESIGN.md tells how the durations were measured.
PAUSE_RULES: dict[AttemptStatus, tuple[PauseCause, float]] = {
    AttemptStatus.FAILED: (PauseCause.BROKEN, 12.0),
}
# Answers in a row that end a pause. A bad spell lets about one attempt in
# seven succeed, so three in a row come from a good target.
RECOVERY_ANSWERS = 3


def is_news(state: TargetState, pause: Pause, now: Seconds) -> bool:
    """Tell whether a pause says more than what is known.

    Numbers count within a pause that lasts: an entry that started after an
    earlier one has not heard of its number.
    """
    if pause.cause is PauseCause.BROKEN and not state.is_paused(now):
        return True
    return pause.number > state.pause_number


def apply_pause(state: TargetState, pause: Pause, now: Seconds) -> None:
    """Rest a target from now on, or end its rest."""
    state.pause_number = max(pause.number, state.pause_number)
    state.paused_since = now
    state.paused_until = Seconds(now + pause.duration_s)
    state.answers_in_pause = 0


def judge_attempt(
    state: TargetState, release: Release, now: Seconds
) -> Pause | None:
    """Return the pause that an attempt's end begins or ends, if any."""
    rule = PAUSE_RULES.get(release.status)
    if _has_recovered(state, release, now):
        rule = PauseCause.RECOVERED, 0.0
    if rule is None:
        return None
    cause, duration_s = rule
    return Pause(release.target, state.pause_number + 1, duration_s, cause)


def _has_recovered(state: TargetState, release: Release, now: Seconds) -> bool:
    """Count good answers of a paused target.

    An attempt from before the pause says nothing about it.
    """
    answered = release.status is AttemptStatus.ANSWERED
    if not answered or not state.is_paused(now):
        return False
    if now - release.elapsed <= state.paused_since:
        return False
    state.answers_in_pause += 1
    return state.answers_in_pause >= RECOVERY_ANSWERS
