"""Messages between hosts.

They are plain data. How they are encoded is the business of another package
with one schema entry for each class here.
"""

from __future__ import annotations

from dataclasses import dataclass

from wasabitray_core.ids import (
    ChangeId,
    ClaimId,
    ClaimKey,
    ConfigVersion,
    FailureDomainName,
    FeedPosition,
    Fingerprint,
    HostId,
    Incarnation,
    LogIndex,
    MemberId,
    RegionName,
    RequestId,
    Revision,
    ServiceName,
    TargetId,
    Term,
)
from wasabitray_core.states import (
    EjectionPhase,
    GrantStatus,
    HostFlag,
    ReportKind,
    TargetPhase,
)


@dataclass(frozen=True, slots=True)
class Hello:
    """Opens a link; proves the shared secret.

    Attributes:
        address: where the sender's own listener is.
    """

    host: HostId
    address: str
    secret: str


# Membership


@dataclass(frozen=True, slots=True)
class HostStatus:
    """One host's newest known heartbeat, passed on by others.

    Attributes:
        counter: rises with each heartbeat of the host.
        revision: newest configuration in force on the host.
    """

    host: HostId
    counter: int
    revision: Revision
    flags: HostFlag


@dataclass(frozen=True, slots=True)
class Announcement:
    """A target's own word about itself, passed on by entries.

    Attributes:
        generation: start of the target's process; a later one wins.
        sequence: rises with each announcement of one generation.
        lease_s: seconds after which the word is stale; 0 if it holds
            until the target leaves or another one has its address.
        address: `IP:PORT`, if the target has another name than that.
    """

    target: TargetId
    service: ServiceName
    region: RegionName
    failure_domain: FailureDomainName
    slots: int
    generation: int
    sequence: int
    phase: TargetPhase
    lease_s: float
    address: str = ""


@dataclass(frozen=True, slots=True)
class Ejection:
    """A target's ejection or return, decided for the whole fleet.

    Attributes:
        version: rises with each decision about the target.
        duration_s: how long it holds, counted from its first receipt.
        evidence: what the decision rests on, for operators.
    """

    target: TargetId
    service: ServiceName
    version: int
    phase: EjectionPhase
    duration_s: float
    evidence: str


@dataclass(frozen=True, slots=True)
class Quarantine:
    """A request and the targets that broke while they had it."""

    fingerprint: Fingerprint
    targets: tuple[TargetId, ...]


@dataclass(frozen=True, slots=True)
class TargetReport:
    """Tells all entries how a target did at an attempt.

    Attributes:
        number: rises with each report about the target.
        duration_s: seconds without requests from its receipt; 0 if it starts
            no cool-down.
        suspicion: evidence from failed responses so far, as the logarithm of
            a likelihood ratio.
        successes: in a row since the failure that began the cool-down.
    """

    target: TargetId
    number: int
    duration_s: float
    kind: ReportKind
    suspicion: float = 0.0
    successes: int = 0

    @property
    def cools_down(self) -> bool:
        """Whether it starts a cool-down."""
        return self.kind.cools_down

    @property
    def is_failure(self) -> bool:
        """Whether it tells of a failed attempt."""
        return self.kind is not ReportKind.SUCCESS

    @property
    def rank(self) -> tuple[int, bool]:
        """Its order among the reports about the target."""
        return self.number, self.cools_down


@dataclass(frozen=True, slots=True)
class EntryState:
    """An entry as the hub that it listens to last saw it.

    Attributes:
        counter: rises with each word of the entry, also over restarts.
        present: false once its hub has not heard of it for a while.
        caller_address: where callers reach it.
        hub: the control host that it listens to.
    """

    host: HostId
    counter: int
    present: bool
    flags: HostFlag
    region: RegionName
    failure_domain: FailureDomainName
    caller_address: str
    hub: HostId


@dataclass(frozen=True, slots=True)
class Gossip:
    """Heartbeats and news, sent to a few peers at a time."""

    statuses: tuple[HostStatus, ...]
    announcements: tuple[Announcement, ...] = ()
    ejections: tuple[Ejection, ...] = ()
    quarantines: tuple[Quarantine, ...] = ()


# Feeds of hubs


@dataclass(frozen=True, slots=True)
class HostAddress:
    """A host, where its peer listener is and the region it is in."""

    host: HostId
    address: str
    region: RegionName


@dataclass(frozen=True, slots=True)
class FeedMark:
    """How far a host has read a hub's feed.

    Attributes:
        incarnation: run of the hub; a feed starts anew with each.
    """

    hub: HostId
    incarnation: Incarnation
    position: FeedPosition


@dataclass(frozen=True, slots=True)
class Presence:
    """A heartbeat to a hub; it acknowledges what was read.

    Attributes:
        counter: rises with each heartbeat, also over restarts.
        revision: newest configuration in force on the host.
        marks: an entry has one for its hub, a hub one for each other hub.
    """

    counter: int
    revision: Revision
    flags: HostFlag
    region: RegionName
    failure_domain: FailureDomainName
    caller_address: str
    marks: tuple[FeedMark, ...]


