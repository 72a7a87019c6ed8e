"""Targets that got no requests while requests were lost, from logs."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from msgspec import Struct, field

from wasabitray_cli.logs import ATTEMPT, COOL_DOWN, LogLine
from wasabitray_cli.report import (
    ANSWERED,
    REFUSED,
    RequestOutcome,
    get_outcome,
)

ANNOUNCED = "target announced"
# A target that failed within this time does not count as sound.
RECENT_FAILURE_S = 2.0
FAILED_STATUSES = frozenset({"failed", "truncated", "invalid"})
FIRST_SERVER_ERROR = 500


class IdleWindow(Struct, frozen=True):
    """A service's sound targets within a few seconds.

    Attributes:
        start: seconds after the first line.
        sound: targets that work and did not fail recently.
        used: those of them that some entry sent a request to.
        cooling: those that got none because they cool down.
        not_chosen: those that got none although they don't.
        lost_share: share of the service's requests that were not served.
        known_lost_share: the mean of what entries took that share to be.
    """

    service: str
    start: float
    sound: int
    used: int
    cooling: int
    not_chosen: int
    lost_share: float
    known_lost_share: float


class _Service(Struct):
    """A service's log lines, reduced to times in seconds.

    Attributes:
        announced: when each target first served, and when it left.
        used: attempts, by target.
        failed: failures, by target.
        cool_downs: start and end of cool-downs, by target.
        requests: when each request came and whether it was served.
        estimates: lost shares that entries assumed, with their times.
    """

    announced: dict[str, list[float]] = field(default_factory=dict)
    used: defaultdict = field(default_factory=lambda: defaultdict(list))
    failed: defaultdict = field(default_factory=lambda: defaultdict(list))
    cool_downs: defaultdict = field(default_factory=lambda: defaultdict(list))
    requests: list[tuple[float, bool]] = field(default_factory=list)
    estimates: list[tuple[float, float]] = field(default_factory=list)


def find_idle_targets(
    lines: Iterable[LogLine], width_s: float
) -> list[IdleWindow]:
    """Return a window for each service and each `width_s` seconds.

    Targets that joined or left within the window are not counted. One that
    ended without a word is, as a target that was not chosen.
    """
    log_lines = sorted(lines, key=lambda line: line.time)
    if not log_lines:
        return []
    start, end = log_lines[0].time, log_lines[-1].time
    services: defaultdict[str, _Service] = defaultdict(_Service)
    for line in log_lines:
        _add_line(services, line, line.time - start)
    return [
        _evaluate(name, service, number * width_s, width_s)
        for name, service in sorted(services.items())
        for number in range(int((end - start) / width_s))
    ]


def _add_line(
    services: defaultdict[str, _Service], line: LogLine, time: float
) -> None:
    facts = line.facts
    name, target = facts.get("service"), facts.get("target")
    if not isinstance(name, str) or not name:
        return
    service = services[name]
    began = time - float(facts.get("elapsed_ms") or 0.0) / 1_000
    if line.event in (ANSWERED, REFUSED):
        outcome = get_outcome(line)
        if outcome is not None:
            is_served = outcome is RequestOutcome.SERVED
            service.requests.append((began, is_served))
    elif not isinstance(target, str):
        return
    elif line.event == ANNOUNCED:
        times = service.announced.setdefault(target, [time, float("inf")])
        if facts.get("phase") == "leaving":
            times[1] = min(times[1], time)
    elif line.event == COOL_DOWN:
        until = time + float(facts.get("duration_s") or 0.0)
        service.cool_downs[target].append((time, until))
    elif line.event == ATTEMPT:
        service.used[target].append(began)
        service.estimates.append((began, float(facts.get("lost_share") or 0)))
        is_error = int(facts.get("answer") or 0) >= FIRST_SERVER_ERROR
        if is_error or facts.get("status") in FAILED_STATUSES:
            service.failed[target].append(time)


def _evaluate(
    name: str, service: _Service, start: float, width_s: float
) -> IdleWindow:
    end = start + width_s
    sound = [
        target
        for target, (first, left) in service.announced.items()
        if first < start
        and left > end
        and not _has_time(
            service.failed[target], start - RECENT_FAILURE_S, end
        )
    ]
    idle = [t for t in sound if not _has_time(service.used[t], start, end)]
    cooling = [
        t
        for t in idle
        if any(a < end and b > start for a, b in service.cool_downs[t])
    ]
    served = [ok for time, ok in service.requests if start <= time < end]
    known = [s for time, s in service.estimates if start <= time < end]
    return IdleWindow(
        name,
        start,
        len(sound),
        len(sound) - len(idle),
        len(cooling),
        len(idle) - len(cooling),
        1.0 - sum(served) / len(served) if served else 0.0,
        sum(known) / len(known) if known else 0.0,
    )


def _has_time(times: list[float], start: float, end: float) -> bool:
    return any(start <= time < end for time in times)
