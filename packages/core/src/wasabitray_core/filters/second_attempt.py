"""A filter that sends a slow request to a second target.

Hedged requests as in Dean and Barroso, "The Tail at Scale" (Communications of
the ACM, 2013): the second attempt follows after a delay that most attempts
don't need, the first response is used, and the other attempt is cancelled.
"""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import Any

from msgspec.structs import replace

from wasabitray_core.filters.chain import (
    AskController,
    Attempt,
    AttemptHandle,
    AwaitAttempts,
    CancelAttempt,
    Effect,
    EffectGenerator,
    Filter,
    LogDecision,
    NextFilter,
    StartAttempt,
    TellController,
)
from wasabitray_core.ids import Seconds, TargetId
from wasabitray_core.local_messages import (
    CheckQuarantine,
    ControllerName,
    Suspicion,
)
from wasabitray_core.requests import (
    AttemptResult,
    Exchange,
    Response,
)
from wasabitray_core.second_attempts.eligibility import (
    MAX_REPEATS,
    REPEAT_SHARE,
    is_eligible,
    is_temporary,
)
from wasabitray_core.second_attempts.messages import (
    PlanSecondAttempt,
    ReportResponseSize,
    RequestSecondAttempt,
)
from wasabitray_core.states import Outcome, SecondAttemptResult

_DISPATCH = ControllerName.DISPATCH
Steps = Generator[Effect, Any, None]


class SecondAttemptFilter(Filter):
    """Races the first attempt at a target with a second one if it is slow.

    It stands between the retries and the slots. Each attempt goes through the
    filters after this one, which acquire its slot and report how it ended;
    only its sending is taken out of them, so that two can run together.
    """

    def __init__(self, is_stopping: Callable[[], bool]) -> None:
        """Store a function that returns whether the entry is stopping."""
        self._is_stopping = is_stopping

    def handle(
        self, exchange: Exchange, call_next: NextFilter
    ) -> EffectGenerator:
        """Make one attempt, or two at the same time."""
        if self._is_stopping() or not is_eligible(exchange):
            return (yield from call_next(exchange))
        route = exchange.matched_route
        name = route.name or route.path
        plan = PlanSecondAttempt(exchange.service, route.work, name)
        delay = yield AskController(_DISPATCH, plan)
        if delay is None:
            response = yield from call_next(exchange)
        else:
            response = yield from self._race(exchange, call_next, delay)
        if _is_served(response):
            size = _find_size(response)
            report = ReportResponseSize(exchange.service, name, size)
            yield TellController(_DISPATCH, report)
        return response

    def _race(
        self, exchange: Exchange, call_next: NextFilter, delay: Seconds
    ) -> EffectGenerator:
        first = _Branch(exchange, call_next)
        yield from first.advance()
        if first.attempt is None:
            assert first.response is not None
            return first.response
        yield from first.start()
        ended = yield AwaitAttempts((first.handle,), delay)
        second, repeats = None, 0
        while ended is None:
            is_repeated = repeats > 0
            second = yield from self._start_second(
                exchange, call_next, first, is_repeated
            )
            if second is not None:
                break
            repeats += 1
            may_repeat = (
                is_temporary(exchange.second_attempt)
                and repeats <= MAX_REPEATS
            )
            wait = Seconds(REPEAT_SHARE * delay) if may_repeat else None
            ended = yield AwaitAttempts((first.handle,), wait)
        if second is None:
            yield from first.finish(ended.result)
            assert first.response is not None
            return first.response
        yield from _await_winner(first, second)
        _merge(exchange, second.exchange)
        response = _choose_response(first, second)
        exchange.second_attempt = _find_result(response, first, second)
        response.attempts = exchange.attempts
        yield _describe(exchange, first, second.target, delay)
        return response

    def _start_second(
        self,
        exchange: Exchange,
        call_next: NextFilter,
        first: _Branch,
        is_repeated: bool,
    ) -> Generator[Effect, Any, _Branch | None]:
        """Start a second attempt, if it is allowed now."""
        if self._is_stopping():
            exchange.second_attempt = SecondAttemptResult.STOPPING
            return None
        check = CheckQuarantine(exchange.fingerprint)
        suspicion = yield AskController(ControllerName.QUARANTINE, check)
        if suspicion is not Suspicion.NONE:
            exchange.second_attempt = SecondAttemptResult.SUSPECT
            return None
        request = RequestSecondAttempt(
            exchange.service,
            exchange.matched_route.work,
            first.target,
            exchange.deadline,
            is_repeated,
        )
        verdict = yield AskController(_DISPATCH, request)
        if verdict.target is None:
            exchange.second_attempt = verdict.refusal
            return None
        # The attempts run together, so each has an exchange of its own.
        fork = replace(
            exchange,
            tried_targets=list(exchange.tried_targets),
            pinned_target=verdict.target,
            is_second=True,
        )
        second = _Branch(fork, call_next)
        yield from second.advance()
        if second.attempt is None:
            exchange.second_attempt = SecondAttemptResult.NO_ROOM
            return None
        yield from second.start()
        return second


