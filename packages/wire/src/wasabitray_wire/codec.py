"""Encoding of messages between hosts and of stored items as bytes."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from functools import singledispatch
from typing import Any

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from wasabitray_core.errors import PeerError
from wasabitray_core.messages import (
    Announcement,
    AppendRequest,
    Ballot,
    ConfigDelta,
    ConfigPush,
    ConfigState,
    EntryWork,
    Feed,
    Gossip,
    Hello,
    InstallSnapshot,
    LogRecord,
    Member,
    News,
    OthersWork,
    PeerMessage,
    Snapshot,
    StoredQuarantine,
)
from wasabitray_wire.convert import (
    get_item_kinds,
    make_decoder,
    make_encoder,
    to_snake_case,
)
from wasabitray_wire.gen import ttypes

PROTOCOL = TCompactProtocolAcceleratedFactory()

StoredItem = (
    Ballot | LogRecord | Snapshot | Member | Announcement | StoredQuarantine
)

_encode_message = make_encoder(PeerMessage, "PeerMessage")
_decode_message = make_decoder(PeerMessage)
_encode_hello = make_encoder(Hello)
_decode_hello = make_decoder(Hello)
_encode_item = make_encoder(StoredItem, "StoredItem")
_decode_item = make_decoder(StoredItem)

_MALFORMED = (TException, ValueError, EOFError, TypeError, AttributeError)

# A table of 800 routes takes half a second on a link of 4 Mbit/s, and its
# documents repeat each other: compressed they take a tenth of it.
MIN_PACKED_BYTES = 4_096
MAX_UNPACKED_BYTES = 256 * 1024 * 1024
# The fastest level; the slower ones save little more.
COMPRESSION_LEVEL = 1

DropReporter = Callable[[str, Exception], None]
"""Called with the kind of an item that is left out, and the error."""

# Messages whose items don't depend on each other.
_KINDS_OF_ITEMS = (Feed, News, Gossip, EntryWork, OthersWork)


def to_wire(message: PeerMessage) -> ttypes.PeerMessage:
    """Return the generated struct of a message, compressed if it is large."""
    encoded = _encode_message(message)
    if not may_be_large(message):
        return encoded
    data = serialize(encoded, PROTOCOL)
    if len(data) < MIN_PACKED_BYTES:
        return encoded
    return ttypes.PeerMessage(packed=_compress(data))


def pack(message: ttypes.PeerMessage) -> bytes:
    """Return the compressed message in a generated struct."""
    if message.packed is not None:
        return message.packed
    return _compress(serialize(message, PROTOCOL))


def _compress(data: bytes) -> bytes:
    return zlib.compress(data, COMPRESSION_LEVEL)


@singledispatch
def may_be_large(message: Any) -> bool:
    """Return whether a message has documents and is compressed if large."""
    return False


@may_be_large.register
def _(
    message: ConfigPush | ConfigDelta | ConfigState | InstallSnapshot,
) -> bool:
    return True


@may_be_large.register
def _(message: AppendRequest) -> bool:
    return bool(message.records)


def _unpack(packed: bytes) -> ttypes.PeerMessage:
    """Return the generated struct of a compressed message.

    Raises:
        PeerError: the bytes are no compressed message, or too long a one.
    """
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(packed, MAX_UNPACKED_BYTES)
        if not decompressor.eof:
            raise ValueError("the compressed message is cut off or too long")
        return deserialize(ttypes.PeerMessage(), data, PROTOCOL)
    except (*_MALFORMED, zlib.error) as error:
        raise PeerError(str(error), step="unpack message") from error


def from_wire(
    message: ttypes.PeerMessage, report_dropped: DropReporter | None = None
) -> PeerMessage:
    """Return the message of a generated struct.

    Malformed items of a feed and of similar messages are left out.

    Args:
        message: the generated struct.
        report_dropped: called for each item that is left out.

    Raises:
        PeerError: the message is malformed or unknown to this version.
    """
    if message.packed is not None:
        message = _unpack(message.packed)
    try:
        return _decode_message(message)
    except _MALFORMED:
        _drop_malformed_items(message, report_dropped)
    try:
        return _decode_message(message)
    except _MALFORMED as error:
        raise PeerError(str(error), step="decode message") from error


def _drop_malformed_items(
    message: ttypes.PeerMessage, report_dropped: DropReporter | None
) -> None:
    """Remove the items that can't be decoded from a generated struct."""
    for kind in _KINDS_OF_ITEMS:
        struct = getattr(message, to_snake_case(kind.__name__))
        if struct is None:
            continue
        for name, item_kind in get_item_kinds(kind).items():
            decode = make_decoder(item_kind)
            valid = []
            for item in getattr(struct, name) or ():
                try:
                    decode(item)
                except _MALFORMED as error:
                    if report_dropped is not None:
                        report_dropped(item_kind.__name__, error)
                else:
                    valid.append(item)
            setattr(struct, name, valid)


def hello_to_wire(hello: Hello) -> ttypes.Hello:
    """Return the generated struct of a hello."""
    return _encode_hello(hello)


def hello_from_wire(hello: ttypes.Hello) -> Hello:
    """Return the hello of a generated struct.

    Raises:
        PeerError: a field is missing or malformed.
    """
    try:
        return _decode_hello(hello)
    except _MALFORMED as error:
        raise PeerError(str(error), step="decode hello") from error


def encoded_size(message: PeerMessage) -> int:
    """Return how many bytes a message takes on a link."""
    return len(serialize(to_wire(message), PROTOCOL))


def encode_item(item: StoredItem) -> bytes:
    """Return a stored item as bytes."""
    return serialize(_encode_item(item), PROTOCOL)


def decode_item(data: bytes) -> StoredItem:
    """Return the stored item that is encoded in bytes.

    Raises:
        PeerError: the bytes are not a stored item.
    """
    try:
        stored = deserialize(ttypes.StoredItem(), data, PROTOCOL)
        return _decode_item(stored)
    except _MALFORMED as error:
        raise PeerError(str(error), step="decode record") from error
