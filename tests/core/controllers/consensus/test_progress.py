"""Membership changes that turn a learner into a voter."""

from wasabitray_core.controllers.consensus.progress import (
    find_next_members,
    get_quorum_index,
)
from wasabitray_core.messages import Member, Members

OLD = Member("c1.0", "c1")
NEW = Member("c1.x", "c1")
OTHER = Member("c2.0", "c2")
THIRD = Member("c3.0", "c3")


def test_learner_waits_until_it_has_caught_up():
    members = Members((OLD, OTHER, THIRD), (NEW,))
    assert find_next_members(members, set()) is None


def test_old_voter_is_removed_before_the_learner_becomes_one():
    first = find_next_members(Members((OLD, OTHER, THIRD), (NEW,)), {"c1.x"})
    assert first == Members((OTHER, THIRD), (NEW,))
    assert find_next_members(first, {"c1.x"}) == Members((OTHER, THIRD, NEW))


def test_quorum_index_is_held_by_a_majority():
    members = Members((OLD, OTHER, THIRD))
    assert get_quorum_index(members, {"c1.0": 9, "c2.0": 5}) == 5


def make_group(*names, learners=()):
    return Members(
        tuple(Member(f"{n}.0", n) for n in names),
        tuple(Member(f"{n}.0", n) for n in learners),
    )


def test_learner_is_not_promoted_while_the_group_is_full():
    members = make_group("c1", "c2", "c3", "c4", "c5", learners=("c6",))
    assert find_next_members(members, {"c6.0"}) is None


def test_learner_replaces_an_unresponsive_voter():
    members = make_group("c1", "c2", "c3", "c4", "c5", learners=("c6",))
    first = find_next_members(members, {"c6.0"}, frozenset({"c2.0"}))
    assert first == make_group("c1", "c3", "c4", "c5", learners=("c6",))
    assert find_next_members(first, {"c6.0"}) == make_group(
        "c1", "c3", "c4", "c5", "c6"
    )


def test_unresponsive_learner_replaces_no_voter():
    members = make_group("c1", "c2", "c3", "c4", "c5", learners=("c6",))
    unresponsive = frozenset({"c2.0", "c6.0"})
    assert find_next_members(members, {"c6.0"}, unresponsive) is None


def test_unresponsive_learner_does_not_become_a_voter():
    members = make_group("c1", "c2", "c3", learners=("c4",))
    unresponsive = frozenset({"c4.0"})
    assert find_next_members(members, {"c4.0"}, unresponsive) is None


def test_unresponsive_voter_leaves_a_group_of_an_even_number():
    members = make_group("c1", "c2", "c3", "c4")
    silent = frozenset({"c1.0"})
    assert find_next_members(members, set(), silent) == make_group(
        "c2", "c3", "c4"
    )
    assert find_next_members(members, set()) is None


def test_unresponsive_voter_stays_in_a_group_of_an_odd_number():
    members = make_group("c1", "c2", "c3")
    assert find_next_members(members, set(), frozenset({"c1.0"})) is None


def test_group_grows_before_an_unresponsive_voter_leaves_it():
    members = make_group("c1", "c2", "c3", learners=("c4",))
    silent = frozenset({"c1.0"})
    first = find_next_members(members, {"c4.0"}, silent)
    assert first == make_group("c1", "c2", "c3", "c4")
    assert find_next_members(first, {"c4.0"}, silent) == make_group(
        "c2", "c3", "c4"
    )
