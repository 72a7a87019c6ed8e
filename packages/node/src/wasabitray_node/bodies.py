"""Reading the bodies of callers' requests."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import falcon
from gevent import Timeout
from msgspec import Struct

from wasabitray_node.request_input import (
    FramingTooLongError,
    MalformedBodyError,
    RequestInput,
)
from wasabitray_node.settings import Limits
from wasabitray_node.watch import CallerGoneError

READ_SIZE_BYTES = 65_536
# Bytes of a streamed body that are read before the request enters the filter
# chain, to tell it from other requests.
BODY_START_BYTES = 1_024
# For a caller whose body gave way to others.
RETRY_AFTER_S = 1.0


class Body(Struct, frozen=True):
    """A request's body, buffered or to be read in pieces.

    Attributes:
        content: a small body as a whole.
        stream: the pieces of a large body.
        length: the number of bytes, None if it is known only at the end.
        start: the first bytes of a large body; the stream has them too.
    """

    content: bytes = b""
    stream: Iterator[bytes] | None = None
    length: int | None = 0
    start: bytes = b""


class RequestRejection(Struct, frozen=True):
    """Why a request is rejected before it enters the filter chain.

    Attributes:
        retry_after: seconds after which the caller may try again.
    """

    status: int
    detail: str
    retry_after: float | None = None


class BodyReader:
    """Buffers small bodies and streams large ones."""

    def __init__(self, limits: Limits) -> None:
        """Initialise with the limits on the size and the time of a body."""
        self._limits = limits

    def read(
        self, req: falcon.Request, on_complete: Callable[[], None]
    ) -> Body | RequestRejection:
        """Return a request's body, or why it is rejected.

        Args:
            req: the request.
            on_complete: called once a streamed body was read completely.
        """
        stream = req.env["wsgi.input"]
        if req.get_header("Transfer-Encoding"):
            return self._read_chunked(stream, on_complete)
        length = req.content_length or 0
        if length > self._limits.max_body_bytes:
            return RequestRejection(413, "the body is larger than the limit")
        if length > self._limits.hold_bytes:
            return self._stream_with_length(stream, length, on_complete)
        if not length:
            return Body()
        content = self._buffer(stream, length)
        if isinstance(content, bytes) and len(content) < length:
            return RequestRejection(
                408, "the body ended before its Content-Length"
            )
        return (
            content
            if isinstance(content, RequestRejection)
            else _to_body(content)
        )

    def _stream_with_length(
        self, stream: Any, length: int, on_complete: Callable[[], None]
    ) -> Body | RequestRejection:
        start = self._buffer(stream, BODY_START_BYTES)
        if isinstance(start, RequestRejection):
            return start
        _start_running(stream)
        remaining = length - len(start)
        pieces = _stream_by_length(stream, remaining, on_complete)
        return Body(stream=_prepend(start, pieces), length=length, start=start)

    def _read_chunked(
        self, stream: Any, on_complete: Callable[[], None]
    ) -> Body | RequestRejection:
        limit = self._limits.hold_bytes
        content = self._buffer(stream, limit + 1)
        if isinstance(content, RequestRejection):
            return content
        if len(content) <= limit:
            return _to_body(content)
        _start_running(stream)
        remaining_limit = self._limits.max_body_bytes - len(content)
        pieces = _prepend(
            content, _stream_chunks(stream, remaining_limit, on_complete)
        )
        return Body(
            stream=pieces, length=None, start=content[:BODY_START_BYTES]
        )

    def _buffer(self, stream: Any, size: int) -> bytes | RequestRejection:
        try:
            with Timeout(self._limits.body_timeout_s):
                return _read_fully(stream, size)
        except FramingTooLongError as error:
            return RequestRejection(431, f"the body has too long {error}")
        except MalformedBodyError as error:
            return RequestRejection(400, f"the body is malformed: {error}")
        except (Timeout, OSError) as error:
            # The request may be valid, and it has not run.
            is_counted = isinstance(stream, RequestInput)
            if is_counted and stream.has_given_way:
                return RequestRejection(
                    503, "the body gave way to others", RETRY_AFTER_S
                )
            if is_counted and isinstance(error, Timeout):
                stream.record_late()
            return RequestRejection(
                408, f"the body could not be read: {error}"
            )


def _to_body(body: bytes) -> Body:
    return Body(body, None, len(body))


def _start_running(stream: Any) -> None:
    """Record that a request whose body is streamed may run."""
    if isinstance(stream, RequestInput):
        stream.start_running()


def _release(stream: Any, count: int) -> None:
    """Stop counting a piece that was forwarded."""
    if isinstance(stream, RequestInput):
        stream.release(count)


def _read_fully(stream: Any, size: int) -> bytes:
    pieces = []
    while size > 0:
        piece = stream.read(min(size, READ_SIZE_BYTES))
        if not piece:
            break
        pieces.append(piece)
        size -= len(piece)
    return b"".join(pieces)


def _read_piece(stream: Any, size: int) -> bytes:
    try:
        return stream.read(min(size, READ_SIZE_BYTES))
    except OSError as error:
        raise CallerGoneError(str(error)) from error


def _stream_by_length(
    stream: Any, length: int, on_complete: Callable[[], None]
) -> Iterator[bytes]:
    while length > 0:
        piece = _read_piece(stream, length)
        if not piece:
            raise CallerGoneError(
                "the caller's body ended before its Content-Length"
            )
        length -= len(piece)
        yield piece
        _release(stream, len(piece))
    on_complete()


def _stream_chunks(
    stream: Any, limit: int, on_complete: Callable[[], None]
) -> Iterator[bytes]:
    """Yield the pieces of a body that ends with an empty read."""
    while piece := _read_piece(stream, READ_SIZE_BYTES):
        limit -= len(piece)
        if limit < 0:
            raise CallerGoneError("the caller's body is larger than the limit")
        yield piece
        _release(stream, len(piece))
    on_complete()


def _prepend(first: bytes, rest: Iterator[bytes]) -> Iterator[bytes]:
    yield first
    yield from rest