@dataclass(frozen=True, slots=True)
class Unsubscribe:
    """Ends the feed to an entry that listens to another hub now."""


@dataclass(frozen=True, slots=True)
class Feed:
    """News from a hub; without any it is the hub's heartbeat.

    Attributes:
        origin: hub whose feed this is; another hub can pass it on.
        incarnation: run of that hub.
        after: place that this message continues from.
        position: the feed is complete up to this place with this message.
        revision: newest configuration in force on the sender.
        in_contact: whether the sender hears the leader of its group.
        entries: number of entries that are present.
        hubs: all control hosts that the sender knows, now and then.
    """

    origin: HostId
    incarnation: Incarnation
    after: FeedPosition
    position: FeedPosition
    revision: Revision
    in_contact: bool
    entries: int
    hubs: tuple[HostAddress, ...] = ()
    announcements: tuple[Announcement, ...] = ()
    ejections: tuple[Ejection, ...] = ()
    quarantines: tuple[Quarantine, ...] = ()
    reports: tuple[TargetReport, ...] = ()
    entry_states: tuple[EntryState, ...] = ()


@dataclass(frozen=True, slots=True)
class News:
    """News of an entry to its hub."""

    announcements: tuple[Announcement, ...] = ()
    ejections: tuple[Ejection, ...] = ()
    quarantines: tuple[Quarantine, ...] = ()
    reports: tuple[TargetReport, ...] = ()


@dataclass(frozen=True, slots=True)
class TargetWork:
    """Attempts in flight at a target."""

    target: TargetId
    attempts: int


@dataclass(frozen=True, slots=True)
class EntryWork:
    """What an entry, or all entries of a hub, have in flight.

    Attributes:
        full: whether targets that are left out have nothing; else they are
            unchanged.
    """

    targets: tuple[TargetWork, ...]
    full: bool


@dataclass(frozen=True, slots=True)
class OthersWork:
    """What the other entries of a region have in flight.

    Attributes:
        full: whether targets that are left out have nothing; else they are
            unchanged.
    """

    targets: tuple[TargetWork, ...]
    full: bool


# Configuration


@dataclass(frozen=True, slots=True)
class DocumentEdit:
    """A document written, or deleted when `body` is None."""

    key: str
    body: str | None


@dataclass(frozen=True, slots=True)
class Change:
    """An operator's change.

    Attributes:
        change: chosen by the operator's client; resent unchanged.
        expected: newest revision that the operator has seen.
        wall_time: when the operator's client made it, for the history.
        forced: the operator vouches that unreachable entries are stopped.
        version: the operator's number of the whole configuration that
            this change leads to, 0 if none. Such a change is not tied to a
            revision; the highest version wins.
    """

    change: ChangeId
    expected: Revision
    author: str
    wall_time: str
    edits: tuple[DocumentEdit, ...]
    forced: bool = False
    version: ConfigVersion = ConfigVersion(0)


@dataclass(frozen=True, slots=True)
class CommittedChange:
    """A change with the revision it got."""

    revision: Revision
    change: Change


@dataclass(frozen=True, slots=True)
class ConfigPull:
    """Asks for the changes after a revision."""

    after: Revision


@dataclass(frozen=True, slots=True)
class ConfigPush:
    """Committed changes in order, without gaps."""

    changes: tuple[CommittedChange, ...]


@dataclass(frozen=True, slots=True)
class ConfigState:
    """A whole committed configuration."""

    revision: Revision
    documents: dict[str, str]


# The replicated log


@dataclass(frozen=True, slots=True)
class Member:
    """A member of the control group and the host it lives on."""

    member: MemberId
    host: HostId


@dataclass(frozen=True, slots=True)
class Members:
    """The control group; only voters count towards a quorum."""

    voters: tuple[Member, ...]
    learners: tuple[Member, ...] = ()


@dataclass(frozen=True, slots=True)
class Noop:
    """Commits the records of earlier terms."""


Command = Change | Members | Noop


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One record of the replicated log."""

    index: LogIndex
    term: Term
    command: Command


@dataclass(frozen=True, slots=True)
class AnsweredChange:
    """What a change id got, kept to answer when it is resent."""

    change: ChangeId
    digest: str
    revision: Revision


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All state of the log up to and with `index`."""

    index: LogIndex
    term: Term
    members: Members
    revision: Revision
    documents: dict[str, str]
    answered: tuple[AnsweredChange, ...]
    recent: tuple[CommittedChange, ...]


