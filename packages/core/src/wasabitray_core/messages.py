"""Messages between hosts.

They are plain data. Another package encodes them, by a schema with one struct
for each class here.
"""

from __future__ import annotations

from msgspec import Struct

from wasabitray_core.access.messages import (
    LeaseReply,
    LeaseRequest,
    RevisionAnswer,
    RevisionQuery,
)
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
from wasabitray_core.quotas.messages import (
    BorrowReply,
    BorrowRequest,
    QuotaReply,
    QuotaRequest,
)
from wasabitray_core.states import (
    EjectionPhase,
    GrantStatus,
    HostFlag,
    ReportKind,
    TargetPhase,
)


class Hello(Struct, frozen=True):
    """Opens a link and carries the shared secret.

    Attributes:
        address: address of the sender's own peer listener.
    """

    host: HostId
    address: str
    secret: str


# Membership


class HostStatus(Struct, frozen=True):
    """The newest known heartbeat of a host; other hosts forward it.

    Attributes:
        counter: rises with each heartbeat of the host.
        revision: newest configuration revision that the host has applied.
    """

    host: HostId
    counter: int
    revision: Revision
    flags: HostFlag


class Announcement(Struct, frozen=True):
    """A target's announcement of itself; entries forward it.

    Attributes:
        generation: start of the target's process. A later one takes
            precedence.
        sequence: rises with each announcement of one generation.
        lease_s: seconds after which the announcement expires; 0 if it holds
            until the target leaves or another target has its address.
        address: `IP:PORT`, if the target's name is not its address.
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


class Ejection(Struct, frozen=True):
    """A decision, for the whole fleet, to eject a target or to return it.

    Attributes:
        version: rises with each decision about the target.
        duration_s: seconds that the decision holds, from its first receipt.
        evidence: reason for the decision, for operators.
    """

    target: TargetId
    service: ServiceName
    version: int
    phase: EjectionPhase
    duration_s: float
    evidence: str


class Quarantine(Struct, frozen=True):
    """A request that crashed targets, as far as the sender knows.

    Attributes:
        targets: the targets that broke the connection while they had the
            request, sorted, once for each crash.
        epoch: rises when a target serves the request. Crashes of an earlier
            epoch no longer count.
        trials: attempts that the leader allowed during the quarantine.
        unused_trials: how many of them certainly did not run.
    """

    fingerprint: Fingerprint
    targets: tuple[TargetId, ...]
    epoch: int = 0
    trials: int = 0
    unused_trials: int = 0


class StoredQuarantine(Struct, frozen=True):
    """A record of a request that crashed targets, as written to disk.

    Attributes:
        stored_at: when it was written, in Unix seconds.
    """

    record: Quarantine
    stored_at: float


class TrialRequest(Struct, frozen=True):
    """Asks the leader to allow an attempt of a quarantined request."""

    record: Quarantine


class TrialReply(Struct, frozen=True):
    """The leader's reply to a trial request.

    Attributes:
        record: what the leader knows of the request; if the attempt is
            allowed, it counts that attempt.
    """

    record: Quarantine
    granted: bool


class TargetReport(Struct, frozen=True):
    """Reports the result of an attempt at a target to all entries.

    Attributes:
        number: rises with each report about the target.
        duration_s: seconds without requests, from the receipt of the report;
            0 if it starts no cool-down.
        suspicion: evidence from failed responses so far, as the logarithm of
            a likelihood ratio.
        successes: successes in a row since the failure that started the
            cool-down.
    """

    target: TargetId
    number: int
    duration_s: float
    kind: ReportKind
    suspicion: float = 0.0
    successes: int = 0

    @property
    def cools_down(self) -> bool:
        """Whether the report starts a cool-down."""
        return self.kind.cools_down

    @property
    def is_failure(self) -> bool:
        """Whether the report is about a failed attempt."""
        return self.kind is not ReportKind.SUCCESS

    @property
    def rank(self) -> tuple[int, bool]:
        """Sort key among the reports about the target."""
        return self.number, self.cools_down


class EntryState(Struct, frozen=True):
    """The state of an entry, as its hub last received it.

    Attributes:
        counter: rises with each message of the entry, also over restarts.
        present: false once its hub has received nothing from it for a while.
        caller_address: address at which callers reach it.
        hub: the control host that it subscribes to.
    """

    host: HostId
    counter: int
    present: bool
    flags: HostFlag
    region: RegionName
    failure_domain: FailureDomainName
    caller_address: str
    hub: HostId


class Gossip(Struct, frozen=True):
    """Heartbeats and updates, sent to a few peers at a time."""

    statuses: tuple[HostStatus, ...]
    announcements: tuple[Announcement, ...] = ()
    ejections: tuple[Ejection, ...] = ()
    quarantines: tuple[Quarantine, ...] = ()


# Feeds of hubs


class HostAddress(Struct, frozen=True):
    """A host, the address of its peer listener and where it is."""

    host: HostId
    address: str
    region: RegionName
    failure_domain: FailureDomainName = FailureDomainName("")


class FeedMark(Struct, frozen=True):
    """The position up to which a host has read a hub's feed.

    Attributes:
        incarnation: incarnation of the hub; each one starts a new feed.
    """

    hub: HostId
    incarnation: Incarnation
    position: FeedPosition


class Presence(Struct, frozen=True):
    """A heartbeat to a hub; it also acknowledges what was read.

    Attributes:
        counter: rises with each heartbeat, also over restarts.
        revision: newest configuration revision that the host has applied.
        caller_address: address at which callers reach the host.
        marks: positions read so far. An entry has one for its hub, a hub one
            for each other hub.
    """

    counter: int
    revision: Revision
    flags: HostFlag
    region: RegionName
    failure_domain: FailureDomainName
    caller_address: str
    marks: tuple[FeedMark, ...]


class Unsubscribe(Struct, frozen=True):
    """Ends the feed to an entry that now subscribes to another hub."""


class Feed(Struct, frozen=True):
    """Feed items from a hub; without any, the hub's heartbeat.

    Attributes:
        origin: hub that the feed belongs to; another hub may forward it.
        incarnation: incarnation of that hub.
        after: position that this message continues from.
        position: position up to which the feed is complete with this message.
        revision: newest configuration revision that the sender has applied.
        in_contact: whether the sender has recent contact with the leader of
            its group.
        entries: number of entries that are present.
        hubs: all control hosts that the sender knows; not in each message.
        leader: the leader of the sender's group, empty if it knows none.
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
    leader: HostId = HostId("")


