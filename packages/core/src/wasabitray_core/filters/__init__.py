"""The filters of the chain, in the order in which requests pass them."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from wasabitray_core.filters.chain import Filter, FilterChain
from wasabitray_core.filters.claim import ClaimFilter
from wasabitray_core.filters.quarantine import QuarantineFilter
from wasabitray_core.filters.retry import RetryFilter
from wasabitray_core.filters.routing import DeadlineFilter, RoutingFilter
from wasabitray_core.filters.second_attempt import SecondAttemptFilter
from wasabitray_core.filters.slot import LongSlotFilter, SlotFilter
from wasabitray_core.ids import ClaimId, Seconds


def build_chain(
    clock: Callable[[], Seconds],
    new_claim: Callable[[], ClaimId],
    access_filters: Sequence[Filter] = (),
    second_attempts: bool = False,
    is_stopping: Callable[[], bool] = lambda: False,
) -> FilterChain:
    """Build the filter chain of an entry.

    Args:
        clock: returns monotonic seconds.
        new_claim: returns a claim id that was never used before.
        access_filters: those that decide whether an organisation's request
            may run; they come after its route, key and deadline are known.
        second_attempts: whether slow requests get a second attempt.
        is_stopping: returns whether a planned stop has begun.
    """
    racing: tuple[Filter, ...] = ()
    if second_attempts:
        racing = (SecondAttemptFilter(is_stopping),)
    return FilterChain(
        (
            RoutingFilter(),
            DeadlineFilter(),
            *access_filters,
            QuarantineFilter(),
            ClaimFilter(new_claim, clock),
            RetryFilter(clock),
            *racing,
            LongSlotFilter(),
            SlotFilter(clock),
        )
    )
