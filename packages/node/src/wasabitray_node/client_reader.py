"""Reading from a client's connection within the process's budget."""

from __future__ import annotations

import re
from typing import Any

from wasabitray_node.client_budget import (
    ClientBudget,
    ClientPhase,
    CutOffReason,
    Holding,
)
from wasabitray_node.logs import log_decision
from wasabitray_node.read_turns import ReadTurns

_BLOCK_END = re.compile(rb"\n\r?\n")
_EMPTY_LINE = re.compile(rb"\r?\n")

RECEIVE_BYTES = 16_384
# For the pieces of a long body.
MAX_RECEIVE_BYTES = 65_536
# A connection whose bytes never stop gives other tasks a turn after so many
# lines and pieces, which take a few milliseconds, or so many bytes.
TURN_READS = 1_000
TURN_BYTES = 1_048_576


class ClientCutOffError(OSError):
    """The connection gave way to others, or its bytes don't fit."""


class ClientReader:
    """A buffered file that counts what it receives in a budget.

    It gives other tasks a turn even if there is always something to read, so
    that time limits strike there as well.
    """

    closed = False

    def __init__(
        self,
        sock: Any,
        holding: Holding,
        budget: ClientBudget,
        turns: ReadTurns,
    ) -> None:
        """Read from a socket.

        Args:
            sock: the connected socket.
            holding: what this client makes the process keep.
            budget: decides whether received bytes may be kept.
            turns: says when a connection that sends much may go on.
        """
        self._turns = turns
        self._turns_taken = 0
        self._socket = sock
        self._holding = holding
        self._budget = budget
        self._buffer = b""
        self._position = 0
        self._bytes_since_turn = 0
        self._reads_since_turn = 0

    @property
    def buffered(self) -> int:
        """The number of bytes that were received and not yet read."""
        return len(self._buffer) - self._position

    def read(self, size: int) -> bytes:
        """Return this many bytes, or fewer at the end of the stream.

        Raises:
            OSError: the connection failed, or was cut off.
        """
        self._reads_since_turn += 1
        if size <= len(self._buffer) - self._position:
            start = self._position
            self._position += size
            return self._buffer[start : self._position]
        data = bytearray()
        while len(data) < size and self._ensure_input(size - len(data)):
            left = size - len(data)
            self._take(data, min(len(self._buffer), self._position + left))
        return bytes(data)

    def readline(self, limit: int) -> bytes:
        """Return a line; up to `limit` bytes of one that is longer.

        Raises:
            OSError: the connection failed, or was cut off.
        """
        self._reads_since_turn += 1
        end = self._buffer.find(b"\n", self._position) + 1
        if 0 < end <= self._position + limit:
            start, self._position = self._position, end
            return self._buffer[start:end]
        data = bytearray()
        while len(data) < limit and self._ensure_input():
            stop = min(len(self._buffer), self._position + limit - len(data))
            end = self._buffer.find(b"\n", self._position, stop) + 1
            self._take(data, end or stop)
            if end:
                break
        return bytes(data)

    @property
    def has_given_way(self) -> bool:
        """Whether the connection was cut off in favour of others."""
        return self._holding.is_shed

    def reserve(self, count: int) -> bool:
        """Count bytes; cut the connection off if they may not be kept."""
        if self._budget.reserve(self._holding, count):
            return True
        if not self._holding.is_shed:
            self._holding.is_shed = True
            self.record_cut_off(CutOffReason.MEMORY)
        return False

    def record_cut_off(self, reason: CutOffReason) -> None:
        """Count and log that the client is cut off for a limit."""
        self._budget.count_cut_off(reason)
        log_decision(
            "client cut off",
            cause=reason.value,
            phase=self._holding.phase.value,
            bytes=self._holding.bytes,
        )

    def start_running(self) -> None:
        """Record that a request was read; it no longer gives way."""
        self._holding.enter(ClientPhase.RUNNING, self._budget.now())

    def read_block(self, limit: int) -> bytes:
        """Return lines up to an empty one, if all have arrived already.

        Args:
            limit: largest size of the lines.

        Returns:
            The lines with the empty one; nothing if they haven't arrived, are
            longer than the limit, or the first one is empty.
        """
        start = self._position
        match = _BLOCK_END.search(self._buffer, start)
        if match is None or match.end() - start > limit:
            return b""
        if _EMPTY_LINE.match(self._buffer, start):
            return b""
        self._position = match.end()
        return self._buffer[start : self._position]

    def release(self, count: int) -> None:
        """Stop counting bytes that were read and are no longer kept."""
        self._budget.release(self._holding, count)

    def release_read(self) -> None:
        """Stop counting everything that was read; the request has ended."""
        self._turns_taken = 0
        self.release(self._holding.bytes - self.buffered)

    def close(self) -> None:
        """Drop the buffer; the socket is closed by its owner."""
        self.closed = True
        self._buffer, self._position = b"", 0

    def _take(self, data: bytearray, end: int) -> None:
        data += memoryview(self._buffer)[self._position : end]
        self._position = end

    def _ensure_input(self, wanted: int = 0) -> bool:
        """Receive bytes if none are left; False at the end of the stream."""
        if self._position < len(self._buffer):
            return True
        self._buffer, self._position = b"", 0
        if (
            self._reads_since_turn >= TURN_READS
            or self._bytes_since_turn >= TURN_BYTES
        ):
            self._reads_since_turn = self._bytes_since_turn = 0
            self._turns.wait(self._turns_taken)
            self._turns_taken += 1
        self._check()
        size = min(MAX_RECEIVE_BYTES, max(RECEIVE_BYTES, wanted))
        data = self._socket.recv(size)
        self._check()
        if not data:
            return False
        self._bytes_since_turn += len(data)
        now = self._budget.now()
        if self._holding.phase is ClientPhase.IDLE:
            self._holding.enter(ClientPhase.READING, now)
        self._holding.record_bytes(len(data), now)
        if self._holding.phase is ClientPhase.RUNNING:
            # A piece of a long body, which is released once it is forwarded.
            self._budget.add(self._holding, len(data))
        elif not self.reserve(len(data)):
            raise ClientCutOffError("too much is kept for clients")
        self._buffer = data
        return True

    def _check(self) -> None:
        if self._holding.is_shed:
            raise ClientCutOffError("the connection gave way to others")

    def __repr__(self) -> str:
        return f"<ClientReader [{self.buffered} bytes]>"
