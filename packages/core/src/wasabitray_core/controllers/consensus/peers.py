"""What the leader knows about the other members of its group."""

from __future__ import annotations

from collections.abc import ItemsView

from wasabitray_core.controllers.consensus.election import ELECTION_MIN_S
from wasabitray_core.controllers.consensus.group import (
    GroupChange,
    GroupSize,
    MemberStates,
    plan_change,
)
from wasabitray_core.controllers.consensus.progress import (
    Progress,
    is_quorum,
)
from wasabitray_core.controllers.consensus.state import MemberState
from wasabitray_core.ids import HostId, LogIndex, MemberId, Seconds
from wasabitray_core.messages import Member, Members

# A voter that has not replied for this long gives its place to a learner.
# With an election before it and two commits after it, a lost voter is replaced
# before the next hosts may be lost.
SILENT_AFTER_S = 1.5
# A member that asked to leave either ends or asks again within this time.
LEAVING_VALID_S = 2.0
# A learner that has not replied for this long is not expected to return.
GONE_AFTER_S = 60.0
# A leader whose own timer was this late waits as long for replies before it
# judges the silence of others.
STALL_S = 0.5
# The former leader's last message tells of its silence only in the election
# that followed it.
MAX_ELECTION_S = 10.0
# A learner may become a voter if it lags behind the log's end by at most this.
MAX_CAUGHT_UP_LAG_RECORDS = 10


class Peers:
    """The other members' replication progress, silence and planned stops."""

    def __init__(self, state: MemberState, size: GroupSize) -> None:
        """Start without knowledge.

        Args:
            state: shared with the member's controller.
            size: how many voters the group has.
        """
        self._state = state
        self._size = size
        self._outbox = state.context.outbox
        self._progress: dict[MemberId, Progress] = {}
        self._last_run = self._judged_from = state.now()
        self._silent_voters: frozenset[HostId] = frozenset()

    @property
    def reachable(self) -> set[MemberId]:
        """The members that replied within the minimum election timeout."""
        now = self._state.now()
        return {
            m
            for m, progress in self._progress.items()
            if now - progress.last_contact < ELECTION_MIN_S
        }

    @property
    def responsive(self) -> set[MemberId]:
        """The reachable members that have replied to this leader.

        All others count as reachable for a moment after its election.
        """
        replied = {m for m, p in self.items() if p.has_replied}
        return self.reachable & replied

    @property
    def silences(self) -> dict[HostId, float]:
        """The seconds since each member replied."""
        now = self._state.now()
        return {
            m.host: round(now - self._progress[m.member].silent_since, 3)
            for m in self._state.peers
            if m.member in self._progress
        }

    def items(self) -> ItemsView[MemberId, Progress]:
        """Return the members with their progress."""
        return self._progress.items()

    def find(self, member: MemberId) -> Progress | None:
        """Return a member's progress, None if it is not in the group."""
        return self._progress.get(member)

    def start_term(self) -> None:
        """Start anew as the leader of a term.

        The silence of all members counts from now, but that of a former
        leader that did not vote from its last message.
        """
        now = self._state.now()
        self._progress = {}
        self._last_run = self._judged_from = now
        self.track()
        election = self._state.election
        former = self._progress.get(election.last_leader)
        if (
            former is not None
            and election.last_leader not in election.votes
            and now - election.last_leader_contact < MAX_ELECTION_S
        ):
            former.silent_since = election.last_leader_contact

    def track(self) -> None:
        """Track the progress of all current members and of no others."""
        next_index, now = self._state.log.last_index, self._state.now()
        self._progress = {
            m.member: self._progress.get(m.member)
            or Progress(LogIndex(0), next_index, now, now)
            for m in self._state.peers
        }

    def record_run(self) -> None:
        """Record that the leader's timer ran."""
        now = self._state.now()
        if now - self._last_run > STALL_S:
            self._judged_from = Seconds(now + STALL_S)
        self._last_run = now

    def record_leaving(self, member: MemberId) -> None:
        """Record that a member's host is being stopped."""
        progress = self._progress.get(member)
        if progress is not None:
            until = self._state.now() + LEAVING_VALID_S
            progress.leaving_until = Seconds(until)

    # Decisions

    def plan_change(self) -> GroupChange | None:
        """Return the next membership change, None if none is due now."""
        now = self._state.now()
        if now < self._judged_from or now - self._last_run > STALL_S:
            return None
        change = plan_change(
            self._state.log.members, self._get_states(), self._size
        )
        if change is None or not self._can_commit(change.members):
            return None
        return change

    def _can_commit(self, members: Members) -> bool:
        """Return whether a majority of a group replied lately."""
        own = self._state.election.member
        return is_quorum(members, self.responsive | {own})

    def _get_states(self) -> MemberStates:
        last_index = self._state.log.last_index
        caught_up_index = max(1, last_index - MAX_CAUGHT_UP_LAG_RECORDS)
        now = self._state.now()
        silences = {m: now - p.silent_since for m, p in self.items()}
        caught_up = {
            m for m, p in self.items() if p.match_index >= caught_up_index
        }
        return MemberStates(
            ready=frozenset(caught_up & self.reachable),
            silent=frozenset(
                m for m, s in silences.items() if s > SILENT_AFTER_S
            ),
            leaving=frozenset(
                m for m, p in self.items() if now <= p.leaving_until
            ),
            gone=frozenset(m for m, s in silences.items() if s > GONE_AFTER_S),
        )

    def find_successors(self) -> list[Member]:
        """Return the voters that replied lately and are not being stopped."""
        now = self._state.now()
        responsive = self.responsive
        return [
            m
            for m in self._state.voters
            if m.member in responsive
            and now > self._progress[m.member].leaving_until
        ]

    def has_whole_log(self, member: Member) -> bool:
        """Return whether a member has all records of the leader."""
        progress = self._progress[member.member]
        return progress.match_index == self._state.log.last_index

    def can_spare_stopping(self) -> bool:
        """Return whether the group goes on without the stopping members.

        They are still needed if the others are no majority, and may soon be
        replaced if a learner is catching up.
        """
        if self._state.now() < self._judged_from:
            return False
        states = self._get_states()
        staying = self.responsive - states.leaving
        learners = self._state.log.members.learners
        if any(m.member in staying - states.ready for m in learners):
            return False
        own = self._state.election.member
        return is_quorum(self._state.log.members, staying | {own})

    # Logs

    def log_change(self, change: GroupChange) -> None:
        """Log a membership change that the leader makes."""
        self._outbox.log_event(
            "group change",
            peer=change.member.host,
            member=change.member.member,
            reason=change.reason.value,
            silent_s=self.silences.get(change.member.host),
        )

    def log_silent_voters(self) -> None:
        """Log which voters fell silent or are heard again."""
        voters = {m.host for m in self._state.voters}
        silences = self.silences
        silent = frozenset(
            host
            for host, silent_s in silences.items()
            if host in voters and silent_s >= ELECTION_MIN_S
        )
        for host in sorted(silent - self._silent_voters):
            self._outbox.log_event(
                "voter silent", peer=host, silent_s=silences[host]
            )
        for host in sorted((self._silent_voters - silent) & voters):
            self._outbox.log_event("voter heard", peer=host)
        self._silent_voters = silent

    def __repr__(self) -> str:
        return f"<Peers [{len(self._progress)} members]>"
