"""Totals and charts over time, from the logs of entries."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from enum import Enum
from pathlib import Path
from statistics import quantiles

from msgspec import Struct, field

from wasabitray_cli.errors import CommandError
from wasabitray_cli.logs import ATTEMPT, COOL_DOWN, LogLine

ANSWERED, REFUSED = "request answered", "request refused"
FIRST_SERVER_ERROR = 500
# Statuses that mean that a request has not run.
NOT_RUN_STATUSES = frozenset({429, 503})
PLOT_INCHES = (10.0, 9.0)


class RequestOutcome(Enum):
    """How a request ended for its caller."""

    SERVED = "served"
    REFUSED = "refused, not run"
    FAILED = "failed"


class Bucket(Struct):
    """Counts of the events within a few seconds.

    Attributes:
        outcomes: how many requests had each outcome.
        times_ms: times from arrival to response, of served requests.
        attempts: how many ended with each status.
        cool_downs: how many cool-downs of targets began.
        revisions: the revisions that some host applied.
    """

    outcomes: Counter[RequestOutcome] = field(default_factory=Counter)
    times_ms: list[float] = field(default_factory=list)
    attempts: Counter[str] = field(default_factory=Counter)
    cool_downs: int = 0
    revisions: set[int] = field(default_factory=set)

    def percentile_ms(self, percent: int) -> float | None:
        """Return a percentile, 1 to 99; None for fewer than two requests."""
        if len(self.times_ms) < 2:
            return None
        return quantiles(self.times_ms, n=100)[percent - 1]


class LogSummary(Struct, frozen=True):
    """Buckets by their start, in seconds after the first line."""

    width_s: float
    buckets: dict[float, Bucket]

    def total(self, outcome: RequestOutcome) -> int:
        """Return how many requests had an outcome."""
        return sum(b.outcomes[outcome] for b in self.buckets.values())


def summarise(lines: Iterable[LogLine], width_s: float) -> LogSummary:
    """Count log lines in buckets of `width_s` seconds.

    Raises:
        CommandError: there are no lines.
    """
    log_lines = list(lines)
    if not log_lines:
        raise CommandError("no log lines", step="read logs")
    start = min(line.time for line in log_lines)
    buckets: defaultdict[float, Bucket] = defaultdict(Bucket)
    for line in log_lines:
        number = int((line.time - start) / width_s)
        _count_line(buckets[number * width_s], line)
    return LogSummary(width_s, dict(sorted(buckets.items())))


def _count_line(bucket: Bucket, line: LogLine) -> None:
    if line.event in (ANSWERED, REFUSED):
        outcome = get_outcome(line)
        if outcome is None:
            return  # the caller's error, such as an unknown route
        bucket.outcomes[outcome] += 1
        elapsed = line.facts.get("elapsed_ms")
        if outcome is RequestOutcome.SERVED and isinstance(
            elapsed, int | float
        ):
            bucket.times_ms.append(float(elapsed))
    elif line.event == ATTEMPT:
        bucket.attempts[str(line.facts.get("status"))] += 1
    elif line.event == COOL_DOWN:
        bucket.cool_downs += 1
    elif isinstance(revision := line.facts.get("revision"), int):
        bucket.revisions.add(revision)


def get_outcome(line: LogLine) -> RequestOutcome | None:
    """Return a request's outcome, None for an error of its caller."""
    status = line.facts.get("status")
    if not isinstance(status, int):
        return None
    if status in NOT_RUN_STATUSES:
        return RequestOutcome.REFUSED
    if status >= FIRST_SERVER_ERROR:
        return RequestOutcome.FAILED
    return RequestOutcome.SERVED if line.event == ANSWERED else None


def plot_summary(summary: LogSummary, file: Path) -> None:
    """Draw the charts of a summary into an image file.

    Raises:
        CommandError: the plotting library is not installed.
    """
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        raise CommandError(str(error), step="draw report") from error
    figure = Figure(figsize=PLOT_INCHES, layout="constrained")
    outcome_axes, time_axes, target_axes = figure.subplots(3, 1, sharex=True)
    starts = list(summary.buckets)
    buckets = list(summary.buckets.values())
    for outcome in RequestOutcome:
        rates = [b.outcomes[outcome] / summary.width_s for b in buckets]
        outcome_axes.plot(starts, rates, label=outcome.value)
    outcome_axes.set_ylabel("requests/s")
    for percent in (50, 95, 99):
        percentiles = [b.percentile_ms(percent) for b in buckets]
        points = [
            (t, p) for t, p in zip(starts, percentiles, strict=True) if p
        ]
        time_axes.plot(*zip(*points, strict=True) if points else ([], []))
        time_axes.lines[-1].set_label(f"p{percent}")
    time_axes.set_ylabel("ms, served")
    time_axes.set_yscale("log")
    for status in sorted({s for b in buckets for s in b.attempts}):
        if status != "answered":
            counts = [b.attempts[status] / summary.width_s for b in buckets]
            target_axes.plot(starts, counts, label=f"attempts {status}")
    cool_downs = [b.cool_downs / summary.width_s for b in buckets]
    target_axes.plot(starts, cool_downs, "k--", label="cool-downs")
    for time, bucket in summary.buckets.items():
        if bucket.revisions:
            target_axes.axvline(time, color="0.9", zorder=0)
    target_axes.set_ylabel("1/s; bars: new revision")
    target_axes.set_xlabel("s")
    for axes in (outcome_axes, time_axes, target_axes):
        axes.legend(fontsize="small")
    figure.savefig(file)
