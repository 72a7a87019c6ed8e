"""Log lines: their limits, a reader that stalls, and event counts."""

import json
import logging
import os
import subprocess
import sys

import gevent
import pytest

from wasabitray_core.requests import Response
from wasabitray_core.states import WorkClass
from wasabitray_node.logs import (
    MAX_LINES_PER_S,
    MAX_QUEUED_LINES,
    LineWriter,
    LoggedEvent,
)
from wasabitray_node.metrics import Metrics
from wasabitray_node.metrics_text import render_metrics


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def log(writer, event, **fields):
    record = logging.LogRecord(
        "wasabitray", logging.INFO, "", 0, event, None, None
    )
    record.__dict__ |= fields
    writer.emit(record)


def test_lines_of_one_kind_are_limited_and_counted(pipe):
    writer = LineWriter(pipe[1])
    for _ in range(10 * MAX_LINES_PER_S):
        log(writer, "attempt")
    log(writer, "target cool-down")
    # A new second may begin while the lines are logged.
    assert MAX_LINES_PER_S < writer.queued_lines <= 2 * MAX_LINES_PER_S + 1
    dropped_count = 10 * MAX_LINES_PER_S + 1 - writer.queued_lines
    assert writer.dropped_by_kind == {"attempt": dropped_count}
    assert writer.dropped_total == dropped_count


def test_reader_that_stalls_causes_dropped_lines_and_no_delay(pipe):
    writer = LineWriter(pipe[1])
    task = gevent.spawn(writer.run)
    queued = []
    with gevent.Timeout(20):
        for number in range(3 * MAX_QUEUED_LINES):
            log(writer, f"kind {number}", detail="x" * 100)
            if not number % 500:
                gevent.sleep(0)  # lets the writer run; the pipe is soon full
        queued.append(writer.queued_lines)
    assert queued == [MAX_QUEUED_LINES]
    assert writer.dropped_total > 0
    task.kill()


def test_task_writes_each_line_as_it_comes(pipe):
    writer = LineWriter(pipe[1])
    task = gevent.spawn(writer.run)
    log(writer, "first")
    gevent.sleep(0.01)
    log(writer, "second")
    gevent.sleep(0.01)
    assert os.read(pipe[0], 100) == b"first\nsecond\n"
    task.kill()


def test_events_are_counted_by_outcome(pipe):
    writer = LineWriter(pipe[1])
    log(writer, "attempt", status="failed", detail="free text")
    log(writer, "attempt", status="failed")
    log(writer, "target cool-down", cause="broken", number=7)
    log(writer, "hub changed")
    assert writer.event_counts == {
        LoggedEvent("attempt", "failed"): 2,
        LoggedEvent("target cool-down", "broken"): 1,
        LoggedEvent("hub changed", ""): 1,
    }


def test_metrics_show_events_and_responses(pipe):
    writer = LineWriter(pipe[1])
    metrics = Metrics(writer)
    log(writer, "retry refused")
    metrics.record("hobart", WorkClass.SHORT, Response(200), 0.25)
    text = render_metrics(metrics).decode()
    counted = 'wasabitray_events_total{event="retry refused",outcome=""} 1.0'
    assert counted in text
    assert "wasabitray_log_lines_dropped_total 0.0" in text
    assert 'organisation="hobart"' in text


def test_lines_are_json(pipe):
    program = (
        "from wasabitray_node.logs import *\n"
        "configure_logs('e1')\n"
        "log_decision('attempt', request='r-1', detail=None)\n"
        "flush_logs()\n"
    )

    completed = subprocess.run(
        [sys.executable, "-c", program], capture_output=True
    )
    line = json.loads(completed.stdout)
    assert (line["message"], line["host"]) == ("attempt", "e1")
    assert line["request"] == "r-1" and "detail" not in line
