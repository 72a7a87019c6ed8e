"""Cool-downs: targets that fail get no requests for a few seconds.

Answers failure episodes in which a target resets most connections while its
health check passes: the first entry that sees one tells the whole fleet.
"""

from __future__ import annotations

from wasabitray_core.ids import Seconds
from wasabitray_core.local import Release
from wasabitray_core.messages import CoolDown
from wasabitray_core.placement import TargetState
from wasabitray_core.states import AttemptStatus, CoolDownCause

# What an attempt's end says against its target, and seconds of cool_down.
# docs/DESIGN.md tells how the durations were measured.
RULES: dict[AttemptStatus, tuple[CoolDownCause, float]] = {
    AttemptStatus.FAILED: (CoolDownCause.BROKEN, 12.0),
}
# Answers in a row that end a cool_down. A bad spell lets about one attempt in
# seven succeed, so three in a row come from a good target.
RECOVERY_SUCCESSES = 3


def is_news(state: TargetState, cool_down: CoolDown, now: Seconds) -> bool:
    """Tell whether a cool-down says more than what is known.

    Numbers count within a cool-down that lasts: an entry that started after an
    earlier one has not heard of its number.
    """
    if cool_down.cause is CoolDownCause.BROKEN and not state.is_cooling(now):
        return True
    return cool_down.number > state.news_number


def apply_cool_down(
    state: TargetState, cool_down: CoolDown, now: Seconds
) -> None:
    """Start the cool-down of a target, or end it."""
    state.news_number = max(cool_down.number, state.news_number)
    state.failed_at = now
    state.cooling_until = Seconds(now + cool_down.duration_s)
    state.successes = 0


def judge_attempt(
    state: TargetState, release: Release, now: Seconds
) -> CoolDown | None:
    """Return the cool-down that an attempt's end begins or ends, if any."""
    rule = RULES.get(release.status)
    if _has_recovered(state, release, now):
        rule = CoolDownCause.RECOVERED, 0.0
    if rule is None:
        return None
    cause, duration_s = rule
    return CoolDown(release.target, state.news_number + 1, duration_s, cause)


def _has_recovered(state: TargetState, release: Release, now: Seconds) -> bool:
    """Count successful responses of a target that cools down.

    An attempt from before the cool-down says nothing about it.
    """
    answered = release.status is AttemptStatus.ANSWERED
    if not answered or not state.is_cooling(now):
        return False
    if now - release.elapsed <= state.failed_at:
        return False
    state.successes += 1
    return state.successes >= RECOVERY_SUCCESSES
