"""Lines on standard output: their bound, and a reader that stalls."""

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
    MAX_WAITING_LINES,
    LineWriter,
    LoggedEvent,
)
from wasabitray_node.metrics import Metrics


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def log(writer, event, **facts):
    record = logging.LogRecord(
        "wasabitray", logging.INFO, "", 0, event, None, None
    )
    record.__dict__ |= facts
    writer.emit(record)


def test_lines_of_one_kind_are_bounded_and_counted(pipe):
    writer = LineWriter(pipe[1])
    for _ in range(10 * MAX_LINES_PER_S):
        log(writer, "attempt")
    log(writer, "target cool-down")
    # A second may end while the lines come.
    assert MAX_LINES_PER_S < writer.waiting <= 2 * MAX_LINES_PER_S + 1
    left_out = 10 * MAX_LINES_PER_S + 1 - writer.waiting
    assert writer.dropped == {"attempt": left_out}
    assert writer.lost == left_out


def test_reader_that_stalls_costs_lines_and_no_time(pipe):
    writer = LineWriter(pipe[1])
    task = gevent.spawn(writer.run)
    late = []
    with gevent.Timeout(20):
        for number in range(3 * MAX_WAITING_LINES):
            log(writer, f"kind {number}", detail="x" * 100)
            if not number % 500:
                gevent.sleep(0)  # the writer's turn; the pipe is full soon
        late.append(writer.waiting)
    assert late == [MAX_WAITING_LINES]
    assert writer.lost > 0
    task.kill()


def test_line_goes_on_where_the_reader_goes_on(pipe):
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
    assert writer.events == {
        LoggedEvent("attempt", "failed"): 2,
        LoggedEvent("target cool-down", "broken"): 1,
        LoggedEvent("hub changed", ""): 1,
    }


def test_metrics_show_events_and_answers(pipe):
    writer = LineWriter(pipe[1])
    metrics = Metrics(writer)
    log(writer, "retry refused")
    metrics.record("hobart", WorkClass.SHORT, Response(200), 0.25)
    text = metrics.render().decode()
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

    ran = subprocess.run([sys.executable, "-c", program], capture_output=True)
    found = json.loads(ran.stdout)
    assert (found["message"], found["host"]) == ("attempt", "e1")
    assert found["request"] == "r-1" and "detail" not in found
