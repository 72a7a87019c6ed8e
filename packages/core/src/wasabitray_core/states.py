"""Enumerations of states and kinds that the packages share."""

from enum import Enum, IntEnum, IntFlag


class Role(Enum):
    """Role of a process in the fleet."""

    ENTRY = "entry"
    CONTROL = "control"


class WorkClass(Enum):
    """Expected duration of a request, given by its route."""

    SHORT = "short"
    LONG = "long"


class RequestKind(Enum):
    """Whether the requests of a route may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    UPLOAD = "upload"
    """Has a large body; is never repeated once it may have run."""
    DOWNLOAD = "download"
    """Idempotent, with a large response."""

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self in (RequestKind.IDEMPOTENT, RequestKind.DOWNLOAD)


class RequestAccess(Enum):
    """How a request was admitted by its key."""

    UNRESTRICTED = "unrestricted"
    """The configuration has no organisations with keys."""
    PUBLIC = "public"
    """The route needs no key."""
    AUTHENTICATED = "authenticated"
    """The request has a key of an organisation."""


class LeaseState(Enum):
    """Whether an entry has the lease that it needs to accept keys."""

    UNUSED = "unused"
    """No request needs it, so it isn't renewed."""
    HELD = "held"
    LOST = "lost"


class QuotaDecision(IntEnum):
    """Whether a request fits into its organisation's quota."""

    GRANTED = 1
    EXCEEDED = 2
    UNKNOWN = 3
    """Too few hosts replied to decide."""


class Topology(Enum):
    """How hosts exchange heartbeats and updates."""

    MESH = "mesh"
    """Gossip between all hosts."""
    HUBS = "hubs"
    """Each entry subscribes to a control host; these hosts exchange feeds."""


class IsolationPolicy(Enum):
    """What an entry does with requests while it is cut off from the fleet."""

    REFUSE = "refuse"
    SERVE = "serve"


class ReportKind(IntEnum):
    """The result of an attempt, as reported about its target."""

    BROKEN = 1
    """The target broke a connection without a response; it cools down."""
    SUCCESS = 2
    """An attempt succeeded after a failure; a few in a row end recovery."""
    FAULTS = 3
    """The target gave too many failed responses; it cools down."""
    SUSPECTED = 4
    """The target gave a failed response, or none in the usual time.

    The evidence is still too weak.
    """
    SILENT = 5
    """The target did not respond for far too long; it cools down."""

    @property
    def cools_down(self) -> bool:
        """Whether the report starts a cool-down of the target."""
        return self in _COOLING_KINDS


_COOLING_KINDS = frozenset(
    {ReportKind.BROKEN, ReportKind.FAULTS, ReportKind.SILENT}
)


class Outcome(Enum):
    """Whether a request without a target's response may have run."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class TargetPhase(IntEnum):
    """Phase that a target announces."""

    ACTIVE = 1
    LEAVING = 2


class EjectionPhase(IntEnum):
    """Phase of a target's ejection and return."""

    EJECTED = 1
    PROBATION = 2
    RETURNED = 3


class GrantStatus(IntEnum):
    """Reply of a claim group's member to a claim."""

    GRANTED = 1
    HELD = 2
    """Another claim holds the key."""
    NOT_READY = 3
    """The member has restarted and may have lost claims."""
    STALE_EPOCH = 4
    """The claimant uses claim groups that have been replaced."""


class HostFlag(IntFlag):
    """Flags in a host's heartbeats."""

    NONE = 0
    CONTROL = 1
    LEADER = 2
    SERVING = 4
    LEAVING = 8
    KNOWS_HUBS = 16
    """An entry has chosen its hub from a list of all hubs."""
    NEEDS_LEADER = 32
    """An entry subscribes only to a hub in contact with the leader."""


SUBSCRIPTION_FLAGS = HostFlag.KNOWS_HUBS | HostFlag.NEEDS_LEADER
"""Flags that concern only the hub that gets the heartbeat."""


class ConsensusRole(Enum):
    """Role of a member of the replicated log."""

    LEARNER = "learner"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class GroupChangeReason(Enum):
    """Why the members of the control group change."""

    JOINED = "joined"
    CAUGHT_UP = "caught-up"
    VOTER_REPLACED = "voter-replaced"
    DISK_REPLACED = "disk-replaced"
    SILENT = "silent"
    LEAVING = "leaving"
    GONE = "gone"


class AttemptStatus(Enum):
    """How one attempt at a target ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    """The target declared that it did not run the request.

    If the reason is overload, the status is SHED.
    """
    SHED = "shed"
    """The target declared overload before it ran the request."""
    FAILED = "failed"
    """The connection broke after the first byte was sent, before a response.

    The request may have run.
    """
    TRUNCATED = "truncated"
    """The response was cut off; the request has run."""
    TIMED_OUT = "timed-out"
    STALE_CONNECTION = "stale-connection"
    """A reused connection failed; the request may have run."""
    CANCELLED = "cancelled"
    """The caller disconnected; the request may have run."""
    UNREACHABLE = "unreachable"
    """No connection was made, so nothing was sent."""
    INVALID = "invalid"
    """The data received is no response to this request; it may have run."""
    MISDIRECTED = "misdirected"
    """Another target has the address; the request did not run."""


class SecondAttemptResult(Enum):
    """What became of a request's second attempt."""

    WON = "won"
    """Its response went to the caller; the first attempt was cancelled."""
    CANCELLED = "cancelled"
    """The first attempt was faster after all."""
    FAILED = "failed"
    """It ended without a response that could be used."""
    NO_BUDGET = "no-budget"
    NO_ROOM = "no-room"
    """The service has no free slots beyond its load, or loses requests."""
    SERVICE_SLOW = "service-slow"
    """Requests are overdue at several targets."""
    NO_TARGET = "no-target"
    TOO_LATE = "too-late"
    STOPPING = "stopping"
    SUSPECT = "suspect"
    """The request may have crashed a target in the meantime."""


class RefusalReason(Enum):
    """Why the proxy itself responded in place of a target."""

    NO_CONFIGURATION = "no-configuration"
    ISOLATED = "isolated"
    UNKNOWN_ORGANISATION = "unknown-organisation"
    UNKNOWN_ROUTE = "unknown-route"
    UNKNOWN_KEY = "unknown-key"
    """No organisation in the newest configuration holds the key."""
    UNCONFIRMED = "unconfirmed-configuration"
    """The key may have been withdrawn; the entry has lost its lease."""
    QUOTA_EXCEEDED = "quota-exceeded"
    QUOTA_UNAVAILABLE = "quota-unavailable"
    """No host could decide whether the request fits into the quota."""
    OUTDATED = "outdated-configuration"
    """No route or key is known, but a newer configuration may have it."""
    KEY_REQUIRED = "idempotency-key-required"
    DUPLICATE = "duplicate"
    CLAIM_UNAVAILABLE = "claim-unavailable"
    QUARANTINED = "quarantined"
    NO_TARGET = "no-target"
    OVERLOAD = "overload"
    STOPPING = "stopping"
    """The entry is stopping, and the request might not end before it does."""
    DEADLINE = "deadline"
    CALLER_GONE = "caller-gone"
    TARGET_FAILED = "target-failed"
    BAD_ANSWER = "bad-answer"
    BAD_REQUEST = "bad-request"
