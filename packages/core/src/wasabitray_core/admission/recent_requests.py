"""Counts a service's recent requests, to divide its capacity fairly.

Load: one to three organisations send 5 to 8 times their usual rate while the
demand exceeds the capacity of a service, or urgent requests alone fill it.
"""

from __future__ import annotations

import math
from collections.abc import Hashable, Iterable
from typing import Generic, TypeVar

from msgspec import Struct

from wasabitray_core.ids import Seconds

# Organisations send more than usual for 4 to 7 s. An entry receives about 6
# requests per second, so a shorter time would be decided by chance.
TIME_CONSTANT_S = 5.0
# An organisation that is admitted less than this often, compared with all
# requests, doesn't exceed its share. The callers' limit is a quarter; the
# difference allows for chance.
MIN_RELATIVE_SERVICE = 0.4
# Weight below which a class is forgotten.
MIN_WEIGHT = 0.02
# Weights are scaled down once they grow this large.
MAX_SCALE = 1e6
# After a long time without requests the weight would exceed a float's range.
MAX_EXPONENT = 500.0

Key = TypeVar("Key", bound=Hashable)


class _Count(Struct):
    """Weighted requests."""

    asked: float = 0.0
    admitted: float = 0.0


class RecentRequests(Generic[Key]):
    """Recent requests by organisation or by rank.

    Requests are counted with a weight that falls exponentially with their
    age. Instead of all older weights, the weight of new requests is changed.
    """

    def __init__(self) -> None:
        """Start without requests."""
        self._counts: dict[Key, _Count] = {}
        self._total = _Count()
        self._scaled_at = Seconds(0.0)

    def record_asked(self, key: Key, now: Seconds) -> None:
        """Count a request that arrived."""
        weight = self._get_weight(now)
        self._counts.setdefault(key, _Count()).asked += weight
        self._total.asked += weight

    def record_admitted(self, key: Key, now: Seconds) -> None:
        """Count a request that got a slot."""
        weight = self._get_weight(now)
        self._counts.setdefault(key, _Count()).admitted += weight
        self._total.admitted += weight

    def get_relative_service(self, key: Key) -> float:
        """Return how often requests of a key are admitted, relative to all.

        Infinite if nothing is known of them.
        """
        count = self._counts.get(key)
        if count is None or not count.asked or not self._total.admitted:
            return math.inf
        usual = self._total.admitted / self._total.asked
        return count.admitted / count.asked / usual

    def exceeds_fair_share(self, key: Key) -> bool:
        """Tell whether requests of a key got more than their fair share."""
        count = self._counts.get(key)
        if count is None:
            return False
        if self.get_relative_service(key) < MIN_RELATIVE_SERVICE:
            return False
        asked = [c.asked for c in self._counts.values()]
        return count.admitted > find_fair_share(asked, self._total.admitted)

    def _get_weight(self, now: Seconds) -> float:
        age = (now - self._scaled_at) / TIME_CONSTANT_S
        weight = math.exp(min(MAX_EXPONENT, age))
        if weight < MAX_SCALE:
            return weight
        self._scaled_at = now
        self._scale_down(weight)
        return 1.0

    def _scale_down(self, factor: float) -> None:
        """Divide all weights; forget keys without recent requests."""
        for key, count in list(self._counts.items()):
            count.asked /= factor
            count.admitted /= factor
            if count.asked < MIN_WEIGHT:
                del self._counts[key]
        counts = self._counts.values()
        self._total.asked = sum(c.asked for c in counts)
        self._total.admitted = sum(c.admitted for c in counts)

    def __repr__(self) -> str:
        return f"<RecentRequests [{len(self._counts)} keys]>"


def find_fair_share(demands: Iterable[float], capacity: float) -> float:
    """Return the largest amount that one gets by max-min fairness.

    Those who ask for less get what they ask for; what is left is divided
    equally among the others (Bertsekas and Gallager, "Data Networks", 1992,
    section 6.5.2).

    Returns:
        The amount; infinite if the capacity suffices for all.
    """
    left = capacity
    ascending = sorted(demands)
    for position, demand in enumerate(ascending):
        share = left / (len(ascending) - position)
        if demand > share:
            return share
        left -= demand
    return math.inf
