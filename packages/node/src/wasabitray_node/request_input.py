"""The body of a request, as a listener reads it from the connection."""

from __future__ import annotations

from typing import Any

from gevent.pywsgi import Input, _InvalidClientInput


class BodyEndedError(OSError):
    """The connection ended before the end of a body."""


class MalformedBodyError(OSError):
    """A body's chunks are not encoded correctly."""


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
    ) -> None:
        """Create the input.

        Args:
            file: the connection's buffered file.
            content_length: size of the body in bytes, None if not stated.
            sock: gets the interim response 100; None if none is expected.
            is_chunked: whether the body is sent in chunks.
        """
        super().__init__(_ExactFile(file), content_length, sock, is_chunked)

    @property
    def is_complete(self) -> bool:
        """Whether the body was read to its end, or there is none."""
        if self.chunked_input:
            return self.chunk_length == 0 and not self._chunked_input_error
        return self.position == (self.content_length or 0)

    def read(self, length: int | None = None) -> bytes:
        """Read up to a number of bytes, None for all.

        Raises:
            BodyEndedError: the connection ended before the body.
            MalformedBodyError: the chunks are not encoded correctly.
        """
        try:
            return super().read(length)
        except (_InvalidClientInput, ValueError) as error:
            raise MalformedBodyError(str(error)) from error

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
