"""The subcommand that explains a failed request."""

from __future__ import annotations

from pathlib import Path
from typing import Any, ClassVar

from cleo.helpers import argument
from msgspec import to_builtins

from wasabitray_cli.commands.base import COMMON_OPTIONS, OutputCommand
from wasabitray_cli.exits import ExitCode
from wasabitray_cli.logs import LogLine, trace_request


class ExplainCommand(OutputCommand):
    """Prints the events that led to a request's outcome."""

    name = "explain"
    description = "Show the trace of a request from the logs of many hosts."
    arguments: ClassVar[list] = [
        argument("request", "The id that the caller sent."),
        argument("files", "Logs of hosts.", multiple=True),
    ]
    options: ClassVar[list] = COMMON_OPTIONS[1:]

    def run_checked(self) -> int:
        """Print the trace."""
        files = [Path(name) for name in self.argument("files")]
        trace = trace_request(self.argument("request"), files)
        rows = [_build_row(line, trace.started) for line in trace.lines]
        self.show_table(
            to_builtins(trace), ["ms", "host", "event", "why"], rows
        )
        if trace.unreadable and not self.option("json"):
            self.line(f"{trace.unreadable} other lines are not log lines")
        return ExitCode.OK


def _build_row(line: LogLine, started: float) -> list[str]:
    since = f"{(line.time - started) * 1_000:.0f}"
    return [since, line.host, line.event, _format_facts(line.facts)]


def _format_facts(facts: dict[str, Any]) -> str:
    return " ".join(
        f"{name}={value}"
        for name, value in facts.items()
        if value not in (None, "") and name != "request"
    )
