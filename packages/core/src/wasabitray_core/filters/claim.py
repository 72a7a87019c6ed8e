"""A filter that runs non-idempotent requests at most once."""

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
# At least as long as any claim retention; the claim groups reduce it to
# theirs.
CLAIM_TTL_S = 86_400.0
# A request that can't start within this share of the claim retention is not
# sent to a target.
START_WINDOW_SHARE = 0.5


class ClaimFilter(Filter):
    """Claims the key of a non-idempotent request before it may run.

    The key stays claimed after the request, so a request that the caller
    sends again does not run a second time. The claim is withdrawn only if
    the request certainly did not run; the caller may then send it again.
    """

    def __init__(
        self,
        new_claim: Callable[[], ClaimId],
        clock: Callable[[], Seconds],
    ) -> None:
        """Store the sources of claim ids and of the time.

        Args:
            new_claim: returns a claim id that was never used before.
            clock: returns monotonic seconds.
        """
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
        start_window = START_WINDOW_SHARE * exchange.claim_retention_s
        exchange.start_by = Seconds(now + start_window)
        remaining = max(0.0, exchange.deadline - now)
        timeout = min(CLAIM_TIMEOUT_S, remaining)
        acquire = AcquireClaim(key, claim, CLAIM_TTL_S, timeout)
        verdict = yield AskController(ControllerName.CLAIMS, acquire)
        if verdict is not ClaimVerdict.GRANTED:
            return self._refuse(exchange, verdict)
        response = yield from call_next(exchange)
        if response.outcome is Outcome.NOT_RUN:
            withdrawal = WithdrawClaim(key, claim)
            yield TellController(ControllerName.CLAIMS, withdrawal)
        return response

    @staticmethod
    def _refuse(exchange: Exchange, verdict: ClaimVerdict) -> Response:
        if verdict is ClaimVerdict.HELD:
            response = exchange.refuse(
                RefusalReason.DUPLICATE,
                409,
                "a request with this Idempotency-Key was already accepted",
            )
            # This request did not run, but the earlier one may have.
            response.outcome = Outcome.UNKNOWN
            return response
        return exchange.refuse(
            RefusalReason.CLAIM_UNAVAILABLE,
            503,
            "no majority of the claim group replied",
            CLAIM_TIMEOUT_S,
        )
