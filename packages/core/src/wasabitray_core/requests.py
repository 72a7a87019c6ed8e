"""Requests, answers and targets as the decisions see them."""

from __future__ import annotations

import math
from collections.abc import Callable, Generator, Iterator
from dataclasses import dataclass, field

from wasabitray_core.documents import RenderedTemplate, Route, ServicePolicy
from wasabitray_core.ids import (
    AuthorityName,
    CallerRequestId,
    FailureDomainName,
    Fingerprint,
    OrganisationName,
    RegionName,
    Revision,
    Seconds,
    ServiceName,
    TargetId,
)
from wasabitray_core.states import AttemptStatus, Outcome, RefusalReason

Headers = tuple[tuple[str, str], ...]


def find_header(headers: Headers, name: str) -> str:
    """Return a header's value, or an empty string."""
    lowered = name.lower()
    return next((v for n, v in headers if n.lower() == lowered), "")


@dataclass(frozen=True, slots=True)
class Request:
    """A caller's request.

    Attributes:
        query: text after the question mark, without it.
        body: the body, if it was small enough to be read whole.
        stream: a larger body in pieces, readable once.
        length: bytes of the body, None if only its end will tell.
        key: idempotency key given by the caller, empty if none.
        id: names this request in logs; a caller's resend has another.
        authority: host name that it is addressed to, if that selects its
            route.
        caller: where it came from.
    """

    organisation: OrganisationName
    method: str
    path: str
    query: str = ""
    headers: Headers = ()
    body: bytes = b""
    stream: Iterator[bytes] | None = None
    length: int | None = 0
    key: str = ""
    id: CallerRequestId = CallerRequestId("")
    authority: AuthorityName = AuthorityName("")
    caller: str = ""

    def __repr__(self) -> str:
        return f"<Request [{self.method} {self.path}]>"


@dataclass(frozen=True, slots=True)
class Target:
    """A target as it announced itself.

    Attributes:
        address: `IP:PORT` where it listens.
        generation: its run; connections to an earlier one are dead.
    """

    target: TargetId
    service: ServiceName
    region: RegionName
    failure_domain: FailureDomainName
    slots: int
    address: str = ""
    generation: int = 0

    def __repr__(self) -> str:
        return f"<Target [{self.target}]>"


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load a target reported on an answer.

    Attributes:
        waiting: requests queued at the target.
    """

    busy: int
    slots: int
    waiting: int = 0


@dataclass(slots=True)
class Response:
    """An answer of a target, or one of the fleet's own.

    Attributes:
        chunks: the rest of a body too large to hold, after `body`.
        refusal: set on an answer of the fleet's own.
        outcome: set on an answer of the fleet's own.
        fault: set on a target's own error answer.
        retry_after: seconds the caller should wait, if it should.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""
    chunks: Generator[bytes, None, None] | None = None
    target: TargetId | None = None
    refusal: RefusalReason | None = None
    outcome: Outcome | None = None
    detail: str = ""
    fault: str | None = None
    retry_after: float | None = None
    attempts: int = 0

    def get_header(self, name: str) -> str:
        """Return a header's value, or an empty string."""
        return find_header(self.headers, name)

    def __repr__(self) -> str:
        return f"<Response [{self.status}]>"


_NEVER_RAN = frozenset(
    {
        AttemptStatus.REFUSED,
        AttemptStatus.SHED,
        AttemptStatus.UNREACHABLE,
        AttemptStatus.MISDIRECTED,
    }
)


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How one attempt at a target ended."""

    status: AttemptStatus
    response: Response | None = None
    load: LoadReport | None = None
    elapsed: Seconds = Seconds(0.0)
    detail: str = ""

    @property
    def was_sent(self) -> bool:
        """Whether any byte of the request can have reached the target."""
        return self.status is not AttemptStatus.UNREACHABLE

    @property
    def may_have_run(self) -> bool:
        """Whether the target can have started the work."""
        return self.status not in _NEVER_RAN


def _always() -> bool:
    return True


@dataclass(slots=True)
class Exchange:
    """One request on its way through the filter chain.

    Attributes:
        arrived: monotonic time of arrival.
        deadline: monotonic time after which no answer helps.
        may_have_run: whether a target can have started the work.
        attempts: targets that the request was sent to.
        unsent_attempts: attempts for which there was no connection.
        tried_targets: targets already used, newest last.
        pinned_target: the target of a reserved long slot.
        is_suspect: whether the request broke targets before.
        broken_connections: targets that it broke this time.
        start_by: monotonic time after which work must not start, because
            its claim may expire while it runs.
        is_caller_waiting: tells whether the caller still waits.
    """

    request: Request
    arrived: Seconds
    deadline: Seconds
    caller_timeout: Seconds | None = None
    revision: Revision = Revision(0)
    template: RenderedTemplate | None = None
    route: Route | None = None
    claim_retention_s: float = 0.0
    fingerprint: Fingerprint = Fingerprint("")
    may_have_run: bool = False
    attempts: int = 0
    unsent_attempts: int = 0
    tried_targets: list[TargetId] = field(default_factory=list)
    pinned_target: TargetId | None = None
    is_suspect: bool = False
    broken_connections: int = 0
    start_by: Seconds = Seconds(math.inf)
    is_caller_waiting: Callable[[], bool] = _always

    @property
    def matched_route(self) -> Route:
        """The request's route, once it was looked up."""
        assert self.route is not None
        return self.route

    @property
    def service(self) -> ServiceName:
        """The service of the request's route."""
        return ServiceName(self.matched_route.service)

    @property
    def policy(self) -> ServicePolicy:
        """The limits of the request's service."""
        assert self.template is not None
        return self.template.services[self.matched_route.service]

    def refuse(
        self,
        reason: RefusalReason,
        status: int,
        detail: str = "",
        retry_after: float | None = None,
    ) -> Response:
        """Return an answer of the fleet's own with the true outcome."""
        return Response(
            status=status,
            refusal=reason,
            outcome=Outcome.UNKNOWN if self.may_have_run else Outcome.NOT_RUN,
            detail=detail or reason.value,
            retry_after=retry_after,
            attempts=self.attempts,
        )

    def __repr__(self) -> str:
        return f"<Exchange [{self.request.method} {self.request.path}]>"
