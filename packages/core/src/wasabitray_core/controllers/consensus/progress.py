"""The leader's view of its members' replication progress."""

from __future__ import annotations

from msgspec import Struct

from wasabitray_core.controllers.consensus.election import NEVER
from wasabitray_core.ids import LogIndex, MemberId, Seconds
from wasabitray_core.messages import Members


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
    """

    match_index: LogIndex
    next_index: LogIndex
    last_contact: Seconds
    silent_since: Seconds
    confirmed_round: int = 0
    has_replied: bool = False
    leaving_until: Seconds = NEVER

    def record_contact(self, now: Seconds) -> None:
        """Record that the member replied."""
        self.last_contact = self.silent_since = now
        self.has_replied = True


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
