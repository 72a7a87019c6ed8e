"""The memory for targets' responses that wait for their callers."""

from __future__ import annotations

# Part of the limit that may be used to read on while a caller reads slowly.
# The rest is left for responses that arrive: only a response that is held
# until its end can be replaced by another attempt's.
READ_AHEAD_PART = 0.75


class HeldBytes:
    """Bounds the bytes of responses that an entry keeps at the same time.

    The beginning of a body is held until it is known whether the body is
    complete, so that a broken one can be replaced by another attempt's. What
    has arrived stays held until the caller has read it. When the limit is
    reached, bodies are forwarded as they arrive.
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

    @property
    def allows_read_ahead(self) -> bool:
        """Whether more may be read than a caller has asked for."""
        return self._held < self._limit * READ_AHEAD_PART

    @property
    def count(self) -> int:
        """The bytes that are held now."""
        return self._held

    def add(self, count: int) -> None:
        """Count bytes that are held from now on."""
        self._held += count

    def remove(self, count: int) -> None:
        """Count bytes that are no longer held."""
        self._held -= count

    def __repr__(self) -> str:
        return f"<HeldBytes [{self._held} of {self._limit}]>"
