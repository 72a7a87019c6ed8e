"""Reads on from a target while the caller reads slowly."""

from __future__ import annotations

from collections.abc import Callable, Generator

import gevent
from gevent.event import Event
from gevent.queue import Queue

from wasabitray_core.errors import TruncatedAnswerError
from wasabitray_node.held_bytes import HeldBytes

# Most bytes of one response that are read before its caller takes them: about
# twice the longest response of a download, so that one endless response does
# not take the room of all others.
MAX_READ_AHEAD_BYTES = 1_048_576
# A reader without room looks for it after this time, or when its caller takes
# a piece. Targets cut off responses that stay unread for some seconds.
ROOM_CHECK_S = 0.25

Piece = bytes | TruncatedAnswerError


class ReadAhead:
    """A task that reads the rest of a response and queues its pieces.

    It reads beyond what the caller has taken only within the bound over all
    responses. A target whose response stays unread would cut it off.
    """

    def __init__(
        self,
        rest: Generator[bytes, None, None],
        held: HeldBytes,
        check: Callable[[int], None],
    ) -> None:
        """Start to read.

        Args:
            rest: reads the pieces from the target.
            held: counts the pieces until the caller has taken them.
            check: counts the bytes of each piece; it raises
                TruncatedAnswerError if the body is too long.
        """
        self._rest = rest
        self._held = held
        self._check = check
        self._queue: Queue[Piece] = Queue()
        self._taken = Event()
        self._waiting = 0  # bytes that are queued
        self._lent = 0  # bytes of the piece that the caller is sent now
        self._is_closed = False
        self._reader = gevent.spawn(self._read)

    def take(self) -> bytes:
        """Return the next piece, empty at the end of the body.

        Raises:
            TruncatedAnswerError: the body ended early or is too long.
        """
        self._return_lent()
        piece = self._queue.get()
        if isinstance(piece, TruncatedAnswerError):
            raise piece
        self._waiting -= len(piece)
        self._lent = len(piece)
        self._taken.set()
        return piece

    def close(self) -> None:
        """End the task and drop what it has read."""
        self._is_closed = True
        self._reader.kill(block=False)
        self._return_lent()
        self._held.remove(self._waiting)
        self._waiting = 0

    def _return_lent(self) -> None:
        self._held.remove(self._lent)
        self._lent = 0

    def _read(self) -> None:
        try:
            while piece := next(self._rest, b""):
                self._check(len(piece))
                if self._is_closed:
                    return
                self._waiting += len(piece)
                self._held.add(len(piece))
                self._queue.put(piece)
                self._wait_for_room()
        except TruncatedAnswerError as error:
            self._queue.put(error)
        else:
            self._queue.put(b"")

    def _wait_for_room(self) -> None:
        """Wait until the caller needs a piece or another one may be held."""
        while self._waiting and (
            self._waiting >= MAX_READ_AHEAD_BYTES
            or not self._held.allows_read_ahead
        ):
            self._taken.clear()
            self._taken.wait(ROOM_CHECK_S)
