"""A filter that retries failed attempts where that is safe."""

from __future__ import annotations

from collections.abc import Callable

from wasabitray_core.filters.chain import (
    EffectGenerator,
    Filter,
    LogDecision,
    NextFilter,
    TellController,
)
from wasabitray_core.ids import Seconds
from wasabitray_core.local_messages import ControllerName, RequestEnded
from wasabitray_core.requests import Exchange, Response
from wasabitray_core.states import Outcome, RefusalReason

# Attempts without a connection cost the targets no work and the caller only
# time.
MAX_UNSENT_ATTEMPTS = 4
# A request that breaks connections may itself be the cause, so it is not sent
# to more targets.
MAX_BROKEN_CONNECTIONS = 2
MAX_BROKEN_CONNECTIONS_IF_SUSPECT = 1
RETRIED_REASONS = frozenset(
    {RefusalReason.TARGET_FAILED, RefusalReason.BAD_ANSWER}
)


class RetryFilter(Filter):
    """Retries a failed attempt within the retry budget and the deadline.

    A request that may have run is retried only if it is idempotent. The
    controller that grants slots keeps the budget: it refuses a slot for a
    retry once the service's budget is used up, and the response of the
    previous attempt is then returned. An attempt for which there was no
    connection is not counted as one of the route's attempts, since no target
    received the request.
    """

    def __init__(self, clock: Callable[[], Seconds]) -> None:
        """Store the clock, which returns monotonic seconds."""
        self._clock = clock

    def handle(
        self, exchange: Exchange, call_next: NextFilter
    ) -> EffectGenerator:
        """Make one or more attempts and report how the request ended."""
        response = yield from self._attempt_with_retries(exchange, call_next)
        if response.refusal is not RefusalReason.CALLER_GONE:
            is_served = response.refusal is None and response.fault is None
            report = RequestEnded(exchange.service, is_served)
            yield TellController(ControllerName.DISPATCH, report)
        return response

    def _attempt_with_retries(
        self, exchange: Exchange, call_next: NextFilter
    ) -> EffectGenerator:
        response = yield from call_next(exchange)
        while self._may_retry(exchange, response):
            attempts_before = len(exchange.tried_targets)
            retry_response = yield from call_next(exchange)
            if len(exchange.tried_targets) == attempts_before:
                yield _describe_refused_retry(exchange, retry_response)
                _extend_retry_after(response, retry_response)
                return response
            if response.chunks is not None:
                response.chunks.close()
            response = retry_response
        return response

    def _may_retry(self, exchange: Exchange, response: Response) -> bool:
        if response.refusal not in RETRIED_REASONS and response.fault is None:
            return False
        if (
            exchange.attempts >= exchange.matched_route.attempts
            or _has_broken_too_many_connections(exchange)
        ):
            return False
        if exchange.unsent_attempts > MAX_UNSENT_ATTEMPTS:
            return False
        if self._clock() >= exchange.deadline:
            return False
        if exchange.request.stream is not None:
            return False  # the body can be read only once
        if response.outcome is Outcome.NOT_RUN and not exchange.may_have_run:
            return True
        return exchange.matched_route.idempotent


def _extend_retry_after(response: Response, refused_retry: Response) -> None:
    """Ask the caller to wait as long as the refused retry would have to."""
    waits = (response.retry_after, refused_retry.retry_after)
    if all(wait is not None for wait in waits):
        response.retry_after = max(wait for wait in waits if wait is not None)


def _describe_refused_retry(
    exchange: Exchange, response: Response
) -> LogDecision:
    """Return the log line of a retry that was refused a slot."""
    return LogDecision(
        "retry refused",
        {
            "request": exchange.request.id,
            "service": exchange.service,
            "attempts": exchange.attempts,
            "reason": response.refusal.value if response.refusal else None,
        },
    )


def _has_broken_too_many_connections(exchange: Exchange) -> bool:
    limit = (
        MAX_BROKEN_CONNECTIONS_IF_SUSPECT
        if exchange.is_suspect
        else MAX_BROKEN_CONNECTIONS
    )
    return exchange.broken_connections >= limit
