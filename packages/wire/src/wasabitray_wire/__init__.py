"""Encoding of messages between hosts and of stored records."""

from wasabitray_wire.codec import (
    PROTOCOL,
    StoredItem,
    decode_item,
    encode_item,
    encoded_size,
    from_wire,
    hello_from_wire,
    hello_to_wire,
    to_wire,
)

__all__ = [
    "PROTOCOL",
    "StoredItem",
    "decode_item",
    "encode_item",
    "encoded_size",
    "from_wire",
    "hello_from_wire",
    "hello_to_wire",
    "to_wire",
]
