"""The budget for what unknown clients can make a process keep.

It handles crowds of clients that send heads and bodies without their end, ask
for responses that they don't read, or open connections that they don't use.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import Enum

from msgspec import Struct

# What a process needs without clients, measured as 60 MB, with a margin.
BASE_BYTES = 64 * 1_048_576
# Of the memory beyond that. The rest is for targets' responses, and for
# copies, fragments and objects that are not counted.
CLIENT_SHARE = 0.4
# For the beginnings of targets' responses.
RESPONSE_SHARE = 0.25
# The rest of the descriptors is for targets, peers and files.
DESCRIPTOR_SHARE = 0.5
# A process on the smallest hosts serves clients all the same.
MIN_BYTES = 8 * 1_048_576
MIN_CONNECTIONS = 32
# What an open connection costs: its greenlet, handler and buffers.
CONNECTION_BYTES = 32_768
# A parsed header field, in the structures of the listener and of a request.
FIELD_BYTES = 1_024
# Clients that keep less than this are served from the whole budget, the
# others from LARGE_SHARE of it.
ORDINARY_BYTES = 131_072
LARGE_SHARE = 0.8
# A client that sends or takes less than this makes no progress.
PROGRESS_BYTES = 1_024


class ClientPhase(Enum):
    """What a client's connection does."""

    IDLE = "idle"
    READING = "reading"
    """A head or a body is not complete; its request has not run."""
    RUNNING = "running"
    WRITING = "writing"
    """A response waits for the client to read it."""
    DRAINING = "draining"
    """The last response was written; what still arrives is dropped."""


class CutOffReason(Enum):
    """Why a client's connection is ended."""

    MEMORY = "memory"
    DESCRIPTORS = "descriptors"
    TIME = "time"
    HEAD_SIZE = "head-size"
    BODY_FRAMING = "body-framing"


# Connections in a phase that comes first give way first. One whose request
# runs never does: nobody would learn how it ended.
_DESCRIPTOR_ORDER = {
    ClientPhase.DRAINING: 0,
    ClientPhase.IDLE: 1,
    ClientPhase.READING: 2,
    ClientPhase.WRITING: 2,
}
# Idle connections keep little.
_MEMORY_ORDER = {**_DESCRIPTOR_ORDER, ClientPhase.IDLE: 3}


class BudgetLimits(Struct, frozen=True):
    """The size of a budget.

    Attributes:
        memory_bytes: bytes for all clients together.
        connections: open connections of all clients together.
        response_bytes: largest number of bytes of targets' responses that
            are held back.
    """

    memory_bytes: int
    connections: int
    response_bytes: int = MIN_BYTES

    @classmethod
    def from_host(cls, memory_mb: int, max_descriptors: int) -> BudgetLimits:
        """Derive the limits from the memory and descriptors of the host."""
        free = max(0, memory_mb * 1_048_576 - BASE_BYTES)
        return cls(
            max(MIN_BYTES, int(free * CLIENT_SHARE)),
            max(MIN_CONNECTIONS, int(max_descriptors * DESCRIPTOR_SHARE)),
            max(MIN_BYTES, int(free * RESPONSE_SHARE)),
        )


class Holding:
    """What one client makes the process keep.

    Attributes:
        shed: ends the connection; called at most once.
        bytes: the counted bytes, without those of the connection itself.
        phase: what the connection does.
        progress_at: when the client last made progress, or its phase began.
        has_served: whether a request of the connection was answered.
        is_shed: whether the connection must end.
    """

    __slots__ = (
        "_since_progress", "bytes", "has_served", "is_shed", "phase",
        "progress_at", "shed",
    )  # fmt: skip

    def __init__(self, shed: Callable[[CutOffReason], None]) -> None:
        """Start without bytes."""
        self.shed = shed
        self.bytes = 0
        self.phase = ClientPhase.IDLE
        self.progress_at = 0.0
        self.has_served = False
        self.is_shed = False
        self._since_progress = 0

    def enter(self, phase: ClientPhase, now: float) -> None:
        """Begin a phase."""
        self.phase = phase
        self.progress_at = now
        self._since_progress = 0

    def record_bytes(self, count: int, now: float) -> None:
        """Record bytes that the client sent."""
        self._since_progress += count
        if self._since_progress >= PROGRESS_BYTES:
            self._since_progress = 0
            self.progress_at = now

    def __repr__(self) -> str:
        return f"<Holding [{self.bytes} bytes, {self.phase.value}]>"


