"""Messages between tasks of one process: asks, their replies and news."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from wasabitray_core.documents import Fleet, RenderedTemplate, Route
from wasabitray_core.ids import (
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
)
from wasabitray_core.placement import Availability, Basis
from wasabitray_core.requests import LoadReport, Target
from wasabitray_core.route_table import RouteTableSource, TrafficLimits
from wasabitray_core.states import (
    AttemptStatus,
    HostFlag,
    RefusalReason,
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
    LONG_SLOTS = "long-slots"
    ADDRESSES = "addresses"
    SHARED_WORK = "shared-work"
    DIRECTORY = "directory"


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; sent at each controller's own interval."""


@dataclass(frozen=True, slots=True)
class GetStatus:
    """Asks a controller for its state as plain data for operators."""


# Configuration


@dataclass(frozen=True, slots=True)
class ResolveRoute:
    """Asks for the route of a request.

    Attributes:
        authority: host name that the request is addressed to, if its route
            is in the route table and not in an organisation's template.
    """

    organisation: OrganisationName
    method: str
    path: str
    authority: AuthorityName = AuthorityName("")


@dataclass(frozen=True, slots=True)
class RouteResolved:
    """A request's route, and the configuration it comes from.

    Attributes:
        claim_retention_s: how long a claim made now is kept.
    """

    revision: Revision
    template: RenderedTemplate
    route: Route
    claim_retention_s: float


@dataclass(frozen=True, slots=True)
class RouteUnresolved:
    """Why a request has no route."""

    reason: RefusalReason
    detail: str


@dataclass(frozen=True, slots=True)
class IsServing:
    """Asks whether this host serves requests; the reply is a bool."""


@dataclass(frozen=True, slots=True)
class GetDocuments:
    """Asks for the documents in force; the reply is a ConfigState."""


@dataclass(frozen=True, slots=True)
class Committed:
    """Changes the replicated log has committed."""

    changes: tuple[CommittedChange, ...]


@dataclass(frozen=True, slots=True)
class Restored:
    """State taken from a snapshot of the replicated log."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class ConfigurationApplied:
    """A revision came into force on this host.

    Attributes:
        limits: what callers may send, if there is a route table.
    """

    revision: Revision
    fleet: Fleet | None
    limits: TrafficLimits | None = None


@dataclass(frozen=True, slots=True)
class Isolation:
    """Whether this entry may serve, from its contacts.

    Attributes:
        newest: highest revision heard of from any contact.
    """

    isolated: bool
    newest: Revision


@dataclass(frozen=True, slots=True)
class Propose:
    """Asks the leader to commit a change."""

    change: Change


@dataclass(frozen=True, slots=True)
class ReplaceTable:
    """Asks the leader to put a whole route table in force.

    The highest version wins; a table that is not newer than the one in
    force is accepted and changes nothing.
    """

    change: ChangeId
    author: str
    wall_time: str
    source: RouteTableSource


@dataclass(frozen=True, slots=True)
class ReadDocuments:
    """Asks the leader for the newest documents there are.

    The reply is a ConfigState that holds every change accepted before, or
    an error when that can't be proved.
    """


@dataclass(frozen=True, slots=True)
class GroupContact:
    """How this member of the control group sees the group.

    Attributes:
        in_contact: whether it leads, or heard the leader lately.
        leader: the leader's host, empty if it is not known.
        voters: hosts whose majority decides.
    """

    in_contact: bool
    leader: HostId
    voters: tuple[HostId, ...]


@dataclass(frozen=True, slots=True)
class ChangeCommitted:
    """The answer to a change that is committed.

    Attributes:
        accepted: whether a majority of the entries has it in force, so
            that no entry can come back with an older one.
        waiting: entries that have not reported it in force yet.
    """

    revision: Revision
    accepted: bool
    waiting: tuple[HostId, ...] = ()


@dataclass(frozen=True, slots=True)
class GetHistory:
    """Asks for the newest changes; the reply is a tuple of them."""

    limit: int


@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Hands the lead to another voter before a planned stop."""


# Membership and addresses


@dataclass(frozen=True, slots=True)
class Broadcast:
    """Passes news to other hosts."""

    item: Announcement | Ejection | Quarantine | TargetReport


@dataclass(frozen=True, slots=True)
class InFlightSubscribers:
    """Who is told of the work in flight of a hub's entries.

    Attributes:
        entries: the hub's subscribers.
        hubs: the other hubs of its region.
    """

    entries: tuple[HostId, ...]
    hubs: tuple[HostId, ...]


@dataclass(frozen=True, slots=True)
class Register:
    """A target's own report, given to a hub.

    The reply is true once the word may be acknowledged: at once for a
    target that serves, and when a majority of the hubs holds it for one
    that leaves.
    """

    announcement: Announcement


@dataclass(frozen=True, slots=True)
class Deregister:
    """A target's word that it is gone, given to a hub.

    The reply is that of a Register.

    Attributes:
        generation: the run that is gone, None for any.
    """

    target: TargetId
    generation: int | None


@dataclass(frozen=True, slots=True)
class SeedsChanged:
    """The settings name other hosts to contact first."""

    seeds: tuple[HostId, ...]


@dataclass(frozen=True, slots=True)
class PeerAddresses:
    """Where the peer listeners of some hosts are."""

    addresses: tuple[HostAddress, ...]


@dataclass(frozen=True, slots=True)
class EntriesView:
    """All entries as the hubs see them now."""

    entries: tuple[EntryState, ...]


@dataclass(frozen=True, slots=True)
class FleetSize:
    """How many entries share the fleet's budgets."""

    entries: int


