"""Errors of the command, each with its exit code."""

from wasabitray_cli.exits import ExitCode
from wasabitray_core.errors import WasabitrayError


class CommandError(WasabitrayError):
    """The command failed."""

    exit_code = ExitCode.FAILED


class InputError(CommandError):
    """A file or an argument is not valid."""

    exit_code = ExitCode.BAD_INPUT


class ChangeConflictError(CommandError):
    """Somebody else changed the configuration first."""

    exit_code = ExitCode.CONFLICT


class NotAppliedError(CommandError):
    """A revision is committed, but some entries have not applied it yet."""

    exit_code = ExitCode.NOT_APPLIED
