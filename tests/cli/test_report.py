"""Tests of the summary of logs and of the command that draws it."""

import json

import pytest
from cleo.testers.command_tester import CommandTester

from wasabitray_cli.errors import CommandError
from wasabitray_cli.exits import ExitCode
from wasabitray_cli.logs import LogLine
from wasabitray_cli.main import build_application
from wasabitray_cli.report import RequestOutcome, summarise

START = 1_000.0


def make_line(after, event, **facts):
    return LogLine(START + after, "e1", event, facts)


LINES = [
    make_line(0.0, "revision in force", revision=3),
    *[
        make_line(0.5, "request answered", status=200, elapsed_ms=float(n))
        for n in range(1, 101)
    ],
    make_line(0.6, "request answered", status=500, elapsed_ms=9.0),
    make_line(2.1, "attempt", status="failed", target="t1"),
    make_line(2.1, "target cool-down", cause="broken", target="t1"),
    make_line(2.2, "request refused", status=502, reason="target-failed"),
    make_line(2.3, "request refused", status=503, reason="overload"),
    make_line(2.4, "request refused", status=404, reason="unknown-route"),
    make_line(2.5, "target report", cause="success", target="t1"),
]


def test_requests_are_counted_by_outcome():
    summary = summarise(LINES, 2.0)
    assert list(summary.buckets) == [0.0, 2.0]
    first, second = summary.buckets.values()
    assert first.outcomes == {
        RequestOutcome.SERVED: 100,
        RequestOutcome.FAILED: 1,
    }
    assert second.outcomes == {
        RequestOutcome.FAILED: 1,
        RequestOutcome.REFUSED: 1,
    }
    assert summary.total(RequestOutcome.FAILED) == 2


def test_percentiles_are_of_served_requests():
    first, second = summarise(LINES, 2.0).buckets.values()
    assert first.percentile_ms(50) == pytest.approx(50.5)
    assert first.percentile_ms(99) == pytest.approx(99.99)
    assert second.percentile_ms(50) is None


def test_attempts_cool_downs_and_revisions_are_counted():
    first, second = summarise(LINES, 2.0).buckets.values()
    assert first.revisions == {3}
    assert second.attempts == {"failed": 1}
    assert second.cool_downs == 1


def test_no_lines_are_an_error():
    with pytest.raises(CommandError):
        summarise([], 2.0)


@pytest.fixture
def log(tmp_path):
    file = tmp_path / "e1.log"
    file.write_text(
        "\n".join(
            json.dumps(
                {"time": e.time, "host": e.host, "message": e.event, **e.facts}
            )
            for e in LINES
        )
    )
    return file


def run(*arguments):
    tester = CommandTester(build_application().find("report"))
    code = tester.execute(" ".join(map(str, arguments)))
    return code, tester.io.fetch_output(), tester.io.fetch_error()


def test_command_draws_a_picture(log, tmp_path):
    picture = tmp_path / "day.png"
    code, output, _ = run(log, "--output", picture, "--json")
    assert code == ExitCode.OK
    assert json.loads(output)["served"] == 100
    assert picture.read_bytes().startswith(b"\x89PNG")


def test_command_refuses_an_invalid_width(log):
    assert run(log, "--seconds", "0")[0] == ExitCode.BAD_INPUT
    assert run(log, "--seconds", "x")[0] == ExitCode.BAD_INPUT