@dataclass(frozen=True, slots=True)
class SetFlag:
    """Sets or clears a flag that this host spreads about itself."""

    flag: HostFlag
    value: bool


@dataclass(frozen=True, slots=True)
class HostView:
    """Another host as this one sees it now."""

    host: HostId
    revision: Revision
    flags: HostFlag
    is_recent: bool


@dataclass(frozen=True, slots=True)
class FleetView:
    """All hosts as this one sees them now, itself included."""

    hosts: tuple[HostView, ...]

    def get_recent_entries(self) -> tuple[HostId, ...]:
        """Return the entries heard of lately, in a fixed order."""
        return tuple(
            sorted(
                view.host
                for view in self.hosts
                if view.is_recent and not view.flags & HostFlag.CONTROL
            )
        )


@dataclass(frozen=True, slots=True)
class GetAddresses:
    """Asks which entries a caller should use."""

    region: RegionName
    failure_domain: FailureDomainName = FailureDomainName("")


@dataclass(frozen=True, slots=True)
class Addresses:
    """Entries for a caller, best first, and how long to keep them."""

    addresses: tuple[str, ...]
    ttl_s: float


# Targets and dispatch


@dataclass(frozen=True, slots=True)
class UsableTarget:
    """A target that may get work.

    Attributes:
        probation: it gets a trickle of repeatable work only.
    """

    target: Target
    probation: bool


@dataclass(frozen=True, slots=True)
class UsableTargets:
    """The targets of a service that may get work, and all active ones.

    Attributes:
        warming: active targets that started a short while ago.
    """

    service: ServiceName
    usable: tuple[UsableTarget, ...]
    active: tuple[TargetId, ...]
    ejected: tuple[TargetId, ...]
    warming: tuple[TargetId, ...] = ()


@dataclass(frozen=True, slots=True)
class AcquireSlot:
    """Asks for a slot on a target of a service.

    Attributes:
        excluded: targets already tried.
        pinned_target: the only target allowed, from a long slot.
        retry_share: retries allowed as a share of first attempts.
        large: whether the body is costly to bring to another region.
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


@dataclass(frozen=True, slots=True)
class SlotGrant:
    """A slot on a target.

    Attributes:
        basis: why this target was chosen.
        load: slots that it had in use, as known here.
        waited: seconds in the queue.
        availability: of the service's targets when it was chosen.
        failure_age: seconds since the newest report of a failure of the
            target; None without any.
        lost_share: part of the service's requests that is lost, about.
    """

    target: Target
    basis: Basis = Basis.LOAD
    load: float = 0.0
    waited: Seconds = Seconds(0.0)
    availability: Availability = Availability(0, 0, 0)
    failure_age: Seconds | None = None
    lost_share: float = 0.0


@dataclass(frozen=True, slots=True)
class SlotRefusal:
    """No slot, why, and how long a caller should wait."""

    reason: RefusalReason
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class ReleaseSlot:
    """Returns a slot and tells how the attempt went.

    Attributes:
        is_fault: whether the target responded, but with a failure.
    """

    service: ServiceName
    target: TargetId
    work: WorkClass
    status: AttemptStatus
    elapsed: Seconds
    load: LoadReport | None
    is_fault: bool = False


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """Tells how a request ended, after all its attempts."""

    service: ServiceName
    served: bool


# Health


@dataclass(frozen=True, slots=True)
class AttemptSample:
    """How one attempt speaks for or against a target."""

    service: ServiceName
    target: TargetId
    work: WorkClass
    good: bool
    elapsed: Seconds


@dataclass(frozen=True, slots=True)
class ServiceLimits:
    """Floors of the services in the configuration in force."""

    floors: dict[ServiceName, int]


# Claims


@dataclass(frozen=True, slots=True)
class AcquireClaim:
    """Asks the claim groups to grant a key to one claim."""

    key: ClaimKey
    claim: ClaimId
    ttl_s: float
    timeout_s: float


@dataclass(frozen=True, slots=True)
class WithdrawClaim:
    """Gives a claim back because its work did not and will not run."""

    key: ClaimKey
    claim: ClaimId


class ClaimVerdict(Enum):
    """Answer of the claim groups."""

    GRANTED = "granted"
    HELD = "held"
    """Another claim holds the key."""
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class ClaimDecided:
    """The groups' answer, told to a controller that asked."""

    key: ClaimKey
    claim: ClaimId
    verdict: ClaimVerdict


# Quarantine


@dataclass(frozen=True, slots=True)
class CheckQuarantine:
    """Asks how suspect a request is; the reply is a Suspicion."""

    fingerprint: Fingerprint


class Suspicion(Enum):
    """What is known of a request that may break targets."""

    NONE = "none"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True)
class ReportResponse:
    """A target answered this request without breaking."""

    fingerprint: Fingerprint


@dataclass(frozen=True, slots=True)
class ReportBrokenConnection:
    """A target broke the connection while it had this request."""

    fingerprint: Fingerprint
    target: TargetId


# Long work


@dataclass(frozen=True, slots=True)
class ReserveLongSlot:
    """Asks for a long slot; the reply is a Grant or a Refusal."""

    service: ServiceName
    long_share: float
    deadline: Seconds
    excluded: tuple[TargetId, ...]


@dataclass(frozen=True, slots=True)
class LongSlotReserved:
    """A long slot and the number to return it with."""

    request: RequestId
    target: TargetId


@dataclass(frozen=True, slots=True)
class ReleaseLongSlot:
    """Returns a long slot."""

    request: RequestId
