"""Cool-downs: targets that fail get no requests for a few seconds.

Answers failure episodes in which a target breaks or fails most requests while
its health check passes. What one entry sees counts for the whole fleet, since
each entry alone sends a target too few requests to judge it.
"""

from __future__ import annotations

from dataclasses import dataclass

from wasabitray_core.controllers.detector import CumulativeSum
from wasabitray_core.ids import Seconds
from wasabitray_core.local_messages import ReleaseSlot
from wasabitray_core.messages import TargetReport
from wasabitray_core.placement import TargetState
from wasabitray_core.states import AttemptStatus, ReportKind

# Longest cool-down; placement.py ends it earlier while requests are lost.
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
class AttemptOutcome:
    """An attempt that ended, as evidence about its target.

    Attributes:
        rate: requests a second that the target gets from all entries, about.
    """

    release: ReleaseSlot
    rate: float
    now: Seconds


def is_newer_report(
    state: TargetState, report: TargetReport, now: Seconds
) -> bool:
    """Tell whether a report says more than what is known.

    Numbers count within a cool-down that lasts: an entry that started after an
    earlier one has not heard of its number.
    """
    if report.cools_down and not state.is_cooling(now):
        return True
    return report.rank > (state.report_number, state.is_cooling(now))


def apply_report(
    state: TargetState, report: TargetReport, now: Seconds
) -> None:
    """Take a report about a target, from this entry or another one."""
    state.report_number = max(report.number, state.report_number)
    state.suspicion = report.suspicion
    state.suspected_at = now
    if report.cools_down:
        state.failed_at = now
        state.cooling_until = Seconds(now + report.duration_s)
        state.recovering = True
        state.successes = 0
    elif report.kind is ReportKind.SUCCESS:
        state.successes = report.successes
        if report.successes >= RECOVERY_SUCCESSES:
            state.cooling_until = now
            state.recovering = False


def evaluate_attempt(
    state: TargetState, end: AttemptOutcome
) -> TargetReport | None:
    """Return what the end of an attempt tells of its target, if anything."""
    release = end.release
    if release.status is AttemptStatus.FAILED:
        return _report(state, ReportKind.BROKEN)
    if release.is_fault or release.status in WEAK_FAILURES:
        return _weigh_fault(state, end)
    if _works_again(state, end):
        return _report(state, ReportKind.SUCCESS)
    return None


def _weigh_fault(
    state: TargetState, end: AttemptOutcome
) -> TargetReport | None:
    """Add a failed response to the evidence.

    Failed responses are ordinary now and then, so one is enough only for a
    target that has not recovered. Entries don't tell each other of successes:
    those since the last failure are estimated from the rate.
    """
    if state.recovering:
        again = _began_after_failure(state, end)
        return _report(state, ReportKind.FAULTS) if again else None
    evidence = CumulativeSum(state.suspicion)
    since = max(0.0, end.now - state.suspected_at)
    evidence.add(end.rate * since, 0, 0.0)
    evidence.add(0, 1, 0.0)
    if evidence.score >= SUSPICION_THRESHOLD:
        return _report(state, ReportKind.FAULTS)
    return _report(state, ReportKind.SUSPECTED, evidence.score)


def _works_again(state: TargetState, end: AttemptOutcome) -> bool:
    """Tell whether an attempt shows that a target works again."""
    answered = end.release.status is AttemptStatus.ANSWERED
    return answered and state.recovering and _began_after_failure(state, end)


def _began_after_failure(state: TargetState, end: AttemptOutcome) -> bool:
    """Tell whether an attempt is newer than what is known of its target."""
    return end.now - end.release.elapsed > state.failed_at


def _report(
    state: TargetState, kind: ReportKind, suspicion: float = 0.0
) -> TargetReport:
    return TargetReport(
        state.target.target,
        state.report_number + 1,
        COOL_DOWN_S if kind.cools_down else 0.0,
        kind,
        suspicion,
        state.successes + 1 if kind is ReportKind.SUCCESS else 0,
    )
