"""Enumerated states and kinds."""

from enum import Enum, IntEnum, IntFlag


class Role(Enum):
    """What a process of the fleet does."""

    ENTRY = "entry"
    CONTROL = "control"


class WorkClass(Enum):
    """Expected length of a request, from its route."""

    SHORT = "short"
    LONG = "long"


class RequestKind(Enum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    UPLOAD = "upload"
    """A large body; never repeated once it may have run."""


class Topology(Enum):
    """How hosts spread heartbeats and news."""

    MESH = "mesh"
    """Gossip between all hosts."""
    HUBS = "hubs"
    """Each entry listens to one control host; those exchange feeds."""


class IsolationPolicy(Enum):
    """What an entry does that is cut off from the fleet."""

    REFUSE = "refuse"
    SERVE = "serve"


class ReportKind(IntEnum):
    """How a target did at an attempt."""

    BROKEN = 1
    """It broke a connection without a response: it cools down."""
    SUCCESS = 2
    """It succeeded after its failure; a few in a row end its recovery."""
    FAULTS = 3
    """It gave too many failed responses: it cools down."""
    SUSPECTED = 4
    """It gave a failed response, which is no proof alone."""

    @property
    def cools_down(self) -> bool:
        """Whether the target gets no requests for a while."""
        return self in (ReportKind.BROKEN, ReportKind.FAULTS)


class Outcome(Enum):
    """What is known about a request that got no answer of a target."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class TargetPhase(IntEnum):
    """What a target says of itself."""

    ACTIVE = 1
    LEAVING = 2


class EjectionPhase(IntEnum):
    """Where an ejected target stands on its way back."""

    EJECTED = 1
    PROBATION = 2
    RETURNED = 3


class GrantStatus(IntEnum):
    """A claim group member's answer to a claim."""

    GRANTED = 1
    HELD = 2
    """Another claim holds the key."""
    NOT_READY = 3
    """The member restarted and may have forgotten claims."""
    STALE_EPOCH = 4
    """The claimant works with groups that have been replaced."""


class HostFlag(IntFlag):
    """Facts a host spreads about itself."""

    NONE = 0
    CONTROL = 1
    LEADER = 2
    SERVING = 4
    LEAVING = 8


class ConsensusRole(Enum):
    """Role of a member of the replicated log."""

    LEARNER = "learner"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class AttemptStatus(Enum):
    """How one attempt at a target ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    """The target declared that it did not run, for another reason."""
    SHED = "shed"
    """The target declared overload before running the request."""
    FAILED = "failed"
    """Broken without an answer after the first byte; it may have run."""
    TRUNCATED = "truncated"
    """The answer began and ended early; it has run."""
    TIMED_OUT = "timed-out"
    STALE_CONNECTION = "stale-connection"
    """A reused connection failed; it may have run."""
    CANCELLED = "cancelled"
    """The caller went away; it may have run."""
    UNREACHABLE = "unreachable"
    """No connection, so nothing was sent."""
    INVALID = "invalid"
    """What came back is no answer to this request; it may have run."""
    MISDIRECTED = "misdirected"
    """Another target has the address; it did not run."""


class RefusalReason(Enum):
    """Why the fleet gave an answer of its own."""

    NO_CONFIGURATION = "no-configuration"
    ISOLATED = "isolated"
    UNKNOWN_ORGANISATION = "unknown-organisation"
    UNKNOWN_ROUTE = "unknown-route"
    KEY_REQUIRED = "idempotency-key-required"
    DUPLICATE = "duplicate"
    CLAIM_UNAVAILABLE = "claim-unavailable"
    QUARANTINED = "quarantined"
    NO_TARGET = "no-target"
    OVERLOAD = "overload"
    DEADLINE = "deadline"
    CALLER_GONE = "caller-gone"
    TARGET_FAILED = "target-failed"
    BAD_ANSWER = "bad-answer"
    BAD_REQUEST = "bad-request"
