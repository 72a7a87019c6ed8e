"""Reading callers' bodies."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

import falcon
from gevent import Timeout

from wasabitray_node.settings import Limits
from wasabitray_node.watch import CallerGoneError

READ_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class Body:
    """A body, held whole or to be read in pieces.

    Attributes:
        length: its bytes, None if only its end will tell.
    """

    held: bytes = b""
    stream: Iterator[bytes] | None = None
    length: int | None = 0


@dataclass(frozen=True, slots=True)
class BodyFault:
    """Why a request is refused before it is looked at."""

    status: int
    detail: str


class BodyReader:
    """Holds small bodies and streams large ones."""

    def __init__(self, limits: Limits) -> None:
        """Take the bounds."""
        self._limits = limits

    def read(
        self, req: falcon.Request, on_end: Callable[[], None]
    ) -> Body | BodyFault:
        """Return a request's body.

        Args:
            req: the request.
            on_end: called once a streamed body has been read whole.
        """
        stream = req.env["wsgi.input"]
        if req.get_header("Transfer-Encoding"):
            return self._read_chunked(stream, on_end)
        length = req.content_length or 0
        if length > self._limits.max_body_bytes:
            return BodyFault(413, "the body is too large")
        if length > self._limits.hold_bytes:
            return Body(stream=_pieces(stream, length, on_end), length=length)
        if not length:
            return Body()
        held = self._hold(stream, length)
        if isinstance(held, bytes) and len(held) < length:
            return BodyFault(400, "the body ended early")
        return held if isinstance(held, BodyFault) else _held(held)

    def _read_chunked(
        self, stream: Any, on_end: Callable[[], None]
    ) -> Body | BodyFault:
        limit = self._limits.hold_bytes
        held = self._hold(stream, limit + 1)
        if isinstance(held, BodyFault):
            return held
        if len(held) <= limit:
            return _held(held)
        rest = self._limits.max_body_bytes - len(held)
        pieces = _with_first(held, _until_end(stream, rest, on_end))
        return Body(stream=pieces, length=None)

    def _hold(self, stream: Any, size: int) -> bytes | BodyFault:
        try:
            with Timeout(self._limits.body_timeout_s):
                return _read_fully(stream, size)
        except (Timeout, OSError) as error:
            return BodyFault(400, f"the body can't be read: {error}")


def _held(body: bytes) -> Body:
    return Body(body, None, len(body))


def _read_fully(stream: Any, size: int) -> bytes:
    pieces = []
    while size > 0:
        piece = stream.read(min(size, READ_BYTES))
        if not piece:
            break
        pieces.append(piece)
        size -= len(piece)
    return b"".join(pieces)


def _read_piece(stream: Any, size: int) -> bytes:
    try:
        return stream.read(min(size, READ_BYTES))
    except OSError as error:
        raise CallerGoneError(str(error)) from error


def _pieces(
    stream: Any, length: int, on_end: Callable[[], None]
) -> Iterator[bytes]:
    while length > 0:
        piece = _read_piece(stream, length)
        if not piece:
            raise CallerGoneError("the caller's body ended early")
        length -= len(piece)
        yield piece
    on_end()


def _until_end(
    stream: Any, limit: int, on_end: Callable[[], None]
) -> Iterator[bytes]:
    while piece := _read_piece(stream, READ_BYTES):
        limit -= len(piece)
        if limit < 0:
            raise CallerGoneError("the caller's body is too large")
        yield piece
    on_end()


def _with_first(first: bytes, rest: Iterator[bytes]) -> Iterator[bytes]:
    yield first
    yield from rest
