"""The timeout of an attempt."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent


class AttemptTimer(gevent.Timeout):
    """Raises a timeout in the current greenlet.

    While the entry is stopping, the timeout is extended once: a planned stop
    must not break off a request that its target is serving, since the caller
    may not find another entry in time.
    """

    def __init__(
        self, seconds: float, extension: float, is_stopping: Callable[[], bool]
    ) -> None:
        """Create the timer; `with` starts it.

        Args:
            seconds: the timeout.
            extension: seconds that may be added during a planned stop.
            is_stopping: returns whether a planned stop has begun.
        """
        super().__init__(max(0.001, seconds))
        self._extension = extension
        self._is_stopping = is_stopping
        self._extension_timer: Any = None

    def _on_expiration(self, waiting: Any, error: Any) -> None:
        """Raise or extend the timeout (called by gevent's hub)."""
        if (
            self._extension_timer is None
            and self._extension > 0
            and self._is_stopping()
        ):
            self._extension_timer = gevent.get_hub().loop.timer(
                self._extension
            )
            self._extension_timer.start(self._on_expiration, waiting, error)
        else:
            waiting.throw(error)

    def close(self) -> None:
        """Stop the timer."""
        if self._extension_timer is not None:
            self._extension_timer.stop()
            self._extension_timer.close()
        super().close()
