"""Filters that acquire and release slots on targets."""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import Any

from wasabitray_core.admission.reservation import find_standing
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
from wasabitray_core.filters.check import SERVER_ERRORS, find_failure
from wasabitray_core.filters.quarantine import refuse_quarantined
from wasabitray_core.ids import Seconds
from wasabitray_core.local_messages import (
    AcquireSlot,
    AdmitAttempt,
    AttemptSample,
    ControllerName,
    LongSlotReserved,
    ReleaseLongSlot,
    ReleaseSlot,
    ReportBrokenConnection,
    ReportUnusedTrial,
    ReserveLongSlot,
    SlotGrant,
    SlotRefusal,
    Suspicion,
    TargetLeaving,
)
from wasabitray_core.requests import (
    AttemptResult,
    Exchange,
    Response,
    Target,
)
from wasabitray_core.states import AttemptStatus, RefusalReason, WorkClass

# Share of the remaining time that one attempt may use if a retry may follow.
ATTEMPT_TIMEOUT_SHARE = 0.5
# A target with a full queue has served most of it after this time.
TARGET_RETRY_AFTER_S = 1.0
# Sending a larger body to another region costs more than all other work for
# its request there.
LARGE_BODY_BYTES = 8_192
# The event loop's timers may fire early by this much, since the loop starts
# them from its cached time.
TIMER_SLACK_S = 0.05

_DISPATCH = ControllerName.DISPATCH
_NOT_SENT = AttemptResult(AttemptStatus.CANCELLED)
STATUS_BY_REASON = {
    RefusalReason.NO_TARGET: 503,
    RefusalReason.OVERLOAD: 503,
    RefusalReason.STOPPING: 503,
    RefusalReason.DEADLINE: 504,
    RefusalReason.CALLER_GONE: 503,
}


class LongSlotFilter(Filter):
    """Reserves a long slot for a long request before it gets a slot."""

    def handle(
        self, exchange: Exchange, call_next: NextFilter
    ) -> EffectGenerator:
        """Hold a long slot during the attempt and release it afterwards."""
        if exchange.matched_route.work is WorkClass.SHORT:
            return (yield from call_next(exchange))
        request = ReserveLongSlot(
            exchange.service,
            exchange.policy.long_share,
            exchange.deadline,
            tuple(exchange.tried_targets),
        )
        reservation = yield AskController(ControllerName.LONG_SLOTS, request)
        if not isinstance(reservation, LongSlotReserved):
            return _refuse(exchange, reservation)
        exchange.pinned_target = reservation.target
        response = yield from call_next(exchange)
        release = TellController(
            ControllerName.LONG_SLOTS, ReleaseLongSlot(reservation.request)
        )
        yield AfterResponse(release) if response.is_streaming else release
        return response


