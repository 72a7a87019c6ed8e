"""The control group's member on this host."""

from __future__ import annotations

from dataclasses import replace
from functools import singledispatchmethod
from typing import Any, ClassVar

from result import Err, Ok

from wasabitray_core.controllers.consensus.election import (
    ELECTION_MIN_S,
    NO_MEMBER,
    Election,
)
from wasabitray_core.controllers.consensus.log import ReplicatedLog
from wasabitray_core.controllers.consensus.progress import (
    Progress,
    is_quorum,
    next_members,
    quorum_match,
)
from wasabitray_core.controllers.consensus.proposals import (
    Proposal,
    Proposals,
)
from wasabitray_core.controllers.consensus.reads import Reads
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
from wasabitray_core.ids import HostId, LogIndex, MemberId, Term
from wasabitray_core.local_messages import (
    Committed,
    ControllerName,
    FleetView,
    GetHistory,
    GetStatus,
    GroupContact,
    HostView,
    Propose,
    ReadDocuments,
    ReplaceTable,
    Restored,
    SetFlag,
    Tick,
    TransferLeadership,
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
    LogRecord,
    Member,
    Members,
    Noop,
    Snapshot,
    VoteReply,
    VoteRequest,
)
from wasabitray_core.route_table import diff_documents
from wasabitray_core.states import ConsensusRole, HostFlag

HEARTBEAT_S = 0.2
MAX_RECORDS_PER_APPEND = 64
SNAPSHOT_EVERY = 1_000
KEPT_AFTER_SNAPSHOT = 200
# A voter that is silent for longer gives its place to a learner: longer than
# a host takes to restart or a cut usually lasts.
SILENT_AFTER_S = 8.0
# A learner this close to the end of the log may become a voter.
CATCH_UP_RECORDS = 10

_LEADER = ConsensusRole.LEADER


