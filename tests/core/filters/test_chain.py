"""The whole chain, driven by a script instead of sockets."""

import itertools

import pytest
from support.fakes import FakeClock

from wasabitray_core.documents import RenderedTemplate, Route, ServicePolicy
from wasabitray_core.filters import build_chain
from wasabitray_core.filters.chain import (
    AskController,
    Attempt,
    LogDecision,
    TellController,
    run_effects,
)
from wasabitray_core.local_messages import (
    AcquireClaim,
    AcquireSlot,
    AttemptSample,
    ClaimVerdict,
    ReleaseSlot,
    RequestEnded,
    ResolveRoute,
    RouteResolved,
    SlotGrant,
    SlotRefusal,
    Suspicion,
    WithdrawClaim,
)
from wasabitray_core.requests import (
    AttemptResult,
    Exchange,
    Request,
    Response,
    Target,
)
from wasabitray_core.states import AttemptStatus, Outcome, RefusalReason

S = AttemptStatus


class Script:
    """Answers the chain's effects and keeps what it did."""

    def __init__(self, *statuses, idempotent=True, verdict="granted", **route):
        self.clock = FakeClock()
        self.results = iter(statuses)
        self.verdict = ClaimVerdict(verdict)
        self.route = Route(
            path="/",
            service="rota",
            methods=("GET", "POST"),
            idempotent=idempotent,
            **route,
        )
        self.attempts, self.told, self.notes = [], [], []
        self.slots = itertools.count(1)
        self.freeze_s = 0.0

    def run(self, key=""):
        request = Request("hobart", "POST", "/x", key=key)
        self.exchange = Exchange(request, self.clock(), self.clock())
        chain = build_chain(self.clock, lambda: "claim-1")
        return run_effects(chain.run(self.exchange), self.perform)

    def perform(self, effect):
        if isinstance(effect, AskController):
            return self.reply(effect.message)
        if isinstance(effect, TellController):
            self.told.append(effect.message)
            return None
        if isinstance(effect, LogDecision):
            self.notes.append(effect)
            return None
        assert isinstance(effect, Attempt)
        self.attempts.append(effect)
        result = next(self.results)
        if isinstance(result, AttemptStatus):
            answer = Response(200) if result is S.ANSWERED else None
            return AttemptResult(result, answer)
        return result

    def reply(self, message):
        if isinstance(message, ResolveRoute):
            policy = ServicePolicy()
            filled = RenderedTemplate(
                services={"rota": policy}, routes=(self.route,)
            )
            return RouteResolved(1, filled, self.route, 600.0)
        if isinstance(message, AcquireClaim):
            return self.verdict
        if isinstance(message, AcquireSlot):
            self.clock.advance(self.freeze_s)
            if message.retry and self.slots is None:
                return SlotRefusal(RefusalReason.OVERLOAD, 1.0)
            name = f"t{next(self.slots)}" if self.slots else "t1"
            return SlotGrant(Target(name, "rota", "r", "d", 2))
        return Suspicion.NONE

    def told_of(self, kind):
        return [m for m in self.told if isinstance(m, kind)]


def test_good_answer_passes():
    script = Script(S.ANSWERED)
    assert script.run().status == 200
    assert [s.good for s in script.told_of(AttemptSample)] == [True]


@pytest.mark.parametrize(
    "status", [S.FAILED, S.TRUNCATED, S.TIMED_OUT, S.STALE_CONNECTION]
)
def test_request_that_may_have_run_is_repeated_only_if_idempotent(status):
    script = Script(status, S.ANSWERED)
    assert script.run().status == 200
    script = Script(status, S.ANSWERED, idempotent=False)
    answer = script.run(key="k")
    assert len(script.attempts) == 1
    assert answer.outcome is Outcome.UNKNOWN
    assert not script.told_of(WithdrawClaim)


@pytest.mark.parametrize("status", [S.REFUSED, S.SHED])
def test_request_that_did_not_run_is_repeated_and_said_so(status):
    script = Script(status, S.ANSWERED, idempotent=False)
    assert script.run(key="k").status == 200
    script = Script(status, status, status, idempotent=False)
    answer = script.run(key="k")
    assert answer.outcome is Outcome.NOT_RUN
    assert len(script.told_of(WithdrawClaim)) == 1


def test_after_one_attempt_that_may_have_run_the_outcome_stays_unknown():
    script = Script(S.FAILED, S.REFUSED, S.REFUSED)
    assert script.run().outcome is Outcome.UNKNOWN


