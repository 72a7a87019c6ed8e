"""What a leader knows of its group."""

from __future__ import annotations

from dataclasses import dataclass

from wasabitray_core.ids import LogIndex, MemberId, Seconds
from wasabitray_core.messages import Members


@dataclass(slots=True)
class Progress:
    """How far one member's log agrees with the leader's.

    Attributes:
        match: last record known to agree and to be synced there.
        next: record to send next.
        heard: when the member last answered.
    """

    match: LogIndex
    next: LogIndex
    heard: Seconds


def is_quorum(members: Members, agreeing: set[MemberId]) -> bool:
    """Tell whether some members are a majority of the voters."""
    voters = {m.member for m in members.voters}
    return 2 * len(voters & agreeing) > len(voters)


def quorum_match(
    members: Members, matches: dict[MemberId, LogIndex]
) -> LogIndex:
    """Return the highest index that a majority of the voters holds."""
    held = sorted(
        (matches.get(m.member, LogIndex(0)) for m in members.voters),
        reverse=True,
    )
    return held[len(held) // 2]


def next_members(members: Members, caught_up: set[MemberId]) -> Members | None:
    """Return the next step of bringing learners into the group.

    One member changes at a time. A learner that replaces a voter of the
    same host takes its place in two steps: the old voter, whose disk is
    lost, goes first, since it can only weaken the quorum.
    """
    for learner in members.learners:
        newer = [m for m in members.learners if m.host == learner.host]
        if newer[-1] is not learner:
            return Members(members.voters, _without(members.learners, learner))
        if learner.member not in caught_up:
            continue
        for voter in members.voters:
            if voter.host == learner.host:
                rest = _without(members.voters, voter)
                return Members(rest, members.learners)
        return Members(
            (*members.voters, learner), _without(members.learners, learner)
        )
    return None


def _without(members: tuple, member: object) -> tuple:
    return tuple(m for m in members if m != member)
