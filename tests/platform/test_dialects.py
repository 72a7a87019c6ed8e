"""Statuses and headers towards callers and instances."""

import falcon
import pytest
from falcon.testing import create_environ

from wasabitray_core.filters.chain import Attempt
from wasabitray_core.requests import Exchange, Request, Response, Target
from wasabitray_core.states import AttemptStatus, Outcome, RefusalReason
from wasabitray_platform.callers import (
    NOT_RUN_STATUSES,
    PlatformCallerDialect,
    status_of,
)
from wasabitray_platform.targets import PlatformTargetDialect, parse_load

REQUEST = Request(
    "", "GET", "/a/b", headers=(("Request-Id", "id-1"), ("X-Other", "1")),
    id="id-1", authority="rota.example",
)  # fmt: skip
TARGET = Target("i-1", "s1", "south", "hobart", 2, "10.0.0.1:80", 5)
ATTEMPT = Attempt(TARGET, REQUEST, 1.5, True)
GOOD = (("Request-Id", "id-1"), ("Server-Stamp", "s"))


def read(status=200, headers=GOOD):
    return PlatformTargetDialect().parse_response(ATTEMPT, status, headers)


def refusal(status, outcome, reason=RefusalReason.OVERLOAD):
    return Response(status, refusal=reason, outcome=outcome, retry_after=0.25)


def test_request_is_put_to_the_instance_that_is_meant():
    headers = dict(PlatformTargetDialect().build_headers(ATTEMPT))
    assert headers == {
        "Host": "rota.example",
        "Request-Id": "id-1",
        "X-Other": "1",
        "Deadline-Ms": "1500",
        "Expect-Instance": "i-1",
    }


def test_callers_deadline_is_not_passed_on_twice():
    request = Request("", "GET", "/", headers=(("Deadline-Ms", "9000"),))
    attempt = Attempt(TARGET, request, 1.5, True)
    headers = PlatformTargetDialect().build_headers(attempt)
    assert [v for n, v in headers if n == "Deadline-Ms"] == ["1500"]


def test_whole_answer_is_one():
    assert read().status is AttemptStatus.ANSWERED
    assert read(500).status is AttemptStatus.ANSWERED


@pytest.mark.parametrize("status", [400, 429, 503])
def test_instance_that_says_so_has_not_run(status):
    found = read(status, (*GOOD, ("Not-Executed", "1")))
    assert found.status is AttemptStatus.SHED


def test_other_instance_at_the_address_has_not_run():
    found = read(421, (("Instance-Id", "i-9"),))
    assert found.status is AttemptStatus.MISDIRECTED


@pytest.mark.parametrize(
    ("status", "headers"),
    [
        (200, (("Request-Id", "id-0"), ("Server-Stamp", "s"))),
        (200, (("Server-Stamp", "s"),)),
        (200, (("Request-Id", "id-1"),)),
        (200, (*GOOD, ("Content-Encoding", "gzip"))),
        (503, GOOD),
        (429, GOOD),
    ],
)
def test_what_is_no_answer_may_have_run(status, headers):
    found = read(status, headers)
    assert found.status is AttemptStatus.INVALID
    assert found.detail


@pytest.mark.parametrize(
    ("value", "load"),
    [
        ("3,1,8", (3, 1, 8)),
        ("3, 1, 8", (3, 1, 8)),
        ("", None),
        ("a,b,c", None),
    ],
)
def test_load_is_read(value, load):
    found = parse_load(value)
    assert (found and (found.busy, found.waiting, found.slots)) == load


@pytest.mark.parametrize("status", [502, 503, 504, 500])
def test_not_run_is_promised_only_when_it_is_known(status):
    assert status_of(refusal(status, Outcome.NOT_RUN)) in NOT_RUN_STATUSES
    assert status_of(refusal(status, Outcome.UNKNOWN)) not in NOT_RUN_STATUSES


def test_quarantine_blames_no_sender():
    answer = refusal(422, Outcome.NOT_RUN, RefusalReason.QUARANTINED)
    assert status_of(answer) == 429


@pytest.mark.parametrize(
    ("outcome", "wait"), [(Outcome.NOT_RUN, "0.250"), (Outcome.UNKNOWN, None)]
)
def test_only_work_that_has_not_run_is_asked_back(outcome, wait):
    resp = falcon.Response()
    answer = refusal(503, outcome)
    dialect = PlatformCallerDialect()
    dialect.write_refusal(resp, answer, Exchange(REQUEST, 0.0, 0.0))
    assert resp.get_header("Retry-After") == wait


@pytest.mark.parametrize(
    ("value", "timeout"), [("1500", 1.5), ("soon", None), (None, None)]
)
def test_callers_headers_are_read(value, timeout):
    headers = {"Host": "rota.example:80", "Request-Id": "id-1"}
    if value is not None:
        headers["Deadline-Ms"] = value
    env = create_environ("/", headers=headers, host="rota.example")
    facts = PlatformCallerDialect().parse_request(falcon.Request(env))
    assert (facts.id, facts.timeout, facts.error) == ("id-1", timeout, "")
    assert facts.authority.startswith("rota.example")
