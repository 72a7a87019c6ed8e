"""State shared by the parts of a replicated log member."""

from __future__ import annotations

from typing import Any

from msgspec import Struct, field

from wasabitray_core.controllers.consensus.election import (
    NEVER,
    UNKNOWN_HOST,
    Election,
)
from wasabitray_core.controllers.consensus.log import ReplicatedLog
from wasabitray_core.controllers.controller import Context
from wasabitray_core.ids import HostId, Seconds, Term
from wasabitray_core.messages import Member
from wasabitray_core.states import ConsensusRole

# A voter counts as heard if it sent a message of the group within this time.
HEARD_WITHIN_S = 3.0


class MemberState(Struct):
    """One member's election state and log, with the controller's context.

    Attributes:
        heard_at: when each other member last sent a message of the group.
    """

    context: Context
    election: Election
    log: ReplicatedLog
    heard_at: dict[HostId, Seconds] = field(default_factory=dict)

    @property
    def term(self) -> Term:
        """The current term."""
        return self.election.term

    @property
    def is_leader(self) -> bool:
        """Whether this member is the leader."""
        return self.election.role is ConsensusRole.LEADER

    @property
    def own_member(self) -> Member:
        """This member and its host."""
        return Member(self.election.member, self.context.host)

    @property
    def voters(self) -> tuple[Member, ...]:
        """The voters of the newest group in the log."""
        return self.log.members.voters

    @property
    def is_voter(self) -> bool:
        """Whether this member is a voter."""
        return self.own_member in self.voters

    @property
    def peers(self) -> list[Member]:
        """All other members, voters and learners."""
        members = self.log.members
        all_members = (*members.voters, *members.learners)
        return [m for m in all_members if m.member != self.election.member]

    @property
    def leader_host(self) -> HostId:
        """The leader's host, empty if no leader was heard lately."""
        if self.is_leader:
            return self.context.host
        if not self.election.has_recent_leader_contact(self.now()):
            return UNKNOWN_HOST
        leader = self.election.leader
        return next(
            (m.host for m in self.peers if m.member == leader), UNKNOWN_HOST
        )

    def now(self) -> Seconds:
        """Return the current monotonic time."""
        return self.context.clock()

    def record_peer(self, peer: HostId | None) -> None:
        """Record that another member sent a message of the group."""
        if peer is not None:
            self.heard_at[peer] = self.now()

    def describe_contact(self) -> dict[str, Any]:
        """Return the contact with the group, as fields for logs.

        `leader_age_s` is the time since the last message of a leader, None
        if there was none; it is 0 on the leader itself.
        """
        now = self.now()
        age = now - self.election.last_leader_contact
        heard = [
            m.host
            for m in self.voters
            if now - self.heard_at.get(m.host, NEVER) < HEARD_WITHIN_S
        ]
        return {
            "term": self.term,
            "leader_age_s": 0.0
            if self.is_leader
            else round(age, 3)
            if age != float("inf")
            else None,
            "voters": [m.host for m in self.voters],
            "voters_heard": heard,
        }

    def reset_election_timeout(self) -> None:
        """Set a new random election timeout."""
        jitter = self.context.random.random()
        self.election.reset_timeout(self.now(), jitter)
