"""How a member of the replicated log takes part in elections."""

from __future__ import annotations

from collections.abc import Callable

from wasabitray_core.controllers.consensus.election import NO_MEMBER
from wasabitray_core.controllers.consensus.progress import is_quorum
from wasabitray_core.controllers.consensus.state import MemberState
from wasabitray_core.ids import HostId, Term
from wasabitray_core.messages import CampaignNow, VoteReply, VoteRequest
from wasabitray_core.states import ConsensusRole


class Voting:
    """Requests, grants and counts votes."""

    def __init__(
        self,
        state: MemberState,
        on_elected: Callable[[], None],
        on_step_down: Callable[[str], None],
    ) -> None:
        """Store the member's state and the callbacks.

        Args:
            state: shared with the member's controller.
            on_elected: called when this member wins an election.
            on_step_down: called with the reason when this member must
                become a follower.
        """
        self._state = state
        self._outbox = state.context.outbox
        self._on_elected = on_elected
        self._on_step_down = on_step_down

    def handle_vote_request(self, message: VoteRequest, peer: HostId) -> None:
        """Grant or deny a vote and reply to the candidate."""
        has_leader = (
            self._state.is_leader
            or self._state.election.has_recent_leader_contact(
                self._state.now()
            )
        )
        if has_leader and not message.transfer:
            granted = False
        elif message.pre:
            granted = (
                message.term > self._state.term
                and self._has_up_to_date_log(message)
            )
        else:
            self.observe_term(message.term)
            granted = self._grant_vote(message)
        reply = VoteReply(
            message.term if granted else self._state.term,
            self._state.election.member,
            granted,
            message.pre,
        )
        self._outbox.send(peer, reply)

    def _grant_vote(self, request: VoteRequest) -> bool:
        if (
            request.term != self._state.term
            or not self._state.election.can_vote_for(request.candidate)
            or not self._has_up_to_date_log(request)
        ):
            return False
        self._outbox.persist(self._state.election.vote_for(request.candidate))
        self._state.reset_election_timeout()
        return True

    def _has_up_to_date_log(self, request: VoteRequest) -> bool:
        return self._state.log.is_not_newer_than(
            request.last_term, request.last_index
        )

    def handle_vote_reply(self, message: VoteReply) -> None:
        """Count a granted vote, or adopt a higher term from a refusal."""
        if message.granted:
            self._count_vote(message)
        else:
            self.observe_term(message.term)

    def _count_vote(self, reply: VoteReply) -> None:
        election = self._state.election
        if reply.pre:
            is_counted = (
                election.role is ConsensusRole.PRE_CANDIDATE
                and reply.term == self._state.term + 1
            )
        else:
            is_counted = (
                election.role is ConsensusRole.CANDIDATE
                and reply.term == self._state.term
            )
        if not is_counted:
            return
        election.votes.add(reply.voter)
        if not is_quorum(self._state.log.members, election.votes):
            return
        if reply.pre:
            self._start_election(transfer=False)
        else:
            self._on_elected()

    def start_pre_vote(self) -> None:
        """Ask the voters whether this member would win an election.

        A pre-vote doesn't change the current term; the election that
        follows a successful one does.
        """
        self._state.election.leader = NO_MEMBER
        self._state.reset_election_timeout()
        self._state.election.role = ConsensusRole.PRE_CANDIDATE
        self._state.election.votes = {self._state.election.member}
        if is_quorum(self._state.log.members, self._state.election.votes):
            self._start_election(transfer=False)
        else:
            self._request_votes(
                Term(self._state.term + 1), pre=True, transfer=False
            )

    def _start_election(self, transfer: bool) -> None:
        election = self._state.election
        election.leader = NO_MEMBER
        self._state.reset_election_timeout()
        self._outbox.persist(election.enter_term(Term(self._state.term + 1)))
        self._outbox.persist(election.vote_for(election.member))
        election.role = ConsensusRole.CANDIDATE
        election.votes = {election.member}
        if is_quorum(self._state.log.members, election.votes):
            self._on_elected()
        else:
            self._request_votes(self._state.term, pre=False, transfer=transfer)

    def _request_votes(self, term: Term, pre: bool, transfer: bool) -> None:
        request = VoteRequest(
            term,
            self._state.election.member,
            self._state.log.last_index,
            self._state.log.last_term,
            pre,
            transfer,
        )
        for member in self._state.voters:
            if member.member != self._state.election.member:
                self._outbox.send(member.host, request)

    def handle_campaign_request(self, message: CampaignNow) -> None:
        """Start an election at the request of a leader about to stop."""
        if message.term == self._state.term and self._state.is_voter:
            self._start_election(transfer=True)

    def observe_term(self, term: Term) -> None:
        """Adopt a term and step down if it is higher than the current one."""
        if term > self._state.term:
            self._outbox.persist(self._state.election.enter_term(term))
            self._on_step_down("higher term")
