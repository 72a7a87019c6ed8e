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
    may_be_large,
    pack,
    to_wire,
)
from wasabitray_wire.parts import MAX_PART_BYTES, PartReceiver, PartSender

__all__ = [
    "MAX_PART_BYTES",
    "PROTOCOL",
    "PartReceiver",
    "PartSender",
    "StoredItem",
    "decode_item",
    "encode_item",
    "encoded_size",
    "from_wire",
    "hello_from_wire",
    "hello_to_wire",
    "may_be_large",
    "pack",
    "to_wire",
]
