"""The body of a request, as a listener reads it from the connection."""

from __future__ import annotations

import re
from typing import Any

from gevent.pywsgi import Input

from wasabitray_node.client_budget import CutOffReason
from wasabitray_node.client_reader import ClientReader

# Sizes of up to 16 digits, as in the server's own reader.
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})(?:;[^\r\n]*)?\r\n")
_TRAILER_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\r\n]*\r\n")
MAX_CHUNK_LINE_BYTES = 8_192
# Bounds the extensions of all chunks of a body together, besides as many bytes
# as the chunks have, and its trailers. They are read and dropped.
MAX_EXTENSIONS_BYTES = 262_144
MAX_TRAILERS_BYTES = 262_144


class BodyEndedError(OSError):
    """The connection ended before the end of a body."""


class MalformedBodyError(OSError):
    """A body's chunks are not encoded correctly."""


class FramingTooLongError(MalformedBodyError):
    """A body's chunk extensions or trailers are longer than the limit."""


class RequestInput(Input):
    """Reads a body and knows whether it was read to its end.

    A read that is interrupted or fails may have taken bytes that it doesn't
    return. Where the next request begins is then unknown.
    """

    def __init__(
        self,
        file: Any,
        content_length: int | None,
        sock: Any,
        is_chunked: bool,
        client: ClientReader | None = None,
    ) -> None:
        """Create the input.

        Args:
            file: the connection's buffered file.
            content_length: size of the body in bytes, None if not stated.
            sock: gets the interim response 100; None if none is expected.
            is_chunked: whether the body is sent in chunks.
            client: counts what is kept; None if that isn't counted.
        """
        super().__init__(_ExactFile(file), content_length, sock, is_chunked)
        self._client = client
        self._extensions_left = MAX_EXTENSIONS_BYTES
        if self.is_complete:
            self.start_running()

    @property
    def is_complete(self) -> bool:
        """Whether the body was read to its end, or there is none."""
        if self.chunked_input:
            return self.chunk_length == 0 and not self._chunked_input_error
        return self.position == (self.content_length or 0)

    @property
    def has_given_way(self) -> bool:
        """Whether the connection was cut off in favour of others."""
        return self._client is not None and self._client.has_given_way

    def release(self, count: int) -> None:
        """Stop counting bytes that were read and are no longer kept."""
        if self._client is not None:
            self._client.release(count)

    def reserve(self, count: int) -> bool:
        """Count what is made of the body; return whether it may be kept."""
        return self._client is None or self._client.reserve(count)

    def start_running(self) -> None:
        """Record that the request may run, and no longer gives way."""
        if self._client is not None:
            self._client.start_running()

    def record_late(self) -> None:
        """Record that the body took too long."""
        if self._client is not None:
            self._client.record_cut_off(CutOffReason.TIME)

    def read(self, length: int | None = None) -> bytes:
        """Read up to a number of bytes, None for all.

        Raises:
            BodyEndedError: the connection ended before the body.
            MalformedBodyError: the chunks are not encoded correctly.
        """
        try:
            data = super().read(length)
        except FramingTooLongError:
            if self._client is not None:
                self._client.record_cut_off(CutOffReason.BODY_FRAMING)
            raise
        except ValueError as error:
            raise MalformedBodyError(str(error)) from error
        if self.is_complete:
            self.start_running()
        return data

    def _chunked_read(
        self, length: int | None = None, use_readline: bool = False
    ) -> bytes:
        """Decode chunks up to a number of bytes (called by the base class).

        Unlike that of the base class, it reads lines instead of bytes and
        keeps the data of small chunks together.
        """
        if use_readline:
            raise NotImplementedError("lines of a body in chunks")
        self._send_100_continue()
        data = bytearray()
        try:
            while self.chunk_length and (length is None or len(data) < length):
                if self.position == self.chunk_length or self.chunk_length < 0:
                    self._begin_chunk()
                    continue
                size = self.chunk_length - self.position
                if length is not None:
                    size = min(size, length - len(data))
                data += self.rfile.read(size)
                self.position += size
                if self.position == self.chunk_length:
                    if self.rfile.read(2) != b"\r\n":
                        raise MalformedBodyError("a chunk without its end")
                    self.release(2)
        except BaseException:
            self._chunked_input_error = True
            raise
        return bytes(data)

    def _begin_chunk(self) -> None:
        """Read the line before a chunk, and the trailers after the last."""
        line = self._read_line()
        match = _CHUNK_LINE.fullmatch(line)
        if match is None:
            raise MalformedBodyError("the size of a chunk")
        self._extensions_left -= len(line) - match.end(1) - 2
        if self._extensions_left < 0:
            raise FramingTooLongError("chunk extensions")
        size = int(match[1], 16)
        self._extensions_left += size
        if not size:
            self._drop_trailers()
        self.chunk_length, self.position = size, 0

    def _drop_trailers(self) -> None:
        left = MAX_TRAILERS_BYTES
        while (line := self._read_line()) != b"\r\n":
            left -= len(line)
            if left < 0:
                raise FramingTooLongError("trailers")
            if not _TRAILER_LINE.fullmatch(line):
                raise MalformedBodyError("a trailer")

    def _read_line(self) -> bytes:
        line = self.rfile.readline(MAX_CHUNK_LINE_BYTES)
        self.release(len(line))
        if not line.endswith(b"\n"):
            if len(line) == MAX_CHUNK_LINE_BYTES:
                raise FramingTooLongError("a line")
            raise BodyEndedError("the connection ended before the body")
        return line

    def _discard(self) -> None:
        """Leave the rest, with which the handler ends the connection."""


class _ExactFile:
    """Reads as many bytes as it is asked for, or raises an error."""

    def __init__(self, file: Any) -> None:
        self._file = file
        self.readline = file.readline

    def read(self, size: int) -> bytes:
        data = self._file.read(size)
        if len(data) < size:
            raise BodyEndedError("the connection ended before the body")
        return data
