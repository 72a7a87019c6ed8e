"""Reports this entry's in-flight attempts and applies those of others."""

from __future__ import annotations

from collections.abc import Callable

from wasabitray_core.ids import Seconds, TargetId
from wasabitray_core.messages import (
    EntryWork,
    OthersWork,
    RequestCounts,
    TargetWork,
)
from wasabitray_core.placement import TargetState

# Changes within this time are sent in one message. An entry has a few changes
# per second.
SEND_INTERVAL_S = 0.005
# All in-flight attempts are sent this often, in case a change was lost.
FULL_UPDATE_INTERVAL_S = 0.5

Targets = dict[TargetId, TargetState]


class InFlightReporter:
    """Collects changes of this entry's in-flight attempts for its hub."""

    def __init__(self, now: Seconds) -> None:
        """Start without changes."""
        self._changed: set[TargetId] = set()
        self._full_update_at = now

    @property
    def tick_interval_s(self) -> float:
        """Seconds until the next update may be due."""
        return SEND_INTERVAL_S if self._changed else FULL_UPDATE_INTERVAL_S

    def record_change(self, target: TargetId) -> None:
        """Record that an attempt at a target began or ended."""
        self._changed.add(target)

    def build_update(
        self,
        targets: Targets,
        count_requests: Callable[[], tuple[RequestCounts, ...]],
        now: Seconds,
    ) -> EntryWork | None:
        """Return the update to send now, or None.

        It contains the number of attempts at each target where that number
        changed or, every `FULL_UPDATE_INTERVAL_S` seconds, at each target in
        use, with the counts of requests.

        Args:
            targets: the targets of all services.
            count_requests: returns the recent requests of each service.
            now: monotonic seconds.
        """
        full = now >= self._full_update_at
        if not full and not self._changed:
            return None
        attempts = tuple(
            TargetWork(target, state.busy)
            for target, state in targets.items()
            if (state.busy if full else target in self._changed)
        )
        self._changed.clear()
        if not full:
            return EntryWork(attempts, False)
        self._full_update_at = Seconds(now + FULL_UPDATE_INTERVAL_S)
        return EntryWork(attempts, True, count_requests())


def apply_others_work(
    targets: Targets, message: OthersWork, now: Seconds
) -> None:
    """Apply the other entries' in-flight attempts, as the hub reports them.

    Args:
        targets: the targets of all services.
        message: the hub's message.
        now: monotonic seconds.
    """
    if message.full:
        listed = {w.target for w in message.targets}
        for target, state in targets.items():
            if target not in listed:
                state.others_attempts = 0
    for work in message.targets:
        known_state = targets.get(work.target)
        if known_state is None:
            continue
        if work.attempts > known_state.others_attempts:
            known_state.used_at = now
        known_state.others_attempts = work.attempts