class News(Struct, frozen=True):
    """Updates from an entry to its hub."""

    announcements: tuple[Announcement, ...] = ()
    ejections: tuple[Ejection, ...] = ()
    quarantines: tuple[Quarantine, ...] = ()
    reports: tuple[TargetReport, ...] = ()


class TargetWork(Struct, frozen=True):
    """In-flight attempts at a target."""

    target: TargetId
    attempts: int


class RequestCounts(Struct, frozen=True):
    """Requests to a service that ended within the last two seconds.

    Attributes:
        lost: those that were not served, for any reason.
    """

    service: ServiceName
    ended: int
    lost: int


class EntryWork(Struct, frozen=True):
    """In-flight attempts of an entry, or of all entries of a hub.

    Attributes:
        full: whether targets that are not listed have no attempts; otherwise
            their numbers have not changed.
        requests: services that are not listed had no requests; empty unless
            the message is full.
    """

    targets: tuple[TargetWork, ...]
    full: bool
    requests: tuple[RequestCounts, ...] = ()


class OthersWork(Struct, frozen=True):
    """In-flight attempts of the other entries of a region.

    Attributes:
        full: whether targets that are not listed have no attempts; otherwise
            their numbers have not changed.
        requests: services that are not listed had no requests; empty unless
            the message is full.
    """

    targets: tuple[TargetWork, ...]
    full: bool
    requests: tuple[RequestCounts, ...] = ()


# Configuration


class DocumentEdit(Struct, frozen=True):
    """A document that is written, or deleted if `body` is None."""

    key: str
    body: str | None

    def __repr__(self) -> str:  # the body may contain keys
        return f"<DocumentEdit [{self.key}]>"


class Change(Struct, frozen=True):
    """An operator's change of the configuration.

    Attributes:
        change: id that the operator's client chose; it stays the same if the
            change is sent again.
        expected: newest revision that the operator has seen.
        wall_time: when the operator's client made the change, for the
            history.
        forced: whether the operator confirms that all unreachable entries
            are stopped.
        version: the operator's version of the whole configuration after this
            change, 0 if there is none. A change with a version doesn't depend
            on a revision; the highest version wins.
    """

    change: ChangeId
    expected: Revision
    author: str
    wall_time: str
    edits: tuple[DocumentEdit, ...]
    forced: bool = False
    version: ConfigVersion = ConfigVersion(0)


