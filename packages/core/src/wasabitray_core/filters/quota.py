"""A filter that refuses requests beyond their organisation's quota."""

from __future__ import annotations

from wasabitray_core.filters.chain import (
    AskController,
    EffectGenerator,
    Filter,
    NextFilter,
)
from wasabitray_core.ids import OrganisationName
from wasabitray_core.local_messages import AcquireQuota, ControllerName
from wasabitray_core.requests import Exchange
from wasabitray_core.states import QuotaDecision, RefusalReason


class QuotaFilter(Filter):
    """Takes a token for each request of an organisation with a quota."""

    def handle(
        self, exchange: Exchange, call_next: NextFilter
    ) -> EffectGenerator:
        """Refuse a request without a token; it has not run."""
        policy = exchange.policy_of_organisation
        if policy is None or not policy.has_quota:
            return (yield from call_next(exchange))
        acquire = AcquireQuota(OrganisationName(policy.name))
        verdict = yield AskController(ControllerName.QUOTAS, acquire)
        if verdict.decision is QuotaDecision.GRANTED:
            return (yield from call_next(exchange))
        if verdict.decision is QuotaDecision.EXCEEDED:
            return exchange.refuse(
                RefusalReason.QUOTA_EXCEEDED,
                429,
                f"{policy.name} is over its limit of {policy.rate_per_s:g} "
                f"requests per second",
                verdict.retry_after,
            )
        return exchange.refuse(
            RefusalReason.QUOTA_UNAVAILABLE,
            503,
            "no control host could decide whether the request fits",
            verdict.retry_after,
        )
