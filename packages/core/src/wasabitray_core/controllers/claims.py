"""Acquires this host's claims from the claim groups."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import Any, ClassVar

from msgspec import Struct, field

from wasabitray_core.controllers.controller import (
    Context,
    Controller,
    Origin,
)
from wasabitray_core.documents import Fleet
from wasabitray_core.ids import ClaimId, HostId, Incarnation, Seconds
from wasabitray_core.local_messages import (
    AcquireClaim,
    ClaimDecided,
    ClaimVerdict,
    ConfigurationApplied,
    ControllerName,
    GetStatus,
    ServiceLimits,
    Tick,
    WithdrawClaim,
)
from wasabitray_core.messages import ClaimRelease, ClaimReply, ClaimRequest
from wasabitray_core.states import GrantStatus

RESEND_INTERVAL_S = 0.25


class _Vote(Struct, frozen=True):
    status: GrantStatus
    incarnation: Incarnation
    known_incarnations: dict[HostId, Incarnation]


class _Pending(Struct):
    acquisition: AcquireClaim
    origin: Origin
    fleet: Fleet
    deadline: Seconds
    votes: dict[HostId, _Vote] = field(default_factory=dict)

    def list_members(self) -> set[HostId]:
        return {HostId(h) for g in self.fleet.claim_groups for h in g}

    def find_valid_grants(self) -> set[HostId]:
        """Return the members whose grant is valid.

        If another granting member knows that the incarnation behind a grant
        was replaced, the grant does not count: the member that gave it lost
        it when it restarted.
        """
        grants = {
            host: vote
            for host, vote in self.votes.items()
            if vote.status is GrantStatus.GRANTED
        }
        return {
            host
            for host, vote in grants.items()
            if all(
                other.known_incarnations.get(host, vote.incarnation)
                == vote.incarnation
                for other in grants.values()
            )
        }

    def decide_verdict(self) -> ClaimVerdict | None:
        """Return the groups' verdict, or None while it is undecided."""
        granted = self.find_valid_grants()
        if all(_has_majority(g, granted) for g in self.fleet.claim_groups):
            return ClaimVerdict.GRANTED
        refused = set(self.votes) - granted
        if any(_is_blocked(g, refused) for g in self.fleet.claim_groups):
            is_held = any(
                v.status is GrantStatus.HELD for v in self.votes.values()
            )
            return ClaimVerdict.HELD if is_held else ClaimVerdict.UNAVAILABLE
        return None


class ClaimsController(Controller):
    """Owns this host's claims until the groups have decided.

    A claim that is not granted is withdrawn: its id is never used again, so
    the members may grant the key to another claim.
    """

    name: ClassVar[ControllerName] = ControllerName.CLAIMS
    tick_interval_s = RESEND_INTERVAL_S

    def __init__(self, context: Context) -> None:
        """Start without groups."""
        super().__init__(context)
        self._fleet: Fleet | None = None
        self._pending: dict[ClaimId, _Pending] = {}

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message."""
        raise TypeError(f"{self!r} does not handle {message!r}")

    @receive.register
    def _(self, message: ConfigurationApplied, origin: Origin) -> None:
        if message.fleet is not None:
            self._fleet = message.fleet

    @receive.register
    def _(self, message: ServiceLimits, origin: Origin) -> None:
        """Ignored: floors do not affect claims."""

    @receive.register
    def _(self, message: AcquireClaim, origin: Origin) -> None:
        if self._fleet is None:
            self._send_verdict(message, origin, ClaimVerdict.UNAVAILABLE)
            return
        deadline = Seconds(self._now() + message.timeout_s)
        pending = _Pending(message, origin, self._fleet, deadline)
        self._pending[message.claim] = pending
        self._send_requests(pending)

    @receive.register
    def _(self, message: ClaimReply, origin: Origin) -> None:
        pending = self._pending.get(message.claim)
        if pending is None:
            return
        assert origin.peer is not None
        incarnations = {m.host: m.incarnation for m in message.known}
        vote = _Vote(message.status, message.incarnation, incarnations)
        pending.votes[origin.peer] = vote
        verdict = pending.decide_verdict()
        if verdict is not None:
            self._finish(pending, verdict)

    @receive.register
    def _(self, message: WithdrawClaim, origin: Origin) -> None:
        groups = self._fleet.claim_groups if self._fleet else ()
        members = {HostId(h) for g in groups for h in g}
        self._withdraw(ClaimRelease(message.key, message.claim), members)

    @receive.register
    def _(self, message: Tick, origin: Origin) -> None:
        now = self._now()
        for pending in list(self._pending.values()):
            if now >= pending.deadline:
                self._finish(pending, ClaimVerdict.UNAVAILABLE)
            else:
                self._send_requests(pending)

    @receive.register
    def _(self, message: GetStatus, origin: Origin) -> None:
        self._reply(origin, {"pending": len(self._pending)})

    def _send_requests(self, pending: _Pending) -> None:
        """Send the request to the members that have not replied yet."""
        acquisition = pending.acquisition
        epoch = pending.fleet.claim_epoch
        request = ClaimRequest(
            acquisition.key, acquisition.claim, epoch, acquisition.ttl_s
        )
        for host in sorted(pending.list_members() - set(pending.votes)):
            self._outbox.send(host, request)

    def _finish(self, pending: _Pending, verdict: ClaimVerdict) -> None:
        del self._pending[pending.acquisition.claim]
        if verdict is not ClaimVerdict.GRANTED:
            release = ClaimRelease(
                pending.acquisition.key, pending.acquisition.claim
            )
            self._withdraw(release, pending.list_members())
        self._send_verdict(pending.acquisition, pending.origin, verdict)

    def _withdraw(self, release: ClaimRelease, members: set[HostId]) -> None:
        for host in sorted(members):
            self._outbox.send(host, release)

    def _send_verdict(
        self, acquisition: AcquireClaim, origin: Origin, verdict: ClaimVerdict
    ) -> None:
        if origin.reply_token is not None:
            self._outbox.reply(origin.reply_token, verdict)
        else:
            decided = ClaimDecided(acquisition.key, acquisition.claim, verdict)
            self._outbox.tell(ControllerName.HEALTH, decided)


def _has_majority(group: tuple[str, ...], hosts: set[HostId]) -> bool:
    return 2 * len(hosts & set(group)) > len(group)


def _is_blocked(group: tuple[str, ...], refused: set[HostId]) -> bool:
    """Return whether the rest of a group can no longer be a majority."""
    return 2 * len(set(group) - refused) <= len(group)
