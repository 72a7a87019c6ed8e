"""Trying again where that is safe."""

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

# Attempts without a connection cost nobody work, only the caller's time.
MAX_UNSENT = 4
# A request that breaks targets may be the cause: it is not spread further.
MAX_BREAKS = 2
MAX_BREAKS_IF_SUSPECT = 1
RETRIED_REASONS = frozenset(
    {RefusalReason.TARGET_FAILED, RefusalReason.BAD_ANSWER}
)


class RetryFilter(Filter):
    """Repeats an attempt that failed, within the budget and the deadline.

    A request that may have run is repeated only when it is idempotent. The
    budget is kept by the controller that grants slots: it refuses a slot
    for a retry when the service's budget is used up, and the answer of the
    attempt before then stands. An attempt for which there was no connection
    is free: no target saw it.
    """

    def __init__(self, clock: Callable[[], Seconds]) -> None:
        """Take the clock."""
        self._clock = clock

    def handle(
        self, exchange: Exchange, call_next: NextFilter
    ) -> EffectGenerator:
        """Make one or more attempts and tell how the request ended."""
        answer = yield from self._try(exchange, call_next)
        if answer.refusal is not RefusalReason.CALLER_GONE:
            served = answer.refusal is None and answer.fault is None
            ended = RequestEnded(exchange.service, served)
            yield TellController(ControllerName.DISPATCH, ended)
        return answer

    def _try(
        self, exchange: Exchange, call_next: NextFilter
    ) -> EffectGenerator:
        answer = yield from call_next(exchange)
        while self._may_retry(exchange, answer):
            before = len(exchange.tried_targets)
            retried = yield from call_next(exchange)
            if len(exchange.tried_targets) == before:
                yield _describe_refusal(exchange, retried)
                return answer
            if answer.chunks is not None:
                answer.chunks.close()
            answer = retried
        return answer

    def _may_retry(self, exchange: Exchange, answer: Response) -> bool:
        if answer.refusal not in RETRIED_REASONS and answer.fault is None:
            return False
        if (
            exchange.attempts >= exchange.matched_route.attempts
            or _breaks_targets(exchange)
        ):
            return False
        if exchange.unsent_attempts > MAX_UNSENT:
            return False
        if self._clock() >= exchange.deadline:
            return False
        if exchange.request.stream is not None:
            return False  # the body was read once and is gone
        if answer.outcome is Outcome.NOT_RUN and not exchange.may_have_run:
            return True
        return exchange.matched_route.idempotent


def _describe_refusal(exchange: Exchange, retried: Response) -> LogDecision:
    """Return the log line of a retry that got no slot."""
    return LogDecision(
        "retry refused",
        {
            "request": exchange.request.id,
            "service": exchange.service,
            "attempts": exchange.attempts,
            "reason": retried.refusal.value if retried.refusal else None,
        },
    )


def _breaks_targets(exchange: Exchange) -> bool:
    limit = MAX_BREAKS_IF_SUSPECT if exchange.is_suspect else MAX_BREAKS
    return exchange.broken_connections >= limit
