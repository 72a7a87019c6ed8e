"""The subcommands."""

from wasabitray_cli.commands.changes import (
    ApplyCommand,
    DiffCommand,
    GetCommand,
    HistoryCommand,
    WaitCommand,
)
from wasabitray_cli.commands.explain import ExplainCommand
from wasabitray_cli.commands.fleet import (
    AddressesCommand,
    DrainCommand,
    StatusCommand,
    TargetsCommand,
)
from wasabitray_cli.commands.report import ReportCommand

COMMANDS = (
    ApplyCommand,
    DiffCommand,
    GetCommand,
    HistoryCommand,
    StatusCommand,
    TargetsCommand,
    AddressesCommand,
    DrainCommand,
    WaitCommand,
    ExplainCommand,
    ReportCommand,
)
