"""The logs of many hosts, and the story of one request in them."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from wasabitray_cli.errors import CommandError, InputError

# A cool-down lasts 12 s; what was believed of a target longer ago has expired.
BELIEF_WINDOW_S = 15.0
ATTEMPT = "attempt"
IN_FORCE = "revision in force"
COOL_DOWN = "target cool-down"
REPORT = "target report"
# Each entry logs these for itself; what an attempt tells of its target is
# logged once, where it was made.
ABOUT_TARGETS = frozenset({"target announced", "target ejection"})
_COMMON = ("time", "level", "message", "host")


@dataclass(frozen=True, slots=True)
class LogLine:
    """One decision.

    Attributes:
        time: seconds since 1970 by the clock of its host.
        facts: the inputs and the outcome.
    """

    time: float
    host: str
    event: str
    facts: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Story:
    """What concerns a request, in the order of time.

    Attributes:
        started: when the request's first attempt, or else its end, was.
        unreadable: lines of the files that are no log lines.
    """

    lines: tuple[LogLine, ...]
    started: float
    unreadable: int


def tell_story(request: str, files: Iterable[Path]) -> Story:
    """Collect what the logs say of a request.

    That is its own lines, what was believed of the targets it went to, and
    the revision that its entry had in force.

    Raises:
        InputError: a file can't be read.
        CommandError: no line names the request.
    """
    lines, unreadable = read_logs(files)
    own = [line for line in lines if line.facts.get("request") == request]
    if not own:
        raise CommandError(
            f"no line names request {request!r}", step="read logs"
        )
    started = min(line.time - _seconds_before(line) for line in own)
    beliefs = _find_beliefs(lines, own, started)
    told = sorted([*beliefs, *own], key=lambda line: line.time)
    return Story(tuple(told), started, unreadable)


def read_logs(files: Iterable[Path]) -> tuple[list[LogLine], int]:
    """Return all log lines by time, and how many lines are none.

    Raises:
        InputError: a file can't be read.
    """
    lines: list[LogLine] = []
    unreadable = 0
    for file in files:
        for text in _read(file):
            line = parse_line(text)
            if line is None:
                unreadable += bool(text.strip())
            else:
                lines.append(line)
    lines.sort(key=lambda line: line.time)
    return lines, unreadable


def parse_line(text: str) -> LogLine | None:
    """Parse a line, with or without what a collector put before it."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        found = json.loads(text[start:])
        time, host, event = (found[k] for k in ("time", "host", "message"))
        facts = {k: v for k, v in found.items() if k not in _COMMON}
        return LogLine(float(time), str(host), str(event), facts)
    except (ValueError, KeyError, TypeError, AttributeError):
        return None  # the caller counts it


def _read(file: Path) -> Iterator[str]:
    try:
        with file.open(errors="replace") as lines:
            yield from lines
    except OSError as error:
        raise InputError(str(error), step="read logs") from error


def _seconds_before(line: LogLine) -> float:
    """Return for how long what a line tells had lasted."""
    waited = line.facts.get("waited_ms") or 0.0
    return ((line.facts.get("elapsed_ms") or 0.0) + waited) / 1_000


def _find_beliefs(
    lines: list[LogLine], own: list[LogLine], started: float
) -> list[LogLine]:
    targets = {
        line.facts.get("target") for line in own if line.event == ATTEMPT
    }
    end, entry = own[-1].time, own[-1].host
    found = [
        line
        for line in lines
        if _is_belief(line, entry)
        and line.facts.get("target") in targets
        and started - BELIEF_WINDOW_S <= line.time <= end
    ]
    in_force = [
        line
        for line in lines
        if line.event == IN_FORCE
        and line.host == entry
        and line.time <= started
    ]
    return [*found, *in_force[-1:]]


def _is_belief(line: LogLine, entry: str) -> bool:
    at_entry = line.event in ABOUT_TARGETS and line.host == entry
    return at_entry or line.event in (COOL_DOWN, REPORT)
