"""What callers and targets speak: names of headers and what they mean.

A dialect translates and decides nothing. The one here is the project's own;
another front end brings its own.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

import falcon

from wasabitray_core.filters.chain import Attempt
from wasabitray_core.ids import (
    AuthorityName,
    CallerRequestId,
    OrganisationName,
    Seconds,
)
from wasabitray_core.requests import (
    Exchange,
    Headers,
    LoadReport,
    Response,
    find_header,
)
from wasabitray_core.states import AttemptStatus, Outcome
from wasabitray_node import headers as h

NOT_RUN = "not-run"
SHED_STATUSES = frozenset({429, 503})


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What a caller's headers say of its request.

    Attributes:
        timeout: seconds that the caller waits, if it says so.
        error: why the request can't be taken, empty if it can.
    """

    organisation: OrganisationName = OrganisationName("")
    authority: AuthorityName = AuthorityName("")
    key: str = ""
    id: CallerRequestId = CallerRequestId("")
    timeout: Seconds | None = None
    error: str = ""


class CallerDialect(Protocol):
    """How callers state requests and are answered."""

    def parse_request(self, req: falcon.Request) -> RequestMetadata:
        """Return what the headers of a request say."""

    def write_refusal(
        self, resp: falcon.Response, answer: Response, exchange: Exchange
    ) -> None:
        """Write an answer of the fleet's own."""

    def write_metadata(
        self, resp: falcon.Response, answer: Response, exchange: Exchange
    ) -> None:
        """Add what the fleet says of a target's answer."""


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """What a target's headers say of its answer.

    Attributes:
        status: how the attempt ended.
        load: the load that it reported.
        detail: what is wrong, if something is.
    """

    status: AttemptStatus = AttemptStatus.ANSWERED
    load: LoadReport | None = None
    detail: str = ""


class TargetDialect(Protocol):
    """How requests are put to targets and their answers read."""

    def build_headers(self, attempt: Attempt) -> Headers:
        """Return the headers of an attempt, the host's name included."""

    def parse_response(
        self, attempt: Attempt, status: int, headers: Headers
    ) -> ResponseMetadata:
        """Return what the head of an answer says."""


class NativeCallerDialect:
    """The project's own headers for callers."""

    def __init__(self, host: str) -> None:
        """Take the name of this host, which answers carry."""
        self._host = host

    def parse_request(self, req: falcon.Request) -> RequestMetadata:
        """Return what the headers of a request say."""
        organisation = req.get_header(h.ORGANISATION_HEADER) or ""
        timeout = req.get_header(h.TIMEOUT_HEADER) or ""
        return RequestMetadata(
            OrganisationName(organisation),
            key=req.get_header(h.KEY_HEADER) or "",
            id=CallerRequestId(req.get_header(h.REQUEST_ID_HEADER) or ""),
            timeout=(
                Seconds(int(timeout) / 1_000) if timeout.isdigit() else None
            ),
            error=""
            if organisation
            else f"{h.ORGANISATION_HEADER} is missing",
        )

    def write_refusal(
        self, resp: falcon.Response, answer: Response, exchange: Exchange
    ) -> None:
        """Write an answer of the fleet's own."""
        assert answer.refusal is not None
        self._write_place(resp, exchange)
        outcome = answer.outcome or Outcome.UNKNOWN
        resp.set_header(h.OUTCOME_HEADER, outcome.value)
        resp.set_header(h.REASON_HEADER, answer.refusal.value)
        if answer.retry_after is not None:
            wait = max(1, round(answer.retry_after))
            resp.set_header("Retry-After", str(wait))
        resp.media = {
            "outcome": outcome.value,
            "reason": answer.refusal.value,
            "detail": answer.detail,
            "retry_after_s": answer.retry_after,
        }

    def write_metadata(
        self, resp: falcon.Response, answer: Response, exchange: Exchange
    ) -> None:
        """Add what the fleet says of a target's answer."""
        self._write_place(resp, exchange)
        resp.set_header(h.TARGET_HEADER, answer.target or "")
        resp.set_header(h.ATTEMPTS_HEADER, str(answer.attempts))

    def _write_place(self, resp: falcon.Response, exchange: Exchange) -> None:
        resp.set_header(h.ENTRY_HEADER, self._host)
        if exchange.revision:
            resp.set_header(h.REVISION_HEADER, str(exchange.revision))


class NativeTargetDialect:
    """The project's own headers for targets."""

    def build_headers(self, attempt: Attempt) -> Headers:
        """Return the headers of an attempt, the host's name included."""
        request = attempt.request
        passed = tuple((n, v) for n, v in request.headers if not h.is_own(n))
        return (
            ("Host", attempt.target.address or attempt.target.target),
            *passed,
            (h.ORGANISATION_HEADER, request.organisation),
            (h.DEADLINE_HEADER, str(int(attempt.timeout * 1_000))),
        )

    def parse_response(
        self, attempt: Attempt, status: int, headers: Headers
    ) -> ResponseMetadata:
        """Return what the head of an answer says."""
        outcome = find_header(headers, h.OUTCOME_HEADER)
        load = parse_load(find_header(headers, h.LOAD_HEADER))
        if status in SHED_STATUSES and outcome == NOT_RUN:
            return ResponseMetadata(
                AttemptStatus.SHED, load, f"shed with {status}"
            )
        return ResponseMetadata(load=load)


def parse_load(value: str) -> LoadReport | None:
    """Parse `busy=1, slots=2` from a target's load header."""
    fields = {}
    for part in value.split(","):
        name, _, number = part.strip().partition("=")
        if number.isdigit():
            fields[name] = int(number)
    if "busy" in fields and "slots" in fields:
        return LoadReport(fields["busy"], fields["slots"])
    return None
