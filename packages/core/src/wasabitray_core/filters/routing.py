"""Filters that set a request's route and deadline."""

from __future__ import annotations

from msgspec.structs import replace

from wasabitray_core.filters.chain import (
    AskController,
    EffectGenerator,
    Filter,
    NextFilter,
)
from wasabitray_core.ids import OrganisationName, Seconds
from wasabitray_core.local_messages import (
    ControllerName,
    ResolveRoute,
    RouteResolved,
    RouteUnresolved,
)
from wasabitray_core.requests import Exchange
from wasabitray_core.states import RefusalReason, RequestAccess

STATUS_BY_REASON = {
    RefusalReason.UNKNOWN_ORGANISATION: 404,
    RefusalReason.UNKNOWN_ROUTE: 404,
    RefusalReason.UNKNOWN_KEY: 401,
    RefusalReason.OUTDATED: 503,
    RefusalReason.NO_CONFIGURATION: 503,
    RefusalReason.ISOLATED: 503,
}
RETRY_OTHER_ENTRY_AFTER_S = 1.0


class RoutingFilter(Filter):
    """Looks up the route in the organisation's rendered template."""

    def handle(
        self, exchange: Exchange, call_next: NextFilter
    ) -> EffectGenerator:
        """Store the route in the exchange, or refuse the request."""
        request = exchange.request
        resolve = ResolveRoute(
            request.organisation,
            request.method,
            request.path,
            request.authority,
            request.api_key,
        )
        resolution = yield AskController(ControllerName.CONFIGURATION, resolve)
        if isinstance(resolution, RouteUnresolved):
            exchange.revision = resolution.age.revision
            exchange.configuration = resolution.age
            status = STATUS_BY_REASON[resolution.reason]
            retry_after = RETRY_OTHER_ENTRY_AFTER_S if status == 503 else None
            return exchange.refuse(
                resolution.reason, status, resolution.detail, retry_after
            )
        exchange.revision = resolution.revision
        exchange.template = resolution.template
        exchange.route = resolution.route
        exchange.claim_retention_s = resolution.claim_retention_s
        exchange.service_priorities = resolution.service_priorities
        self._apply_access(exchange, resolution)
        return (yield from call_next(exchange))

    @staticmethod
    def _apply_access(exchange: Exchange, resolution: RouteResolved) -> None:
        """Store the organisation whose key the request has."""
        if resolution.access is RequestAccess.UNRESTRICTED:
            return
        policy = resolution.policy
        exchange.policy_of_organisation = policy
        exchange.request = replace(
            exchange.request,
            access=resolution.access,
            organisation=OrganisationName(policy.name if policy else ""),
        )


class DeadlineFilter(Filter):
    """Sets the deadline from the route's limit and the caller's timeout."""

    def handle(
        self, exchange: Exchange, call_next: NextFilter
    ) -> EffectGenerator:
        """Store the earlier of the two deadlines in the exchange."""
        limit = exchange.matched_route.deadline_ms / 1_000
        if exchange.caller_timeout is not None:
            limit = min(limit, exchange.caller_timeout)
        exchange.deadline = Seconds(exchange.arrived + limit)
        return (yield from call_next(exchange))
