"""Tests of the headers and statuses for callers and instances."""

import falcon
import pytest
from falcon.testing import create_environ

from wasabitray_core.filters.chain import Attempt
from wasabitray_core.requests import Exchange, Request, Response, Target
from wasabitray_core.states import AttemptStatus, Outcome, RefusalReason
from wasabitray_platform.callers import (
    NOT_RUN_STATUSES,
    PlatformCallerDialect,
    get_status,
)
from wasabitray_platform.targets import PlatformTargetDialect, parse_load

REQUEST = Request(
    "", "GET", "/a/b", headers=(("Request-Id", "id-1"), ("X-Other", "1")),
    id="id-1", authority="rota.example",
)  # fmt: skip
TARGET = Target("i-1", "s1", "south", "hobart", 2, "10.0.0.1:80", 5)
ATTEMPT = Attempt(TARGET, REQUEST, 1.5, True)
VALID_HEADERS = (("Request-Id", "id-1"), ("Server-Stamp", "s"))


def parse(status=200, headers=VALID_HEADERS, is_reused=False):
    return PlatformTargetDialect().parse_response(
        ATTEMPT, status, headers, is_reused
    )


def make_refusal(status, outcome, reason=RefusalReason.OVERLOAD):
    return Response(status, refusal=reason, outcome=outcome, retry_after=0.25)


def test_request_names_the_expected_instance():
    headers = dict(PlatformTargetDialect().build_headers(ATTEMPT))
    assert headers == {
        "Host": "rota.example",
        "Request-Id": "id-1",
        "X-Other": "1",
        "Deadline-Ms": "1500",
        "Expect-Instance": "i-1",
    }


def test_callers_deadline_header_is_replaced():
    request = Request("", "GET", "/", headers=(("Deadline-Ms", "9000"),))
    attempt = Attempt(TARGET, request, 1.5, True)
    headers = PlatformTargetDialect().build_headers(attempt)
    assert [v for n, v in headers if n == "Deadline-Ms"] == ["1500"]


def test_valid_response_is_accepted():
    assert parse().status is AttemptStatus.ANSWERED
    assert parse(500).status is AttemptStatus.ANSWERED


@pytest.mark.parametrize("status", [400, 429, 503])
def test_not_executed_header_means_not_run(status):
    metadata = parse(status, (*VALID_HEADERS, ("Not-Executed", "1")))
    assert metadata.status is AttemptStatus.SHED


@pytest.mark.parametrize("status", [400, 408, 421, 429, 503])
@pytest.mark.parametrize(
    ("headers", "is_reused"),
    [((("Request-Id", "id-0"),), False), ((("Request-Id", "id-0"),), True),
     ((), True)],
)  # fmt: skip
def test_refusal_of_another_request_promises_nothing(
    status, headers, is_reused
):
    metadata = parse(status, (*headers, ("Not-Executed", "1")), is_reused)
    assert metadata.status is AttemptStatus.INVALID


@pytest.mark.parametrize("status", [421, 429, 503])
def test_refusal_without_an_id_on_a_new_connection_means_not_run(status):
    metadata = parse(status, (("Not-Executed", "1"),), is_reused=False)
    assert metadata.status in (AttemptStatus.SHED, AttemptStatus.MISDIRECTED)


def test_misdirected_request_has_not_run():
    metadata = parse(421, (("Instance-Id", "i-9"),))
    assert metadata.status is AttemptStatus.MISDIRECTED


@pytest.mark.parametrize(
    ("status", "headers"),
    [
        (200, (("Request-Id", "id-0"), ("Server-Stamp", "s"))),
        (200, (("Server-Stamp", "s"),)),
        (200, (("Request-Id", "id-1"),)),
        (200, (*VALID_HEADERS, ("Content-Encoding", "gzip"))),
        (503, VALID_HEADERS),
        (429, VALID_HEADERS),
    ],
)
def test_invalid_response_may_have_run(status, headers):
    metadata = parse(status, headers)
    assert metadata.status is AttemptStatus.INVALID
    assert metadata.detail


@pytest.mark.parametrize(
    ("value", "load"),
    [
        ("3,1,8", (3, 1, 8)),
        ("3, 1, 8", (3, 1, 8)),
        ("", None),
        ("a,b,c", None),
    ],
)
def test_load_header_is_parsed(value, load):
    report = parse_load(value)
    assert (report and (report.busy, report.waiting, report.slots)) == load


@pytest.mark.parametrize("status", [502, 503, 504, 500])
def test_status_promises_not_run_only_if_that_is_known(status):
    assert (
        get_status(make_refusal(status, Outcome.NOT_RUN)) in NOT_RUN_STATUSES
    )
    assert (
        get_status(make_refusal(status, Outcome.UNKNOWN))
        not in NOT_RUN_STATUSES
    )


def test_quarantined_request_is_not_reported_as_invalid():
    response = make_refusal(422, Outcome.NOT_RUN, RefusalReason.QUARANTINED)
    assert get_status(response) == 429


@pytest.mark.parametrize(
    ("outcome", "retry_after"),
    [(Outcome.NOT_RUN, "0.250"), (Outcome.UNKNOWN, None)],
)
def test_only_requests_that_have_not_run_get_retry_after(outcome, retry_after):
    resp = falcon.Response()
    response = make_refusal(503, outcome)
    dialect = PlatformCallerDialect()
    dialect.write_refusal(resp, response, Exchange(REQUEST, 0.0, 0.0))
    assert resp.get_header("Retry-After") == retry_after


@pytest.mark.parametrize(
    ("value", "timeout"), [("1500", 1.5), ("soon", None), (None, None)]
)
def test_callers_headers_are_parsed(value, timeout):
    headers = {"Host": "rota.example:80", "Request-Id": "id-1"}
    if value is not None:
        headers["Deadline-Ms"] = value
    env = create_environ("/", headers=headers, host="rota.example")
    metadata = PlatformCallerDialect().parse_request(falcon.Request(env))
    assert (metadata.id, metadata.timeout, metadata.error) == (
        "id-1",
        timeout,
        "",
    )
    assert metadata.authority.startswith("rota.example")
