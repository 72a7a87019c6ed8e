"""What a leader knows of its group."""

from __future__ import annotations

from dataclasses import dataclass

from wasabitray_core.ids import LogIndex, MemberId, Seconds
from wasabitray_core.messages import Members

# Five voters survive the loss of two, and a change still syncs on three.
MAX_VOTERS = 5


@dataclass(slots=True)
class Progress:
    """How far one member's log agrees with the leader's.

    Attributes:
        match: last record known to agree and to be synced there.
        next: record to send next.
        heard: when the member last answered.
        round: newest round of confirming the lead that it answered.
    """

    match: LogIndex
    next: LogIndex
    heard: Seconds
    round: int = 0


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


def next_members(
    members: Members,
    caught_up: set[MemberId],
    silent: frozenset[MemberId] = frozenset(),
    max_voters: int = MAX_VOTERS,
) -> Members | None:
    """Return the next step of bringing learners into the group.

    One member changes at a time. A learner that replaces a voter of the
    same host takes its place in two steps: the old voter, whose disk is
    lost, goes first, since it can only weaken the quorum. Once the group is
    full, a learner takes the place of a voter that has been silent for long.

    Args:
        members: the newest group.
        caught_up: members that hold the log up to its end or nearly so.
        silent: members that were not heard of for long.
        max_voters: size of a full group.
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
        if len(members.voters) >= max_voters:
            gone = [v for v in members.voters if v.member in silent]
            if not gone or learner.member in silent:
                continue
            rest = _without(members.voters, gone[0])
            return Members(rest, members.learners)
        return Members(
            (*members.voters, learner), _without(members.learners, learner)
        )
    return None


def _without(members: tuple, member: object) -> tuple:
    return tuple(m for m in members if m != member)
