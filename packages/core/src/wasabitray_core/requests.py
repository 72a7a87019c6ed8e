"""Requests, responses and targets as data, without their encoding."""

from __future__ import annotations

import math
from collections.abc import Callable, Generator, Iterator

from msgspec import Struct, field

from wasabitray_core.documents import RenderedTemplate, Route, ServicePolicy
from wasabitray_core.ids import (
    ApiKey,
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
from wasabitray_core.organisation_policy import OrganisationPolicy
from wasabitray_core.states import (
    AttemptStatus,
    Outcome,
    RefusalReason,
    RequestAccess,
    SecondAttemptResult,
)

Headers = tuple[tuple[str, str], ...]


def find_header(headers: Headers, name: str) -> str:
    """Return the value of a header, or an empty string."""
    lowered = name.lower()
    return next((v for n, v in headers if n.lower() == lowered), "")


class Request(Struct, frozen=True):
    """A caller's request.

    Attributes:
        query: text after the question mark; None if there is no mark.
        body: the body, if it was small enough to be read whole.
        stream: a larger body in chunks; it can be read only once.
        length: size of the body in bytes, None if it is not known before the
            end of the body.
        body_start: the first bytes of a streamed body, which the stream
            contains too.
        key: idempotency key that the caller gave, empty if none.
        id: identifies the request in logs. A request that the caller sends
            again has another id.
        authority: host name that the request is addressed to, if that selects
            its route.
        caller: address of the caller.
        api_key: the caller's key, empty if it sent none.
        access: how the request was admitted; set by the filter chain, with
            the organisation of an authenticated request.
    """

    organisation: OrganisationName
    method: str
    path: str
    query: str | None = None
    headers: Headers = ()
    body: bytes = b""
    stream: Iterator[bytes] | None = None
    length: int | None = 0
    key: str = ""
    id: CallerRequestId = CallerRequestId("")
    authority: AuthorityName = AuthorityName("")
    caller: str = ""
    body_start: bytes = b""
    api_key: ApiKey = ApiKey("")
    access: RequestAccess = RequestAccess.UNRESTRICTED

    def __repr__(self) -> str:
        return f"<Request [{self.method} {self.path}]>"


class Target(Struct, frozen=True):
    """A target as it announced itself.

    Attributes:
        address: `IP:PORT` where it listens.
        generation: identifies a start of the target's process. Connections to
            an earlier generation no longer work.
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


class LoadReport(Struct, frozen=True):
    """Load that a target reported with a response.

    Attributes:
        busy: slots in use.
        waiting: requests in the target's queue.
    """

    busy: int
    slots: int
    waiting: int = 0


class Response(Struct):
    """A response of a target, or one that the proxy itself generated.

    Attributes:
        chunks: rest of the body after `body`. If `body` is complete, there
            is no rest, but `chunks` must be closed once `body` was sent.
        is_complete: whether all of the body has arrived although it has
            `chunks`.
        refusal: why the proxy generated the response; None for a target's.
        outcome: whether the request may have run; None for a target's.
        fault: what is wrong with a target's response, if it is an error.
        retry_after: seconds that the caller should wait before a retry, if
            any.
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
    is_complete: bool = False

    @property
    def is_streaming(self) -> bool:
        """Whether the target may still send some of the body."""
        return self.chunks is not None and not self.is_complete

    def get_header(self, name: str) -> str:
        """Return the value of a header, or an empty string."""
        return find_header(self.headers, name)

    def __repr__(self) -> str:
        return f"<Response [{self.status}]>"


_NOT_RUN_STATUSES = frozenset(
    {
        AttemptStatus.REFUSED,
        AttemptStatus.SHED,
        AttemptStatus.UNREACHABLE,
        AttemptStatus.MISDIRECTED,
    }
)


_BROKEN_STATUSES = frozenset(
    {
        AttemptStatus.FAILED,
        AttemptStatus.TRUNCATED,
        AttemptStatus.STALE_CONNECTION,
    }
)


class AttemptResult(Struct, frozen=True):
    """The result of one attempt at a target.

    Attributes:
        is_silent: whether the connection stayed open without a response.
        is_leaving: whether the target stated that it is leaving.
        retry_after: seconds for which the target wants no more requests from
            this entry, None if it stated no such time.
    """

    status: AttemptStatus
    response: Response | None = None
    load: LoadReport | None = None
    elapsed: Seconds = Seconds(0.0)
    detail: str = ""
    is_silent: bool = False
    is_leaving: bool = False
    retry_after: Seconds | None = None

    @property
    def was_sent(self) -> bool:
        """Whether any byte of the request may have reached the target."""
        return self.status is not AttemptStatus.UNREACHABLE

    @property
    def may_have_run(self) -> bool:
        """Whether the target may have started to run the request."""
        return self.status not in _NOT_RUN_STATUSES

    @property
    def may_be_crash(self) -> bool:
        """Whether the connection broke, as it does if the target crashes."""
        return self.status in _BROKEN_STATUSES and not self.is_silent


def _return_true() -> bool:
    return True


class ConfigurationAge(Struct, frozen=True):
    """How current a host's configuration is.

    Attributes:
        revision: the revision in force, 0 if none.
        version: the version of its route table, None if it has none.
        applied_s: seconds since it is in force, None without one.
        newest: the highest revision that a contact has reported.
        hub_contact_s: seconds since a contact reported it, None if never.
        leader_contact_s: seconds since one did that is in contact with the
            leader, None if never.
    """

    revision: Revision = Revision(0)
    version: int | None = None
    applied_s: float | None = None
    newest: Revision = Revision(0)
    hub_contact_s: float | None = None
    leader_contact_s: float | None = None


class Exchange(Struct):
    """A request and its state while it goes through the filter chain.

    Attributes:
        arrived: monotonic time of arrival.
        deadline: monotonic time after which a response is of no use.
        caller_timeout: seconds that the caller allows, None if it gave no
            timeout.
        revision: revision of the configuration that the route comes from.
        template: the organisation's rendered template.
        claim_retention_s: seconds that the request's claim is kept.
        fingerprint: identifies the same request when it is sent again.
        may_have_run: whether a target may have started to run the request.
        attempts: number of targets that the request was sent to.
        unsent_attempts: number of attempts that got no connection.
        tried_targets: targets of all attempts, the newest last.
        pinned_target: target of the reserved long slot.
        is_suspect: whether the same request broke connections before.
        broken_connections: number of connections that it broke this time.
        start_by: monotonic time after which no target may start the request,
            because its claim could expire while it runs.
        response_wait: seconds after the deadline for which a response of the
            target is still awaited.
        configuration: how current the configuration is that has no route for
            the request, None if there is one.
        policy_of_organisation: the policy of the organisation whose key the
            request has, None without one.
        service_priorities: all priorities of the requests for the service,
            the most urgent first; None if requests are not admitted by them.
        is_second: whether it is the second attempt of another exchange.
        second_attempt: what became of its second attempt, None if it needed
            none.
        is_caller_waiting: returns whether the caller still waits.
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
    response_wait: Seconds = Seconds(0.0)
    configuration: ConfigurationAge | None = None
    policy_of_organisation: OrganisationPolicy | None = None
    service_priorities: tuple[int, ...] | None = None
    is_second: bool = False
    second_attempt: SecondAttemptResult | None = None
    is_caller_waiting: Callable[[], bool] = _return_true

    @property
    def matched_route(self) -> Route:
        """The request's route; it must have been looked up before."""
        assert self.route is not None
        return self.route

    @property
    def priority(self) -> int:
        """Rank under load: the organisation's, else the route's."""
        policy = self.policy_of_organisation
        if policy is not None and policy.priority is not None:
            return policy.priority
        return self.matched_route.priority

    @property
    def service(self) -> ServiceName:
        """The service of the request's route."""
        return ServiceName(self.matched_route.service)

    @property
    def policy(self) -> ServicePolicy:
        """The policy of the request's service."""
        assert self.template is not None
        return self.template.services[self.matched_route.service]

    def refuse(
        self,
        reason: RefusalReason,
        status: int,
        detail: str = "",
        retry_after: float | None = None,
    ) -> Response:
        """Return a response of the proxy itself, in place of a target's.

        Its outcome shows whether the request may have run.
        """
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
