"""How many voters the control group has, from the losses that it bears."""

from __future__ import annotations

from msgspec import Struct


class GroupSize(Struct, frozen=True):
    """How many voters a group has.

    Attributes:
        tolerated_losses: hosts that may be lost at the same time; a group
            is never planned for less than one.
    """

    tolerated_losses: int = 1

    @property
    def smallest(self) -> int:
        """Voters that keep a majority through the tolerated losses."""
        return 2 * max(1, self.tolerated_losses) + 1

    @property
    def largest(self) -> int:
        """Voters that keep a majority through twice the tolerated losses.

        The first losses may not have been replaced when the next ones occur.
        """
        return 4 * max(1, self.tolerated_losses) + 1
