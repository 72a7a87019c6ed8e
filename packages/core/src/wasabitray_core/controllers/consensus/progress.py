"""The leader's view of its members' replication progress."""

from __future__ import annotations

from msgspec import Struct

from wasabitray_core.ids import LogIndex, MemberId, Seconds
from wasabitray_core.messages import Members

# Five voters tolerate the loss of two; a commit then needs three synced
# copies.
MAX_VOTERS = 5


class Progress(Struct):
    """How far one member has replicated the leader's log.

    Attributes:
        match_index: last record known to match the leader's and to be
            synced on the member's disk.
        next_index: next record to send to the member.
        last_contact: when the member last replied.
        confirmed_round: newest round of leadership confirmation that the
            member replied to.
    """

    match_index: LogIndex
    next_index: LogIndex
    last_contact: Seconds
    confirmed_round: int = 0


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


def find_next_members(
    members: Members,
    caught_up: set[MemberId],
    unresponsive: frozenset[MemberId] = frozenset(),
    max_voters: int = MAX_VOTERS,
) -> Members | None:
    """Return the group after the next membership change, None if none is due.

    One member changes at a time. A learner replaces a voter of the same
    host in two steps: the old voter, whose disk is lost, is removed first,
    since it can only weaken the quorum; then the learner becomes a voter.
    Once the group is full, a learner may only replace a voter that has been
    unresponsive for a long time. Such a voter also leaves a group of an even
    number of voters, where it only adds to the quorum: a host that was removed
    for good would otherwise leave the group with one loss less to bear.

    Args:
        members: the newest group in the log.
        caught_up: members whose logs reach the end of the leader's log or
            nearly so.
        unresponsive: members that have not replied for a long time.
        max_voters: number of voters in a full group.
    """
    silent_voters = [v for v in members.voters if v.member in unresponsive]
    for learner in members.learners:
        host_learners = [m for m in members.learners if m.host == learner.host]
        if host_learners[-1] is not learner:
            return Members(
                members.voters, _remove_member(members.learners, learner)
            )
        if learner.member not in caught_up - unresponsive:
            continue
        for voter in members.voters:
            if voter.host == learner.host:
                rest = _remove_member(members.voters, voter)
                return Members(rest, members.learners)
        if len(members.voters) >= max_voters:
            if not silent_voters:
                continue
            rest = _remove_member(members.voters, silent_voters[0])
            return Members(rest, members.learners)
        return Members(
            (*members.voters, learner),
            _remove_member(members.learners, learner),
        )
    if silent_voters and len(members.voters) % 2 == 0:
        rest = _remove_member(members.voters, silent_voters[0])
        return Members(rest, members.learners)
    return None


def _remove_member(members: tuple, member: object) -> tuple:
    return tuple(m for m in members if m != member)
