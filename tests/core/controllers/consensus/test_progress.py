"""Steps of bringing a learner into the group."""

from wasabitray_core.controllers.consensus.progress import (
    next_members,
    quorum_match,
)
from wasabitray_core.messages import Member, Members

OLD = Member("c1.0", "c1")
NEW = Member("c1.x", "c1")
OTHER = Member("c2.0", "c2")
THIRD = Member("c3.0", "c3")


def test_learner_waits_until_it_has_caught_up():
    members = Members((OLD, OTHER, THIRD), (NEW,))
    assert next_members(members, set()) is None


def test_old_voter_goes_before_the_learner_is_made_one():
    first = next_members(Members((OLD, OTHER, THIRD), (NEW,)), {"c1.x"})
    assert first == Members((OTHER, THIRD), (NEW,))
    assert next_members(first, {"c1.x"}) == Members((OTHER, THIRD, NEW))


def test_quorum_match_is_held_by_a_majority():
    members = Members((OLD, OTHER, THIRD))
    assert quorum_match(members, {"c1.0": 9, "c2.0": 5}) == 5


def group(*names, learners=()):
    return Members(
        tuple(Member(f"{n}.0", n) for n in names),
        tuple(Member(f"{n}.0", n) for n in learners),
    )


def test_full_group_keeps_a_learner_waiting():
    members = group("c1", "c2", "c3", "c4", "c5", learners=("c6",))
    assert next_members(members, {"c6.0"}) is None


def test_learner_takes_the_place_of_a_silent_voter():
    members = group("c1", "c2", "c3", "c4", "c5", learners=("c6",))
    first = next_members(members, {"c6.0"}, frozenset({"c2.0"}))
    assert first == group("c1", "c3", "c4", "c5", learners=("c6",))
    assert next_members(first, {"c6.0"}) == group("c1", "c3", "c4", "c5", "c6")


def test_silent_learner_replaces_nobody():
    members = group("c1", "c2", "c3", "c4", "c5", learners=("c6",))
    silent = frozenset({"c2.0", "c6.0"})
    assert next_members(members, {"c6.0"}, silent) is None
