"""The token bucket that serves what an organisation's limit allows.

The load: an organisation that sends more than its rate for some seconds, but
no more than rate x window + burst in any window. A bucket that refills with
the rate alone refuses what lies beyond the first burst.
"""

from __future__ import annotations

from msgspec import Struct

# Part of what is tolerated beyond the limit that the bucket may hold. The rest
# covers that shares hold at least a token each, begin with one after a start,
# and that hosts have reserves.
CAPACITY_PART = 0.5


class QuotaBound(Struct, frozen=True):
    """What the operator allows beyond an organisation's limit.

    Attributes:
        window_s: seconds of each window in which requests are limited.
        excess: share of the limit by which it may be exceeded.
        slack: requests by which it may be exceeded besides.
    """

    window_s: float
    excess: float
    slack: float


class Bucket(Struct, frozen=True):
    """The bucket of an organisation over the whole fleet.

    Attributes:
        rate: tokens per second.
        spare: requests of a window that the bound allows beyond the bucket.
    """

    rate: float
    capacity: float
    spare: float
    window_s: float


def compute_bucket(rate: float, burst: float, bound: QuotaBound) -> Bucket:
    """Return the bucket for a limit.

    In each window it grants rate x window + burst, the limit, and what it held
    at the beginning, which the bound tolerates.

    Args:
        rate: requests per second that an organisation may send.
        burst: requests beyond the rate at one time.
        bound: what is tolerated.
    """
    limit = rate * bound.window_s + burst
    tolerated = bound.excess * limit + bound.slack
    capacity = min(burst, CAPACITY_PART * tolerated)
    return Bucket(
        rate + burst / bound.window_s,
        capacity,
        tolerated - capacity,
        bound.window_s,
    )


def compute_plain_bucket(rate: float, burst: float) -> Bucket:
    """Return the bucket for a limit of which no bound is known."""
    return Bucket(rate, burst, 0.0, 1.0)
