"""Reserves the last capacity of a service for its most urgent requests.

Load: sustained demand above the capacity of a service (1.3 to 1.8 times) by
requests of several priorities, sent to many entries that each receive few of
them. Trunk reservation: a request is admitted while the region's targets have
fewer requests per slot than a bound that falls with the request's rank.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence

from msgspec import Struct

# Bound for the most urgent requests. It is below the requests that a target
# may have (`MAX_REQUESTS_PER_SLOT`): the targets are never all equally full.
# A request of 250 ms waits about 350 ms for a slot then, within the time for
# full value of the most urgent kind (984 ms with 180 ms of work).
HIGHEST_BOUND = 2.4
# Bound for the least urgent ones. The region's load is known with a delay of
# up to 50 ms, in which a slot may become free: a short queue at each target
# keeps its slots in use.
LOWEST_BOUND = 1.5
# A kind that is admitted less often than the first value, compared with all
# requests, precedes the others but the most urgent one; below the second one
# it is that one's equal. The callers' limit is a quarter; the difference
# allows for chance.
ADVANCED_BELOW, EQUAL_BELOW = 0.4, 0.3


class Standing(Struct, frozen=True):
    """The rank of a request among the priorities of its service's requests.

    Attributes:
        rank: number of more urgent priorities.
        ranks: number of priorities.
    """

    rank: int
    ranks: int


def find_standing(priority: int, priorities: Sequence[int]) -> Standing:
    """Return the standing of a priority.

    Args:
        priority: the request's.
        priorities: all that are in use for the service, in ascending order.
    """
    rank = bisect_left(priorities, priority)
    return Standing(rank, max(len(priorities), rank + 1))


def get_bound(
    standing: Standing, exceeds_share: bool, relative_service: float
) -> float:
    """Return up to how many requests per slot a request is admitted.

    Each rank has two steps, of which the lower one is for organisations that
    exceed their fair share: they lose the last capacity first, but never to a
    less urgent kind.

    Args:
        standing: by the request's priority.
        exceeds_share: whether its organisation exceeds its fair share.
        relative_service: how often requests of this rank are admitted,
            compared with all.
    """
    step = 2 * standing.rank + exceeds_share
    if relative_service < EQUAL_BELOW:
        step = 0
    elif relative_service < ADVANCED_BELOW:
        step = min(step, 1)
    last_step = 2 * standing.ranks - 1
    return HIGHEST_BOUND - (HIGHEST_BOUND - LOWEST_BOUND) * step / last_step
