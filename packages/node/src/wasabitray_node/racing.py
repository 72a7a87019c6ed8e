"""Attempts at targets that run while the filter chain goes on."""

from __future__ import annotations

from collections.abc import Iterator

import gevent

from wasabitray_core.filters.chain import Attempt, AttemptHandle, EndedAttempt
from wasabitray_core.ids import Seconds
from wasabitray_core.requests import AttemptResult
from wasabitray_core.states import AttemptStatus
from wasabitray_node.silence_watch import SilenceReporter
from wasabitray_node.upstream import Upstream
from wasabitray_node.watch import CallerGoneError, CallerWatch

CANCELLED_DETAIL = "another attempt was faster"


class AttemptWatch(CallerWatch):
    """Interrupts the task of one attempt.

    The task of a request watches the caller and passes on that it has left.
    Once the attempt's response is used, its rest is read by the request's own
    task, and the caller's watch applies to that directly.
    """

    def __init__(self, caller: CallerWatch) -> None:
        """Create a watch for the attempt's task, which has to call `bind`."""
        super().__init__(None)
        self._caller = caller
        self._is_ended = False

    def bind(self) -> None:
        """Let the current greenlet be the one that is interrupted."""
        self._request_greenlet = gevent.getcurrent()

    def end_attempt(self) -> None:
        """Leave the rest of the response to the caller's watch."""
        self._is_ended = True

    def __enter__(self) -> CallerWatch:
        """Allow interruption."""
        if self._is_ended:
            return self._caller.__enter__()
        return super().__enter__()

    def __exit__(self, *exc_info: object) -> None:
        """Forbid interruption."""
        if self._is_ended:
            self._caller.__exit__(*exc_info)
        else:
            super().__exit__(*exc_info)


class _RunningAttempt:
    """An attempt and the task that owns its connection."""

    def __init__(
        self,
        upstream: Upstream,
        attempt: Attempt,
        caller: CallerWatch,
        report_silence: SilenceReporter,
    ) -> None:
        self._upstream = upstream
        self._attempt = attempt
        self._report_silence = report_silence
        self._watch = AttemptWatch(caller)
        self.task = gevent.spawn(self._run)

    def _run(self) -> AttemptResult:
        self._watch.bind()
        try:
            return self._upstream.attempt(
                self._attempt, self._watch, self._report_silence
            )
        finally:
            self._watch.end_attempt()

    def interrupt(self) -> None:
        """End the attempt; its result is CANCELLED unless it has one."""
        self._watch.interrupt()

    def cancel(self) -> AttemptResult:
        """End the attempt, close its connection and drop its response."""
        self.interrupt()
        result = self.task.get()
        if result.response is not None and result.response.chunks is not None:
            result.response.chunks.close()
        return AttemptResult(
            AttemptStatus.CANCELLED,
            elapsed=result.elapsed,
            detail=CANCELLED_DETAIL,
        )


class AttemptRace:
    """The attempts of one request that run at the same time."""

    def __init__(self, upstream: Upstream, caller: CallerWatch) -> None:
        """Create a race without attempts.

        Args:
            upstream: sends attempts to targets.
            caller: detects that the caller has disconnected.
        """
        self._upstream = upstream
        self._caller = caller
        self._running: dict[AttemptHandle, _RunningAttempt] = {}
        self._started = 0

    def start(
        self, attempt: Attempt, report_silence: SilenceReporter
    ) -> AttemptHandle:
        """Start an attempt in a task of its own."""
        self._started += 1
        handle = AttemptHandle(self._started)
        self._running[handle] = _RunningAttempt(
            self._upstream, attempt, self._caller, report_silence
        )
        return handle

    def wait(
        self, handles: tuple[AttemptHandle, ...], timeout: Seconds | None
    ) -> EndedAttempt | None:
        """Wait until one of the attempts has ended.

        If the caller disconnects, all of them are cancelled.

        Args:
            handles: the attempts; of several that have ended, the first one
                is returned.
            timeout: seconds to wait, None to wait until one has ended.
        """
        tasks = [self._running[handle].task for handle in handles]
        try:
            with self._caller:
                gevent.wait(tasks, timeout, 1)
        except CallerGoneError:
            for handle in handles:
                self._running[handle].interrupt()
            gevent.wait(tasks, None, 1)
        ended = next(self._list_ended(handles), None)
        if ended is None:
            return None
        return EndedAttempt(ended, self._running.pop(ended).task.get())

    def _list_ended(
        self, handles: tuple[AttemptHandle, ...]
    ) -> Iterator[AttemptHandle]:
        return (h for h in handles if self._running[h].task.ready())

    def cancel(self, handle: AttemptHandle) -> AttemptResult:
        """Cancel an attempt that lost the race."""
        return self._running.pop(handle).cancel()

    def close(self) -> None:
        """End the attempts that are left, such as after an error."""
        for running in self._running.values():
            running.interrupt()
        self._running.clear()
