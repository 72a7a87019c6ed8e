"""Getting a slot on a target and returning it."""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import Any

from wasabitray_core.filters.chain import (
    AfterResponse,
    AskController,
    Attempt,
    Effect,
    EffectGenerator,
    Filter,
    LogDecision,
    NextFilter,
    TellController,
)
from wasabitray_core.filters.check import SERVER_ERRORS, find_fault
from wasabitray_core.ids import Seconds
from wasabitray_core.local_messages import (
    AcquireSlot,
    AttemptSample,
    ControllerName,
    LongSlotReserved,
    ReleaseLongSlot,
    ReleaseSlot,
    ReportBrokenConnection,
    ReserveLongSlot,
    SlotGrant,
    SlotRefusal,
)
from wasabitray_core.requests import (
    AttemptResult,
    Exchange,
    Response,
    Target,
)
from wasabitray_core.states import AttemptStatus, RefusalReason, WorkClass

# Part of the time left that one attempt at repeatable work may use.
ATTEMPT_SHARE = 0.5
# A full target has served most of its queue by then.
RETRY_SOON_S = 1.0
# A body above this costs more to bring to another region than all else that
# its request needs there.
LARGE_BODY_BYTES = 8_192

# A timer of the event loop may fire this early: it counts from the loop's
# cached time.
TIMER_SLACK_S = 0.05

_DISPATCH = ControllerName.DISPATCH
_NOT_SENT = AttemptResult(AttemptStatus.CANCELLED)
STATUS_OF_REASON = {
    RefusalReason.NO_TARGET: 503,
    RefusalReason.OVERLOAD: 503,
    RefusalReason.DEADLINE: 504,
    RefusalReason.CALLER_GONE: 503,
}


class LongSlotFilter(Filter):
    """Reserves a long slot for long work before it takes a slot."""

    def handle(
        self, exchange: Exchange, call_next: NextFilter
    ) -> EffectGenerator:
        """Reserve and return a long slot around the attempt."""
        if exchange.matched_route.work is WorkClass.SHORT:
            return (yield from call_next(exchange))
        reserve = ReserveLongSlot(
            exchange.service,
            exchange.policy.long_share,
            exchange.deadline,
            tuple(exchange.tried_targets),
        )
        reserved = yield AskController(ControllerName.LONG_SLOTS, reserve)
        if not isinstance(reserved, LongSlotReserved):
            return _refuse(exchange, reserved)
        exchange.pinned_target = reserved.target
        answer = yield from call_next(exchange)
        returned = TellController(
            ControllerName.LONG_SLOTS, ReleaseLongSlot(reserved.request)
        )
        yield AfterResponse(returned) if answer.chunks else returned
        return answer


