"""Cool-downs: targets that fail get no requests for a few seconds.

Handles failure episodes in which a target breaks the connection of most
requests, answers them with failed responses or does not answer, while its
health check passes. An observation of one entry applies to the whole fleet,
because each entry alone sends a target too few requests to evaluate it.
"""

from __future__ import annotations

from msgspec import Struct

from wasabitray_core.controllers.detector import CumulativeSum
from wasabitray_core.ids import Seconds
from wasabitray_core.local_messages import ReleaseSlot, SilentTarget
from wasabitray_core.messages import TargetReport
from wasabitray_core.placement import TargetState
from wasabitray_core.states import AttemptStatus, ReportKind

# Longest cool-down; placement.py ends it earlier while requests are lost.
COOL_DOWN_S = 12.0
# Score of the sequential test at which failed responses start a cool-down. At
# a healthy target there are about exp(5) = 150 attempts between false alarms,
# each of which costs that target a few seconds.
SUSPICION_THRESHOLD = 5.0
# Consecutive successes, over all entries, that end a recovery. One success is
# not enough: about one attempt in five succeeds during a failure episode.
RECOVERY_SUCCESSES = 2
# Statuses that count as a failed response, on the first attempt of a request
# or on a later one. They only add to the evidence, while a single broken
# connection starts a cool-down.
WEAK_FAILURE_STATUSES = frozenset(
    {AttemptStatus.INVALID, AttemptStatus.TRUNCATED}
)


class AttemptOutcome(Struct, frozen=True):
    """An attempt that ended, as evidence about its target.

    Attributes:
        rate: estimated requests per second to the target from all entries.
    """

    release: ReleaseSlot
    rate: float
    now: Seconds


def is_newer_report(
    state: TargetState, report: TargetReport, now: Seconds
) -> bool:
    """Return whether a report adds to what this entry knows of a target.

    While no cool-down lasts, a report that starts one is always newer,
    whatever its number: its sender may have started after an earlier
    cool-down and so have missed that one's number.
    """
    if report.cools_down and not state.is_cooling(now):
        return True
    return report.rank > (state.report_number, state.is_cooling(now))


def apply_report(
    state: TargetState, report: TargetReport, now: Seconds
) -> None:
    """Apply a report about a target, from this entry or another one."""
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
    state: TargetState, outcome: AttemptOutcome
) -> TargetReport | None:
    """Return the report to broadcast after an attempt that ended.

    Returns:
        None if the attempt shows nothing new about its target.
    """
    release = outcome.release
    if release.status is AttemptStatus.FAILED:
        return _build_report(state, ReportKind.BROKEN)
    if release.is_fault or release.status in WEAK_FAILURE_STATUSES:
        return _evaluate_failed_response(state, outcome)
    if _shows_recovery(state, outcome):
        return _build_report(state, ReportKind.SUCCESS)
    return None


def evaluate_silence(
    state: TargetState, silence: SilentTarget, rate: float, now: Seconds
) -> TargetReport | None:
    """Return the report to broadcast about a target that is silent.

    Args:
        state: what this entry knows of the target.
        silence: the attempt without a response.
        rate: estimated requests per second to the target from all entries.
        now: monotonic seconds.

    Returns:
        None if the silence shows nothing new: the attempt began before the
        target's last failure.
    """
    if state.failed_at and now - silence.elapsed <= state.failed_at:
        return None
    if silence.is_conclusive or state.recovering:
        return _build_report(state, ReportKind.SILENT)
    return _add_evidence(state, rate, now, ReportKind.SILENT)


def _evaluate_failed_response(
    state: TargetState, outcome: AttemptOutcome
) -> TargetReport | None:
    """Add a failed response to the evidence and return the report.

    Healthy targets also fail occasionally, so a single failed response starts
    a cool-down only while the target is recovering. Entries don't report
    successes of healthy targets to each other: the successes since the last
    failure are estimated from the request rate.
    """
    if state.recovering:
        failed_again = _began_after_failure(state, outcome)
        return (
            _build_report(state, ReportKind.FAULTS) if failed_again else None
        )
    return _add_evidence(state, outcome.rate, outcome.now, ReportKind.FAULTS)


def _add_evidence(
    state: TargetState, rate: float, now: Seconds, alarm: ReportKind
) -> TargetReport:
    """Add a failure to the evidence; return the alarm or the suspicion."""
    evidence = CumulativeSum(state.suspicion)
    elapsed = max(0.0, now - state.suspected_at)
    evidence.add(rate * elapsed, 0, 0.0)
    evidence.add(0, 1, 0.0)
    if evidence.score >= SUSPICION_THRESHOLD:
        return _build_report(state, alarm)
    return _build_report(state, ReportKind.SUSPECTED, evidence.score)


def _shows_recovery(state: TargetState, outcome: AttemptOutcome) -> bool:
    """Return whether an attempt shows that a target works again."""
    answered = outcome.release.status is AttemptStatus.ANSWERED
    return (
        answered and state.recovering and _began_after_failure(state, outcome)
    )


def _began_after_failure(state: TargetState, outcome: AttemptOutcome) -> bool:
    """Return whether an attempt began after the target's last failure."""
    return outcome.now - outcome.release.elapsed > state.failed_at


def _build_report(
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
