"""Counters of tokens by organisation, bounded in number."""

from __future__ import annotations

from collections import Counter

from wasabitray_core.ids import OrganisationName

# More organisations than this are counted together.
MAX_COUNTED_ORGANISATIONS = 256
OTHERS = OrganisationName("(others)")


class QuotaCounters:
    """Counts decisions and tokens by organisation."""

    def __init__(self) -> None:
        """Start at zero."""
        self._counts: dict[OrganisationName, Counter[str]] = {}

    def add(
        self, organisation: OrganisationName, kind: str, amount: float = 1
    ) -> None:
        """Add to a counter of an organisation."""
        counts = self._counts.get(organisation)
        if counts is None:
            if len(self._counts) >= MAX_COUNTED_ORGANISATIONS:
                organisation = OTHERS
            counts = self._counts.setdefault(organisation, Counter())
        counts[kind] += amount  # type: ignore[assignment]

    def describe(self) -> dict[str, dict[str, float]]:
        """Return the counters for operators."""
        return {
            organisation: {k: round(v, 3) for k, v in counts.items()}
            for organisation, counts in self._counts.items()
        }

    def __repr__(self) -> str:
        return f"<QuotaCounters [{len(self._counts)} organisations]>"
