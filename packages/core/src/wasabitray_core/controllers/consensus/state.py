"""State that the parts of a member of the replicated log share."""

from __future__ import annotations

from dataclasses import dataclass

from wasabitray_core.controllers.consensus.election import (
    FIRST_ELECTION_S,
    FIRST_ELECTION_SPREAD_S,
    NEVER,
    UNKNOWN_HOST,
    Election,
)
from wasabitray_core.controllers.consensus.log import ReplicatedLog
from wasabitray_core.controllers.controller import Context
from wasabitray_core.ids import HostId, Seconds, Term
from wasabitray_core.messages import Member
from wasabitray_core.states import ConsensusRole


@dataclass(slots=True)
class MemberState:
    """One member's standing, log and surroundings."""

    context: Context
    election: Election
    log: ReplicatedLog

    @property
    def term(self) -> Term:
        """The current term."""
        return self.election.term

    @property
    def leads(self) -> bool:
        """Whether this member is the leader."""
        return self.election.role is ConsensusRole.LEADER

    @property
    def record(self) -> Member:
        """This member and its host."""
        return Member(self.election.member, self.context.host)

    @property
    def voters(self) -> tuple[Member, ...]:
        """The voters of the newest group."""
        return self.log.members.voters

    @property
    def is_voter(self) -> bool:
        """Whether this member is one of them."""
        return self.record in self.voters

    @property
    def peers(self) -> list[Member]:
        """The other voters and the learners."""
        members = self.log.members
        everyone = (*members.voters, *members.learners)
        return [m for m in everyone if m.member != self.election.member]

    @property
    def leader_host(self) -> HostId:
        """The leader's host, empty if it is not known."""
        if self.leads:
            return self.context.host
        leader = self.election.leader
        return next(
            (m.host for m in self.peers if m.member == leader), UNKNOWN_HOST
        )

    def now(self) -> Seconds:
        """Return the time."""
        return self.context.clock()

    def postpone(self) -> None:
        """Set a new random election timeout.

        It is short while no leader was heard since the start: then the
        group starts as a whole, or a leader is about to be heard.
        """
        chance = self.context.random.random()
        now = self.now()
        if self.leads or self.election.leader_heard > NEVER:
            self.election.postpone(now, chance)
        else:
            wait = FIRST_ELECTION_S + FIRST_ELECTION_SPREAD_S * chance
            self.election.timeout = Seconds(now + wait)
