"""Errors of the command, with the exit code they lead to."""

from wasabitray_cli.exits import Exit
from wasabitray_core.errors import WasabitrayError


class CommandError(WasabitrayError):
    """The command can't do what was asked."""

    exit = Exit.FAILED


class InputError(CommandError):
    """Files or arguments are not valid."""

    exit = Exit.BAD_INPUT


class ChangeConflictError(CommandError):
    """Somebody else changed the configuration first."""

    exit = Exit.CONFLICT


class NotInForceError(CommandError):
    """A revision is committed but not yet in force everywhere."""

    exit = Exit.NOT_IN_FORCE