class ClientBudget:
    """Decides who may keep how much, and who gives way."""

    def __init__(
        self, limits: BudgetLimits, clock: Callable[[], float]
    ) -> None:
        """Create a budget of which nothing is used.

        Args:
            limits: the size of the budget.
            clock: returns monotonic seconds.
        """
        self._limits = limits
        self._clock = clock
        self._holdings: set[Holding] = set()
        self._used = 0
        self._cut_counts: Counter[CutOffReason] = Counter()

    @property
    def used_bytes(self) -> int:
        """The bytes that are counted now."""
        return self._used

    @property
    def connections(self) -> int:
        """The connections that are counted now."""
        return len(self._holdings)

    @property
    def cut_counts(self) -> Counter[CutOffReason]:
        """How many clients were cut off, by reason."""
        return self._cut_counts

    def now(self) -> float:
        """Return the time on the budget's clock."""
        return self._clock()

    def open(self, holding: Holding) -> bool:
        """Count a new connection; others give way to it.

        Returns:
            Whether it may stay.
        """
        holding.enter(ClientPhase.IDLE, self._clock())
        while len(self._holdings) >= self._limits.connections:
            if not self._shed_one(holding, CutOffReason.DESCRIPTORS):
                self._cut_counts[CutOffReason.DESCRIPTORS] += 1
                return False
        self._holdings.add(holding)
        self._used += CONNECTION_BYTES
        self._make_room(holding, self._limits.memory_bytes)
        return True

    def close(self, holding: Holding) -> None:
        """Stop counting a connection and what it keeps."""
        self.release(holding, holding.bytes)
        self._remove(holding)

    def reserve(self, holding: Holding, count: int) -> bool:
        """Count bytes, unless the budget is used up; others give way.

        Returns:
            Whether the bytes may be kept.
        """
        limit = self._limits.memory_bytes
        if holding.bytes + count > ORDINARY_BYTES:
            limit = int(limit * LARGE_SHARE)
        if self._used + count > limit and not self._make_room(
            holding, limit - count
        ):
            return False
        holding.bytes += count
        self._used += count
        return True

    def add(self, holding: Holding, count: int) -> None:
        """Count bytes that are kept already; others give way."""
        holding.bytes += count
        self._used += count
        self._make_room(holding, self._limits.memory_bytes)

    def release(self, holding: Holding, count: int) -> None:
        """Stop counting bytes, as far as they are counted."""
        count = max(0, min(count, holding.bytes))
        holding.bytes -= count
        self._used -= count

    def count_cut_off(self, reason: CutOffReason) -> None:
        """Count a client that is cut off for a limit of its own."""
        self._cut_counts[reason] += 1

    def _make_room(self, for_holding: Holding, limit: int) -> bool:
        """Let others give way until no more than the limit is used."""
        while self._used > limit:
            if not self._shed_one(for_holding, CutOffReason.MEMORY):
                return False
        return True

    def _shed_one(self, for_holding: Holding, reason: CutOffReason) -> bool:
        """End the connection that costs most for least; False if none can."""
        victim = min(
            (
                h
                for h in self._holdings
                if h is not for_holding and h.phase in _MEMORY_ORDER
            ),
            key=_RANK_BY_REASON[reason],
            default=None,
        )
        if victim is None:
            return False
        victim.is_shed = True
        self._cut_counts[reason] += 1
        # Its bytes are freed as soon as its task runs, and until then nothing
        # is added to them.
        self.release(victim, victim.bytes)
        self._remove(victim)
        victim.shed(reason)
        return True

    def _remove(self, holding: Holding) -> None:
        if holding in self._holdings:
            self._holdings.discard(holding)
            self._used -= CONNECTION_BYTES

    def __repr__(self) -> str:
        return (
            f"<ClientBudget [{self._used} of {self._limits.memory_bytes} "
            f"bytes, {len(self._holdings)} connections]>"
        )


def _rank_for_memory(holding: Holding) -> tuple[bool, int, float]:
    return False, _MEMORY_ORDER[holding.phase], holding.progress_at


def _rank_for_descriptors(holding: Holding) -> tuple[bool, int, float]:
    order = _DESCRIPTOR_ORDER[holding.phase]
    return holding.has_served, order, holding.progress_at


_RANK_BY_REASON = {
    CutOffReason.MEMORY: _rank_for_memory,
    CutOffReason.DESCRIPTORS: _rank_for_descriptors,
}
