"""The leader's view of its members' replication progress."""

from __future__ import annotations

from msgspec import Struct

from wasabitray_core.controllers.consensus.election import NEVER
from wasabitray_core.ids import LogIndex, MemberId, Seconds
from wasabitray_core.messages import Members

# Records that were sent are sent again after the time that they take at this
# rate, well below that of links between control hosts.
RESEND_BYTES_PER_S = 1_048_576


class Progress(Struct):
    """How far one member has replicated the leader's log.

    Attributes:
        match_index: last record known to match the leader's and to be
            synced on the member's disk.
        next_index: next record to send to the member.
        last_contact: when the member last replied, or the leader's election.
        silent_since: from when the member's silence counts.
        has_replied: whether the member has replied to this leader at all.
        confirmed_round: newest round of leadership confirmation that the
            member replied to.
        leaving_until: until when the member's host counts as being stopped.
        sent_index: last record, or snapshot, that was sent to the member.
        resend_at: when what was sent is given up, unless it is confirmed.
    """

    match_index: LogIndex
    next_index: LogIndex
    last_contact: Seconds
    silent_since: Seconds
    confirmed_round: int = 0
    has_replied: bool = False
    leaving_until: Seconds = NEVER
    sent_index: LogIndex = LogIndex(0)
    resend_at: Seconds = NEVER

    def record_contact(self, now: Seconds) -> None:
        """Record that the member replied."""
        self.last_contact = self.silent_since = now
        self.has_replied = True

    def record_sent(self, index: LogIndex, size: int, now: Seconds) -> None:
        """Record that a number of bytes up to an index was sent."""
        self.sent_index = index
        self.resend_at = Seconds(now + size / RESEND_BYTES_PER_S)

    def is_awaiting_reply(self, now: Seconds) -> bool:
        """Return whether records or a snapshot are still in transit."""
        return self.match_index < self.sent_index and now < self.resend_at

    def record_rejected(self) -> None:
        """Record that the member lacks a record before those sent."""
        self.resend_at = NEVER


def is_quorum(members: Members, agreeing: set[MemberId]) -> bool:
    """Return whether the agreeing members include a majority of voters."""
    voters = {m.member for m in members.voters}
    return 2 * len(voters & agreeing) > len(voters)


def get_quorum_index(
    members: Members, matches: dict[MemberId, LogIndex]
) -> LogIndex:
    """Return the highest log index that a majority of the voters holds."""
    descending = sorted(
        (matches.get(m.member, LogIndex(0)) for m in members.voters),
        reverse=True,
    )
    return descending[len(descending) // 2]
