"""The controller of this host's replicated log member."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import Any, ClassVar

from msgspec.structs import replace
from result import Err, Ok

from wasabitray_core.access.messages import RevisionQuery
from wasabitray_core.controllers.consensus.compaction import (
    SnapshotSchedule,
)
from wasabitray_core.controllers.consensus.election import (
    NO_MEMBER,
    UNKNOWN_HOST,
    Election,
)
from wasabitray_core.controllers.consensus.group import (
    GroupChange,
    GroupSize,
)
from wasabitray_core.controllers.consensus.log import ReplicatedLog
from wasabitray_core.controllers.consensus.peers import Peers
from wasabitray_core.controllers.consensus.progress import (
    get_quorum_index,
    is_quorum,
)
from wasabitray_core.controllers.consensus.proposals import (
    Proposal,
    Proposals,
)
from wasabitray_core.controllers.consensus.reads import PendingRead, ReadQueue
from wasabitray_core.controllers.consensus.revision_answers import (
    MAX_PENDING_READS,
    VoterHistory,
    build_revision_answer,
)
from wasabitray_core.controllers.consensus.state import MemberState
from wasabitray_core.controllers.consensus.state_machine import (
    ConfigurationStateMachine,
)
from wasabitray_core.controllers.consensus.voting import Voting
from wasabitray_core.controllers.controller import (
    Context,
    Controller,
    Origin,
)
from wasabitray_core.documents import FLEET_KEY
from wasabitray_core.errors import (
    DocumentError,
    NotLeaderError,
    UnavailableError,
    WasabitrayError,
)
from wasabitray_core.ids import (
    HostId,
    LogIndex,
    MemberId,
    Revision,
    Seconds,
    Term,
)
from wasabitray_core.local_messages import (
    Committed,
    ControllerName,
    FleetView,
    GetHistory,
    GetStatus,
    GroupContact,
    HostView,
    LeaveGroup,
    Propose,
    ReadDocuments,
    ReplaceTable,
    Restored,
    SetFlag,
    Tick,
)
from wasabitray_core.messages import (
    AppendReply,
    AppendRequest,
    Ballot,
    CampaignNow,
    Change,
    Command,
    ConfigState,
    InstallSnapshot,
    JoinRequest,
    LeaveReply,
    LeaveRequest,
    LogRecord,
    Member,
    Members,
    Noop,
    Snapshot,
    VoteReply,
    VoteRequest,
)
from wasabitray_core.route_table import diff_documents
from wasabitray_core.sizes import get_size
from wasabitray_core.states import (
    ConsensusRole,
    GroupChangeReason,
    HostFlag,
)

HEARTBEAT_INTERVAL_S = 0.2
# A member that has not reported its contact for this long is not in contact.
CONTACT_VALID_S = 1.0
MAX_RECORDS_PER_APPEND = 64
MAX_BYTES_PER_APPEND = 1_048_576

_LEADER = ConsensusRole.LEADER


class ConsensusController(Controller):
    """Owns one member of the replicated log and its state machine.

    The outbox makes persisted items durable before it sends any message
    that was queued after them. A vote or an acknowledgement is therefore
    never sent before the state that it promises is synced to disk.
    """

    name: ClassVar[ControllerName] = ControllerName.CONSENSUS

    def __init__(
        self,
        context: Context,
        member: MemberId,
        control_hosts: tuple[HostId, ...],
        ballot: Ballot,
        snapshot: Snapshot,
        records: tuple[LogRecord, ...] = (),
        tolerated_losses: int = 1,
    ) -> None:
        """Start from stored state.

        Args:
            context: shared by all controllers.
            member: id of the member that this disk belongs to; no other
                disk ever uses it.
            control_hosts: hosts to ask for admission to the group.
            ballot: the stored term and vote.
            snapshot: the stored snapshot; an empty one on a new disk.
            records: the stored records in the order in which they were
                written.
            tolerated_losses: control hosts that may be lost at the same time.
        """
        super().__init__(context)
        self._control_hosts = control_hosts
        self._machine = ConfigurationStateMachine()
        self._machine.restore(snapshot)
        self._log = ReplicatedLog(
            snapshot.index, snapshot.term, snapshot.members
        )
        self._log.load(records)
        self._schedule = SnapshotSchedule(snapshot)
        self._election = Election(member, ballot)
        self._state = MemberState(context, self._election, self._log)
        self._voting = Voting(
            self._state, self._become_leader, self._step_down
        )
        self._commit_index = self._applied_index = snapshot.index
        self._proposals = Proposals(self._machine)
        self._peers = Peers(self._state, GroupSize(tolerated_losses))
        self._read_queue = ReadQueue()
        # Earlier groups in the log are not changes of this process's time.
        self._first_new_index = self._log.last_index
        self._voter_history = VoterHistory()
        self._voter_history.record(self._log.members, context.clock())
        self._has_leader_flag = False
        self._installable_snapshot: InstallSnapshot | None = None
        self._is_stopping = False
        self._stop_requests: list[Origin] = []
        self._sent_contact: GroupContact | None = None
        self._logged_members = snapshot.members
        self._state.reset_election_timeout()
        if snapshot.revision:
            self._outbox.tell(ControllerName.CONFIGURATION, Restored(snapshot))

    @property
    def tick_interval_s(self) -> float:  # type: ignore[override]
        """Seconds until the next timer, at most a heartbeat's interval.

        An election begins when its timeout ends: timeouts that are rounded to
        heartbeats would coincide more often, and so would elections.
        """
        remaining_s = self._election.timeout - self._now()
        if self._state.is_leader or remaining_s <= 0.0:
            return HEARTBEAT_INTERVAL_S
        return min(HEARTBEAT_INTERVAL_S, remaining_s)

    @property
    def role(self) -> ConsensusRole:
        """The member's role in the current term."""
        if self._state.own_member not in self._log.members.voters:
            return ConsensusRole.LEARNER
        return self._election.role

    @property
    def term(self) -> Term:
        """The current term."""
        return self._election.term

    @property
    def commit_index(self) -> LogIndex:
        """Index of the last record known to be committed."""
        return self._commit_index

    @property
    def machine(self) -> ConfigurationStateMachine:
        """The state machine with the committed configuration."""
        return self._machine

    @property
    def _may_change_members(self) -> bool:
        """Whether the leader may change the group.

        The last change and a record of its own term must be committed.
        """
        return (
            self._log.members_index <= self._commit_index
            and self._has_committed_own_term()
        )

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message."""
        raise TypeError(f"{self!r} does not handle {message!r}")

    @receive.register
    def _(self, message: Tick, origin: Origin) -> None:
        if self._state.is_leader:
            self._run_as_leader()
        elif not self._state.is_voter:
            self._ask_to_join()
        elif self._now() >= self._election.timeout and not self._is_stopping:
            self._voting.start_pre_vote()
            self._ask_to_join()
        self._prepare_stop()
        self._record_committed_voters()
        self._send_group_contact()
        self._log_members()

    @receive.register
    def _(self, message: FleetView, origin: Origin) -> None:
        self._control_hosts = tuple(
            {
                *self._control_hosts,
                *(v.host for v in message.hosts if _is_control_host(v)),
            }
        )
        self._proposals.record_view(message)
        self._reply_to_completed_changes()

    @receive.register
    def _(self, message: Propose, origin: Origin) -> None:
        if not self._state.is_leader:
            self._reply(origin, Err(self._make_not_leader_error()))
            return
        self._queue_proposal(Proposal(message.change, origin, self._now()))

    @receive.register
    def _(self, message: ReplaceTable, origin: Origin) -> None:
        checked = message.source.check()
        if isinstance(checked, Err):
            errors = "\n".join(checked.err_value)
            error = DocumentError(errors, step="check table")
            self._reply(origin, Err(error))
        elif not self._state.is_leader:
            self._reply(origin, Err(self._make_not_leader_error()))
        else:
            change = Change(
                message.change,
                self._machine.revision,
                message.author,
                message.wall_time,
                (),
                version=message.source.version,
            )
            table = message.source.documents()
            self._queue_proposal(Proposal(change, origin, self._now(), table))

    def _queue_proposal(self, proposal: Proposal) -> None:
        queued = self._proposals.add(proposal)
        if isinstance(queued, Err):
            self._reply(proposal.origin, queued)
        self._process_queued_proposals()

    @receive.register
    def _(self, message: ReadDocuments, origin: Origin) -> None:
        if not self._state.is_leader:
            self._reply(origin, Err(self._make_not_leader_error()))
        elif not self._has_committed_own_term():
            detail = "the new leader has not committed a record yet"
            error = UnavailableError(detail, step="read documents")
            self._reply(origin, Err(error))
        else:
            self._read_queue.add(PendingRead(message, origin))
            for member in self._state.peers:
                self._send_append(member)
            self._serve_confirmed_reads()

    @receive.register
    def _(self, message: RevisionQuery, origin: Origin) -> None:
        if not self._state.is_leader or not self._has_committed_own_term():
            return
        if len(self._read_queue) < MAX_PENDING_READS:
            # The next heartbeats confirm it. Appends for each query took 45 ms
            # of processor time a second more, over 5 control hosts.
            self._read_queue.add(PendingRead(message, origin))
            self._serve_confirmed_reads()

    def _serve_confirmed_reads(self) -> None:
        """Serve the reads whose round a majority has confirmed.

        Replies to requests that were sent after a read arrived prove that
        this member was the leader when it arrived ("ReadIndex" in section
        6.4 of Ongaro's thesis).
        """
        rounds = {m: p.confirmed_round for m, p in self._peers.items()}
        for read in self._read_queue.pop_confirmed(
            self._log.members, self._election.member, rounds
        ):
            self._serve(read.query, read.origin)

    @singledispatchmethod
    def _serve(
        self, query: ReadDocuments | RevisionQuery, origin: Origin
    ) -> None:
        """Serve a read of the newest state."""
        raise TypeError(f"unsupported read: {query!r}")

    @_serve.register
    def _(self, query: ReadDocuments, origin: Origin) -> None:
        documents = dict(self._machine.documents)
        state = ConfigState(self._machine.revision, documents)
        self._reply(origin, Ok(state))

    @_serve.register
    def _(self, query: RevisionQuery, origin: Origin) -> None:
        assert origin.peer is not None
        answer = build_revision_answer(
            query,
            origin.peer,
            self._machine.revision,
            self._record_committed_voters(),
            self._voter_history.is_settled(self._now()),
        )
        self._outbox.send(origin.peer, answer)

    def _record_committed_voters(self) -> Members:
        """Record the committed group, and return it."""
        members = self._log.get_members_at(self._commit_index)
        if self._commit_index >= self._first_new_index:
            self._voter_history.record(members, self._now())
        return members

    @receive.register
    def _(self, message: GetHistory, origin: Origin) -> None:
        self._reply(origin, self._machine.history[-message.limit :])

    @receive.register
    def _(self, message: GetStatus, origin: Origin) -> None:
        members = self._log.members
        self._reply(
            origin,
            {
                "member": self._election.member,
                "role": self.role.value,
                "term": self.term,
                "leader": self._state.leader_host,
                "commit": self._commit_index,
                "last_index": self._log.last_index,
                "log_bytes": self._log.size,
                "bytes_since_snapshot": self._schedule.applied_bytes,
                "revision": self._machine.revision,
                "voters": [m.member for m in members.voters],
                "learners": [m.member for m in members.learners],
                "lag": {
                    member: self._log.last_index - progress.match_index
                    for member, progress in self._peers.items()
                },
                "silent_s": self._peers.silences,
                "contact": self._state.describe_contact(),
            },
        )

    # Planned stops

    @receive.register
    def _(self, message: LeaveGroup, origin: Origin) -> None:
        self._is_stopping = True
        self._stop_requests.append(origin)
        self._prepare_stop()

    def _prepare_stop(self) -> None:
        """Hand over what this member holds; reply once it holds nothing."""
        if not self._stop_requests:
            return
        if self._state.is_leader:
            self._hand_over_leadership()
        elif not self._is_voter_in_any_group():
            self._finish_stop()
        elif self._state.leader_host != UNKNOWN_HOST:
            request = LeaveRequest(self._election.member)
            self._outbox.send(self._state.leader_host, request)

    def _is_voter_in_any_group(self) -> bool:
        """Return whether the newest group or the committed one needs it."""
        committed = self._log.get_members_at(self._commit_index)
        return self._state.is_voter or self._state.own_member in (
            committed.voters
        )

    def _hand_over_leadership(self) -> None:
        """Ask a voter that has the whole log to start an election.

        The changes of the group that are due come first: other voters may be
        stopped as well, and an election would delay them.
        """
        successors = self._peers.find_successors()
        if not successors:
            self._finish_stop()
            return
        is_settled = self._log.members_index <= self._commit_index
        if not is_settled or self._peers.plan_change() is not None:
            return
        for successor in successors:
            if self._peers.has_whole_log(successor):
                campaign = CampaignNow(self.term, self._election.member)
                self._outbox.send(successor.host, campaign)
                return

    def _finish_stop(self) -> None:
        for origin in self._stop_requests:
            self._reply(origin, True)
        self._stop_requests.clear()

    @receive.register
    def _(self, message: LeaveRequest, origin: Origin) -> None:
        if not self._state.is_leader:
            return
        self._peers.record_leaving(message.member)
        self._advance_members()
        assert origin.peer is not None
        if (
            self._may_change_members
            and not self._is_stopping
            and self._peers.plan_change() is None
            and self._peers.can_spare_stopping()
        ):
            self._outbox.send(origin.peer, LeaveReply(self.term))

    @receive.register
    def _(self, message: LeaveReply, origin: Origin) -> None:
        if message.term == self.term and not self._state.is_leader:
            self._finish_stop()

    # Elections

    @receive.register
    def _(self, message: VoteRequest, origin: Origin) -> None:
        assert origin.peer is not None
        self._state.record_peer(origin.peer)
        self._voting.handle_vote_request(message, origin.peer)
        self._readd_member(Member(message.candidate, origin.peer))

    @receive.register
    def _(self, message: VoteReply, origin: Origin) -> None:
        self._state.record_peer(origin.peer)
        self._voting.handle_vote_reply(message)

    @receive.register
    def _(self, message: CampaignNow, origin: Origin) -> None:
        if not self._is_stopping:
            self._voting.handle_campaign_request(message)

    def _step_down(self, reason: str) -> None:
        was_leader = self._state.is_leader
        self._election.role = ConsensusRole.FOLLOWER
        self._election.leader = NO_MEMBER
        self._state.reset_election_timeout()
        if was_leader:
            self._outbox.log_event("lead lost", term=self.term, reason=reason)
            self._set_leader_flag(False)
            waiting = [
                *self._proposals.cancel_all(),
                *self._read_queue.cancel_all(),
            ]
            for origin in waiting:
                self._reply(origin, Err(self._make_not_leader_error()))

    def _become_leader(self) -> None:
        self._election.role = _LEADER
        self._election.leader = self._election.member
        self._peers.start_term()
        self._append(Noop())
        self._outbox.log_event("lead taken", term=self.term)
        self._run_as_leader()

    # Leader

    def _run_as_leader(self) -> None:
        self._peers.record_run()
        self._peers.track()
        reachable = self._peers.reachable | {self._election.member}
        if not is_quorum(self._log.members, reachable):
            self._step_down("no contact with a majority")
            return
        for member in self._state.peers:
            self._send_append(member)
        self._advance_commit()
        self._advance_members()
        self._peers.log_silent_voters()
        self._reply_to_completed_changes()
        self._process_queued_proposals()

    def _send_append(self, member: Member) -> None:
        progress = self._peers.find(member.member)
        assert progress is not None
        previous = LogIndex(progress.next_index - 1)
        previous_term = self._log.find_term(previous)
        if previous_term is None:
            self._send_snapshot(member)
            return
        now = self._now()
        records: tuple[LogRecord, ...] = ()
        if not progress.is_awaiting_reply(now):
            records = self._log.get_records_after(
                previous, MAX_RECORDS_PER_APPEND, MAX_BYTES_PER_APPEND
            )
        if records:
            progress.record_sent(records[-1].index, get_size(records), now)
        request = AppendRequest(
            self.term,
            self._election.member,
            previous,
            previous_term,
            records,
            self._commit_index,
            self._read_queue.round,
        )
        self._outbox.send(member.host, request)

    def _send_snapshot(self, member: Member) -> None:
        """Send a snapshot, or a heartbeat while one is in transit."""
        progress = self._peers.find(member.member)
        assert progress is not None
        now = self._now()
        if progress.is_awaiting_reply(now):
            self._outbox.send(member.host, self._build_empty_append())
            return
        install = self._installable_snapshot
        if (
            install is None
            or install.term != self.term
            or install.snapshot.index != self._applied_index
        ):
            install = InstallSnapshot(
                self.term, self._election.member, self._build_snapshot()
            )
            self._installable_snapshot = install
        snapshot = install.snapshot
        progress.record_sent(snapshot.index, get_size(snapshot), now)
        self._outbox.send(member.host, install)

    def _build_empty_append(self) -> AppendRequest:
        """Return a heartbeat that any log matches."""
        return AppendRequest(
            self.term,
            self._election.member,
            LogIndex(0),
            Term(0),
            (),
            LogIndex(0),
            self._read_queue.round,
        )

    def _build_snapshot(self) -> Snapshot:
        term = self._log.find_term(self._applied_index)
        assert term is not None
        members = self._log.get_members_at(self._applied_index)
        return self._machine.snapshot(self._applied_index, term, members)

    @receive.register
    def _(self, message: AppendReply, origin: Origin) -> None:
        self._state.record_peer(origin.peer)
        self._voting.observe_term(message.term)
        progress = self._peers.find(message.member)
        if not self._state.is_leader or progress is None:
            return
        if message.term != self.term:
            return
        progress.record_contact(self._now())
        if message.stopping:
            self._peers.record_leaving(message.member)
        progress.confirmed_round = max(progress.confirmed_round, message.round)
        self._serve_confirmed_reads()
        if message.accepted:
            progress.match_index = max(progress.match_index, message.index)
            progress.next_index = LogIndex(progress.match_index + 1)
            self._advance_commit()
            is_behind = progress.next_index <= self._log.last_index
        else:
            hint = LogIndex(message.index + 1)
            progress.next_index = max(
                LogIndex(1), min(hint, progress.next_index)
            )
            progress.record_rejected()
            is_behind = True
        is_awaiting_reply = progress.is_awaiting_reply(self._now())
        if is_behind and self._state.is_leader and not is_awaiting_reply:
            self._send_next_records(message.member)
        if self._state.is_leader:
            self._prepare_stop()

    def _send_next_records(self, member_id: MemberId) -> None:
        """Immediately send the next records to a member that lags behind."""
        for member in self._state.peers:
            if member.member == member_id:
                self._send_append(member)

    def _advance_commit(self) -> None:
        matches = {m: p.match_index for m, p in self._peers.items()}
        matches[self._election.member] = self._log.last_index
        index = get_quorum_index(self._log.members, matches)
        # Records of earlier terms are committed only together with a record
        # of the current term after them.
        if (
            index > self._commit_index
            and self._log.find_term(index) == self.term
        ):
            self._commit_up_to(index)
            self._reply_to_completed_changes()
            self._process_queued_proposals()
            self._advance_members()

    def _advance_members(self) -> None:
        """Make the next membership change, once the last is committed."""
        if not self._state.is_leader or not self._may_change_members:
            return
        change = self._peers.plan_change()
        if change is not None:
            self._append_group_change(change)

    def _append_group_change(self, change: GroupChange) -> None:
        self._peers.log_change(change)
        self._append(change.members)

    @receive.register
    def _(self, message: JoinRequest, origin: Origin) -> None:
        if self._state.is_leader:
            self._add_learner(message.member)

    def _readd_member(self, member: Member) -> None:
        """Add a member as a learner if it was removed while it was away.

        Such a member does not know yet that it was removed, so it requests
        votes. Its log and ballot are intact.
        """
        current_members = (
            *self._log.members.voters,
            *self._log.members.learners,
        )
        if self._state.is_leader and member.host not in {
            m.host for m in current_members
        }:
            self._add_learner(member)

    def _add_learner(self, member: Member) -> None:
        members = self._log.members
        if member in (*members.voters, *members.learners):
            return
        if self._may_change_members and not self._is_stopping:
            learners = (*members.learners, member)
            self._append_group_change(
                GroupChange(
                    Members(members.voters, learners),
                    member,
                    GroupChangeReason.JOINED,
                )
            )

    def _has_committed_own_term(self) -> bool:
        return self._log.find_term(self._commit_index) == self.term

    def _append(self, command: Command) -> None:
        index = LogIndex(self._log.last_index + 1)
        record = LogRecord(index, self.term, command)
        self._log.append(record)
        self._outbox.persist(record)
        self._peers.track()
        for member in self._state.peers:
            self._send_append(member)

    def _process_queued_proposals(self) -> None:
        """Append the next valid change, unless one is still uncommitted."""
        if not self._state.is_leader or self._is_stopping:
            return
        while (
            self._has_committed_own_term()
            and not self._proposals.has_uncommitted_change
        ):
            proposal = self._proposals.pop_next()
            if proposal is None:
                return
            self._process_proposal(proposal)

    def _process_proposal(self, proposal: Proposal) -> None:
        if proposal.table is not None:
            if self._machine.has_overtaken(proposal.change.version):
                self._acknowledge(proposal, self._machine.revision)
                return
            edits = diff_documents(self._machine.documents, proposal.table)
            change = replace(
                proposal.change, expected=self._machine.revision, edits=edits
            )
            proposal = replace(proposal, change=change)
        previous_result = self._machine.find_previous_result(proposal.change)
        if isinstance(previous_result, Ok):
            self._acknowledge(proposal, previous_result.ok_value)
            return
        checked = previous_result or self._proposals.validate(
            proposal, self._now()
        )
        if isinstance(checked, Err):
            self._reply(proposal.origin, checked)
            return
        self._proposals.mark_appended(proposal, self._now())
        self._append(proposal.change)

    def _acknowledge(self, proposal: Proposal, revision: Revision) -> None:
        self._proposals.await_acceptance(
            revision, proposal.origin, self._now()
        )
        self._reply_to_completed_changes()

    def _reply_to_completed_changes(self) -> None:
        for origin, reply in self._proposals.pop_completed(self._now()):
            self._reply(origin, reply)

    # Follower

    @receive.register
    def _(self, message: AppendRequest, origin: Origin) -> None:
        assert origin.peer is not None
        self._state.record_peer(origin.peer)
        if not self._accept_leader(message.term, message.leader):
            self._reply_append(
                origin.peer, False, self._log.last_index, message.round
            )
            return
        local_term = self._log.find_term(message.previous_index)
        if message.previous_index < self._log.base_index:
            # The snapshot covers the records, so they match the leader's.
            self._reply_append(
                origin.peer, True, self._log.base_index, message.round
            )
        elif local_term != message.previous_term:
            hint = min(self._log.last_index, message.previous_index - 1)
            self._reply_append(
                origin.peer, False, LogIndex(hint), message.round
            )
        else:
            for record in self._log.merge(message.records):
                self._outbox.persist(record)
            match = LogIndex(message.previous_index + len(message.records))
            self._commit_up_to(min(message.commit, match))
            self._reply_append(origin.peer, True, match, message.round)

    @receive.register
    def _(self, message: InstallSnapshot, origin: Origin) -> None:
        assert origin.peer is not None
        self._state.record_peer(origin.peer)
        if not self._accept_leader(message.term, message.leader):
            self._reply_append(origin.peer, False, self._log.last_index)
            return
        snapshot = message.snapshot
        if snapshot.index > self._commit_index:
            self._outbox.persist(snapshot)
            self._machine.restore(snapshot)
            self._log.reset(snapshot.index, snapshot.term, snapshot.members)
            self._schedule.record_snapshot(snapshot)
            self._commit_index = self._applied_index = snapshot.index
            self._outbox.tell(ControllerName.CONFIGURATION, Restored(snapshot))
        self._reply_append(origin.peer, True, snapshot.index)

    def _accept_leader(self, term: Term, leader: MemberId) -> bool:
        self._voting.observe_term(term)
        if term < self.term:
            return False
        self._election.follow(leader, self._now())
        self._state.reset_election_timeout()
        return True

    def _reply_append(
        self,
        host: HostId,
        accepted: bool,
        index: LogIndex,
        confirmed_round: int = 0,
    ) -> None:
        reply = AppendReply(
            self.term,
            self._election.member,
            accepted,
            index,
            confirmed_round,
            self._is_stopping,
        )
        self._outbox.send(host, reply)

    def _ask_to_join(self) -> None:
        """Ask all known control hosts for admission, unless a leader has it.

        A member without a leader asks as well: it may have been removed while
        it was away, or the record that admitted it may have been lost with a
        former leader. The leader may be none of the members that it knows.
        """
        is_learner = self._state.own_member in self._log.members.learners
        if is_learner and self._election.has_recent_leader_contact(
            self._now()
        ):
            return
        request = JoinRequest(self._state.own_member)
        for host in self._control_hosts:
            if host != self.host:
                self._outbox.send(host, request)

    def _send_group_contact(self) -> None:
        """Tell the membership controller about the contact to the group.

        It is told at each tick, since this task may have to wait for its disk
        and then knows nothing of the group.
        """
        members = self._log.members
        contact = GroupContact(
            self._state.is_leader
            or self._election.has_recent_leader_contact(self._now()),
            self._state.leader_host,
            tuple(m.host for m in members.voters),
        )
        valid_until = Seconds(self._now() + CONTACT_VALID_S)
        self._outbox.tell(
            ControllerName.MEMBERSHIP,
            replace(contact, valid_until=valid_until),
        )
        if contact != self._sent_contact:
            self._sent_contact = contact
            self._outbox.tell(ControllerName.TRIALS, contact)
            self._outbox.tell(ControllerName.LEASE, contact)
            self._outbox.tell(ControllerName.QUOTAS, contact)

    def _log_members(self) -> None:
        """Log the group in this member's log after each change of it."""
        members = self._log.members
        if members == self._logged_members:
            return
        self._logged_members = members
        self._outbox.log_event(
            "group changed",
            voters=[m.host for m in members.voters],
            learners=[m.host for m in members.learners],
            index=self._log.members_index,
            committed=self._log.members_index <= self._commit_index,
            role=self.role.value,
            term=self.term,
            silent_s=self._peers.silences,
        )

    # Applying

    def _commit_up_to(self, index: LogIndex) -> None:
        self._commit_index = max(self._commit_index, index)
        committed = []
        while self._applied_index < self._commit_index:
            self._applied_index = LogIndex(self._applied_index + 1)
            self._schedule.record_applied(
                self._log.get_record_size(self._applied_index)
            )
            command = self._log.get(self._applied_index).command
            if isinstance(command, Change):
                committed += self._apply_change(command)
        if committed:
            message = Committed(tuple(committed))
            self._outbox.tell(ControllerName.CONFIGURATION, message)
        if self._state.is_leader and self._has_committed_own_term():
            self._set_leader_flag(True)
        if self._schedule.is_due(self._log, self._applied_index):
            self._take_snapshot()

    def _apply_change(self, change: Change) -> list:
        now = self._now()
        committed = self._machine.apply(change)
        applied = self._proposals.mark_applied(change.change, now)
        if committed is None:
            return []
        if any(edit.key == FLEET_KEY for edit in change.edits):
            self._proposals.record_fleet_change(committed.revision, now)
        if applied is not None:
            origin, times = applied
            self._outbox.log_event(
                "change committed",
                revision=committed.revision,
                version=change.version or None,
                queued_ms=round(times.queued * 1_000, 1),
                commit_ms=round(times.commit * 1_000, 1),
            )
            self._proposals.await_acceptance(committed.revision, origin, now)
        return [committed]

    def _take_snapshot(self) -> None:
        snapshot = self._build_snapshot()
        self._outbox.persist(snapshot)
        self._outbox.log_event(
            "snapshot taken",
            index=snapshot.index,
            revision=snapshot.revision,
            replaced_bytes=self._schedule.applied_bytes,
        )
        self._schedule.record_snapshot(snapshot)
        self._schedule.compact(self._log, self._applied_index)

    # Leadership

    def _make_not_leader_error(self) -> WasabitrayError:
        leader = self._state.leader_host
        detail = f"not the leader; the leader is {leader or 'unknown'}"
        return NotLeaderError(
            detail,
            step="propose",
            peer=leader,
            contact=self._state.describe_contact() | {"role": self.role.value},
        )

    def _set_leader_flag(self, value: bool) -> None:
        if value != self._has_leader_flag:
            self._has_leader_flag = value
            flag = SetFlag(HostFlag.LEADER, value)
            self._outbox.tell(ControllerName.MEMBERSHIP, flag)


def _is_control_host(view: HostView) -> bool:
    return bool(view.flags & HostFlag.CONTROL)