def test_non_idempotent_request_never_uses_an_idle_connection():
    script = Script(S.ANSWERED, idempotent=False)
    script.run(key="k")
    assert script.attempts[0].use_new_connection


def test_key_is_required_for_non_idempotent_work():
    script = Script(idempotent=False)
    answer = script.run()
    assert (answer.status, answer.outcome) == (400, Outcome.NOT_RUN)


@pytest.mark.parametrize("verdict", ["held", "unavailable"])
def test_without_a_claim_nothing_is_sent(verdict):
    script = Script(idempotent=False, verdict=verdict)
    answer = script.run(key="k")
    assert not script.attempts
    held = verdict == "held"
    assert answer.outcome is (Outcome.UNKNOWN if held else Outcome.NOT_RUN)


def test_entry_frozen_past_the_deadline_does_not_start_the_work():
    script = Script(idempotent=False, deadline_ms=3_600_000)
    script.freeze_s = 400.0
    answer = script.run(key="k")
    assert not script.attempts
    assert answer.outcome is Outcome.NOT_RUN
    assert len(script.told_of(ReleaseSlot)) == 1


def test_timer_that_fires_early_still_means_the_deadline():
    script = Script(S.TIMED_OUT, idempotent=False, deadline_ms=1_000)
    script.freeze_s = 0.98
    answer = script.run(key="k")
    assert (answer.status, answer.refusal) == (504, RefusalReason.DEADLINE)


def test_used_up_retry_budget_lets_the_first_failure_stand():
    script = Script(S.FAILED)
    script.slots = None
    assert script.run().refusal is RefusalReason.TARGET_FAILED
    (note,) = [n for n in script.notes if n.event == "retry refused"]
    assert (note.fields["attempts"], note.fields["reason"]) == (1, "overload")


@pytest.mark.parametrize(
    ("statuses", "ends"),
    [
        ([S.ANSWERED], [True]),
        ([S.FAILED, S.ANSWERED], [True]),
        ([S.FAILED, S.FAILED], [False]),
        ([S.CANCELLED], []),
    ],
)
def test_end_of_a_request_is_told_once_unless_its_caller_left(statuses, ends):
    script = Script(*statuses)
    script.run()
    assert [e.served for e in script.told_of(RequestEnded)] == ends


def test_request_that_breaks_targets_is_not_spread_further():
    script = Script(S.FAILED, S.FAILED, S.FAILED)
    script.run()
    assert len(script.attempts) == 2


def test_error_answer_of_the_target_is_passed_on():
    error = AttemptResult(S.ANSWERED, Response(500, body=b"why"))
    script = Script(error, idempotent=False)
    answer = script.run(key="k")
    assert (answer.status, answer.body) == (500, b"why")
    assert answer.refusal is None


def test_answer_that_breaks_its_description_is_not_passed_on():
    bad = AttemptResult(S.ANSWERED, Response(200, body=b"{}"))
    good_answer = {"required_fields": ("branch",)}
    script = Script(bad, bad, bad, good_answer=good_answer)
    answer = script.run()
    assert answer.refusal is RefusalReason.BAD_ANSWER
    assert [s.good for s in script.told_of(AttemptSample)] == [False] * 3


@pytest.mark.parametrize("status", [S.SHED, S.STALE_CONNECTION])
def test_load_and_silent_paths_are_no_evidence_against_a_target(status):
    script = Script(status, S.ANSWERED)
    script.run()
    assert [s.good for s in script.told_of(AttemptSample)] == [True]


def test_attempt_without_a_connection_is_free():
    script = Script(S.UNREACHABLE, S.UNREACHABLE, S.ANSWERED, attempts=1)
    answer = script.run()
    assert (answer.status, answer.refusal) == (200, None)
    assert script.exchange.attempts == 1


@pytest.mark.parametrize(
    ("attempts", "timeouts"), [(1, [2.0]), (2, [1.0, 2.0]), (3, [1.0, 1.0, 2])]
)
def test_last_attempt_may_use_all_the_time(attempts, timeouts):
    script = Script(*[S.TIMED_OUT] * 3, attempts=attempts)
    script.run()
    assert [a.timeout for a in script.attempts] == timeouts


def test_attempts_without_a_connection_come_to_an_end():
    answer = Script(*[S.UNREACHABLE] * 20).run()
    assert answer.outcome is Outcome.NOT_RUN
    assert answer.status == 503