class CommittedChange(Struct, frozen=True):
    """A committed change and its revision."""

    revision: Revision
    change: Change


class ChangeSummary(Struct, frozen=True):
    """A committed change without the content of its documents.

    Attributes:
        written: keys of the documents that it wrote.
        deleted: keys of the documents that it deleted.
    """

    revision: Revision
    change: ChangeId
    author: str
    wall_time: str
    written: tuple[str, ...]
    deleted: tuple[str, ...]


class ConfigPull(Struct, frozen=True):
    """Asks for the changes after a revision.

    Attributes:
        accepts_delta: whether the sender understands `ConfigDelta`, which
            earlier versions don't.
    """

    after: Revision
    accepts_delta: bool = True


class ConfigPush(Struct, frozen=True):
    """Committed changes in order, without gaps, from an earlier version."""

    changes: tuple[CommittedChange, ...]


class ConfigDelta(Struct, frozen=True):
    """The documents that differ between two revisions.

    It turns the configuration of each revision in between into the newer one.

    Attributes:
        after: the older revision.
        revision: the newer revision.
        edits: the documents at the newer revision, and those removed.
    """

    after: Revision
    revision: Revision
    edits: tuple[DocumentEdit, ...]

    def __repr__(self) -> str:  # the documents may contain keys
        return f"<ConfigDelta [{self.after}..{self.revision}]>"


class ConfigState(Struct, frozen=True):
    """The whole committed configuration at a revision."""

    revision: Revision
    documents: dict[str, str]

    def __repr__(self) -> str:  # the documents may contain keys
        return f"<ConfigState [{self.revision}]>"


# The replicated log


class Member(Struct, frozen=True):
    """A member of the control group and its host."""

    member: MemberId
    host: HostId


class Members(Struct, frozen=True):
    """The members of the control group; only voters count in a quorum."""

    voters: tuple[Member, ...]
    learners: tuple[Member, ...] = ()


class Noop(Struct, frozen=True):
    """Written by a new leader to commit the records of earlier terms."""


Command = Change | Members | Noop


class LogRecord(Struct, frozen=True):
    """One record of the replicated log."""

    index: LogIndex
    term: Term
    command: Command


class AnsweredChange(Struct, frozen=True):
    """The result of a change, kept in case the change is sent again.

    Attributes:
        digest: digest of the change's content.
        revision: the revision that the change got.
    """

    change: ChangeId
    digest: str
    revision: Revision


class Snapshot(Struct, frozen=True):
    """The state of the replicated log up to and including `index`.

    Attributes:
        recent: the newest changes, as earlier versions stored them.
        history: the newest changes, oldest first.
    """

    index: LogIndex
    term: Term
    members: Members
    revision: Revision
    documents: dict[str, str]
    answered: tuple[AnsweredChange, ...]
    recent: tuple[CommittedChange, ...] = ()
    history: tuple[ChangeSummary, ...] = ()

    def __repr__(self) -> str:  # the documents may contain keys
        return f"<Snapshot [{self.index}]>"


class Ballot(Struct, frozen=True):
    """Term and vote of a member; synced to disk before a reply is sent."""

    term: Term
    voted_for: MemberId


class VoteRequest(Struct, frozen=True):
    """Asks for a vote.

    Attributes:
        pre: whether it only asks if the vote would be given.
        transfer: whether the leader asked for this election.
    """

    term: Term
    candidate: MemberId
    last_index: LogIndex
    last_term: Term
    pre: bool
    transfer: bool = False


class VoteReply(Struct, frozen=True):
    """Replies to a vote request of the same term and kind."""

    term: Term
    voter: MemberId
    granted: bool
    pre: bool


class AppendRequest(Struct, frozen=True):
    """Log records for a follower; without any, a heartbeat.

    Attributes:
        round: the leader's newest round of confirming its leadership.
    """

    term: Term
    leader: MemberId
    previous_index: LogIndex
    previous_term: Term
    records: tuple[LogRecord, ...]
    commit: LogIndex
    round: int = 0


class AppendReply(Struct, frozen=True):
    """Reports to the leader how far a follower's log matches its own.

    Attributes:
        index: last matching record, or a hint which index to try next.
        round: round of the request.
        stopping: whether the follower's host is being stopped.
    """

    term: Term
    member: MemberId
    accepted: bool
    index: LogIndex
    round: int = 0
    stopping: bool = False


