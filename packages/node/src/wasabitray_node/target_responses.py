"""Parsing the response of a target."""

from __future__ import annotations

from typing import Any

from geventhttpclient.response import HTTPParseError, HTTPSocketResponse

LAST_INTERIM_STATUS = 199
# RFC 9110 section 15: all others are invalid.
VALID_STATUSES = range(100, 600)
# Bytes of heads, chunk framing and trailers that may arrive without a byte
# of a body in between. The parser keeps most of them in memory.
MAX_OVERHEAD_BYTES = 65_536
# Fields of heads and trailers together. The parser's objects for a short
# field take far more memory than its bytes.
MAX_FIELDS = 256


class ExtraBytesError(HTTPParseError):
    """Bytes arrived after the end of the response."""


class ExcessOverheadError(HTTPParseError):
    """Too many bytes or fields arrived that belong to no body."""


class InvalidStatusError(HTTPParseError):
    """The status is none of the protocol's."""


class SingleResponse(HTTPSocketResponse):
    """Parses one response and nothing after it.

    A faulty target can send bytes after a complete response. They belong to
    no request: the connection must not be reused, and the bytes must not be
    parsed as a part of this response.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        """Read the head of the response."""
        self._is_complete = False
        self._ended_with_connection = False
        self._overhead = 0
        self._field_count = 0
        super().__init__(*args, **options)

    @property
    def is_complete(self) -> bool:
        """Whether the response has arrived up to its end."""
        return self._is_complete

    @property
    def ended_with_connection(self) -> bool:
        """Whether only the end of the connection ended the response.

        It is no end if the connection failed.
        """
        return self._ended_with_connection

    def read_some(self, size: int) -> bytes:
        """Return the next bytes of the body, empty at its end.

        Unlike `read`, it keeps nothing: it waits for no more bytes once some
        have arrived, and returns all of them.

        Args:
            size: how many bytes to receive at once.
        """
        while (
            self._sock is not None
            and not self._body_buffer
            and not self.message_complete
        ):
            self.feed(self._sock.recv(size))
        piece = bytes(self._body_buffer)
        del self._body_buffer[:]
        return piece

    def release(self) -> None:
        """Drop the socket after the response, not after an interim one.

        The owner of the connection closes it.
        """
        if self._is_complete:
            self._sock = None

    def _on_message_begin(self) -> None:
        if self._is_complete:
            raise ExtraBytesError("bytes after the end of the response")
        super()._on_message_begin()

    def _on_headers_complete(self) -> int | bool | None:
        status = self.get_code()
        if status not in VALID_STATUSES:
            raise InvalidStatusError(f"status {status:03}")
        return super()._on_headers_complete()

    def _on_message_complete(self) -> None:
        if self.get_code() > LAST_INTERIM_STATUS:
            self._is_complete = True
        super()._on_message_complete()

    def _flush_header(self) -> None:
        self._field_count += 1
        if self._field_count > MAX_FIELDS:
            raise ExcessOverheadError(f"more than {MAX_FIELDS} header fields")
        super()._flush_header()

    def _on_body(self, buf: bytearray) -> None:
        self._overhead = 0
        super()._on_body(buf)

    def feed(self, data: str | bytes) -> None:
        """Parse bytes.

        Bytes after the end of the response are no error, but the connection
        is not reused.

        Raises:
            ExcessOverheadError: a head, framing or trailer is too long.
            InvalidStatusError: the status is invalid.
        """
        self._overhead += len(data)
        if self._overhead > MAX_OVERHEAD_BYTES:
            raise ExcessOverheadError(
                f"more than {MAX_OVERHEAD_BYTES} bytes without a byte of a "
                "body"
            )
        try:
            super().feed(data)
        except HTTPParseError:
            if not self._is_complete:
                raise
            self._trailing_data_dropped = True
        self._ended_with_connection = not data and self._is_complete
