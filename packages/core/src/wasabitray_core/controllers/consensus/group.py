"""Which membership change of the control group is due next.

A group without a majority can't change its members any more, so a silent
voter is replaced before more can be lost. It becomes a learner: if it was only
cut off or frozen, it catches up and votes again.

Members change one at a time, and each change is committed by a majority of
the new group ("Cluster membership changes" in Ongaro's thesis). A minority
that is cut off can therefore not shrink the group to itself.
"""

from __future__ import annotations

from msgspec import Struct

from wasabitray_core.group_size import GroupSize
from wasabitray_core.ids import MemberId
from wasabitray_core.messages import Member, Members
from wasabitray_core.states import GroupChangeReason


class MemberStates(Struct, frozen=True):
    """What the leader knows about the members of its group.

    Attributes:
        ready: members that replied lately and whose logs reach the end of the
            leader's log or nearly so.
        silent: members that have not replied for a long time.
        leaving: members whose hosts are being stopped.
        gone: members that have not replied for so long that they are not
            expected to return.
    """

    ready: frozenset[MemberId] = frozenset()
    silent: frozenset[MemberId] = frozenset()
    leaving: frozenset[MemberId] = frozenset()
    gone: frozenset[MemberId] = frozenset()

    def may_vote(self, member: Member) -> bool:
        """Return whether a learner may become a voter."""
        return member.member in self.ready - self.silent - self.leaving


class GroupChange(Struct, frozen=True):
    """A membership change.

    Attributes:
        members: the group after the change.
        member: the member that is added, moved or removed.
    """

    members: Members
    member: Member
    reason: GroupChangeReason


def plan_change(
    members: Members, states: MemberStates, size: GroupSize
) -> GroupChange | None:
    """Return the next membership change, None if none is due.

    Args:
        members: the newest group in the log; it is committed.
        states: what the leader knows about the members.
        size: how many voters the group has.
    """
    return (
        _replace_disk(members, states)
        or _replace_silent(members, states, size)
        or _replace_leaving(members, states, size)
        or _grow(members, states, size)
        or _forget_gone(members, states)
    )


def _replace_disk(
    members: Members, states: MemberStates
) -> GroupChange | None:
    """Replace the member of a host's former disk by that of its new one.

    The former member is removed first, since it can only weaken the quorum.
    """
    newest = {m.host: m for m in members.learners}
    for learner in members.learners:
        if newest[learner.host] != learner:
            return _remove_learner(
                members, learner, GroupChangeReason.DISK_REPLACED
            )
    for voter in members.voters:
        successor = newest.get(voter.host)
        if successor is not None and successor.member in states.ready:
            voters = _without(members.voters, voter)
            return GroupChange(
                Members(voters, members.learners),
                voter,
                GroupChangeReason.DISK_REPLACED,
            )
    return None


def _replace_silent(
    members: Members, states: MemberStates, size: GroupSize
) -> GroupChange | None:
    """Replace a silent voter.

    It goes before a learner takes its place, unless the group would be
    smaller than its smallest size in between. Without a learner it goes only
    if an odd number of voters is left, which bears as many losses: the silent
    voters may be the sound half of a split, which returns as it ends.
    """
    silent = [v for v in members.voters if v.member in states.silent]
    if not silent:
        return None
    candidates = _find_candidates(members, states)
    may_shrink = len(members.voters) > size.smallest
    if candidates and not may_shrink:
        return _promote(
            members, candidates[0], GroupChangeReason.VOTER_REPLACED
        )
    if may_shrink and (candidates or len(members.voters) % 2 == 0):
        return _demote(members, silent[0], GroupChangeReason.SILENT)
    return None


def _replace_leaving(
    members: Members, states: MemberStates, size: GroupSize
) -> GroupChange | None:
    """Replace a voter whose host is being stopped.

    It stays until a learner has taken its place, since it still votes.
    Without a learner it goes if the rest bears more losses.
    """
    leaving = [v for v in members.voters if v.member in states.leaving]
    if not leaving:
        return None
    count = len(members.voters)
    candidates = _find_candidates(members, states)
    if candidates and count <= size.largest:
        return _promote(
            members, candidates[0], GroupChangeReason.VOTER_REPLACED
        )
    if count > size.smallest and (count % 2 == 0 or len(leaving) > 1):
        return _demote(members, leaving[0], GroupChangeReason.LEAVING)
    return None


def _grow(
    members: Members, states: MemberStates, size: GroupSize
) -> GroupChange | None:
    """Make a learner a voter if that lets the group bear more losses."""
    candidates = _find_candidates(members, states)
    count = len(members.voters)
    if not candidates or count >= size.largest:
        return None
    is_even = count % 2 == 0
    if count < size.smallest or is_even or len(candidates) > 1:
        return _promote(members, candidates[0], GroupChangeReason.CAUGHT_UP)
    return None


def _forget_gone(members: Members, states: MemberStates) -> GroupChange | None:
    for learner in members.learners:
        if learner.member in states.gone:
            return _remove_learner(members, learner, GroupChangeReason.GONE)
    return None


def _find_candidates(members: Members, states: MemberStates) -> list[Member]:
    """Return the learners that may become voters."""
    return [m for m in members.learners if states.may_vote(m)]


def _promote(
    members: Members, learner: Member, reason: GroupChangeReason
) -> GroupChange:
    voters = (*members.voters, learner)
    learners = _without(members.learners, learner)
    return GroupChange(Members(voters, learners), learner, reason)


def _demote(
    members: Members, voter: Member, reason: GroupChangeReason
) -> GroupChange:
    # The newest learner of a host is the member of its newest disk.
    learners = (voter, *members.learners)
    voters = _without(members.voters, voter)
    return GroupChange(Members(voters, learners), voter, reason)


def _remove_learner(
    members: Members, learner: Member, reason: GroupChangeReason
) -> GroupChange:
    learners = _without(members.learners, learner)
    return GroupChange(Members(members.voters, learners), learner, reason)


def _without(members: tuple[Member, ...], member: Member) -> tuple:
    return tuple(m for m in members if m != member)
