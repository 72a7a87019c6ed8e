"""Cool-downs: targets that fail get no requests for a few seconds.

Answers failure episodes in which a target breaks or fails most requests while
its health check passes. What one entry sees counts for the whole fleet, since
each entry alone sends a target too few requests to judge it.
"""

from __future__ import annotations

from dataclasses import dataclass

from wasabitray_core.controllers.detector import CumulativeSum
from wasabitray_core.ids import Seconds
from wasabitray_core.local import Release
from wasabitray_core.messages import CoolDown
from wasabitray_core.placement import TargetState
from wasabitray_core.states import AttemptStatus, CoolDownCause

# Longest cool-down. The share of a service that may cool down at once ends
# most of them earlier (placement.py).
COOL_DOWN_S = 12.0
# Evidence that failed responses need: exp(5) is about 150 ordinary attempts
# between false alarms, each of which costs one target a few seconds.
SUSPICION_THRESHOLD = 5.0
# Successes in a row, over all entries, that end a recovery: about one attempt
# in five succeeds during a failure episode.
RECOVERY_SUCCESSES = 2
# Failed responses count from any attempt, a broken connection is enough alone.
WEAK_FAILURES = frozenset({AttemptStatus.INVALID, AttemptStatus.TRUNCATED})


@dataclass(frozen=True, slots=True)
class Judgement:
    """What an entry adds to the evidence about a target.

    Attributes:
        rate: requests a second that the target gets from all entries, about.
    """

    release: Release
    rate: float
    now: Seconds


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
    state.suspicion = word.suspicion
    state.suspected_at = now
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


def judge_attempt(state: TargetState, judgement: Judgement) -> CoolDown | None:
    """Return the word that an attempt's end gives about its target, if any."""
    release = judgement.release
    if release.status is AttemptStatus.FAILED:
        return _word(state, CoolDownCause.BROKEN)
    if release.is_fault or release.status in WEAK_FAILURES:
        return _weigh_fault(state, judgement)
    if _works_again(state, judgement):
        return _word(state, CoolDownCause.SUCCESS)
    return None


def _weigh_fault(state: TargetState, judgement: Judgement) -> CoolDown:
    """Add a failed response to the evidence.

    Failed responses are ordinary now and then, so one is enough only for a
    target that is being readmitted. Entries don't tell each other of
    successes: those since the last failure are estimated from the rate.
    """
    evidence = CumulativeSum(state.suspicion)
    since = max(0.0, judgement.now - state.suspected_at)
    evidence.add(judgement.rate * since, 0, 0.0)
    evidence.add(0, 1, 0.0)
    fails_again = state.is_readmitted(judgement.now)
    if fails_again or evidence.score >= SUSPICION_THRESHOLD:
        return _word(state, CoolDownCause.FAULTS)
    return _word(state, CoolDownCause.SUSPECTED, evidence.score)


def _works_again(state: TargetState, judgement: Judgement) -> bool:
    """Tell whether an attempt shows that a target works again.

    An attempt from before the failure says nothing about it.
    """
    release = judgement.release
    if release.status is not AttemptStatus.ANSWERED or not state.recovering:
        return False
    return judgement.now - release.elapsed > state.failed_at


def _word(
    state: TargetState, cause: CoolDownCause, suspicion: float = 0.0
) -> CoolDown:
    begins = cause in (CoolDownCause.BROKEN, CoolDownCause.FAULTS)
    return CoolDown(
        state.target.target,
        state.news_number + 1,
        COOL_DOWN_S if begins else 0.0,
        cause,
        suspicion,
        state.successes + 1 if cause is CoolDownCause.SUCCESS else 0,
    )
