"""Messages between the tasks of one process.

Some wait for a reply: these are sent with `ask`, all others with `tell`.
"""

from __future__ import annotations

import math
from enum import Enum

from msgspec import Struct

from wasabitray_core.admission.reservation import Standing
from wasabitray_core.documents import Fleet, RenderedTemplate, Route
from wasabitray_core.ids import (
    ApiKey,
    AuthorityName,
    ChangeId,
    ClaimId,
    ClaimKey,
    FailureDomainName,
    Fingerprint,
    HostId,
    OrganisationName,
    RegionName,
    RequestId,
    Revision,
    Seconds,
    ServiceName,
    TargetId,
)
from wasabitray_core.messages import (
    Announcement,
    Change,
    CommittedChange,
    Ejection,
    EntryState,
    HostAddress,
    Quarantine,
    Snapshot,
    TargetReport,
    TrialRequest,
)
from wasabitray_core.organisation_policy import OrganisationPolicy
from wasabitray_core.placement import Availability, Basis
from wasabitray_core.requests import (
    ConfigurationAge,
    LoadReport,
    Target,
)
from wasabitray_core.route_table import RouteTableSource, TrafficLimits
from wasabitray_core.silence import SilenceLimits
from wasabitray_core.states import (
    AttemptStatus,
    HostFlag,
    QuotaDecision,
    RefusalReason,
    RequestAccess,
    WorkClass,
)


class ControllerName(Enum):
    """The controllers of a process."""

    MEMBERSHIP = "membership"
    CONFIGURATION = "configuration"
    CONSENSUS = "consensus"
    TARGETS = "targets"
    DISPATCH = "dispatch"
    HEALTH = "health"
    CLAIMS = "claims"
    GRANTS = "grants"
    QUARANTINE = "quarantine"
    TRIALS = "trials"
    LONG_SLOTS = "long-slots"
    ADDRESSES = "addresses"
    SHARED_WORK = "shared-work"
    DEPARTURES = "departures"
    DIRECTORY = "directory"
    LISTENERS = "listeners"
    LEASE = "lease"
    QUOTAS = "quotas"


class Tick(Struct, frozen=True):
    """Time has passed; sent to each controller at its own interval."""


class GetStatus(Struct, frozen=True):
    """Asks a controller for its state, as plain data for operators."""


# Configuration


class ResolveRoute(Struct, frozen=True):
    """Asks for the route of a request.

    The reply is a RouteResolved or a RouteUnresolved.

    Attributes:
        authority: host name that the request is addressed to, if its route
            is in the route table and not in an organisation's template.
        api_key: the caller's key, empty if it sent none.
    """

    organisation: OrganisationName
    method: str
    path: str
    authority: AuthorityName = AuthorityName("")
    api_key: ApiKey = ApiKey("")

    def __repr__(self) -> str:
        return f"<ResolveRoute [{self.method} {self.path}]>"


class RouteResolved(Struct, frozen=True):
    """A request's route and the configuration that it comes from.

    Attributes:
        claim_retention_s: seconds that a claim made now is kept.
        access: how the request is admitted.
        policy: the organisation whose key the request has, if it has one.
        service_priorities: all priorities of the requests for the route's
            service, the most urgent first; None without organisations.
    """

    revision: Revision
    template: RenderedTemplate
    route: Route
    claim_retention_s: float
    access: RequestAccess = RequestAccess.UNRESTRICTED
    policy: OrganisationPolicy | None = None
    service_priorities: tuple[int, ...] | None = None


class RouteUnresolved(Struct, frozen=True):
    """Why a request has no route.

    Attributes:
        age: how current the configuration is that has none.
    """

    reason: RefusalReason
    detail: str
    age: ConfigurationAge = ConfigurationAge()


class IsServing(Struct, frozen=True):
    """Asks whether this host serves requests; the reply is a bool."""


class GetDocuments(Struct, frozen=True):
    """Asks for the applied documents; the reply is a ConfigState."""


class Committed(Struct, frozen=True):
    """Changes that the replicated log has committed."""

    changes: tuple[CommittedChange, ...]


class Restored(Struct, frozen=True):
    """State restored from a snapshot of the replicated log."""

    snapshot: Snapshot


class HubsView(Struct, frozen=True):
    """The hubs that an entry can ask, the best one first.

    The first one is the hub that the entry subscribes to.
    """

    hubs: tuple[HostId, ...]


class CheckLease(Struct, frozen=True):
    """Asks whether requests with keys may be served; the reply is a bool.

    Attributes:
        revision: revision that the request was resolved with.
    """

    revision: Revision


class AcquireQuota(Struct, frozen=True):
    """Asks for a token of an organisation's quota.

    The reply is a QuotaVerdict.
    """

    organisation: OrganisationName