@dataclass(frozen=True, slots=True)
class Ballot:
    """Term and vote of a member, synced before they are answered."""

    term: Term
    voted_for: MemberId


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Asks for a vote, or with `pre` whether one would be given.

    Attributes:
        transfer: the leader asked for this election.
    """

    term: Term
    candidate: MemberId
    last_index: LogIndex
    last_term: Term
    pre: bool
    transfer: bool = False


@dataclass(frozen=True, slots=True)
class VoteReply:
    """Answers a vote request of the same term and kind."""

    term: Term
    voter: MemberId
    granted: bool
    pre: bool


@dataclass(frozen=True, slots=True)
class AppendRequest:
    """Log records for a follower; empty ones are the heartbeat.

    Attributes:
        round: the leader's newest round of confirming its lead.
    """

    term: Term
    leader: MemberId
    previous_index: LogIndex
    previous_term: Term
    records: tuple[LogRecord, ...]
    commit: LogIndex
    round: int = 0


@dataclass(frozen=True, slots=True)
class AppendReply:
    """Tells the leader how far a follower's log agrees.

    Attributes:
        index: last agreeing record, or a hint where to try next.
        round: that of the request answered.
    """

    term: Term
    member: MemberId
    accepted: bool
    index: LogIndex
    round: int = 0


@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Replaces a follower's log that is too far behind."""

    term: Term
    leader: MemberId
    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class CampaignNow:
    """The leader, about to stop, asks a follower to take over."""

    term: Term
    leader: MemberId


@dataclass(frozen=True, slots=True)
class JoinRequest:
    """Asks for a place in the control group for a fresh disk."""

    member: Member


# Claims


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Asks a group member to grant a key to one claim only."""

    key: ClaimKey
    claim: ClaimId
    epoch: int
    ttl_s: float


@dataclass(frozen=True, slots=True)
class MemberIncarnation:
    """The newest run of a group member that another has met."""

    host: HostId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """A group member's answer to a claim request.

    Attributes:
        incarnation: run of the member that answers.
        known: runs of the other members, as this one has met them.
    """

    key: ClaimKey
    claim: ClaimId
    status: GrantStatus
    incarnation: Incarnation
    known: tuple[MemberIncarnation, ...]


@dataclass(frozen=True, slots=True)
class ClaimRelease:
    """Withdraws a claim whose work did not run and never will."""

    key: ClaimKey
    claim: ClaimId


@dataclass(frozen=True, slots=True)
class HeldClaim:
    """A granted claim and how long it still holds."""

    key: ClaimKey
    claim: ClaimId
    remaining_s: float


@dataclass(frozen=True, slots=True)
class RecallRequest:
    """A restarted group member asks another for its claims."""

    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class RecallChallenge:
    """A one-time number that only a live asker can return."""

    incarnation: Incarnation
    nonce: int


@dataclass(frozen=True, slots=True)
class RecallConfirm:
    """Returns the number; the new incarnation is valid from here."""

    incarnation: Incarnation
    nonce: int


@dataclass(frozen=True, slots=True)
class RecallState:
    """What a group member remembers, after a confirm.

    Attributes:
        incarnation: run of the member that asked.
        responder: run of the member that answers.
        known: runs of the other members, as the answering one met them.
    """

    incarnation: Incarnation
    responder: Incarnation
    claims: tuple[HeldClaim, ...]
    known: tuple[MemberIncarnation, ...]


# Health


@dataclass(frozen=True, slots=True)
class TargetSample:
    """One entry's work with a target since its last report."""

    target: TargetId
    good: int
    bad: int


@dataclass(frozen=True, slots=True)
class Evidence:
    """An entry's samples of a service, for the service's evaluator."""

    service: ServiceName
    region: RegionName
    samples: tuple[TargetSample, ...]


# Long work


@dataclass(frozen=True, slots=True)
class LongSlotRequest:
    """Asks a service's coordinator for a slot for long work."""

    request: RequestId
    service: ServiceName
    long_share: float
    ttl_s: float
    excluded: tuple[TargetId, ...]


@dataclass(frozen=True, slots=True)
class LongSlotReply:
    """Grants a slot on a target; an empty target refuses."""

    request: RequestId
    target: TargetId


@dataclass(frozen=True, slots=True)
class LongSlotRelease:
    """Returns a slot."""

    request: RequestId


@dataclass(frozen=True, slots=True)
class LongHeld:
    """Long slots in use on one target."""

    target: TargetId
    slots: int


@dataclass(frozen=True, slots=True)
class LongOccupancy:
    """A coordinator's word on where long work runs; others are free."""

    service: ServiceName
    held: tuple[LongHeld, ...]


PeerMessage = (
    Gossip
    | Presence
    | Unsubscribe
    | Feed
    | News
    | ConfigPull
    | ConfigPush
    | ConfigState
    | VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | InstallSnapshot
    | CampaignNow
    | JoinRequest
    | ClaimRequest
    | ClaimReply
    | ClaimRelease
    | RecallRequest
    | RecallChallenge
    | RecallConfirm
    | RecallState
    | Evidence
    | LongSlotRequest
    | LongSlotReply
    | LongSlotRelease
    | LongOccupancy
    | EntryWork
    | OthersWork
)
