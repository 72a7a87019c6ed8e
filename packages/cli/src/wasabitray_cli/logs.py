"""Parsing of the logs of many hosts, and the trace of one request in them."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from msgspec import Struct, field

from wasabitray_cli.errors import CommandError, InputError

# A cool-down lasts 12 s; what was known of a target before that has expired.
KNOWN_STATE_WINDOW_S = 15.0
ATTEMPT = "attempt"
REVISION_APPLIED = "revision in force"
COOL_DOWN = "target cool-down"
TARGET_REPORT = "target report"
# Each entry logs these events itself, so only those of the request's entry
# count. What an attempt shows about its target is logged only once, by the
# host that made the attempt.
TARGET_EVENTS = frozenset({"target announced", "target ejection"})
_COMMON_FIELDS = ("time", "level", "message", "host")


class LogLine(Struct, frozen=True):
    """One logged event.

    Attributes:
        time: seconds since 1970 by the clock of its host.
        facts: the inputs and the outcome of the decision.
    """

    time: float
    host: str
    event: str
    facts: dict[str, Any] = field(default_factory=dict)


class RequestTrace(Struct, frozen=True):
    """The log lines that concern a request, by time.

    Attributes:
        started: when the earliest event of the request's own lines began.
        unreadable: how many lines of the files are not log lines.
    """

    lines: tuple[LogLine, ...]
    started: float
    unreadable: int


def trace_request(request: str, files: Iterable[Path]) -> RequestTrace:
    """Collect the log lines that concern a request.

    These are the request's own lines, those that show what was known of the
    targets that it was sent to, and the one of the revision that its entry
    had applied.

    Raises:
        InputError: a file can't be read.
        CommandError: no line names the request.
    """
    lines, unreadable = read_logs(files)
    request_lines = [
        line for line in lines if line.facts.get("request") == request
    ]
    if not request_lines:
        raise CommandError(
            f"no line names request {request!r}", step="read logs"
        )
    started = min(line.time - _get_duration_s(line) for line in request_lines)
    known_state = _find_known_state(lines, request_lines, started)
    trace_lines = sorted(
        [*known_state, *request_lines], key=lambda line: line.time
    )
    return RequestTrace(tuple(trace_lines), started, unreadable)


def read_logs(files: Iterable[Path]) -> tuple[list[LogLine], int]:
    """Return all log lines by time, and how many lines are not log lines.

    Raises:
        InputError: a file can't be read.
    """
    lines: list[LogLine] = []
    unreadable = 0
    for file in files:
        for text in _read_lines(file):
            line = parse_line(text)
            if line is None:
                unreadable += bool(text.strip())
            else:
                lines.append(line)
    lines.sort(key=lambda line: line.time)
    return lines, unreadable


def parse_line(text: str) -> LogLine | None:
    """Parse a line; a log collector may have added a prefix.

    Returns:
        None if it is not a log line.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        record = json.loads(text[start:])
        time, host, event = (record[k] for k in ("time", "host", "message"))
        facts = {k: v for k, v in record.items() if k not in _COMMON_FIELDS}
        return LogLine(float(time), str(host), str(event), facts)
    except (ValueError, KeyError, TypeError, AttributeError):
        return None  # the caller counts it


def _read_lines(file: Path) -> Iterator[str]:
    try:
        with file.open(errors="replace") as lines:
            yield from lines
    except OSError as error:
        raise InputError(str(error), step="read logs") from error


def _get_duration_s(line: LogLine) -> float:
    """Return the seconds that a line's operation took, waiting included."""
    waited = line.facts.get("waited_ms") or 0.0
    return ((line.facts.get("elapsed_ms") or 0.0) + waited) / 1_000


def _find_known_state(
    lines: list[LogLine], request_lines: list[LogLine], started: float
) -> list[LogLine]:
    targets = {
        line.facts.get("target")
        for line in request_lines
        if line.event == ATTEMPT
    }
    end, entry = request_lines[-1].time, request_lines[-1].host
    target_lines = [
        line
        for line in lines
        if _shows_known_state(line, entry)
        and line.facts.get("target") in targets
        and started - KNOWN_STATE_WINDOW_S <= line.time <= end
    ]
    applied = [
        line
        for line in lines
        if line.event == REVISION_APPLIED
        and line.host == entry
        and line.time <= started
    ]
    return [*target_lines, *applied[-1:]]


def _shows_known_state(line: LogLine, entry: str) -> bool:
    is_at_entry = line.event in TARGET_EVENTS and line.host == entry
    return is_at_entry or line.event in (COOL_DOWN, TARGET_REPORT)
