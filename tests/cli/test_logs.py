"""Tests of a request's trace from logs and of the command that prints it."""

import json

import pytest
from cleo.testers.command_tester import CommandTester

from wasabitray_cli.errors import CommandError, InputError
from wasabitray_cli.exits import ExitCode
from wasabitray_cli.logs import KNOWN_STATE_WINDOW_S, parse_line, trace_request
from wasabitray_cli.main import build_application

START = 1_000.0


def make_line(after, event, host="e1", **facts):
    return json.dumps(
        {"time": START + after, "message": event, "host": host, **facts}
    )


@pytest.fixture
def logs(tmp_path):
    """Return logs of a request that was lost in a target's failure episode."""
    first = [
        make_line(-60, "revision in force", revision=3),
        make_line(-30, "revision in force", revision=4),
        make_line(-2, "request answered", request="r-0", status=200),
        make_line(
            0.2,
            "attempt",
            request="r-1",
            target="t1",
            status="failed",
            waited_ms=50.0,
            elapsed_ms=150.0,
        ),
        make_line(0.2, "request refused", request="r-1", status=502),
        make_line(9.0, "target cool-down", target="t1", cause="broken"),
    ]
    second = [
        make_line(
            -KNOWN_STATE_WINDOW_S - 1, "target cool-down", "e2", target="t1"
        ),
        make_line(-1.0, "target cool-down", "e2", target="t1", cause="broken"),
        make_line(-1.0, "target cool-down", "e2", target="t2", cause="broken"),
        make_line(-0.5, "revision in force", "e2", revision=5),
        make_line(-0.5, "target announced", "e2", target="t1"),
    ]
    (tmp_path / "e1.log").write_text("\n".join(first) + "\nTraceback\n")
    prefixed = [f"  12.5 e2 {text}" for text in second]
    (tmp_path / "e2.log").write_text("\n".join(prefixed))
    return [tmp_path / "e1.log", tmp_path / "e2.log"]


def test_trace_has_the_request_and_the_state_known_to_its_entry(logs):
    trace = trace_request("r-1", logs)
    events = [(e.event, e.host) for e in trace.lines]
    assert events == [
        ("revision in force", "e1"),
        ("target cool-down", "e2"),
        ("attempt", "e1"),
        ("request refused", "e1"),
    ]
    assert trace.lines[0].facts == {"revision": 4}
    assert trace.started == pytest.approx(START)
    assert trace.unreadable == 1


def test_unknown_request_is_an_error(logs):
    with pytest.raises(CommandError, match="r-9"):
        trace_request("r-9", logs)


def test_missing_file_is_bad_input(tmp_path):
    with pytest.raises(InputError):
        trace_request("r-1", [tmp_path / "none.log"])


@pytest.mark.parametrize(
    "text", ["", "plain", "{", "{}", "[1]", '{"time": "x", "host": 1}', "{]}"]
)
def test_other_lines_are_not_parsed(text):
    assert parse_line(text) is None


def run(*arguments):
    tester = CommandTester(build_application().find("explain"))
    code = tester.execute(" ".join(map(str, arguments)))
    return code, tester.io.fetch_output(), tester.io.fetch_error()


def test_command_prints_a_table(logs):
    code, output, _ = run("r-1", *logs)
    assert code == ExitCode.OK
    assert "basis" not in output
    assert "status=failed" in output and "-1000" in output
    assert "1 other lines are not log lines" in output


def test_command_prints_json(logs):
    code, output, _ = run("r-1", *logs, "--json")
    assert code == ExitCode.OK
    assert len(json.loads(output)["lines"]) == 4


def test_command_reports_what_is_missing(logs):
    code, _, error = run("r-9", *logs)
    assert (code, "r-9" in error) == (ExitCode.FAILED, True)
    code, _, error = run("r-1", "no-such-file")
    assert code == ExitCode.BAD_INPUT
