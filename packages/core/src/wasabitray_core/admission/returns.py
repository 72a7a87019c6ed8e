"""Chooses when refused callers should come back.

Load: a service refuses up to half of its requests for seconds, and callers
return once the time in `Retry-After` has passed. They wait a third of their
remaining time at most, which is 2 s or more for a caller's timeout of 6 s.
"""

from __future__ import annotations

from wasabitray_core.admission.reservation import Standing
from wasabitray_core.ids import Seconds

# Time that a request waits at its entry for capacity. A refusal must reach
# its caller within 100 ms; waiting requests are checked every 20 ms.
MAX_WAIT_S = Seconds(0.06)
# Bounds of the time for the most urgent requests. Those of other ranks are
# multiples of them, so that urgent requests find room first.
SHORTEST_RETURN_S = 0.25
LONGEST_RETURN_S = 1.0
# Callers give up if they would have to wait more than a third of the time
# that they have left. Shorter waits near a deadline only add refusals.
MAX_REMAINING_PART = 0.3
# Ranks above this one return as late as this one.
MAX_RANK = 3


def choose_return(
    standing: Standing, exceeds_share: bool, remaining_s: float, draw: float
) -> Seconds:
    """Return the seconds after which a refused caller should return.

    Args:
        standing: by the request's priority.
        exceeds_share: whether its organisation exceeds its fair share.
        remaining_s: seconds until the request's deadline.
        draw: a random number from 0 to 1, which spreads the returns.
    """
    factor = 1 + min(MAX_RANK, standing.rank + exceeds_share)
    longest = min(factor * LONGEST_RETURN_S, remaining_s * MAX_REMAINING_PART)
    longest = max(2.0 * SHORTEST_RETURN_S, longest)
    shortest = min(factor * SHORTEST_RETURN_S, longest / 2.0)
    return Seconds(shortest + (longest - shortest) * draw)
