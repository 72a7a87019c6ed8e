"""Term, vote and election timeout of one member of the replicated log.

The protocol is Raft (Ongaro and Ousterhout, "In search of an understandable
consensus algorithm", 2014) with the pre-vote and leadership transfer
extensions from Ongaro's thesis.
"""

from __future__ import annotations

from msgspec import Struct, field

from wasabitray_core.ids import HostId, MemberId, Seconds, Term
from wasabitray_core.messages import Ballot
from wasabitray_core.states import ConsensusRole

ELECTION_MIN_S = 1.0
ELECTION_JITTER_S = 0.8
# Used while the member knows no leader. Both values are well above a round
# trip between regions.
LEADERLESS_MIN_S = 0.3
LEADERLESS_JITTER_S = 0.8
NEVER = Seconds(float("-inf"))
NO_MEMBER = MemberId("")
UNKNOWN_HOST = HostId("")


class Election(Struct):
    """A member's role, vote and timers in the current term.

    Attributes:
        ballot: current term and vote; synced to disk before any message
            reveals it.
        leader: the leader of the current term, if it is known.
        last_leader: the leader that sent the last accepted message.
        last_leader_contact: when a leader's last accepted message arrived.
        timeout: when the member starts an election unless it receives a
            message from a leader before then.
        votes: members that granted their vote in the running election.
    """

    member: MemberId
    ballot: Ballot
    role: ConsensusRole = ConsensusRole.FOLLOWER
    leader: MemberId = NO_MEMBER
    last_leader: MemberId = NO_MEMBER
    last_leader_contact: Seconds = NEVER
    timeout: Seconds = Seconds(0.0)
    votes: set[MemberId] = field(default_factory=set)

    @property
    def term(self) -> Term:
        """The current term."""
        return self.ballot.term

    def enter_term(self, term: Term) -> Ballot:
        """Enter a higher term with no vote; return the ballot to persist."""
        self.ballot = Ballot(term, NO_MEMBER)
        return self.ballot

    def can_vote_for(self, candidate: MemberId) -> bool:
        """Return whether this term's vote is unused or the candidate's."""
        return self.ballot.voted_for in (NO_MEMBER, candidate)

    def vote_for(self, candidate: MemberId) -> Ballot:
        """Vote in the current term; return the ballot to persist."""
        self.ballot = Ballot(self.term, candidate)
        return self.ballot

    def has_recent_leader_contact(self, now: Seconds) -> bool:
        """Return whether a leader sent a message within the minimum timeout.

        The minimum timeout is the shortest that a member waits for a leader
        before it starts an election.
        """
        return now - self.last_leader_contact < ELECTION_MIN_S

    def follow(self, leader: MemberId, now: Seconds) -> None:
        """Become a follower of the current term's leader."""
        self.role = ConsensusRole.FOLLOWER
        self.leader = self.last_leader = leader
        self.last_leader_contact = now

    def reset_timeout(self, now: Seconds, jitter: float) -> None:
        """Set a new random timeout; `jitter` is from 0 to 1.

        It is shorter while the member knows no leader: the whole group is
        starting, an election may have failed on a split vote, or the leader's
        next heartbeat is due soon.
        """
        wait = (
            LEADERLESS_MIN_S + LEADERLESS_JITTER_S * jitter
            if self.leader == NO_MEMBER
            else ELECTION_MIN_S + ELECTION_JITTER_S * jitter
        )
        self.timeout = Seconds(now + wait)
