"""Exit codes of the command."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes, as listed on the operators' page."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2
    CONFLICT = 3
    NOT_APPLIED = 4
