"""Conversion of messages to peers, and the queue of the large ones."""

from __future__ import annotations

from collections import deque
from typing import Any

from wasabitray_core.merging import (
    is_configuration,
    is_covered,
    merge_waiting,
)
from wasabitray_core.messages import (
    ConfigDelta,
    ConfigState,
    Feed,
    InstallSnapshot,
)
from wasabitray_wire import PartSender, pack, to_wire

# Compressed messages above this size are sent one by one, in parts if needed.
MAX_SMALL_BYTES = 4_096
# Large messages that wait for a link, compressed.
MAX_LARGE_BYTES = 16_777_216
# Entries that sent some of the items get messages of their own in between.
MAX_SHARED = 16
# Configurations that were merged for several links.
MAX_SHARED_MERGES = 4

_SHARED_KINDS = (Feed, ConfigDelta, ConfigState, InstallSnapshot)


class SharedEncoder:
    """Converts messages to generated structs.

    A hub sends most of its feed, and each configuration, to many entries at
    once. Such a message is converted only once, and so are two
    configurations that wait for several links merged once.
    """

    def __init__(self) -> None:
        """Start without messages."""
        self._shared: dict[type, deque[tuple[Any, Any]]] = {
            kind: deque(maxlen=MAX_SHARED) for kind in _SHARED_KINDS
        }
        self._merges: deque[tuple[Any, Any, Any]] = deque(
            maxlen=MAX_SHARED_MERGES
        )

    def encode(self, message: Any) -> Any:
        """Return the generated struct of a message."""
        known = self._shared.get(type(message))
        if known is None:
            return to_wire(message)
        for shared, encoded in known:
            if shared is message:
                return encoded
        encoded = to_wire(message)
        known.append((message, encoded))
        return encoded

    def merge(self, newer: Any, waiting: Any) -> Any | None:
        """Return one message instead of two, None if both are needed."""
        for merged_newer, merged_waiting, merged in self._merges:
            if merged_newer is newer and merged_waiting is waiting:
                return merged
        merged = merge_waiting(newer, waiting)
        if merged is not None:
            self._merges.append((newer, waiting, merged))
        return merged


class _Transfer:
    """A large message that waits for a link, or is being sent.

    Attributes:
        message: the message.
        parts: what is left to send of it.
    """

    def __init__(self, message: Any, packed: bytes) -> None:
        self.message = message
        self.parts = PartSender(packed)


class LargeMessages:
    """The large messages of a link, sent one after the other.

    Of the configurations that wait, only one is kept, which replaces the
    others.
    """

    def __init__(self, encoder: SharedEncoder) -> None:
        """Start without messages.

        Args:
            encoder: converts and merges messages.
        """
        self._encoder = encoder
        self._transfers: deque[_Transfer] = deque()

    @property
    def size(self) -> int:
        """Bytes that are left to send."""
        return sum(len(t.parts.data) - t.parts.sent for t in self._transfers)

    def __len__(self) -> int:
        """Return the number of messages that are not yet sent whole."""
        return len(self._transfers)

    def must_take(self, message: Any, encoded: Any) -> bool:
        """Return whether a message can't be sent beside others.

        A small configuration follows one that is on its way, since it may
        apply only to a host that has the earlier one.

        Args:
            message: the message.
            encoded: its generated struct.
        """
        if len(encoded.packed or b"") > MAX_SMALL_BYTES:
            return True
        return bool(self._transfers) and is_configuration(message)

    def add(self, message: Any, encoded: Any) -> bool:
        """Add a message.

        Args:
            message: the message.
            encoded: its generated struct.

        Returns:
            False if there is no room for it.
        """
        if is_covered(message, (t.message for t in self._transfers)):
            return True
        for number, transfer in enumerate(self._transfers):
            if transfer.parts.sent:
                continue
            merged = self._encoder.merge(message, transfer.message)
            if merged is not None:
                if merged is not transfer.message:
                    self._replace(number, merged)
                return True
        packed = pack(encoded)
        if self._transfers and self.size + len(packed) > MAX_LARGE_BYTES:
            return False
        self._transfers.append(_Transfer(message, packed))
        return True

    def _replace(self, number: int, message: Any) -> None:
        """Replace a message that waits."""
        packed = pack(self._encoder.encode(message))
        self._transfers[number] = _Transfer(message, packed)

    def get_next_part(self) -> Any | None:
        """Return what is to be sent next, None if there is nothing."""
        if not self._transfers:
            return None
        return self._transfers[0].parts.pop_next()

    def confirm_part(self) -> None:
        """Record that the peer has the last part."""
        if self._transfers and self._transfers[0].parts.is_complete:
            self._transfers.popleft()

    def restart(self) -> None:
        """Send the first message again as a whole, on a new connection."""
        if self._transfers:
            self._transfers[0].parts.sent = 0

    def clear(self) -> None:
        """Remove all messages."""
        self._transfers.clear()

    def __repr__(self) -> str:
        return f"<LargeMessages [{len(self)}]>"