class SlotFilter(Filter):
    """Acquires a slot on a target, makes the attempt and reports its outcome.

    It is the last filter of the chain.
    """

    def __init__(self, clock: Callable[[], Seconds]) -> None:
        """Store the clock, which returns monotonic seconds."""
        self._clock = clock

    def handle(
        self, exchange: Exchange, call_next: NextFilter
    ) -> EffectGenerator:
        """Make one attempt; `call_next` is not used."""
        grant = yield AskController(
            _DISPATCH, self._build_acquire_request(exchange)
        )
        if not isinstance(grant, SlotGrant):
            return _refuse(exchange, grant)
        target = grant.target
        if grant.latest_end < exchange.deadline:
            exchange.deadline = grant.latest_end
            # The target gives up at this deadline and says so.
            exchange.response_wait = grant.response_wait
        # The request may have been quarantined while it waited for the slot.
        admission = AdmitAttempt(exchange.fingerprint)
        suspicion = yield AskController(ControllerName.QUARANTINE, admission)
        if suspicion is Suspicion.QUARANTINED:
            yield self._build_release(exchange, target, _NOT_SENT)
            return refuse_quarantined(exchange)
        refusal = self._find_reason_not_to_send(exchange)
        if refusal is not None:
            yield self._build_release(exchange, target, _NOT_SENT)
            yield from _report_trial(exchange, suspicion, False)
            return _refuse(exchange, refusal)
        exchange.tried_targets.append(target.target)
        # A reused connection may be dead already, and a request that is lost
        # on it can't be distinguished from one that ran.
        use_new_connection = (
            not exchange.matched_route.idempotent
            or len(exchange.tried_targets) > 1
        )
        timeout = self._get_attempt_timeout(exchange)
        stop_extension = max(0.0, exchange.deadline - self._clock() - timeout)
        result = yield Attempt(
            target,
            exchange.request,
            timeout,
            use_new_connection,
            Seconds(stop_extension),
            exchange.response_wait,
            # How long a streamed body takes is up to the caller.
            grant.silence if exchange.request.stream is None else None,
            exchange.matched_route.work,
        )
        if result.was_sent:
            exchange.attempts += 1
        else:
            exchange.unsent_attempts += 1
        given = timeout + stop_extension
        yield _describe_attempt(exchange, grant, result, given)
        if result.is_leaving:
            departure = TargetLeaving(target.target, target.generation)
            yield TellController(ControllerName.TARGETS, departure)
        exchange.may_have_run = exchange.may_have_run or result.may_have_run
        yield from _report_trial(exchange, suspicion, result.may_have_run)
        failure = find_failure(exchange, result)
        response = self._build_response(exchange, target, result, failure)
        yield from self._report_outcome(
            exchange, target, result, failure is None
        )
        return response

    def _find_reason_not_to_send(
        self, exchange: Exchange
    ) -> SlotRefusal | None:
        """Return why a request with a slot should not be sent any more.

        The process may have been suspended while the request waited.
        """
        if self._clock() >= min(exchange.deadline, exchange.start_by):
            return SlotRefusal(RefusalReason.DEADLINE)
        if not exchange.is_caller_waiting():
            return SlotRefusal(RefusalReason.CALLER_GONE)
        return None

    def _get_attempt_timeout(self, exchange: Exchange) -> Seconds:
        """Return an attempt's timeout, which leaves time for a retry.

        If no retry can follow, the attempt may use all remaining time.
        """
        remaining = max(0.0, exchange.deadline - self._clock())
        route = exchange.matched_route
        is_last = exchange.attempts + 1 >= route.attempts
        if is_last or route.work is WorkClass.LONG or not route.idempotent:
            return Seconds(remaining)
        return Seconds(remaining * ATTEMPT_TIMEOUT_SHARE)

    @staticmethod
    def _build_acquire_request(exchange: Exchange) -> AcquireSlot:
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
            exchange.matched_route.has_large_responses,
            None
            if exchange.service_priorities is None
            else find_standing(exchange.priority, exchange.service_priorities),
            exchange.is_second,
        )

    def _build_response(
        self,
        exchange: Exchange,
        target: Target,
        result: AttemptResult,
        failure: str | None,
    ) -> Response:
        response = result.response
        if response is not None and (
            failure is None or _is_server_error(result)
        ):
            response.target = target.target
            response.attempts = exchange.attempts
            response.fault = failure
            return response
        if response is not None and response.chunks is not None:
            response.chunks.close()
        detail = f"{target.target}: {failure}"
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
            RefusalReason.TARGET_FAILED, 503, detail, TARGET_RETRY_AFTER_S
        )

    @staticmethod
    def _build_release(
        exchange: Exchange,
        target: Target,
        result: AttemptResult,
        is_successful: bool = True,
    ) -> TellController:
        release = ReleaseSlot(
            exchange.service,
            target.target,
            exchange.matched_route.work,
            result.status,
            result.elapsed,
            result.load,
            not is_successful and result.status is AttemptStatus.ANSWERED,
            result.retry_after,
        )
        return TellController(_DISPATCH, release)

    def _report_outcome(
        self,
        exchange: Exchange,
        target: Target,
        result: AttemptResult,
        is_successful: bool,
    ) -> Generator[Effect, Any, None]:
        release = self._build_release(exchange, target, result, is_successful)
        is_streaming = (
            is_successful and result.response and result.response.is_streaming
        )
        yield AfterResponse(release) if is_streaming else release
        if result.status is AttemptStatus.FAILED:
            exchange.broken_connections += 1
        if result.may_be_crash:
            report = ReportBrokenConnection(
                exchange.fingerprint, target.target, result.elapsed
            )
            yield TellController(ControllerName.QUARANTINE, report)
        if _is_target_evidence(result):
            sample = AttemptSample(
                exchange.service,
                target.target,
                exchange.matched_route.work,
                is_successful,
                result.elapsed,
            )
            yield TellController(ControllerName.HEALTH, sample)


def _report_trial(
    exchange: Exchange, suspicion: Suspicion, may_have_run: bool
) -> Generator[Effect, Any, None]:
    """Report a trial of a quarantined request that did not run."""
    if suspicion is Suspicion.TRIAL and not may_have_run:
        report = ReportUnusedTrial(exchange.fingerprint)
        yield TellController(ControllerName.QUARANTINE, report)


def _describe_attempt(
    exchange: Exchange, grant: SlotGrant, result: AttemptResult, given: float
) -> LogDecision:
    """Return the log line with the choice of target and the outcome.

    Args:
        exchange: the request.
        grant: the target and what it was chosen by.
        result: the outcome.
        given: seconds that the target was given.
    """
    availability = grant.availability
    age = grant.failure_age
    return LogDecision(
        "attempt",
        {
            "request": exchange.request.id,
            "number": len(exchange.tried_targets),
            "target": grant.target.target,
            "address": grant.target.address,
            "service": exchange.service,
            "basis": grant.basis.value,
            "load": round(grant.load, 2),
            "usable": availability.usable,
            "cooling": availability.cooling,
            "cooling_long": availability.cooling_long,
            "failure_age_ms": None if age is None else round(age * 1_000),
            "lost_share": round(grant.lost_share, 3),
            "waited_ms": round(grant.waited * 1_000, 1),
            "given_ms": round(given * 1_000),
            "status": result.status.value,
            "detail": result.detail,
            "answer": result.response.status if result.response else None,
            "leaving": result.is_leaving,
            "retry_after_s": result.retry_after,
            "elapsed_ms": round(result.elapsed * 1_000, 1),
        },
    )


def _is_target_evidence(result: AttemptResult) -> bool:
    """Return whether an attempt is evidence of its target's health.

    A shed request shows load, a stale connection is a fault of the network
    path, and a cancelled attempt was ended by the caller.
    """
    return result.status not in (
        AttemptStatus.SHED,
        AttemptStatus.STALE_CONNECTION,
        AttemptStatus.CANCELLED,
    )


def _is_server_error(result: AttemptResult) -> bool:
    """Return whether the target responded with a server error status."""
    response = result.response
    return response is not None and response.status in SERVER_ERRORS


def _refuse(exchange: Exchange, refusal: SlotRefusal) -> Response:
    return exchange.refuse(
        refusal.reason,
        STATUS_BY_REASON[refusal.reason],
        f"service {exchange.service}"
        + (f": {refusal.detail}" if refusal.detail else ""),
        refusal.retry_after,
    )
