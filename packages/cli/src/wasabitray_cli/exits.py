"""Exit codes of the command."""

from enum import IntEnum


class Exit(IntEnum):
    """Exit codes, as the operators' page lists them."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2
    CONFLICT = 3
    NOT_IN_FORCE = 4
