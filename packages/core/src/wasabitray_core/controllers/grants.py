"""A claim group member's memory of granted claims."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any, ClassVar

from wasabitray_core.controllers.controller import (
    Context,
    Controller,
    Origin,
)
from wasabitray_core.documents import Fleet
from wasabitray_core.ids import (
    ClaimId,
    ClaimKey,
    HostId,
    Incarnation,
    Seconds,
)
from wasabitray_core.local_messages import (
    ConfigurationApplied,
    ControllerName,
    GetStatus,
    ServiceLimits,
    Tick,
)
from wasabitray_core.messages import (
    ClaimRelease,
    ClaimReply,
    ClaimRequest,
    HeldClaim,
    MemberIncarnation,
    RecallChallenge,
    RecallConfirm,
    RecallRequest,
    RecallState,
)
from wasabitray_core.states import GrantStatus

MAX_NONCE = 2**62
# Reported by members that disagree about another one's run; matches none.
AMBIGUOUS = Incarnation("?")
# Holds a key that recalled members granted to different claims.
CONTESTED = ClaimId("?")


@dataclass(slots=True)
class _Held:
    claim: ClaimId
    expires: Seconds


class GrantsController(Controller):
    """Owns the claims this host granted as a member of a claim group.

    A key is granted to one claim only until it expires. The memory is lost
    with the process, so a restarted member grants nothing until either the
    retention has passed or it has recalled the claims of so many other
    members that every granted majority includes one of them. Members tell
    claimants which run of each other they know; a claimant drops a grant
    from a run that another granting member knows to be replaced.
    """

    name: ClassVar[ControllerName] = ControllerName.GRANTS

    def __init__(self, context: Context, incarnation: Incarnation) -> None:
        """Start without memory.

        Args:
            context: shared by all controllers.
            incarnation: name of this run, never used before.
        """
        super().__init__(context)
        self._incarnation = incarnation
        self._started = context.clock()
        self._fleet: Fleet | None = None
        self._recalled: set[HostId] = set()
        self._memory_complete = False
        self._held: dict[ClaimKey, _Held] = {}
        self._withdrawn: dict[ClaimId, Seconds] = {}
        self._known: dict[HostId, Incarnation] = {}
        self._challenges: dict[HostId, int] = {}

    @property
    def ready(self) -> bool:
        """Whether this member remembers every claim it must."""
        return self._memory_complete

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message."""
        raise TypeError(f"{self!r} can't take {message!r}")

    @receive.register
    def _(self, message: ConfigurationApplied, origin: Origin) -> None:
        if message.fleet is not None:
            self._fleet = message.fleet
            self._check_ready()

    @receive.register
    def _(self, message: ServiceLimits, origin: Origin) -> None:
        """Floors do not matter to claims."""

    @receive.register
    def _(self, message: Tick, origin: Origin) -> None:
        now = self._now()
        self._held = {k: h for k, h in self._held.items() if h.expires > now}
        self._withdrawn = {
            c: until for c, until in self._withdrawn.items() if until > now
        }
        self._check_ready()
        if not self._memory_complete:
            request = RecallRequest(self._incarnation)
            for host in self._other_members() - self._recalled:
                self._outbox.send(host, request)

    @receive.register
    def _(self, message: ClaimRequest, origin: Origin) -> None:
        reply = ClaimReply(
            message.key,
            message.claim,
            self._decide(message),
            self._incarnation,
            self._known_members(),
        )
        assert origin.peer is not None
        self._outbox.send(origin.peer, reply)

    @receive.register
    def _(self, message: ClaimRelease, origin: Origin) -> None:
        self._withdrawn[message.claim] = self._expiry(self._retention())
        held = self._held.get(message.key)
        if held is not None and held.claim == message.claim:
            del self._held[message.key]

    @receive.register
    def _(self, message: RecallRequest, origin: Origin) -> None:
        if not self._memory_complete or origin.peer is None:
            return
        # The asker has to return a fresh number, so that a delayed request
        # of an earlier run can't pass for the newest one.
        nonce = self._context.random.randrange(MAX_NONCE)
        self._challenges[origin.peer] = nonce
        challenge = RecallChallenge(message.incarnation, nonce)
        self._outbox.send(origin.peer, challenge)

    @receive.register
    def _(self, message: RecallChallenge, origin: Origin) -> None:
        if message.incarnation == self._incarnation and origin.peer:
            confirm = RecallConfirm(self._incarnation, message.nonce)
            self._outbox.send(origin.peer, confirm)

    @receive.register
    def _(self, message: RecallConfirm, origin: Origin) -> None:
        peer = origin.peer
        if peer is None or self._challenges.get(peer) != message.nonce:
            return
        del self._challenges[peer]
        self._known[peer] = message.incarnation
        now = self._now()
        claims = tuple(
            HeldClaim(key, held.claim, held.expires - now)
            for key, held in self._held.items()
        )
        self._outbox.send(
            peer,
            RecallState(
                message.incarnation,
                self._incarnation,
                claims,
                self._known_members(),
            ),
        )

    @receive.register
    def _(self, message: RecallState, origin: Origin) -> None:
        peer = origin.peer
        if message.incarnation != self._incarnation or peer is None:
            return
        for held in message.claims:
            self._remember(held)
        self._learn_incarnations(peer, message)
        self._recalled.add(peer)
        self._check_ready()

    @receive.register
    def _(self, message: GetStatus, origin: Origin) -> None:
        self._reply(
            origin,
            {
                "member": bool(self._own_groups()),
                "ready": self._memory_complete,
                "held": len(self._held),
            },
        )

    # Granting

    def _decide(self, request: ClaimRequest) -> GrantStatus:
        if not self._memory_complete:
            return GrantStatus.NOT_READY
        if self._fleet is None or request.epoch < self._fleet.claim_epoch:
            return GrantStatus.STALE_EPOCH
        now = self._now()
        held = self._held.get(request.key)
        taken = held is not None and held.expires > now
        if taken and held is not None and held.claim != request.claim:
            return GrantStatus.HELD
        if request.claim in self._withdrawn:
            return GrantStatus.HELD
        ttl = min(request.ttl_s, self._retention())
        self._held[request.key] = _Held(request.claim, self._expiry(ttl))
        return GrantStatus.GRANTED

    def _expiry(self, ttl_s: float) -> Seconds:
        return Seconds(self._now() + ttl_s)

    def _retention(self) -> float:
        return self._fleet.claim_retention_s if self._fleet else 0.0

    # Memory

    def _remember(self, recalled: HeldClaim) -> None:
        """Keep a recalled claim.

        Members can hold a key for different claims, of which at most one
        has a majority. Which one is not known here, so none is served.
        """
        expires = self._expiry(recalled.remaining_s)
        mine = self._held.setdefault(
            recalled.key, _Held(recalled.claim, expires)
        )
        if mine.claim != recalled.claim:
            mine.claim = CONTESTED
        mine.expires = max(mine.expires, expires)

    def _own_groups(self) -> list[tuple[str, ...]]:
        groups = self._fleet.claim_groups if self._fleet else ()
        return [g for g in groups if self.host in g]

    def _other_members(self) -> set[HostId]:
        members = {HostId(h) for g in self._own_groups() for h in g}
        return members - {self.host}

    def _check_ready(self) -> None:
        if self._memory_complete or self._fleet is None:
            return
        waited = self._now() - self._started >= self._retention()
        groups = self._own_groups()
        recalled = bool(groups) and all(map(self._has_recalled, groups))
        if waited or recalled:
            self._memory_complete = True
            self._outbox.log_event("claims ready", recalled=recalled)

    def _has_recalled(self, group: tuple[str, ...]) -> bool:
        """Tell whether the recalled members meet every majority.

        A claim granted by a majority with this host in it is remembered by
        `majority - 1` others, so only `len(group) - majority` others can
        lack it.
        """
        majority = len(group) // 2 + 1
        return len(self._recalled & set(group)) > len(group) - majority

    def _known_members(self) -> tuple[MemberIncarnation, ...]:
        return tuple(
            MemberIncarnation(host, incarnation)
            for host, incarnation in sorted(self._known.items())
        )

    def _learn_incarnations(self, peer: HostId, state: RecallState) -> None:
        for known in state.known:
            if known.host in (self.host, peer):
                continue
            mine = self._known.setdefault(known.host, known.incarnation)
            if mine != known.incarnation:
                self._known[known.host] = AMBIGUOUS
        self._known[peer] = state.responder