class InstallSnapshot(Struct, frozen=True):
    """Replaces the log of a follower that is too far behind."""

    term: Term
    leader: MemberId
    snapshot: Snapshot


class CampaignNow(Struct, frozen=True):
    """The leader, before it stops, asks a follower to start an election."""

    term: Term
    leader: MemberId


class JoinRequest(Struct, frozen=True):
    """Asks to add a member with an empty disk to the control group."""

    member: Member


class LeaveRequest(Struct, frozen=True):
    """Asks the leader to give a stopping member's vote to a learner."""

    member: MemberId


class LeaveReply(Struct, frozen=True):
    """Tells a stopping member that the group has no change left for it."""

    term: Term


# Claims


class ClaimRequest(Struct, frozen=True):
    """Asks a group member to grant a key to a single claim."""

    key: ClaimKey
    claim: ClaimId
    epoch: int
    ttl_s: float


class MemberIncarnation(Struct, frozen=True):
    """The newest incarnation of a member that another member has seen."""

    host: HostId
    incarnation: Incarnation


class ClaimReply(Struct, frozen=True):
    """A group member's reply to a claim request.

    Attributes:
        incarnation: incarnation of the member that replies.
        known: incarnations of the other members, as this member has seen
            them.
    """

    key: ClaimKey
    claim: ClaimId
    status: GrantStatus
    incarnation: Incarnation
    known: tuple[MemberIncarnation, ...]


class ClaimRelease(Struct, frozen=True):
    """Withdraws a claim whose request did not run and will not run."""

    key: ClaimKey
    claim: ClaimId


class HeldClaim(Struct, frozen=True):
    """A granted claim and the seconds for which it remains valid."""

    key: ClaimKey
    claim: ClaimId
    remaining_s: float


class RecallRequest(Struct, frozen=True):
    """A restarted group member asks another one for the granted claims."""

    incarnation: Incarnation


class RecallChallenge(Struct, frozen=True):
    """A one-time number that the asking member must return.

    So a delayed request of an earlier incarnation can't pass for one of the
    newest.
    """

    incarnation: Incarnation
    nonce: int


class RecallConfirm(Struct, frozen=True):
    """Returns the number; from then on the new incarnation is valid."""

    incarnation: Incarnation
    nonce: int


class RecallState(Struct, frozen=True):
    """The claims that a group member knows, sent after a confirmation.

    Attributes:
        incarnation: incarnation of the member that asked.
        responder: incarnation of the member that replies.
        known: incarnations of the other members, as the replying member has
            seen them.
    """

    incarnation: Incarnation
    responder: Incarnation
    claims: tuple[HeldClaim, ...]
    known: tuple[MemberIncarnation, ...]


# Health


class TargetSample(Struct, frozen=True):
    """An entry's attempts at a target since its last report.

    Attributes:
        good: number of successful attempts.
        bad: number of failed attempts.
    """

    target: TargetId
    good: int
    bad: int


class Evidence(Struct, frozen=True):
    """An entry's samples of a service, for the service's evaluator."""

    service: ServiceName
    region: RegionName
    samples: tuple[TargetSample, ...]


# Long work


class LongSlotRequest(Struct, frozen=True):
    """Asks a service's coordinator for a slot for long work."""

    request: RequestId
    service: ServiceName
    long_share: float
    ttl_s: float
    excluded: tuple[TargetId, ...]


class LongSlotReply(Struct, frozen=True):
    """Grants a slot on a target; an empty target means a refusal."""

    request: RequestId
    target: TargetId


class LongSlotRelease(Struct, frozen=True):
    """Releases a long slot."""

    request: RequestId


class LongHeld(Struct, frozen=True):
    """Long slots that are in use on a target."""

    target: TargetId
    slots: int


class LongOccupancy(Struct, frozen=True):
    """A coordinator's announcement of the long slots in use.

    Targets that are not listed have none.
    """

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
    | ConfigDelta
    | ConfigState
    | VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | InstallSnapshot
    | CampaignNow
    | JoinRequest
    | LeaveRequest
    | LeaveReply
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
    | TrialRequest
    | TrialReply
    | LeaseRequest
    | LeaseReply
    | RevisionQuery
    | RevisionAnswer
    | QuotaRequest
    | QuotaReply
    | BorrowRequest
    | BorrowReply
)
