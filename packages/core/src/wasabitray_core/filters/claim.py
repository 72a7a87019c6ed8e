"""Running non-idempotent requests at most once."""

from __future__ import annotations

from collections.abc import Callable

from wasabitray_core.filters.chain import (
    AskController,
    EffectGenerator,
    Filter,
    NextFilter,
    TellController,
)
from wasabitray_core.ids import ClaimId, ClaimKey, Seconds
from wasabitray_core.local_messages import (
    AcquireClaim,
    ClaimVerdict,
    ControllerName,
    WithdrawClaim,
)
from wasabitray_core.requests import Exchange, Response
from wasabitray_core.states import Outcome, RefusalReason

CLAIM_TIMEOUT_S = 1.0
# Longer than any retention: the groups cut it down to theirs.
CLAIM_TTL_S = 86_400.0
# Work starts within this part of the retention or not at all.
CLAIM_USE_SHARE = 0.5


class ClaimFilter(Filter):
    """Claims a non-idempotent request's key before it may run.

    The key stays claimed after the request, so a caller's resend gets no
    second run. Only when the request surely did not run is the claim given
    back, and the resend is then welcome.
    """

    def __init__(
        self,
        new_claim: Callable[[], ClaimId],
        clock: Callable[[], Seconds],
    ) -> None:
        """Take the source of claim ids that were never used before."""
        self._new_claim = new_claim
        self._clock = clock

    def handle(
        self, exchange: Exchange, call_next: NextFilter
    ) -> EffectGenerator:
        """Claim the key of a non-idempotent request."""
        if (
            exchange.matched_route.idempotent
            or not exchange.matched_route.claimed
        ):
            return (yield from call_next(exchange))
        request = exchange.request
        if not request.key:
            return exchange.refuse(
                RefusalReason.KEY_REQUIRED,
                400,
                "this route is not idempotent: send an Idempotency-Key",
            )
        key = ClaimKey(f"request/{request.organisation}/{request.key}")
        claim = self._new_claim()
        now = self._clock()
        start_within = CLAIM_USE_SHARE * exchange.claim_retention_s
        exchange.start_by = Seconds(now + start_within)
        remaining = max(0.0, exchange.deadline - now)
        timeout = min(CLAIM_TIMEOUT_S, remaining)
        ask = AcquireClaim(key, claim, CLAIM_TTL_S, timeout)
        verdict = yield AskController(ControllerName.CLAIMS, ask)
        if verdict is not ClaimVerdict.GRANTED:
            return self._refuse(exchange, verdict)
        answer = yield from call_next(exchange)
        if answer.outcome is Outcome.NOT_RUN:
            withdraw = WithdrawClaim(key, claim)
            yield TellController(ControllerName.CLAIMS, withdraw)
        return answer

    @staticmethod
    def _refuse(exchange: Exchange, verdict: ClaimVerdict) -> Response:
        if verdict is ClaimVerdict.HELD:
            answer = exchange.refuse(
                RefusalReason.DUPLICATE,
                409,
                "a request with this Idempotency-Key was let through before",
            )
            # This request did not run, but the one before it may have.
            answer.outcome = Outcome.UNKNOWN
            return answer
        return exchange.refuse(
            RefusalReason.CLAIM_UNAVAILABLE,
            503,
            "no majority of the claim group answers",
            CLAIM_TIMEOUT_S,
        )
