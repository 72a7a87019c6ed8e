"""The time of an attempt."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent


class AttemptTimer(gevent.Timeout):
    """Interrupts the current task after a time.

    While the entry is stopping it waits once more instead: a request that
    its target works on must not be broken off by a planned stop, and its
    caller may not find another entry in time.
    """

    def __init__(
        self, seconds: float, rest: float, is_stopping: Callable[[], bool]
    ) -> None:
        """Take the time, and what may be added to it during a stop."""
        super().__init__(max(0.001, seconds))
        self._rest = rest
        self._is_stopping = is_stopping
        self._second: Any = None

    def _on_expiration(self, waiting: Any, error: Any) -> None:
        """Interrupt the task, or give it what is left (called by the hub)."""
        if self._second is None and self._rest > 0 and self._is_stopping():
            self._second = gevent.get_hub().loop.timer(self._rest)
            self._second.start(self._on_expiration, waiting, error)
        else:
            waiting.throw(error)

    def close(self) -> None:
        """Stop the timer."""
        if self._second is not None:
            self._second.stop()
            self._second.close()
        super().close()
