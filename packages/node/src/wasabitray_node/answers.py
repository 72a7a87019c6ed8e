"""Reading a target's answer."""

from __future__ import annotations

from typing import Any

from geventhttpclient.response import HTTPParseError, HTTPSocketResponse

LAST_INTERIM_STATUS = 199
# Bytes of heads, chunk framing and trailers that may come without any of a
# body: the parser keeps most of them.
MAX_OVERHEAD_BYTES = 131_072


class ExtraAnswerError(HTTPParseError):
    """More bytes came than the answer has."""


class OversizedAnswerError(HTTPParseError):
    """Too much came that is no body."""


class SingleResponse(HTTPSocketResponse):
    """Parses one answer and nothing after it.

    A broken target can send bytes after a complete answer. They belong to
    no request: they make the connection unfit for another one, and must not
    be taken for a part of this answer.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        """Read the head of the answer."""
        self._whole = False
        self._overhead = 0
        super().__init__(*args, **options)

    @property
    def whole(self) -> bool:
        """Whether the answer has arrived up to its end."""
        return self._whole

    def _on_message_begin(self) -> None:
        if self._whole:
            raise ExtraAnswerError("bytes after the end of the answer")
        super()._on_message_begin()

    def _on_message_complete(self) -> None:
        if self.get_code() > LAST_INTERIM_STATUS:
            self._whole = True
        super()._on_message_complete()

    def _on_body(self, buf: bytearray) -> None:
        self._overhead = 0
        super()._on_body(buf)

    def feed(self, data: str | bytes) -> None:
        """Parse bytes; those after the answer only spoil the connection.

        Raises:
            OversizedAnswerError: a head, framing or trailer is too long.
        """
        self._overhead += len(data)
        if self._overhead > MAX_OVERHEAD_BYTES:
            raise OversizedAnswerError(
                f"over {MAX_OVERHEAD_BYTES} bytes without any of a body"
            )
        try:
            super().feed(data)
        except HTTPParseError:
            if not self._whole:
                raise
            self._trailing_data_dropped = True