class QuotaVerdict(Struct, frozen=True):
    """Whether a request fits into its organisation's quota.

    Attributes:
        retry_after: seconds after which a request that was not granted a
            token may fit.
    """

    decision: QuotaDecision
    retry_after: float = 0.0


class QuotaLimits(Struct, frozen=True):
    """The organisations with a quota, as the configuration has them."""

    policies: tuple[OrganisationPolicy, ...]


class VoterEvidence(Struct, frozen=True):
    """What the leader confirmed about the control group.

    Attributes:
        voters: number of its voters.
        is_voter: whether this host is one of them.
        confirmed_at: boot-time clock at which this was still true.
        is_settled: whether the voters have been the same for so long that no
            host still relies on an earlier group.
    """

    voters: int
    is_voter: bool
    confirmed_at: Seconds
    is_settled: bool = False


class ConfigurationApplied(Struct, frozen=True):
    """This host has applied a revision of the configuration.

    Attributes:
        fleet: the fleet document, if there is one.
        limits: limits for callers' requests, if there is a route table.
    """

    revision: Revision
    fleet: Fleet | None
    limits: TrafficLimits | None = None


class Isolation(Struct, frozen=True):
    """Whether this entry is cut off from the fleet.

    Attributes:
        isolated: whether it lacks the recent contacts that it needs to serve.
        newest: highest revision that any of its contacts has reported.
    """

    isolated: bool
    newest: Revision


class Propose(Struct, frozen=True):
    """Asks the leader to commit a change."""

    change: Change


class ReplaceTable(Struct, frozen=True):
    """Asks the leader to replace the whole route table.

    The highest version wins. A table whose version is not higher than that of
    the current one is accepted but changes nothing.
    """

    change: ChangeId
    author: str
    wall_time: str
    source: RouteTableSource


class ReadDocuments(Struct, frozen=True):
    """Asks the leader for the newest documents.

    The reply is a ConfigState with every change that was accepted before, or
    an error if the leader can't prove that it has them all.
    """


class GroupContact(Struct, frozen=True):
    """This member's contact with its control group.

    Attributes:
        in_contact: whether it is the leader or has recently received a
            message from the leader.
        leader: the leader's host, empty if it is not known.
        voters: hosts of the members that form majorities.
        valid_until: monotonic time after which the member must have reported
            again to be in contact. It doesn't while its disk stalls.
    """

    in_contact: bool
    leader: HostId
    voters: tuple[HostId, ...]
    valid_until: Seconds = Seconds(math.inf)


class ChangeCommitted(Struct, frozen=True):
    """The reply to a change that was committed.

    Attributes:
        accepted: whether a majority of the entries has applied the change,
            so that no entry can return to an older configuration.
        waiting: entries that have not yet reported that they applied it.
    """

    revision: Revision
    accepted: bool
    waiting: tuple[HostId, ...] = ()


class GetHistory(Struct, frozen=True):
    """Asks for the newest changes; the reply is a tuple of summaries."""

    limit: int


class LeaveGroup(Struct, frozen=True):
    """Prepares a control host's member for a planned stop.

    A leader hands its leadership to another voter, and a voter its vote to a
    learner, if there is one. The reply is True once that is done.
    """


# Membership and addresses


class Announcements(Struct, frozen=True):
    """Announcements of targets that a hub sent together."""

    items: tuple[Announcement, ...]


class TargetLeaving(Struct, frozen=True):
    """Reports that a target stated in a response that it is leaving.

    Attributes:
        generation: the start of the target's process that responded.
    """

    target: TargetId
    generation: int


class StoreDepartures(Struct, frozen=True):
    """Asks for targets' departures to be made durable."""

    departures: tuple[Announcement, ...]


class DeparturesStored(Struct, frozen=True):
    """Reports that targets' departures are durable."""

    departures: tuple[Announcement, ...]


class RestoredQuarantine(Struct, frozen=True):
    """A record of a request that crashed targets, read from disk at the start.

    Attributes:
        age_s: seconds since it was written.
    """

    record: Quarantine
    age_s: float


class StoreQuarantines(Struct, frozen=True):
    """Asks for records of requests that crashed targets to be stored."""

    records: tuple[Quarantine, ...]


class Broadcast(Struct, frozen=True):
    """Sends an update to the other hosts."""

    item: Announcement | Ejection | Quarantine | TargetReport


class SendToLeader(Struct, frozen=True):
    """Sends a message to the leader's host, if it is known."""

    message: TrialRequest


class InFlightSubscribers(Struct, frozen=True):
    """Hosts that receive the in-flight attempts of a hub's entries.

    Attributes:
        entries: the hub's subscribers.
        hubs: the other hubs of its region.
    """

    entries: tuple[HostId, ...]
    hubs: tuple[HostId, ...]


