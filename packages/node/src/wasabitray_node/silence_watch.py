"""Watches attempts whose target does not respond."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent

from wasabitray_core.silence import SilenceLimits

# A timer that is later than this shows that the process was suspended.
MAX_DELAY_S = 0.5

SilenceReporter = Callable[[float, bool], None]
"""Called with the seconds of silence and whether they are conclusive."""


class SilenceWatch:
    """Reports an attempt that gets no response, if its path works.

    A path that is cut and a target that has failed look the same from an
    attempt. A new connection tells them apart; it is made by a task of its
    own, so that neither the attempt nor its caller waits for it.
    """

    def __init__(
        self,
        limits: SilenceLimits | None,
        is_reachable: Callable[[], bool],
        report: SilenceReporter | None,
    ) -> None:
        """Create the watch; `with` starts it.

        Args:
            limits: when silence is evidence; None if it is none.
            is_reachable: opens a connection to the target; returns whether
                that worked.
            report: called if the target is silent but reachable.
        """
        self._limits = limits
        self._is_reachable = is_reachable
        self._report = report
        self._timer: Any = None
        self._is_reported = False

    def __enter__(self) -> SilenceWatch:
        """Start the watch."""
        if self._limits is not None and self._report is not None:
            after = self._limits.conclude_after
            self._timer = gevent.spawn_later(after, self._check_waiting)
        return self

    def __exit__(self, *exc_info: object) -> None:
        """End the watch."""
        if self._timer is not None:
            self._timer.kill(block=False)

    def check_given_up(self, elapsed: float, timeout: float) -> None:
        """Report an attempt that was given up without a response.

        Args:
            elapsed: seconds since it began.
            timeout: seconds after which it should have been given up. If the
                process was suspended meanwhile, a response may be waiting.
        """
        limits = self._limits
        if limits is None or self._report is None or self._is_reported:
            return
        if limits.suspect_after <= elapsed < timeout + MAX_DELAY_S:
            is_conclusive = elapsed >= limits.conclude_after
            gevent.spawn(self._check, elapsed, is_conclusive)

    def _check_waiting(self) -> None:
        assert self._limits is not None
        self._check(self._limits.conclude_after, True)

    def _check(self, elapsed: float, is_conclusive: bool) -> None:
        # A response that arrives meanwhile ends the watch and this task.
        if self._is_reachable():
            assert self._report is not None
            self._is_reported = True
            self._report(elapsed, is_conclusive)
