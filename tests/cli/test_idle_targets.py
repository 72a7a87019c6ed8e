"""Which sound targets got no requests, counted from logs."""

import json

from cleo.testers.command_tester import CommandTester

from wasabitray_cli.exits import ExitCode
from wasabitray_cli.idle_targets import IdleWindow, find_idle_targets
from wasabitray_cli.logs import LogLine
from wasabitray_cli.main import build_application

START = 1_000.0


def make_line(after, event, **facts):
    return LogLine(START + after, "e1", event, {"service": "rota", **facts})


def attempt(after, target, **facts):
    known = {"elapsed_ms": 0.0, "lost_share": 0.05, "status": "answered"}
    return make_line(after, "attempt", target=target, **known | facts)


LINES = [
    *[make_line(0.0, "target announced", target=f"t{n}") for n in range(1, 6)],
    make_line(0.1, "target cool-down", target="t3", duration_s=12.0),
    attempt(3.5, "t4", status="failed"),
    make_line(4.5, "target announced", target="t5", phase="leaving"),
    attempt(5.0, "t1", elapsed_ms=500.0),
    make_line(5.0, "request answered", status=200, elapsed_ms=500.0),
    make_line(5.0, "request refused", status=502, elapsed_ms=500.0),
    make_line(5.0, "request refused", status=404, elapsed_ms=500.0),
    make_line(6.1, "request answered", status=200, elapsed_ms=0.0),
]


def test_idle_targets_are_counted_by_reason():
    window = find_idle_targets(LINES, 2.0)[2]
    assert window == IdleWindow("rota", 4.0, 3, 1, 1, 1, 0.5, 0.05)


def test_without_lines_there_are_no_windows():
    assert find_idle_targets([], 2.0) == []


def test_command_shows_the_windows(tmp_path):
    log = tmp_path / "e1.log"
    with log.open("w") as file:
        for line in LINES:
            fields = {"time": line.time, "level": "INFO", "host": line.host}
            text = json.dumps({**fields, "message": line.event, **line.facts})
            file.write(f"{text}\n")
    tester = CommandTester(build_application().find("report"))
    assert tester.execute(f"{log} --idle --json") == ExitCode.OK
    windows = json.loads(tester.io.fetch_output())
    assert [w["not_chosen"] for w in windows] == [0, 3, 1]