class Register(Struct, frozen=True):
    """A target's announcement, sent to a hub.

    The reply is true once the announcement may be acknowledged. For a target
    that serves, that is immediately; for one that leaves, once a majority of
    the hubs has the announcement.
    """

    announcement: Announcement


class Deregister(Struct, frozen=True):
    """A target's announcement that it has stopped, sent to a hub.

    The reply is the same as for a Register.

    Attributes:
        generation: the generation that has stopped, None if the target
            doesn't say.
        newest_generation: the highest generation that can have stopped.
    """

    target: TargetId
    generation: int | None
    newest_generation: int = 0


class SeedsChanged(Struct, frozen=True):
    """The settings name other seeds, the hosts to contact first."""

    seeds: tuple[HostId, ...]


class PeerAddresses(Struct, frozen=True):
    """Addresses of the peer listeners of some hosts."""

    addresses: tuple[HostAddress, ...]


class EntriesView(Struct, frozen=True):
    """The current state of all entries, as the hubs know it."""

    entries: tuple[EntryState, ...]


class FleetSize(Struct, frozen=True):
    """The number of entries that share the fleet's budgets.

    Attributes:
        by_region: number of entries that serve in each region, as far as it
            is known.
    """

    entries: int
    by_region: tuple[tuple[RegionName, int], ...] = ()


class SetFlag(Struct, frozen=True):
    """Sets or clears a flag in the heartbeats of this host."""

    flag: HostFlag
    value: bool


class HostView(Struct, frozen=True):
    """The state of a host, as this host knows it.

    Attributes:
        is_recent: whether a heartbeat of the host arrived recently.
    """

    host: HostId
    revision: Revision
    flags: HostFlag
    is_recent: bool


class FleetView(Struct, frozen=True):
    """The state of all hosts, as this host knows it; includes its own."""

    hosts: tuple[HostView, ...]

    def get_recent_entries(self) -> tuple[HostId, ...]:
        """Return the entries with a recent heartbeat, sorted by id."""
        return tuple(
            sorted(
                view.host
                for view in self.hosts
                if view.is_recent and not view.flags & HostFlag.CONTROL
            )
        )


class GetAddresses(Struct, frozen=True):
    """Asks which entries a caller should use; the reply is an Addresses."""

    region: RegionName
    failure_domain: FailureDomainName = FailureDomainName("")


class Addresses(Struct, frozen=True):
    """Addresses of entries for a caller, the best first.

    Attributes:
        ttl_s: seconds that the caller may keep them.
    """

    addresses: tuple[str, ...]
    ttl_s: float


# Targets and dispatch


class UsableTarget(Struct, frozen=True):
    """A target that may get requests.

    Attributes:
        probation: whether it gets only a few repeatable requests.
    """

    target: Target
    probation: bool


class UsableTargets(Struct, frozen=True):
    """The targets of a service, by state.

    Attributes:
        usable: targets that may get requests.
        active: all active targets, usable or not.
        ejected: active targets that are ejected.
        warming: active targets that started recently.
    """

    service: ServiceName
    usable: tuple[UsableTarget, ...]
    active: tuple[TargetId, ...]
    ejected: tuple[TargetId, ...]
    warming: tuple[TargetId, ...] = ()


class AcquireSlot(Struct, frozen=True):
    """Asks for a slot on a target of a service.

    The reply is a SlotGrant or a SlotRefusal.

    Attributes:
        excluded: targets that were already tried.
        pinned_target: the only target allowed, from a long slot.
        retry: whether the request was sent to a target before.
        retry_share: retries allowed, as a share of first attempts.
        large: whether the body is expensive to send to another region.
        large_response: whether the response is.
        standing: the request's rank when capacity is short; None if its
            deployment has no organisations with keys.
        second: whether it is a second attempt, which never waits.
    """

    service: ServiceName
    organisation: OrganisationName
    work: WorkClass
    idempotent: bool
    deadline: Seconds
    excluded: tuple[TargetId, ...] = ()
    pinned_target: TargetId | None = None
    retry: bool = False
    retry_share: float = 0.0
    large: bool = False
    large_response: bool = False
    standing: Standing | None = None
    second: bool = False


class SlotGrant(Struct, frozen=True):
    """A slot on a target.

    Attributes:
        basis: why this target was chosen.
        load: slots in use on the target, as far as this entry knows.
        waited: seconds in the queue.
        availability: availability of the service's targets at the time of
            the choice.
        failure_age: seconds since the newest report of a failure of the
            target, None if there is none.
        lost_share: estimated share of the service's requests that is lost.
        latest_end: monotonic time by which the request must end; earlier than
            its deadline if the entry is stopping.
        response_wait: seconds after `latest_end` for which the entry waits
            for the target's response.
        silence: when silence is evidence against the target.
    """

    target: Target
    basis: Basis = Basis.LOAD
    load: float = 0.0
    waited: Seconds = Seconds(0.0)
    availability: Availability = Availability(0, 0, 0)
    failure_age: Seconds | None = None
    lost_share: float = 0.0
    latest_end: Seconds = Seconds(math.inf)
    response_wait: Seconds = Seconds(0.0)
    silence: SilenceLimits | None = None


