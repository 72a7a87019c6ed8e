"""Finding an organisation's route and the request's deadline."""

from __future__ import annotations

from wasabitray_core.filters.chain import (
    AskController,
    EffectGenerator,
    Filter,
    NextFilter,
)
from wasabitray_core.ids import Seconds
from wasabitray_core.local_messages import (
    ControllerName,
    ResolveRoute,
    RouteUnresolved,
)
from wasabitray_core.requests import Exchange
from wasabitray_core.states import RefusalReason

STATUS_OF_REASON = {
    RefusalReason.UNKNOWN_ORGANISATION: 404,
    RefusalReason.UNKNOWN_ROUTE: 404,
    RefusalReason.NO_CONFIGURATION: 503,
    RefusalReason.ISOLATED: 503,
}
RETRY_ELSEWHERE_S = 1.0


class RoutingFilter(Filter):
    """Looks up the route in the organisation's filled template."""

    def handle(
        self, exchange: Exchange, call_next: NextFilter
    ) -> EffectGenerator:
        """Put the route into the exchange, or refuse."""
        request = exchange.request
        resolve = ResolveRoute(
            request.organisation,
            request.method,
            request.path,
            request.authority,
        )
        found = yield AskController(ControllerName.CONFIGURATION, resolve)
        if isinstance(found, RouteUnresolved):
            status = STATUS_OF_REASON[found.reason]
            wait = RETRY_ELSEWHERE_S if status == 503 else None
            return exchange.refuse(found.reason, status, found.detail, wait)
        exchange.revision = found.revision
        exchange.template = found.template
        exchange.route = found.route
        exchange.claim_retention_s = found.claim_retention_s
        return (yield from call_next(exchange))


class DeadlineFilter(Filter):
    """Sets the deadline from the route and the caller's own timeout."""

    def handle(
        self, exchange: Exchange, call_next: NextFilter
    ) -> EffectGenerator:
        """Put the deadline into the exchange."""
        limit = exchange.matched_route.deadline_ms / 1_000
        if exchange.caller_timeout is not None:
            limit = min(limit, exchange.caller_timeout)
        exchange.deadline = Seconds(exchange.arrived + limit)
        return (yield from call_next(exchange))
