"""The newest changes of the configuration, for operators."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from wasabitray_core.messages import ChangeSummary, CommittedChange
from wasabitray_core.sizes import get_size

MAX_CHANGES = 512
MAX_BYTES = 524_288


class ChangeHistory:
    """Keeps summaries of the newest changes, bounded by number and size.

    A change that exceeds the size by itself is left out.
    """

    def __init__(self, summaries: Iterable[ChangeSummary] = ()) -> None:
        """Start with the summaries of earlier changes, oldest first."""
        self._summaries: deque[ChangeSummary] = deque()
        self._size = 0
        for summary in summaries:
            self._append(summary)

    @property
    def summaries(self) -> tuple[ChangeSummary, ...]:
        """The newest changes, oldest first."""
        return tuple(self._summaries)

    def add(self, committed: CommittedChange) -> None:
        """Add a change that was committed."""
        change = committed.change
        edits = change.edits
        self._append(
            ChangeSummary(
                committed.revision,
                change.change,
                change.author,
                change.wall_time,
                tuple(e.key for e in edits if e.body is not None),
                tuple(e.key for e in edits if e.body is None),
            )
        )

    def _append(self, summary: ChangeSummary) -> None:
        self._summaries.append(summary)
        self._size += get_size(summary)
        while len(self._summaries) > MAX_CHANGES or self._size > MAX_BYTES:
            self._size -= get_size(self._summaries.popleft())

    def __repr__(self) -> str:
        return f"<ChangeHistory [{len(self._summaries)} changes]>"
