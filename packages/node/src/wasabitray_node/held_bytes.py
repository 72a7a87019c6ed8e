"""The memory for the beginnings of targets' responses."""

from __future__ import annotations


class HeldBytes:
    """Bounds the bytes that all attempts together hold back.

    The beginning of a body is held until it is known whether the body is
    complete, so that a broken one can be replaced by another attempt's. When
    the limit is reached, bodies are forwarded as they arrive.
    """

    def __init__(self, limit: int) -> None:
        """Start with no byte held.

        Args:
            limit: the bytes that may be held at the same time.
        """
        self._limit = limit
        self._held = 0

    @property
    def is_full(self) -> bool:
        """Whether no further byte should be held."""
        return self._held >= self._limit

    def add(self, count: int) -> None:
        """Count bytes that are held from now on."""
        self._held += count

    def remove(self, count: int) -> None:
        """Count bytes that are no longer held."""
        self._held -= count

    def __repr__(self) -> str:
        return f"<HeldBytes [{self._held} of {self._limit}]>"
