"""A day in figures, from the logs of its entries."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from statistics import quantiles

from wasabitray_cli.errors import CommandError
from wasabitray_cli.logs import ATTEMPT, COOL_DOWN, LogLine

ANSWERED, REFUSED = "request answered", "request refused"
FIRST_SERVER_ERROR = 500
# Statuses that say that a request has not run.
NOT_RUN_STATUSES = frozenset({429, 503})
PLOT_INCHES = (10.0, 9.0)


class End(Enum):
    """How a request ended for its caller."""

    SERVED = "served"
    REFUSED = "refused, not run"
    FAILED = "failed"


@dataclass(slots=True)
class Bucket:
    """What happened in a few seconds.

    Attributes:
        times_ms: from arrival to answer, of served requests.
        attempts: by how they ended.
        cool_downs: cool-downs of targets that began.
        revisions: put in force on some host.
    """

    ends: Counter[End] = field(default_factory=Counter)
    times_ms: list[float] = field(default_factory=list)
    attempts: Counter[str] = field(default_factory=Counter)
    cool_downs: int = 0
    revisions: set[int] = field(default_factory=set)

    def percentile_ms(self, share: int) -> float | None:
        """Return a percentile from 1 to 99, None without two requests."""
        if len(self.times_ms) < 2:
            return None
        return quantiles(self.times_ms, n=100)[share - 1]


@dataclass(frozen=True, slots=True)
class Day:
    """Buckets by the seconds since the first line."""

    width_s: float
    buckets: dict[float, Bucket]

    def total(self, end: End) -> int:
        """Return how many requests ended in a way."""
        return sum(b.ends[end] for b in self.buckets.values())


def summarise(lines: Iterable[LogLine], width_s: float) -> Day:
    """Count the lines of a day in buckets of some seconds.

    Raises:
        CommandError: there are no lines.
    """
    found = list(lines)
    if not found:
        raise CommandError("no log lines", step="read logs")
    start = min(line.time for line in found)
    buckets: defaultdict[float, Bucket] = defaultdict(Bucket)
    for line in found:
        number = int((line.time - start) / width_s)
        _count(buckets[number * width_s], line)
    return Day(width_s, dict(sorted(buckets.items())))


def _count(bucket: Bucket, line: LogLine) -> None:
    if line.event in (ANSWERED, REFUSED):
        end = _end_of(line)
        if end is None:
            return  # the caller's own mistake
        bucket.ends[end] += 1
        elapsed = line.facts.get("elapsed_ms")
        if end is End.SERVED and isinstance(elapsed, int | float):
            bucket.times_ms.append(float(elapsed))
    elif line.event == ATTEMPT:
        bucket.attempts[str(line.facts.get("status"))] += 1
    elif line.event == COOL_DOWN:
        bucket.cool_downs += 1
    elif isinstance(revision := line.facts.get("revision"), int):
        bucket.revisions.add(revision)


def _end_of(line: LogLine) -> End | None:
    status = line.facts.get("status")
    if not isinstance(status, int):
        return None
    if status in NOT_RUN_STATUSES:
        return End.REFUSED
    if status >= FIRST_SERVER_ERROR:
        return End.FAILED
    return End.SERVED if line.event == ANSWERED else None


def draw(day: Day, file: Path) -> None:
    """Draw a day into a picture.

    Raises:
        CommandError: the plotting library is not installed.
    """
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        raise CommandError(str(error), step="draw report") from error
    figure = Figure(figsize=PLOT_INCHES, layout="constrained")
    ends, times, targets = figure.subplots(3, 1, sharex=True)
    at = list(day.buckets)
    buckets = list(day.buckets.values())
    for end in End:
        rates = [b.ends[end] / day.width_s for b in buckets]
        ends.plot(at, rates, label=end.value)
    ends.set_ylabel("requests/s")
    for share in (50, 95, 99):
        found = [b.percentile_ms(share) for b in buckets]
        known = [(t, p) for t, p in zip(at, found, strict=True) if p]
        times.plot(*zip(*known, strict=True) if known else ([], []))
        times.lines[-1].set_label(f"p{share}")
    times.set_ylabel("ms, served")
    times.set_yscale("log")
    for status in sorted({s for b in buckets for s in b.attempts}):
        if status != "answered":
            counts = [b.attempts[status] / day.width_s for b in buckets]
            targets.plot(at, counts, label=f"attempts {status}")
    cool_downs = [b.cool_downs / day.width_s for b in buckets]
    targets.plot(at, cool_downs, "k--", label="cool-downs")
    for time, bucket in day.buckets.items():
        if bucket.revisions:
            targets.axvline(time, color="0.9", zorder=0)
    targets.set_ylabel("1/s; bars: new revision")
    targets.set_xlabel("s")
    for axes in (ends, times, targets):
        axes.legend(fontsize="small")
    figure.savefig(file)
