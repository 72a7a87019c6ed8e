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


# Guards against a 4xx of something else than the instance, which the caller
# would take for the instance's or the entry's word on the request.
@pytest.mark.parametrize("status", [301, 400, 401, 403, 404, 413, 422, 431])
def test_refusal_without_a_stamp_is_no_response(status):
    metadata = parse(status, (("Request-Id", "id-1"),))
    assert metadata.status is AttemptStatus.INVALID
    assert metadata.detail
    assert parse(status).status is AttemptStatus.ANSWERED


@pytest.mark.parametrize(
    ("value", "load"),
    [
        ("3,1,8", (3, 1, 8)),
        ("3, 1, 8", (3, 1, 8)),
        ("", None),
        ("a,b,c", None),
        ("\xb2,1,8", None),
        ("9" * 5_000 + ",1,8", None),
    ],
    ids=["plain", "spaces", "empty", "letters", "superscript", "long"],
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


def with_headers(**headers):
    return (
        *VALID_HEADERS,
        *((n.replace("_", "-"), v) for n, v in headers.items()),
    )


@pytest.mark.parametrize("status", [200, 404, 500])
def test_response_of_a_leaving_instance_is_accepted(status):
    metadata = parse(status, with_headers(Server_Leaving="1"))
    assert metadata.status is AttemptStatus.ANSWERED
    assert metadata.is_leaving
    assert not parse(status).is_leaving


def test_refusal_of_a_leaving_instance_says_so_too():
    headers = with_headers(Not_Executed="1", Server_Leaving="1")
    metadata = parse(503, headers)
    assert metadata.status is AttemptStatus.SHED
    assert metadata.is_leaving


@pytest.mark.parametrize("value", ["", "0", "yes", "11"])
def test_other_values_of_the_leaving_header_are_ignored(value):
    assert not parse(200, with_headers(Server_Leaving=value)).is_leaving


def test_another_request_or_instance_can_not_announce_a_leave():
    leaving = ("Server-Leaving", "1")
    other = (("Request-Id", "id-2"), ("Server-Stamp", "s"), leaving)
    assert not parse(200, other).is_leaving
    assert not parse(421, with_headers(Server_Leaving="1")).is_leaving


@pytest.mark.parametrize(
    ("value", "seconds"),
    [
        ("6", 6.0), ("6.5", 6.5), (" 2 ", 2.0), ("0", 0.0), ("", None),
        ("-1", None), ("1e3", None), ("inf", None), ("nan", None),
        ("soon", None), ("9" * 400, None), ("1.", None), ("\u0666", None),
        ("Wed, 21 Oct 2026 07:28:00 GMT", None),
    ],
)  # fmt: skip
def test_retry_after_of_an_instance_is_read(value, seconds):
    headers = with_headers(Not_Executed="1", Retry_After=value)
    assert parse(503, headers).retry_after == seconds
    # The instance answered 503, even if it may have run the request.
    assert parse(503, with_headers(Retry_After=value)).retry_after == seconds
    assert parse(429, headers).retry_after is None
