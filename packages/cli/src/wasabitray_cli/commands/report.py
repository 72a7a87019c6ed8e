"""The subcommand that draws a day."""

from __future__ import annotations

from pathlib import Path
from typing import ClassVar

from cleo.helpers import argument, option

from wasabitray_cli.commands.base import (
    COMMON_OPTIONS,
    ShowingCommand,
    escape,
    parse_seconds,
)
from wasabitray_cli.errors import InputError
from wasabitray_cli.exits import Exit
from wasabitray_cli.logs import read_logs
from wasabitray_cli.report import Day, End, draw, summarise

DEFAULT_FILE = "report.png"


class ReportCommand(ShowingCommand):
    """Sums up logs and draws them."""

    name = "report"
    description = "Draw a day: ends, latency, attempts, cool-downs, revisions."
    arguments: ClassVar[list] = [
        argument("files", "Logs of hosts.", multiple=True)
    ]
    options: ClassVar[list] = [
        *COMMON_OPTIONS[1:],
        option("output", "o", "Picture.", flag=False, default=DEFAULT_FILE),
        option("seconds", "s", "Width of a bucket.", flag=False, default="2"),
    ]

    def run_checked(self) -> int:
        """Print the totals and draw the picture."""
        width_s = parse_seconds(self.option("seconds"))
        if width_s <= 0:
            raise InputError("--seconds must be above 0", step="read options")
        files = [Path(name) for name in self.argument("files")]
        lines, _ = read_logs(files)
        day = summarise(lines, width_s)
        output = Path(self.option("output"))
        draw(day, output)
        totals = _totals(day)
        self.show_table(
            {**totals, "picture": str(output)},
            ["what", "count"],
            [[name, str(count)] for name, count in totals.items()],
        )
        if not self.option("json"):
            self.line(escape(f"drawn into {output}"))
        return Exit.OK


def _totals(day: Day) -> dict[str, int]:
    totals = {end.value: day.total(end) for end in End}
    totals["cool-downs"] = sum(b.cool_downs for b in day.buckets.values())
    return totals