class ConsensusController(Controller):
    """Owns one member of the replicated log and its state machine.

    The outbox makes persisted items durable before it releases anything
    that was sent after them, so a vote or an acknowledgement never leaves
    before what it promises is synced.
    """

    name: ClassVar[ControllerName] = ControllerName.CONSENSUS
    tick_interval_s = HEARTBEAT_S

    def __init__(
        self,
        context: Context,
        member: MemberId,
        control_hosts: tuple[HostId, ...],
        ballot: Ballot,
        snapshot: Snapshot,
        records: tuple[LogRecord, ...] = (),
    ) -> None:
        """Start from stored state.

        Args:
            context: shared by all controllers.
            member: this disk's name, never used by another disk.
            control_hosts: hosts to ask for a place in the group.
            ballot: the stored term and vote.
            snapshot: the stored snapshot; an empty one on a fresh disk.
            records: the stored records in the order they were written.
        """
        super().__init__(context)
        self._control_hosts = control_hosts
        self._machine = ConfigurationStateMachine()
        self._machine.restore(snapshot)
        self._log = ReplicatedLog(
            snapshot.index, snapshot.term, snapshot.members
        )
        self._log.load(records)
        self._election = Election(member, ballot)
        self._state = MemberState(context, self._election, self._log)
        self._voting = Voting(
            self._state, self._become_leader, self._step_down
        )
        self._commit = self._applied = snapshot.index
        self._proposals = Proposals(self._machine)
        self._progress: dict[MemberId, Progress] = {}
        self._reads = Reads()
        self._flagged = False
        self._contact: GroupContact | None = None
        self._state.postpone()
        if snapshot.revision:
            self._outbox.tell(ControllerName.CONFIGURATION, Restored(snapshot))

    @property
    def role(self) -> ConsensusRole:
        """The member's role in the current term."""
        if self._state.record not in self._log.members.voters:
            return ConsensusRole.LEARNER
        return self._election.role

    @property
    def term(self) -> Term:
        """The current term."""
        return self._election.term

    @property
    def commit(self) -> LogIndex:
        """Last record known to be committed."""
        return self._commit

    @property
    def machine(self) -> ConfigurationStateMachine:
        """The committed configuration."""
        return self._machine

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message."""
        raise TypeError(f"{self!r} can't take {message!r}")

    @receive.register
    def _(self, message: Tick, origin: Origin) -> None:
        if self._state.leads:
            self._lead()
        elif not self._state.is_voter:
            self._ask_to_join()
        elif self._now() >= self._election.timeout:
            self._voting.start_pre_vote()
        self._tell_contact()

    @receive.register
    def _(self, message: FleetView, origin: Origin) -> None:
        self._control_hosts = tuple(
            {
                *self._control_hosts,
                *(v.host for v in message.hosts if _is_control(v)),
            }
        )
        self._proposals.note_view(message)
        self._answer_accepted()

    @receive.register
    def _(self, message: Propose, origin: Origin) -> None:
        if not self._state.leads:
            self._reply(origin, Err(self._not_leader()))
            return
        self._proposals.add(Proposal(message.change, origin))
        self._pump_proposals()

    @receive.register
    def _(self, message: ReplaceTable, origin: Origin) -> None:
        checked = message.source.check()
        if isinstance(checked, Err):
            faults = "\n".join(checked.err_value)
            error = DocumentError(faults, step="check table")
            self._reply(origin, Err(error))
        elif not self._state.leads:
            self._reply(origin, Err(self._not_leader()))
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
            self._proposals.add(Proposal(change, origin, table))
            self._pump_proposals()

    @receive.register
    def _(self, message: ReadDocuments, origin: Origin) -> None:
        if not self._state.leads:
            self._reply(origin, Err(self._not_leader()))
        elif not self._has_committed_own_term():
            detail = "the new leader has not committed yet"
            error = UnavailableError(detail, step="read documents")
            self._reply(origin, Err(error))
        else:
            self._reads.add(origin)
            for member in self._state.peers:
                self._send_append(member)
            self._answer_reads()

    def _answer_reads(self) -> None:
        """Answer the reads whose round a majority has confirmed.

        The lead at the time of a read is proved by answers to what was
        sent after it ("ReadIndex" in section 6.4 of Ongaro's thesis).
        """
        rounds = {m: p.round for m, p in self._progress.items()}
        for origin in self._reads.take_confirmed(
            self._log.members, self._election.member, rounds
        ):
            documents = dict(self._machine.documents)
            state = ConfigState(self._machine.revision, documents)
            self._reply(origin, Ok(state))

    @receive.register
    def _(self, message: GetHistory, origin: Origin) -> None:
        self._reply(origin, self._machine.recent[-message.limit :])

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
                "commit": self._commit,
                "last_index": self._log.last_index,
                "revision": self._machine.revision,
                "voters": [m.member for m in members.voters],
                "learners": [m.member for m in members.learners],
                "lag": {
                    member: self._log.last_index - progress.match
                    for member, progress in self._progress.items()
                },
            },
        )

    @receive.register
    def _(self, message: TransferLeadership, origin: Origin) -> None:
        if self._state.leads:
            heirs = [m for m in self._state.peers if m in self._state.voters]
            if heirs:
                heir = max(heirs, key=lambda m: self._progress[m.member].match)
                campaign = CampaignNow(self.term, self._election.member)
                self._outbox.send(heir.host, campaign)
        self._reply(origin, self._state.leads)

    # Elections

    @receive.register
    def _(self, message: VoteRequest, origin: Origin) -> None:
        assert origin.peer is not None
        self._voting.answer(message, origin.peer)
        self._take_back(Member(message.candidate, origin.peer))

    @receive.register
    def _(self, message: VoteReply, origin: Origin) -> None:
        self._voting.count(message)

    @receive.register
    def _(self, message: CampaignNow, origin: Origin) -> None:
        self._voting.campaign(message)

    def _step_down(self, reason: str) -> None:
        was_leader = self._state.leads
        self._election.role = ConsensusRole.FOLLOWER
        self._election.leader = NO_MEMBER
        self._state.postpone()
        if was_leader:
            self._outbox.log_event("lead lost", term=self.term, reason=reason)
            self._set_leader_flag(False)
            waiting = [*self._proposals.abandon(), *self._reads.abandon()]
            for origin in waiting:
                self._reply(origin, Err(self._not_leader()))

    def _become_leader(self) -> None:
        self._election.role = _LEADER
        self._election.leader = self._election.member
        self._progress = {}
        self._append(Noop())
        self._outbox.log_event("lead taken", term=self.term)
        self._lead()

    # Leading

    def _lead(self) -> None:
        now = self._now()
        start = Progress(LogIndex(0), self._log.last_index, now)
        self._progress = {
            m.member: self._progress.get(m.member) or replace(start)
            for m in self._state.peers
        }
        heard = {
            m
            for m, progress in self._progress.items()
            if now - progress.heard < ELECTION_MIN_S
        }
        if not is_quorum(self._log.members, heard | {self._election.member}):
            self._step_down("no contact with a majority")
            return
        for member in self._state.peers:
            self._send_append(member)
        self._advance_commit()
        self._advance_members()
        self._answer_accepted()
        self._pump_proposals()

    def _send_append(self, member: Member) -> None:
        progress = self._progress[member.member]
        previous = LogIndex(progress.next - 1)
        previous_term = self._log.term_at(previous)
        if previous_term is None:
            self._send_snapshot(member)
            return
        records = self._log.after(previous, MAX_RECORDS_PER_APPEND)
        request = AppendRequest(
            self.term,
            self._election.member,
            previous,
            previous_term,
            records,
            self._commit,
            self._reads.round,
        )
        self._outbox.send(member.host, request)

    def _send_snapshot(self, member: Member) -> None:
        term = self._log.term_at(self._applied)
        assert term is not None
        snapshot = self._machine.snapshot(
            self._applied, term, self._log.members_at(self._applied)
        )
        install = InstallSnapshot(self.term, self._election.member, snapshot)
        self._outbox.send(member.host, install)

    @receive.register
    def _(self, message: AppendReply, origin: Origin) -> None:
        self._voting.see_term(message.term)
        progress = self._progress.get(message.member)
        if not self._state.leads or progress is None:
            return
        if message.term != self.term:
            return
        progress.heard = self._now()
        progress.round = max(progress.round, message.round)
        self._answer_reads()
        if message.accepted:
            progress.match = max(progress.match, message.index)
            progress.next = LogIndex(progress.match + 1)
            self._advance_commit()
            behind = progress.next <= self._log.last_index
        else:
            hint = LogIndex(message.index + 1)
            progress.next = max(LogIndex(1), min(hint, progress.next))
            behind = True
        if behind and self._state.leads:
            self._send_next(message.member)

    def _send_next(self, name: MemberId) -> None:
        """Send a member that is behind its next records at once."""
        for member in self._state.peers:
            if member.member == name:
                self._send_append(member)

    def _advance_commit(self) -> None:
        matches = {m: p.match for m, p in self._progress.items()}
        matches[self._election.member] = self._log.last_index
        index = quorum_match(self._log.members, matches)
        # Only a record of this term proves the ones before it committed.
        if index > self._commit and self._log.term_at(index) == self.term:
            self._commit_up_to(index)
            self._pump_proposals()

    def _advance_members(self) -> None:
        if self._log.members_index > self._commit:
            return
        close = self._log.last_index - CATCH_UP_RECORDS
        caught_up = {
            m for m, p in self._progress.items() if p.match >= max(1, close)
        }
        now = self._now()
        silent = frozenset(
            m
            for m, p in self._progress.items()
            if now - p.heard > SILENT_AFTER_S
        )
        changed = next_members(self._log.members, caught_up, silent)
        if changed is not None and self._has_committed_own_term():
            self._append(changed)

    @receive.register
    def _(self, message: JoinRequest, origin: Origin) -> None:
        if self._state.leads:
            self._add_learner(message.member)

    def _take_back(self, member: Member) -> None:
        """Make a member a learner that lost its place while it was away.

        It does not know so yet and asks for votes; its log and ballot are
        intact.
        """
        known = (*self._log.members.voters, *self._log.members.learners)
        if self._state.leads and member.host not in {m.host for m in known}:
            self._add_learner(member)

    def _add_learner(self, member: Member) -> None:
        members = self._log.members
        if member in (*members.voters, *members.learners):
            return
        if (
            self._log.members_index <= self._commit
            and self._has_committed_own_term()
        ):
            learners = (*members.learners, member)
            self._append(Members(members.voters, learners))

    def _has_committed_own_term(self) -> bool:
        return self._log.term_at(self._commit) == self.term

    def _append(self, command: Command) -> None:
        index = LogIndex(self._log.last_index + 1)
        record = LogRecord(index, self.term, command)
        self._log.append(record)
        self._outbox.persist(record)
        for member in self._state.peers:
            if member.member in self._progress:
                self._send_append(member)

    def _pump_proposals(self) -> None:
        """Put the next valid change into the log."""
        if not self._state.leads:
            return
        while self._has_committed_own_term() and not self._proposals.busy:
            proposal = self._proposals.pop()
            if proposal is None:
                return
            self._try_proposal(proposal)

    def _try_proposal(self, proposal: Proposal) -> None:
        if proposal.table is not None:
            edits = diff_documents(self._machine.documents, proposal.table)
            change = replace(proposal.change, edits=edits)
            proposal = Proposal(change, proposal.origin)
        answer = self._machine.find_answer(proposal.change)
        if isinstance(answer, Ok):
            self._proposals.await_acceptance(
                answer.ok_value, proposal.origin, self._now()
            )
            self._answer_accepted()
            return
        checked = answer or self._proposals.check(proposal.change, self._now())
        if isinstance(checked, Err):
            self._reply(proposal.origin, checked)
            return
        self._proposals.start(proposal)
        self._append(proposal.change)

    def _answer_accepted(self) -> None:
        for origin, answer in self._proposals.take_accepted(self._now()):
            self._reply(origin, answer)

    # Following

    @receive.register
    def _(self, message: AppendRequest, origin: Origin) -> None:
        assert origin.peer is not None
        if not self._accept_leader(message.term, message.leader):
            self._reply_append(
                origin.peer, False, self._log.last_index, message.round
            )
            return
        held = self._log.term_at(message.previous_index)
        if message.previous_index < self._log.base_index:
            # Covered by the snapshot, so it is known to agree.
            self._reply_append(
                origin.peer, True, self._log.base_index, message.round
            )
        elif held != message.previous_term:
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
        if not self._accept_leader(message.term, message.leader):
            self._reply_append(origin.peer, False, self._log.last_index)
            return
        snapshot = message.snapshot
        if snapshot.index > self._commit:
            self._outbox.persist(snapshot)
            self._machine.restore(snapshot)
            self._log.reset(snapshot.index, snapshot.term, snapshot.members)
            self._commit = self._applied = snapshot.index
            self._outbox.tell(ControllerName.CONFIGURATION, Restored(snapshot))
        self._reply_append(origin.peer, True, snapshot.index)

    def _accept_leader(self, term: Term, leader: MemberId) -> bool:
        self._voting.see_term(term)
        if term < self.term:
            return False
        self._election.follow(leader, self._now())
        self._state.postpone()
        return True

    def _reply_append(
        self,
        host: HostId,
        accepted: bool,
        index: LogIndex,
        confirms: int = 0,
    ) -> None:
        reply = AppendReply(
            self.term, self._election.member, accepted, index, confirms
        )
        self._outbox.send(host, reply)

    def _ask_to_join(self) -> None:
        if self._state.record in self._log.members.learners:
            return
        request = JoinRequest(self._state.record)
        for host in self._control_hosts:
            if host != self.host:
                self._outbox.send(host, request)

    def _tell_contact(self) -> None:
        """Tell the membership controller of the group, when it changes."""
        members = self._log.members
        contact = GroupContact(
            self._state.leads or self._election.has_live_leader(self._now()),
            self._state.leader_host,
            tuple(m.host for m in members.voters),
        )
        if contact != self._contact:
            self._contact = contact
            self._outbox.tell(ControllerName.MEMBERSHIP, contact)

    # Applying

    def _commit_up_to(self, index: LogIndex) -> None:
        self._commit = max(self._commit, index)
        committed = []
        while self._applied < self._commit:
            self._applied = LogIndex(self._applied + 1)
            command = self._log.get(self._applied).command
            if isinstance(command, Change):
                committed += self._apply(command)
        if committed:
            message = Committed(tuple(committed))
            self._outbox.tell(ControllerName.CONFIGURATION, message)
        if self._state.leads and self._has_committed_own_term():
            self._set_leader_flag(True)
        if self._applied - self._log.base_index >= SNAPSHOT_EVERY:
            self._take_snapshot()

    def _apply(self, change: Change) -> list:
        committed = self._machine.apply(change)
        origin = self._proposals.finish(change.change)
        if committed is None:
            return []
        now = self._now()
        if any(edit.key == FLEET_KEY for edit in change.edits):
            self._proposals.note_fleet(committed.revision, now)
        if origin is not None:
            revision = committed.revision
            self._proposals.await_acceptance(revision, origin, now)
        return [committed]

    def _take_snapshot(self) -> None:
        term = self._log.term_at(self._applied)
        assert term is not None
        members = self._log.members_at(self._applied)
        snapshot = self._machine.snapshot(self._applied, term, members)
        self._outbox.persist(snapshot)
        self._log.compact(LogIndex(self._applied - KEPT_AFTER_SNAPSHOT))

    # Group

    def _not_leader(self) -> WasabitrayError:
        leader = self._state.leader_host
        detail = f"the leader is {leader or 'not known'}"
        return NotLeaderError(detail, step="propose", peer=leader)

    def _set_leader_flag(self, value: bool) -> None:
        if value != self._flagged:
            self._flagged = value
            flag = SetFlag(HostFlag.LEADER, value)
            self._outbox.tell(ControllerName.MEMBERSHIP, flag)


def _is_control(view: HostView) -> bool:
    return bool(view.flags & HostFlag.CONTROL)
