"""Structured logs: JSON lines on standard output.

Lines about requests and beliefs are bounded by a rate for each kind; what is
left out is counted and reported. A task of its own writes, so that a reader
that stalls costs lines and never time.
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

STANDARD_OUTPUT = 1
# Lines that wait for the reader; at 400 bytes each they take 1.6 MB.
MAX_WAITING_LINES = 4_096
# Lines of one kind in a second: ten times the requests of an entry at its
# usual load, and less than a hundredth of a core.
MAX_LINES_PER_S = 100
REPORT_INTERVAL_S = 1.0
# Facts that tell an outcome and have a few values only.
OUTCOME_FACTS = ("status", "cause", "phase")

_LOGGER = logging.getLogger("wasabitray")


class LoggedEvent(NamedTuple):
    """What a line tells, for counting.

    Attributes:
        kind: the line's message.
        outcome: how it ended, empty if the kind has one end only.
    """

    kind: str
    outcome: str


def _outcome_of(record: logging.LogRecord) -> str:
    """Return the first fact of a line that tells its outcome."""
    found = (getattr(record, name, None) for name in OUTCOME_FACTS)
    return next((str(value) for value in found if value is not None), "")


class LineWriter(logging.Handler):
    """Formats and writes lines in a task of its own."""

    def __init__(self, descriptor: int = STANDARD_OUTPUT) -> None:
        """Take the file descriptor to write to."""
        super().__init__()
        self._descriptor = descriptor
        self._waiting: deque[logging.LogRecord] = deque()
        self._wake = Event()
        self._second = 0
        self._lines: Counter[str] = Counter()
        self._dropped: Counter[str] = Counter()
        self._reported_at = 0.0
        self._events: Counter[LoggedEvent] = Counter()
        self._lost = 0

    @property
    def waiting(self) -> int:
        """Lines that are not written yet."""
        return len(self._waiting)

    @property
    def dropped(self) -> Counter[str]:
        """Lines left out since the last report, by kind."""
        return self._dropped

    @property
    def events(self) -> Counter[LoggedEvent]:
        """Events since the start, those of dropped lines included."""
        return self._events

    @property
    def lost(self) -> int:
        """Lines dropped since the start."""
        return self._lost

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line, or count it as dropped."""
        kind = record.getMessage()
        self._events[LoggedEvent(kind, _outcome_of(record))] += 1
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._lines.clear()
        self._lines[kind] += 1
        full = len(self._waiting) >= MAX_WAITING_LINES
        if full or self._lines[kind] > MAX_LINES_PER_S:
            self._dropped[kind] += 1
            self._lost += 1
            return
        self._waiting.append(record)
        self._wake.set()

    def run(self) -> None:
        """Write lines until the task is killed."""
        make_nonblocking(self._descriptor)
        while True:
            self._wake.wait()
            self._wake.clear()
            while self._waiting:
                self._write(self._take())
            self._report_dropped()

    def _take(self) -> bytes:
        record = self._waiting.popleft()
        return (self.format(record) + "\n").encode()

    def _write(self, data: bytes) -> None:
        while data:
            try:
                data = data[nb_write(self._descriptor, data) :]
            except OSError:
                return  # nobody reads; there is nowhere to report it

    def flush_now(self) -> None:
        """Write what waits without a task, before the process ends."""
        os.set_blocking(self._descriptor, False)
        try:
            while self._waiting:
                os.write(self._descriptor, self._take())
        except OSError:
            self._waiting.clear()  # the reader is gone or stalls

    def _report_dropped(self) -> None:
        now = time.monotonic()
        if not self._dropped or now - self._reported_at < REPORT_INTERVAL_S:
            return
        self._reported_at = now
        fields = {"lines": dict(self._dropped)}
        self._dropped.clear()
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


def log_writer() -> LineWriter:
    """Return the writer of this process's lines."""
    return _WRITER


def start_writing() -> gevent.Greenlet:
    """Start the task that writes."""
    return gevent.spawn(_WRITER.run)


def flush_logs() -> None:
    """Write what still waits, as far as the reader takes it."""
    _WRITER.flush_now()


def log_event(event: str, **fields: Any) -> None:
    """Log a change of state."""
    _LOGGER.info(event, extra=fields)


def log_decision(event: str, **fields: Any) -> None:
    """Log a decision about a request, without the fields that are empty."""
    told = {k: v for k, v in fields.items() if v not in (None, "")}
    _LOGGER.info(event, extra=told)


def log_error(event: str, error: BaseException, **fields: Any) -> None:
    """Log an unexpected error with its traceback."""
    _LOGGER.error(event, exc_info=error, extra=fields)
