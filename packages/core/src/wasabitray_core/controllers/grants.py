"""Grants claims as a member of a claim group."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import Any, ClassVar

from msgspec import Struct

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
# Stands for the incarnation of a member if other members disagree about it;
# equal to no real incarnation.
AMBIGUOUS = Incarnation("?")
# Stands for the holder of a key that recalled members granted to different
# claims; equal to no real claim.
CONTESTED = ClaimId("?")


class _Held(Struct):
    claim: ClaimId
    expires: Seconds


class GrantsController(Controller):
    """Owns the claims that this host granted as a member of a claim group.

    A key is granted to only one claim until that claim expires. The grants
    are kept in memory and lost when the process ends. A restarted member
    therefore grants nothing until either the retention has passed or it has
    recalled the claims of so many other members that every majority that
    granted a claim includes one of them. Members send claimants the
    incarnations that they know of each other; a claimant ignores a grant by
    an incarnation that another granting member knows to be replaced.
    """

    name: ClassVar[ControllerName] = ControllerName.GRANTS

    def __init__(self, context: Context, incarnation: Incarnation) -> None:
        """Start without grants.

        Args:
            context: shared by all controllers.
            incarnation: name of this incarnation, never used before.
        """
        super().__init__(context)
        self._incarnation = incarnation
        self._started_at = context.clock()
        self._fleet: Fleet | None = None
        self._recalled: set[HostId] = set()
        self._is_ready = False
        self._held: dict[ClaimKey, _Held] = {}
        self._withdrawn: dict[ClaimId, Seconds] = {}
        self._known_incarnations: dict[HostId, Incarnation] = {}
        self._challenges: dict[HostId, int] = {}

    @property
    def is_ready(self) -> bool:
        """Whether this member grants claims.

        It does so once no claim that a majority granted can still be valid
        without being known here.
        """
        return self._is_ready

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message."""
        raise TypeError(f"{self!r} does not handle {message!r}")

    @receive.register
    def _(self, message: ConfigurationApplied, origin: Origin) -> None:
        if message.fleet is not None:
            self._fleet = message.fleet
            self._update_ready()

    @receive.register
    def _(self, message: ServiceLimits, origin: Origin) -> None:
        """Ignored: floors do not affect claims."""

    @receive.register
    def _(self, message: Tick, origin: Origin) -> None:
        now = self._now()
        self._held = {k: h for k, h in self._held.items() if h.expires > now}
        self._withdrawn = {
            c: until for c, until in self._withdrawn.items() if until > now
        }
        self._update_ready()
        if not self._is_ready:
            request = RecallRequest(self._incarnation)
            for host in self._list_other_members() - self._recalled:
                self._outbox.send(host, request)

    @receive.register
    def _(self, message: ClaimRequest, origin: Origin) -> None:
        reply = ClaimReply(
            message.key,
            message.claim,
            self._decide_request(message),
            self._incarnation,
            self._list_known_members(),
        )
        assert origin.peer is not None
        self._outbox.send(origin.peer, reply)

    @receive.register
    def _(self, message: ClaimRelease, origin: Origin) -> None:
        self._withdrawn[message.claim] = self._get_expiry(
            self._get_retention()
        )
        held = self._held.get(message.key)
        if held is not None and held.claim == message.claim:
            del self._held[message.key]

    @receive.register
    def _(self, message: RecallRequest, origin: Origin) -> None:
        if not self._is_ready or origin.peer is None:
            return
        # The member that asks has to return a new number, so that a delayed
        # request of an earlier incarnation can't pass for the newest one.
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
        self._known_incarnations[peer] = message.incarnation
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
                self._list_known_members(),
            ),
        )

    @receive.register
    def _(self, message: RecallState, origin: Origin) -> None:
        peer = origin.peer
        if message.incarnation != self._incarnation or peer is None:
            return
        for held in message.claims:
            self._add_recalled(held)
        self._record_incarnations(peer, message)
        self._recalled.add(peer)
        self._update_ready()

    @receive.register
    def _(self, message: GetStatus, origin: Origin) -> None:
        self._reply(
            origin,
            {
                "member": bool(self._list_own_groups()),
                "ready": self._is_ready,
                "held": len(self._held),
            },
        )

    # Grants

    def _decide_request(self, request: ClaimRequest) -> GrantStatus:
        if not self._is_ready:
            return GrantStatus.NOT_READY
        if self._fleet is None or request.epoch < self._fleet.claim_epoch:
            return GrantStatus.STALE_EPOCH
        now = self._now()
        held = self._held.get(request.key)
        is_held = held is not None and held.expires > now
        if is_held and held is not None and held.claim != request.claim:
            return GrantStatus.HELD
        if request.claim in self._withdrawn:
            return GrantStatus.HELD
        ttl = min(request.ttl_s, self._get_retention())
        self._held[request.key] = _Held(request.claim, self._get_expiry(ttl))
        return GrantStatus.GRANTED

    def _get_expiry(self, ttl_s: float) -> Seconds:
        return Seconds(self._now() + ttl_s)

    def _get_retention(self) -> float:
        return self._fleet.claim_retention_s if self._fleet else 0.0

    # Recall

    def _add_recalled(self, recalled: HeldClaim) -> None:
        """Add a recalled claim to the claims held here.

        Members can hold a key for different claims, of which at most one has
        a majority. Which one is not known here, so none of them is granted.
        """
        expires = self._get_expiry(recalled.remaining_s)
        held_here = self._held.setdefault(
            recalled.key, _Held(recalled.claim, expires)
        )
        if held_here.claim != recalled.claim:
            held_here.claim = CONTESTED
        held_here.expires = max(held_here.expires, expires)

    def _list_own_groups(self) -> list[tuple[str, ...]]:
        groups = self._fleet.claim_groups if self._fleet else ()
        return [g for g in groups if self.host in g]

    def _list_other_members(self) -> set[HostId]:
        members = {HostId(h) for g in self._list_own_groups() for h in g}
        return members - {self.host}

    def _update_ready(self) -> None:
        if self._is_ready or self._fleet is None:
            return
        waited = self._now() - self._started_at >= self._get_retention()
        groups = self._list_own_groups()
        recalled = bool(groups) and all(map(self._has_recalled_enough, groups))
        if waited or recalled:
            self._is_ready = True
            self._outbox.log_event("claims ready", recalled=recalled)

    def _has_recalled_enough(self, group: tuple[str, ...]) -> bool:
        """Return whether every majority has a member that was recalled.

        A claim granted by a majority that includes this host is known to
        `majority - 1` other members, so at most `len(group) - majority`
        others don't know it.
        """
        majority = len(group) // 2 + 1
        return len(self._recalled & set(group)) > len(group) - majority

    def _list_known_members(self) -> tuple[MemberIncarnation, ...]:
        return tuple(
            MemberIncarnation(host, incarnation)
            for host, incarnation in sorted(self._known_incarnations.items())
        )

    def _record_incarnations(self, peer: HostId, state: RecallState) -> None:
        for member in state.known:
            if member.host in (self.host, peer):
                continue
            recorded = self._known_incarnations.setdefault(
                member.host, member.incarnation
            )
            if recorded != member.incarnation:
                self._known_incarnations[member.host] = AMBIGUOUS
        self._known_incarnations[peer] = state.responder
