"""The filter that refuses keys which may have been withdrawn."""

from __future__ import annotations

from wasabitray_core.filters.chain import (
    AskController,
    EffectGenerator,
    Filter,
    NextFilter,
)
from wasabitray_core.local_messages import CheckLease, ControllerName
from wasabitray_core.requests import Exchange
from wasabitray_core.states import RefusalReason, RequestAccess

# An entry without a lease gets one within a few seconds, or another entry has
# one.
RETRY_AFTER_S = 1.0


class LeaseFilter(Filter):
    """Lets requests with keys pass only while the entry has its lease.

    The check comes after the request was read, so the caller sent it before.
    """

    def handle(
        self, exchange: Exchange, call_next: NextFilter
    ) -> EffectGenerator:
        """Refuse the request if its key may have been withdrawn."""
        if exchange.request.access is RequestAccess.AUTHENTICATED:
            check = CheckLease(exchange.revision)
            may_run = yield AskController(ControllerName.LEASE, check)
            if not may_run:
                return exchange.refuse(
                    RefusalReason.UNCONFIRMED,
                    503,
                    f"revision {exchange.revision} is not confirmed to be the "
                    "newest, so the key may have been withdrawn",
                    RETRY_AFTER_S,
                )
        return (yield from call_next(exchange))
