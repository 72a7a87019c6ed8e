"""State shared by the parts of a replicated log member."""

from __future__ import annotations

from msgspec import Struct

from wasabitray_core.controllers.consensus.election import (
    UNKNOWN_HOST,
    Election,
)
from wasabitray_core.controllers.consensus.log import ReplicatedLog
from wasabitray_core.controllers.controller import Context
from wasabitray_core.ids import HostId, Seconds, Term
from wasabitray_core.messages import Member
from wasabitray_core.states import ConsensusRole


class MemberState(Struct):
    """One member's election state and log, with the controller's context."""

    context: Context
    election: Election
    log: ReplicatedLog

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
        """The leader's host, empty if the leader is unknown."""
        if self.is_leader:
            return self.context.host
        leader = self.election.leader
        return next(
            (m.host for m in self.peers if m.member == leader), UNKNOWN_HOST
        )

    def now(self) -> Seconds:
        """Return the current monotonic time."""
        return self.context.clock()

    def reset_election_timeout(self) -> None:
        """Set a new random election timeout."""
        jitter = self.context.random.random()
        self.election.reset_timeout(self.now(), jitter)