class _Branch:
    """One of the two attempts: the rest of the chain without its sending.

    Attributes:
        attempt: what is to be sent, None if there is no attempt.
        response: how it ended, None before that.
        was_cancelled: whether the other attempt was faster.
    """

    def __init__(self, exchange: Exchange, call_next: NextFilter) -> None:
        self.exchange = exchange
        self._effects = call_next(exchange)
        self._handle: AttemptHandle | None = None
        self.attempt: Attempt | None = None
        self.response: Response | None = None
        self.was_cancelled = False

    @property
    def handle(self) -> AttemptHandle:
        assert self._handle is not None
        return self._handle

    @property
    def target(self) -> TargetId:
        assert self.attempt is not None
        return self.attempt.target.target

    def start(self) -> Steps:
        assert self.attempt is not None
        self._handle = yield StartAttempt(self.attempt)

    def finish(self, result: AttemptResult) -> Steps:
        """Continue the chain with the attempt's result, up to its end."""
        yield from self.advance(result)

    def cancel(self) -> Steps:
        self.was_cancelled = True
        result = yield CancelAttempt(self.handle)
        yield from self.finish(result)

    def advance(self, result: AttemptResult | None = None) -> Steps:
        """Perform the chain's effects up to its attempt, or up to its end."""
        value: Any = result
        while True:
            try:
                effect = self._effects.send(value)
            except StopIteration as stop:
                self.response = stop.value
                return
            if isinstance(effect, Attempt):
                self.attempt = effect
                return
            value = yield effect


def _await_winner(first: _Branch, second: _Branch) -> Steps:
    """Wait for a usable response, or until both attempts have failed."""
    running = [first, second]
    while running:
        ended = yield AwaitAttempts(tuple(b.handle for b in running))
        branch = next(b for b in running if b.handle == ended.handle)
        running.remove(branch)
        yield from branch.finish(ended.result)
        if _is_served(branch.response):
            for loser in running:
                yield from loser.cancel()
            return


def _merge(exchange: Exchange, second: Exchange) -> None:
    """Add what the second attempt showed about the request.

    Its exchange began as a copy, before the first attempt had ended.
    """
    exchange.attempts += second.attempts
    exchange.unsent_attempts += second.unsent_attempts
    exchange.broken_connections += second.broken_connections
    exchange.may_have_run = exchange.may_have_run or second.may_have_run
    exchange.tried_targets += second.tried_targets[-1:]


def _choose_response(first: _Branch, second: _Branch) -> Response:
    """Return the response for the caller and close the other one.

    If both attempts failed, a target's own response goes first, then one that
    says that the request may have run, since one of the targets may have.
    """
    assert first.response is not None
    assert second.response is not None
    ranked = sorted((first.response, second.response), key=_rank)
    if ranked[1].chunks is not None:
        ranked[1].chunks.close()
    return ranked[0]


def _rank(response: Response) -> tuple[bool, bool, bool]:
    return (
        not _is_served(response),
        response.refusal is not None,
        response.outcome is Outcome.NOT_RUN,
    )


def _find_result(
    response: Response, first: _Branch, second: _Branch
) -> SecondAttemptResult:
    if second.was_cancelled:
        return SecondAttemptResult.CANCELLED
    if response is second.response and _is_served(response):
        return SecondAttemptResult.WON
    return SecondAttemptResult.FAILED


def _is_served(response: Response | None) -> bool:
    return (
        response is not None
        and response.refusal is None
        and response.fault is None
    )


def _find_size(response: Response) -> int | None:
    """Return the bytes of a response's body, None if they are not known."""
    if response.chunks is None:
        return len(response.body)
    length = response.get_header("Content-Length")
    return int(length) if length.isdecimal() else None


def _describe(
    exchange: Exchange, first: _Branch, second: TargetId, delay: Seconds
) -> LogDecision:
    assert exchange.second_attempt is not None
    return LogDecision(
        "second attempt",
        {
            "request": exchange.request.id,
            "service": exchange.service,
            "status": exchange.second_attempt.value,
            "first": first.target,
            "second": second,
            "delay_ms": round(delay * 1_000, 1),
        },
    )
