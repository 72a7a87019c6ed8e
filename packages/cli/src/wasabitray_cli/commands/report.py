"""The subcommand that draws charts from logs."""

from __future__ import annotations

from pathlib import Path
from typing import ClassVar

from cleo.helpers import argument, option
from msgspec import to_builtins

from wasabitray_cli.commands.base import (
    COMMON_OPTIONS,
    OutputCommand,
    escape_markup,
    parse_seconds,
)
from wasabitray_cli.errors import InputError
from wasabitray_cli.exits import ExitCode
from wasabitray_cli.idle_targets import IdleWindow, find_idle_targets
from wasabitray_cli.logs import LogLine, read_logs
from wasabitray_cli.report import (
    LogSummary,
    RequestOutcome,
    plot_summary,
    summarise,
)

DEFAULT_FILE = "report.png"


class ReportCommand(OutputCommand):
    """Prints totals of logs and draws charts of them."""

    name = "report"
    description = (
        "Draw charts: outcomes, latency, attempts, cool-downs, revisions."
    )
    arguments: ClassVar[list] = [
        argument("files", "Logs of hosts.", multiple=True)
    ]
    options: ClassVar[list] = [
        *COMMON_OPTIONS[1:],
        option("output", "o", "Picture.", flag=False, default=DEFAULT_FILE),
        option("seconds", "s", "Width of a bucket.", flag=False, default="2"),
        option(
            "idle", None, "Show idle targets per service instead of charts."
        ),
    ]

    def run_checked(self) -> int:
        """Print the totals and draw the charts."""
        width_s = parse_seconds(self.option("seconds"))
        if width_s <= 0:
            raise InputError("--seconds must be above 0", step="read options")
        files = [Path(name) for name in self.argument("files")]
        lines, _ = read_logs(files)
        if self.option("idle"):
            self._show_idle_targets(lines, width_s)
            return ExitCode.OK
        summary = summarise(lines, width_s)
        output = Path(self.option("output"))
        plot_summary(summary, output)
        totals = _count_totals(summary)
        self.show_table(
            {**totals, "picture": str(output)},
            ["what", "count"],
            [[name, str(count)] for name, count in totals.items()],
        )
        if not self.option("json"):
            self.line(escape_markup(f"charts written to {output}"))
        return ExitCode.OK

    def _show_idle_targets(self, lines: list[LogLine], width_s: float) -> None:
        windows = find_idle_targets(lines, width_s)
        names = list(IdleWindow.__struct_fields__)
        self.show_table(
            to_builtins(windows),
            names,
            [[_format(getattr(w, n)) for n in names] for w in windows],
        )


def _format(value: object) -> str:
    return f"{value:.2f}" if isinstance(value, float) else str(value)


def _count_totals(summary: LogSummary) -> dict[str, int]:
    totals = {
        outcome.value: summary.total(outcome) for outcome in RequestOutcome
    }
    totals["cool-downs"] = sum(b.cool_downs for b in summary.buckets.values())
    return totals