class SlotFilter(Filter):
    """Takes a slot on a target, makes the attempt and reports on it."""

    def __init__(self, clock: Callable[[], Seconds]) -> None:
        """Take the clock."""
        self._clock = clock

    def handle(
        self, exchange: Exchange, call_next: NextFilter
    ) -> EffectGenerator:
        """Make one attempt; this is the end of the chain."""
        granted = yield AskController(_DISPATCH, self._acquire(exchange))
        if not isinstance(granted, SlotGrant):
            return _refuse(exchange, granted)
        target = granted.target
        now = self._clock()
        if now >= min(exchange.deadline, exchange.start_by):
            # This process may have been frozen while it waited.
            yield self._release(exchange, target, _NOT_SENT)
            refusal = SlotRefusal(RefusalReason.DEADLINE)
            return _refuse(exchange, refusal)
        if not exchange.is_caller_waiting():
            yield self._release(exchange, target, _NOT_SENT)
            return _refuse(exchange, SlotRefusal(RefusalReason.CALLER_GONE))
        exchange.tried_targets.append(target.target)
        # A reused connection can be dead already, and a request lost on it
        # can't be told from one that ran.
        fresh = (
            not exchange.matched_route.idempotent
            or len(exchange.tried_targets) > 1
        )
        timeout = self._attempt_timeout(exchange)
        left = max(0.0, exchange.deadline - self._clock() - timeout)
        result = yield Attempt(
            target, exchange.request, timeout, fresh, Seconds(left)
        )
        if result.was_sent:
            exchange.attempts += 1
        else:
            exchange.unsent_attempts += 1
        yield _describe(exchange, granted, result)
        exchange.may_have_run = exchange.may_have_run or result.may_have_run
        fault = find_fault(exchange, result)
        answer = self._to_answer(exchange, target, result, fault)
        yield from self._report(exchange, target, result, fault is None)
        return answer

    def _attempt_timeout(self, exchange: Exchange) -> Seconds:
        """Return the time for an attempt; it leaves time for a retry.

        Without a retry to come, the attempt may use all that is left.
        """
        remaining = max(0.0, exchange.deadline - self._clock())
        route = exchange.matched_route
        is_last = exchange.attempts + 1 >= route.attempts
        if is_last or route.work is WorkClass.LONG or not route.idempotent:
            return Seconds(remaining)
        return Seconds(remaining * ATTEMPT_SHARE)

    @staticmethod
    def _acquire(exchange: Exchange) -> AcquireSlot:
        length = exchange.request.length
        return AcquireSlot(
            exchange.service,
            exchange.request.organisation,
            exchange.matched_route.work,
            exchange.matched_route.idempotent,
            exchange.deadline,
            tuple(exchange.tried_targets),
            exchange.pinned_target,
            exchange.attempts > 0,
            exchange.policy.retry_share,
            length is None or length > LARGE_BODY_BYTES,
        )

    def _to_answer(
        self,
        exchange: Exchange,
        target: Target,
        result: AttemptResult,
        fault: str | None,
    ) -> Response:
        answer = result.response
        if answer is not None and (fault is None or _is_own_error(result)):
            answer.target = target.target
            answer.attempts = exchange.attempts
            answer.fault = fault
            return answer
        if answer is not None and answer.chunks is not None:
            answer.chunks.close()
        detail = f"{target.target}: {fault}"
        if (
            result.status is AttemptStatus.TIMED_OUT
            and self._clock() >= exchange.deadline - TIMER_SLACK_S
        ):
            return exchange.refuse(RefusalReason.DEADLINE, 504, detail)
        if result.status is AttemptStatus.CANCELLED:
            return exchange.refuse(RefusalReason.CALLER_GONE, 502, detail)
        if result.status is AttemptStatus.ANSWERED:
            return exchange.refuse(RefusalReason.BAD_ANSWER, 502, detail)
        if result.may_have_run:
            return exchange.refuse(RefusalReason.TARGET_FAILED, 502, detail)
        return exchange.refuse(
            RefusalReason.TARGET_FAILED, 503, detail, RETRY_SOON_S
        )

    @staticmethod
    def _release(
        exchange: Exchange,
        target: Target,
        result: AttemptResult,
        good: bool = True,
    ) -> TellController:
        release = ReleaseSlot(
            exchange.service,
            target.target,
            exchange.matched_route.work,
            result.status,
            result.elapsed,
            result.load,
            not good and result.status is AttemptStatus.ANSWERED,
        )
        return TellController(_DISPATCH, release)

    def _report(
        self,
        exchange: Exchange,
        target: Target,
        result: AttemptResult,
        good: bool,
    ) -> Generator[Effect, Any, None]:
        release = self._release(exchange, target, result, good)
        streaming = good and result.response and result.response.chunks
        yield AfterResponse(release) if streaming else release
        if result.status is AttemptStatus.FAILED:
            # A break is evidence against the request as well.
            exchange.broken_connections += 1
            broke = ReportBrokenConnection(exchange.fingerprint, target.target)
            yield TellController(ControllerName.QUARANTINE, broke)
        if _speaks_for_target(result):
            sample = AttemptSample(
                exchange.service,
                target.target,
                exchange.matched_route.work,
                good,
                result.elapsed,
            )
            yield TellController(ControllerName.HEALTH, sample)


def _describe(
    exchange: Exchange, granted: SlotGrant, result: AttemptResult
) -> LogDecision:
    """Return the log line of an attempt: its choice and its end."""
    available = granted.availability
    age = granted.failure_age
    return LogDecision(
        "attempt",
        {
            "request": exchange.request.id,
            "number": len(exchange.tried_targets),
            "target": granted.target.target,
            "address": granted.target.address,
            "service": exchange.service,
            "basis": granted.basis.value,
            "load": round(granted.load, 2),
            "usable": available.usable,
            "cooling": available.cooling,
            "cooling_long": available.cooling_long,
            "failure_age_ms": None if age is None else round(age * 1_000),
            "lost_share": round(granted.lost_share, 3),
            "waited_ms": round(granted.waited * 1_000, 1),
            "status": result.status.value,
            "detail": result.detail,
            "answer": result.response.status if result.response else None,
            "elapsed_ms": round(result.elapsed * 1_000, 1),
        },
    )


def _speaks_for_target(result: AttemptResult) -> bool:
    """Tell whether an attempt is evidence about its target.

    Shedding is load and a stale connection is the path's fault.
    """
    return result.status not in (
        AttemptStatus.SHED,
        AttemptStatus.STALE_CONNECTION,
        AttemptStatus.CANCELLED,
    )


def _is_own_error(result: AttemptResult) -> bool:
    """Tell whether a target answered with an error status of its own."""
    answer = result.response
    return answer is not None and answer.status in SERVER_ERRORS


def _refuse(exchange: Exchange, refusal: SlotRefusal) -> Response:
    return exchange.refuse(
        refusal.reason,
        STATUS_OF_REASON[refusal.reason],
        f"service {exchange.service}",
        refusal.retry_after,
    )
