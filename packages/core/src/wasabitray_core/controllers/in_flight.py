"""What an entry tells of its work in flight, and hears of the others'."""

from __future__ import annotations

from collections.abc import Iterable

from wasabitray_core.ids import Seconds, TargetId
from wasabitray_core.messages import EntryWork, OthersWork, TargetWork
from wasabitray_core.placement import TargetState

# Changes that come together go together; an entry has a few each second.
SHARE_INTERVAL_S = 0.005
# All work is stated this often, in case a change was lost.
RESTATE_INTERVAL_S = 0.5

Targets = dict[TargetId, TargetState]


class InFlight:
    """Collects changes of this entry's work for its hub."""

    def __init__(self, now: Seconds) -> None:
        """Start without changes."""
        self._changed: set[TargetId] = set()
        self._restate_at = now

    @property
    def tick_interval_s(self) -> float:
        """Seconds until the next statement may be due."""
        return SHARE_INTERVAL_S if self._changed else RESTATE_INTERVAL_S

    def note_change(self, target: TargetId) -> None:
        """Note that an attempt at a target began or ended."""
        self._changed.add(target)

    def next_statement(
        self, services: Iterable[Targets], now: Seconds
    ) -> EntryWork | None:
        """Return what changed, or all work now and then."""
        full = now >= self._restate_at
        if not full and not self._changed:
            return None
        work = tuple(
            TargetWork(target, state.busy)
            for targets in services
            for target, state in targets.items()
            if (state.busy if full else target in self._changed)
        )
        self._changed.clear()
        if full:
            self._restate_at = Seconds(now + RESTATE_INTERVAL_S)
        return EntryWork(work, full)


def apply_others_work(
    targets: Targets, message: OthersWork, now: Seconds
) -> None:
    """Note the other entries' work at some targets."""
    stated = {w.target: w.attempts for w in message.targets}
    for target, state in targets.items():
        unstated = 0 if message.full else state.others_attempts
        state.others_attempts = stated.get(target, unstated)
        state.others_received_at = now
