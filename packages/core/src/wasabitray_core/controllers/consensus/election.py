"""Terms, votes and timers of one member of the replicated log.

The protocol is Raft (Ongaro and Ousterhout, "In search of an understandable
consensus algorithm", 2014) with the pre-vote and leadership transfer of
Ongaro's thesis.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from wasabitray_core.ids import HostId, MemberId, Seconds, Term
from wasabitray_core.messages import Ballot
from wasabitray_core.states import ConsensusRole

ELECTION_MIN_S = 1.0
ELECTION_SPREAD_S = 0.8
# Until a leader was heard; both are well above a round trip between regions.
FIRST_ELECTION_S = 0.3
FIRST_ELECTION_SPREAD_S = 0.5
NEVER = Seconds(float("-inf"))
NO_MEMBER = MemberId("")
UNKNOWN_HOST = HostId("")


@dataclass(slots=True)
class Election:
    """Where a member stands in the current term.

    Attributes:
        ballot: synced before it is told to anyone.
        leader_heard: when a leader of this term last wrote.
        timeout: when the member starts an election unless it hears one.
    """

    member: MemberId
    ballot: Ballot
    role: ConsensusRole = ConsensusRole.FOLLOWER
    leader: MemberId = NO_MEMBER
    leader_heard: Seconds = NEVER
    timeout: Seconds = Seconds(0.0)
    votes: set[MemberId] = field(default_factory=set)

    @property
    def term(self) -> Term:
        """The current term."""
        return self.ballot.term

    def enter_term(self, term: Term) -> Ballot:
        """Move to a higher term without a vote; return what to persist."""
        self.ballot = Ballot(term, NO_MEMBER)
        return self.ballot

    def may_vote_for(self, candidate: MemberId) -> bool:
        """Tell whether the vote of this term is free or theirs."""
        return self.ballot.voted_for in (NO_MEMBER, candidate)

    def vote_for(self, candidate: MemberId) -> Ballot:
        """Give the vote of this term; return what to persist."""
        self.ballot = Ballot(self.term, candidate)
        return self.ballot

    def has_live_leader(self, now: Seconds) -> bool:
        """Tell whether a leader was heard within the shortest timeout."""
        return now - self.leader_heard < ELECTION_MIN_S

    def follow(self, leader: MemberId, now: Seconds) -> None:
        """Accept a leader of the current term."""
        self.role = ConsensusRole.FOLLOWER
        self.leader = leader
        self.leader_heard = now

    def postpone(self, now: Seconds, chance: float) -> None:
        """Set a new random timeout; `chance` is from 0 to 1."""
        wait = ELECTION_MIN_S + ELECTION_SPREAD_S * chance
        self.timeout = Seconds(now + wait)
