"""A control host's evidence of the newest committed revision."""

from __future__ import annotations

from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any, ClassVar

from wasabitray_core.access.lease import ConfigEvidence, SentRequests
from wasabitray_core.access.messages import (
    LeaseReply,
    LeaseRequest,
    RevisionAnswer,
    RevisionQuery,
)
from wasabitray_core.controllers.consensus.election import UNKNOWN_HOST
from wasabitray_core.controllers.controller import (
    Context,
    Controller,
    Origin,
)
from wasabitray_core.ids import Seconds
from wasabitray_core.local_messages import (
    ControllerName,
    GetStatus,
    GroupContact,
    Tick,
    VoterEvidence,
)

QUERY_INTERVAL_S = 0.5
FIRST_NUMBER_BITS = 48


class LeaseRelayController(Controller):
    """Asks the leader for the newest revision, and tells it to entries.

    All its times are readings of the boot-time clock, which runs on while the
    process or its host is suspended.
    """

    name: ClassVar[ControllerName] = ControllerName.LEASE
    tick_interval_s = QUERY_INTERVAL_S

    def __init__(
        self, context: Context, boot_clock: Callable[[], Seconds]
    ) -> None:
        """Start without evidence.

        Args:
            context: shared by all controllers.
            boot_clock: returns the seconds since the host's boot, including
                those in which it was suspended.
        """
        super().__init__(context)
        self._boot_clock = boot_clock
        first_number = context.random.getrandbits(FIRST_NUMBER_BITS)
        self._sent = SentRequests(first_number)
        self._leader = UNKNOWN_HOST
        self._evidence: ConfigEvidence | None = None
        self._requests = 0

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message."""
        raise TypeError(f"{self!r} does not handle {message!r}")

    @receive.register
    def _(self, message: Tick, origin: Origin) -> None:
        self._query()

    @receive.register
    def _(self, message: GroupContact, origin: Origin) -> None:
        is_other = message.leader != self._leader
        self._leader = message.leader
        if is_other:
            self._query()

    def _query(self) -> None:
        if self._leader != UNKNOWN_HOST:
            number = self._sent.add(self._leader, self._boot_clock())
            self._outbox.send(self._leader, RevisionQuery(number))

    @receive.register
    def _(self, message: RevisionAnswer, origin: Origin) -> None:
        sent_at = self._sent.take(message.number, origin.peer)
        if sent_at is None:
            return
        known = self._evidence
        if known is not None and known.confirmed_at >= sent_at:
            return
        self._evidence = ConfigEvidence(message.revision, sent_at)
        self._outbox.tell(
            ControllerName.QUOTAS,
            VoterEvidence(
                message.voters,
                message.is_voter,
                sent_at,
                message.is_settled,
            ),
        )

    @receive.register
    def _(self, message: LeaseRequest, origin: Origin) -> None:
        self._requests += 1
        if origin.peer is None or self._evidence is None:
            return
        age_s = self._boot_clock() - self._evidence.confirmed_at
        reply = LeaseReply(message.number, self._evidence.revision, age_s)
        self._outbox.send(origin.peer, reply)

    @receive.register
    def _(self, message: GetStatus, origin: Origin) -> None:
        evidence = self._evidence
        self._reply(
            origin,
            {
                "leader": self._leader,
                "revision": evidence.revision if evidence else 0,
                "age_s": round(self._boot_clock() - evidence.confirmed_at, 3)
                if evidence
                else None,
                "requests": self._requests,
            },
        )