class SlotRefusal(Struct, frozen=True):
    """No slot was granted.

    Attributes:
        retry_after: seconds that the caller should wait before a retry.
        detail: what the decision was based on, empty if nothing is stated.
    """

    reason: RefusalReason
    retry_after: float | None = None
    detail: str = ""


class ReleaseSlot(Struct, frozen=True):
    """Releases a slot and reports how the attempt ended.

    Attributes:
        is_fault: whether the target sent a response that is an error.
        retry_after: seconds for which the target wants no more requests from
            this entry, None if it stated no such time.
    """

    service: ServiceName
    target: TargetId
    work: WorkClass
    status: AttemptStatus
    elapsed: Seconds
    load: LoadReport | None
    is_fault: bool = False
    retry_after: Seconds | None = None


class SilentTarget(Struct, frozen=True):
    """Reports a target that accepts connections but does not respond.

    Attributes:
        elapsed: seconds since the attempt began.
        is_conclusive: whether this attempt alone shows that it has failed.
    """

    service: ServiceName
    target: TargetId
    work: WorkClass
    elapsed: Seconds
    is_conclusive: bool


class RequestEnded(Struct, frozen=True):
    """Reports how a request ended, after all its attempts."""

    service: ServiceName
    served: bool


# Health


class AttemptSample(Struct, frozen=True):
    """The result of one attempt, as evidence about its target."""

    service: ServiceName
    target: TargetId
    work: WorkClass
    good: bool
    elapsed: Seconds


class ServiceLimits(Struct, frozen=True):
    """Floors of the services in the applied configuration."""

    floors: dict[ServiceName, int]


# Claims


class AcquireClaim(Struct, frozen=True):
    """Asks the claim groups to grant a key to one claim.

    The reply is a ClaimVerdict. A controller that sent the message without
    waiting for a reply gets a ClaimDecided.
    """

    key: ClaimKey
    claim: ClaimId
    ttl_s: float
    timeout_s: float


class WithdrawClaim(Struct, frozen=True):
    """Withdraws a claim whose request did not run and will not run."""

    key: ClaimKey
    claim: ClaimId


class ClaimVerdict(Enum):
    """The decision of the claim groups."""

    GRANTED = "granted"
    HELD = "held"
    """Another claim holds the key."""
    UNAVAILABLE = "unavailable"


class ClaimDecided(Struct, frozen=True):
    """The decision of the claim groups, for the controller that asked."""

    key: ClaimKey
    claim: ClaimId
    verdict: ClaimVerdict


# Quarantine


class CheckQuarantine(Struct, frozen=True):
    """Asks whether a request is suspect; the reply is a Suspicion."""

    fingerprint: Fingerprint


class AdmitAttempt(Struct, frozen=True):
    """Asks whether an attempt may be made now; the reply is a Suspicion.

    For a quarantined request, the reply may have to wait for the leader.
    """

    fingerprint: Fingerprint


class Suspicion(Enum):
    """Whether a request is suspected of crashing its targets."""

    NONE = "none"
    SUSPECT = "suspect"
    TRIAL = "trial"
    """It is quarantined, but one attempt is allowed."""
    QUARANTINED = "quarantined"


class ReportResponse(Struct, frozen=True):
    """A target served this request, so it did not crash."""

    fingerprint: Fingerprint


class ReportUnusedTrial(Struct, frozen=True):
    """A trial attempt ended before the target ran the request."""

    fingerprint: Fingerprint


class ReportBrokenConnection(Struct, frozen=True):
    """A target broke the connection while it had this request.

    Attributes:
        elapsed: seconds since the attempt began.
    """

    fingerprint: Fingerprint
    target: TargetId
    elapsed: Seconds


# Long work


class ReserveLongSlot(Struct, frozen=True):
    """Asks for a long slot.

    The reply is a LongSlotReserved or a SlotRefusal.
    """

    service: ServiceName
    long_share: float
    deadline: Seconds
    excluded: tuple[TargetId, ...]


class LongSlotReserved(Struct, frozen=True):
    """A long slot on a target.

    Attributes:
        request: number to release the slot with.
    """

    request: RequestId
    target: TargetId


class ReleaseLongSlot(Struct, frozen=True):
    """Releases a long slot."""

    request: RequestId
