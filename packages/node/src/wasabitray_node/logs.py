"""Structured logs: JSON lines on standard output.

Lines report decisions about requests and changes of the known state. The rate
of each kind is limited; dropped lines are counted and reported. A separate
task writes the lines, so a reader that stalls causes dropped lines but no
delay.
"""

from __future__ import annotations

import logging
import os
import time
from collections import Counter, deque
from typing import Any, NamedTuple

import gevent
from gevent.event import Event
from gevent.os import make_nonblocking, nb_write
from pythonjsonlogger.json import JsonFormatter

STDOUT_DESCRIPTOR = 1
# Lines that wait for the reader: at 400 bytes each they take 1.6 MB.
MAX_QUEUED_LINES = 4_096
# Lines of one kind per second: ten times the requests of an entry under its
# usual load. Writing them takes less than a hundredth of a core.
MAX_LINES_PER_S = 100
REPORT_INTERVAL_S = 1.0
# Fields that hold an outcome and have only a few values.
OUTCOME_FIELDS = ("status", "cause", "phase")

_LOGGER = logging.getLogger("wasabitray")


class LoggedEvent(NamedTuple):
    """The key under which a line is counted.

    Attributes:
        kind: the line's message.
        outcome: how the event ended; empty if its kind has no outcomes.
    """

    kind: str
    outcome: str


def _find_outcome(record: logging.LogRecord) -> str:
    """Return the first of a line's outcome fields, empty if it has none."""
    values = (getattr(record, name, None) for name in OUTCOME_FIELDS)
    return next((str(value) for value in values if value is not None), "")


class LineWriter(logging.Handler):
    """Formats and writes lines in a separate task."""

    def __init__(self, descriptor: int = STDOUT_DESCRIPTOR) -> None:
        """Initialise with the file descriptor to write to."""
        super().__init__()
        self._descriptor = descriptor
        self._queue: deque[logging.LogRecord] = deque()
        self._wake = Event()
        self._current_second = 0
        self._lines_this_second: Counter[str] = Counter()
        self._dropped_by_kind: Counter[str] = Counter()
        self._reported_at = 0.0
        self._event_counts: Counter[LoggedEvent] = Counter()
        self._dropped_total = 0

    @property
    def queued_lines(self) -> int:
        """The number of lines that are not written yet."""
        return len(self._queue)

    @property
    def dropped_by_kind(self) -> Counter[str]:
        """The number of lines dropped since the last report, by kind."""
        return self._dropped_by_kind

    @property
    def event_counts(self) -> Counter[LoggedEvent]:
        """The number of events since the start, including dropped lines."""
        return self._event_counts

    @property
    def dropped_total(self) -> int:
        """The number of lines dropped since the start."""
        return self._dropped_total

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line, or count it as dropped."""
        kind = record.getMessage()
        self._event_counts[LoggedEvent(kind, _find_outcome(record))] += 1
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second = second
            self._lines_this_second.clear()
        self._lines_this_second[kind] += 1
        full = len(self._queue) >= MAX_QUEUED_LINES
        if full or self._lines_this_second[kind] > MAX_LINES_PER_S:
            self._dropped_by_kind[kind] += 1
            self._dropped_total += 1
            return
        self._queue.append(record)
        self._wake.set()

    def run(self) -> None:
        """Write lines until the task is killed."""
        make_nonblocking(self._descriptor)
        while True:
            self._wake.wait()
            self._wake.clear()
            while self._queue:
                self._write(self._format_next())
            self._report_dropped()

    def _format_next(self) -> bytes:
        record = self._queue.popleft()
        return (self.format(record) + "\n").encode()

    def _write(self, data: bytes) -> None:
        while data:
            try:
                data = data[nb_write(self._descriptor, data) :]
            except OSError:
                return  # the reader is gone, so this can't be reported

    def flush_now(self) -> None:
        """Write the queued lines before the process ends, without the task."""
        os.set_blocking(self._descriptor, False)
        try:
            while self._queue:
                os.write(self._descriptor, self._format_next())
        except OSError:
            self._queue.clear()  # the reader is gone or stalled

    def _report_dropped(self) -> None:
        now = time.monotonic()
        if (
            not self._dropped_by_kind
            or now - self._reported_at < REPORT_INTERVAL_S
        ):
            return
        self._reported_at = now
        fields = {"lines": dict(self._dropped_by_kind)}
        self._dropped_by_kind.clear()
        log_event("log lines dropped", **fields)


_WRITER = LineWriter()


def configure_logs(host: str) -> LineWriter:
    """Write logs as JSON lines to standard output."""
    _WRITER.setFormatter(
        JsonFormatter(
            "%(created)f %(levelname)s %(message)s",
            rename_fields={"created": "time", "levelname": "level"},
            static_fields={"host": host},
        )
    )
    _LOGGER.handlers[:] = [_WRITER]
    _LOGGER.setLevel(logging.INFO)
    _LOGGER.propagate = False
    return _WRITER


def get_log_writer() -> LineWriter:
    """Return this process's writer of log lines."""
    return _WRITER


def start_log_writer() -> gevent.Greenlet:
    """Start the task that writes the lines."""
    return gevent.spawn(_WRITER.run)


def flush_logs() -> None:
    """Write the lines that are still queued, as far as the reader allows."""
    _WRITER.flush_now()


def log_event(event: str, **fields: Any) -> None:
    """Log a change of state."""
    _LOGGER.info(event, extra=fields)


def log_decision(event: str, **fields: Any) -> None:
    """Log a decision about a request, without the fields that are empty."""
    set_fields = {k: v for k, v in fields.items() if v not in (None, "")}
    _LOGGER.info(event, extra=set_fields)


def log_error(event: str, error: BaseException, **fields: Any) -> None:
    """Log an unexpected error with its traceback."""
    _LOGGER.error(event, exc_info=error, extra=fields)
