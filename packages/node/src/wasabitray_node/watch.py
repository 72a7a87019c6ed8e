"""Noticing that a caller has gone while its request is at work."""

from __future__ import annotations

import socket
from typing import Any

import gevent
from gevent.socket import wait_read

# A caller that has sent its next request early makes its socket readable;
# it is looked at again after this, well within half a second.
POLL_S = 0.1


class CallerGoneError(Exception):
    """The caller closed its connection, or its body ended early."""


class CallerWatch:
    """A task that ends a request's exchange once its caller has gone.

    It interrupts the request's task only while that task waits for a
    target, where it is safe; otherwise it leaves a note.
    """

    def __init__(self, sock: Any) -> None:
        """Take the socket of the caller that the current task serves."""
        self._socket = sock
        self._worker: Any = gevent.getcurrent()
        self._task: gevent.Greenlet | None = None
        self._interruptible = False
        self._gone = False

    @property
    def gone(self) -> bool:
        """Whether the caller has gone."""
        return self._gone

    def start(self) -> None:
        """Watch from now on: the request has been read whole."""
        if self._task is None and self._socket is not None:
            self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Watch no longer."""
        if self._task is not None:
            self._task.kill(block=False)
            self._task = None
        self._interruptible = False

    def __enter__(self) -> CallerWatch:
        """Allow interruption; raises CallerGoneError if it is due."""
        if self._gone:
            raise CallerGoneError("the caller has gone")
        self._interruptible = True
        return self

    def __exit__(self, *error: object) -> None:
        """Forbid interruption; one on its way is taken here."""
        self._interruptible = False
        if self._gone and not error[0]:
            gevent.sleep(0)

    def _run(self) -> None:
        while not self._is_closed():
            gevent.sleep(POLL_S)
        self._gone = True
        if self._interruptible:
            self._interruptible = False
            error = CallerGoneError("the caller has gone")
            gevent.kill(self._worker, error)

    def _is_closed(self) -> bool:
        try:
            wait_read(self._socket.fileno())
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            return not self._socket.recv(1, flags)
        except BlockingIOError:
            return False
        except (OSError, ValueError):
            return True
