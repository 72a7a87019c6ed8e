"""Large messages in parts, so that small ones pass between them."""

from __future__ import annotations

from wasabitray_core.errors import PeerError
from wasabitray_wire.gen import ttypes

# Takes a link of 2 Mbit/s an eighth of a second.
MAX_PART_BYTES = 32_768


class PartSender:
    """Splits a compressed message.

    Attributes:
        data: the compressed message.
        sent: how many of its bytes are in the parts returned so far.
    """

    def __init__(self, data: bytes) -> None:
        """Start at the first byte."""
        self.data = data
        self.sent = 0

    @property
    def is_complete(self) -> bool:
        """Whether all parts were returned."""
        return self.sent >= len(self.data)

    def pop_next(self) -> ttypes.PeerMessage:
        """Return the next part, or the whole message if it is small."""
        start = self.sent
        self.sent = min(len(self.data), start + MAX_PART_BYTES)
        if len(self.data) <= MAX_PART_BYTES:
            return ttypes.PeerMessage(packed=self.data)
        part = ttypes.Part(self.data[start : self.sent], self.is_complete)
        return ttypes.PeerMessage(part=part)


class PartReceiver:
    """Puts the parts of one connection together again."""

    def __init__(self, max_bytes: int) -> None:
        """Start without parts.

        Args:
            max_bytes: the largest message.
        """
        self._max_bytes = max_bytes
        self._received = bytearray()

    def add(self, message: ttypes.PeerMessage) -> ttypes.PeerMessage | None:
        """Take the next message of the connection.

        Returns:
            The message itself, or the one that it is the last part of; None
            if it is a part that others follow.

        Raises:
            PeerError: a part is malformed or the whole message too large.
        """
        part = message.part
        if part is None:
            return message
        if part.data is None:
            raise PeerError("a part without data", step="receive part")
        self._received += part.data
        if len(self._received) > self._max_bytes:
            self._received.clear()
            raise PeerError("the message is too large", step="receive part")
        if not part.last:
            return None
        packed = bytes(self._received)
        self._received.clear()
        return ttypes.PeerMessage(packed=packed)
