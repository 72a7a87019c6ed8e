"""Cool-downs: targets that fail get no requests for a few seconds.

Answers failure episodes in which a target breaks or fails most requests while
its health check passes. What one entry sees counts for the whole fleet, since
each entry alone sends a target too few requests to judge it.
"""

from __future__ import annotations

from wasabitray_core.ids import Seconds
from wasabitray_core.local import Release
from wasabitray_core.messages import CoolDown
from wasabitray_core.placement import TargetState
from wasabitray_core.states import AttemptStatus, CoolDownCause

# Longest cool-down. The share of a service that may cool down at once ends
# most of them earlier (placement.py).
COOL_DOWN_S = 12.0
# Successes in a row, over all entries, that end a recovery: about one attempt
# in five succeeds during a failure episode.
RECOVERY_SUCCESSES = 2


def is_news(state: TargetState, word: CoolDown, now: Seconds) -> bool:
    """Tell whether a word says more than what is known.

    Numbers count within a cool-down that lasts: an entry that started after an
    earlier one has not heard of its number.
    """
    if word.begins and not state.is_cooling(now):
        return True
    return word.rank > (state.news_number, state.is_cooling(now))


def apply_word(state: TargetState, word: CoolDown, now: Seconds) -> None:
    """Take a word about a target, from this entry or another one."""
    state.news_number = max(word.number, state.news_number)
    if word.begins:
        state.failed_at = now
        state.cooling_until = Seconds(now + word.duration_s)
        state.recovering = True
        state.successes = 0
    elif word.cause is CoolDownCause.SUCCESS:
        state.successes = word.successes
        if word.successes >= RECOVERY_SUCCESSES:
            state.cooling_until = now
            state.recovering = False


def judge_attempt(
    state: TargetState, release: Release, now: Seconds
) -> CoolDown | None:
    """Return the word that an attempt's end gives about its target, if any."""
    if release.status is AttemptStatus.FAILED:
        return _word(state, CoolDownCause.BROKEN)
    if _works_again(state, release, now):
        return _word(state, CoolDownCause.SUCCESS)
    return None


def _works_again(state: TargetState, release: Release, now: Seconds) -> bool:
    """Tell whether an attempt shows that a target works again.

    An attempt from before the failure says nothing about it.
    """
    if release.status is not AttemptStatus.ANSWERED or not state.recovering:
        return False
    return now - release.elapsed > state.failed_at


def _word(state: TargetState, cause: CoolDownCause) -> CoolDown:
    begins = cause is CoolDownCause.BROKEN
    return CoolDown(
        state.target.target,
        state.news_number + 1,
        COOL_DOWN_S if begins else 0.0,
        cause,
        state.successes + 1 if cause is CoolDownCause.SUCCESS else 0,
    )
