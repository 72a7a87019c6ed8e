"""Detecting that a caller disconnected while its request is served."""

from __future__ import annotations

from typing import Any

import gevent

from wasabitray_node.sockets import has_ended

# A caller that has sent its next request early makes its socket readable, so
# the socket is checked again after this time. A caller that disconnects then
# is detected well within half a second.
POLL_INTERVAL_S = 0.1
_READ_EVENT = 1  # of libev


class CallerGoneError(Exception):
    """The caller closed its connection, or sent an invalid body.

    Such a body ends early or is larger than the limit.
    """


class CallerWatch:
    """Ends a request's exchange once its caller disconnects.

    It consists of watchers of the event loop and not of a task: `stop` ends
    them at once. A task that is killed ends later, and the event loop aborts
    the process if the socket was closed while something watches it.

    It interrupts the request's greenlet only while that waits for a target,
    within `with watch`, where this is safe. Otherwise it only sets `is_gone`;
    the next `with watch` raises the error then.
    """

    def __init__(self, sock: Any) -> None:
        """Create a watch that interrupts the current greenlet.

        Args:
            sock: the caller's socket; None for a watch that never fires.
        """
        self._socket = sock
        self._request_greenlet: Any = gevent.getcurrent()
        self._input: Any = None
        self._timer: Any = None
        self._is_interruptible = False
        self._is_gone = False

    @property
    def is_gone(self) -> bool:
        """Whether the caller has disconnected."""
        return self._is_gone

    def start(self) -> None:
        """Start to watch the socket; the request must be read completely."""
        if self._input is not None or self._socket is None:
            return
        loop = gevent.get_hub().loop
        try:
            self._input = loop.io(self._socket.fileno(), _READ_EVENT)
        except ValueError:  # closed by this process
            self._run()
            return
        self._timer = loop.timer(POLL_INTERVAL_S)
        self._input.start(self._run)

    def stop(self) -> None:
        """Stop watching the socket."""
        for watcher in (self._input, self._timer):
            if watcher is not None:
                watcher.stop()
                watcher.close()
        self._input = self._timer = None
        self._is_interruptible = False

    def __enter__(self) -> CallerWatch:
        """Allow interruption.

        Raises:
            CallerGoneError: the caller has disconnected.
        """
        if self._is_gone:
            raise CallerGoneError("the caller disconnected")
        self._is_interruptible = True
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Forbid interruption.

        One that is already scheduled is raised here, unless another error
        ended the wait first. Later it could interrupt any other wait.
        """
        self._is_interruptible = False
        if not self._is_gone:
            return
        is_failing = exc_info[0] is not None
        try:
            gevent.sleep(0)
        except CallerGoneError:
            if not is_failing:
                raise

    def _run(self) -> None:
        """Look at a socket that has input (called by the event loop)."""
        if self._input is not None:
            self._input.stop()
        if self._is_closed():
            self.interrupt()
        elif self._timer is not None:
            self._timer.start(self._input.start, self._run)

    def interrupt(self) -> None:
        """End the request's exchange, as if its caller had disconnected."""
        self._is_gone = True
        if self._is_interruptible:
            self._is_interruptible = False
            error = CallerGoneError("the caller disconnected")
            gevent.kill(self._request_greenlet, error)

    def _is_closed(self) -> bool:
        try:
            return has_ended(self._socket)
        except (OSError, ValueError):  # closed by this process
            return True
