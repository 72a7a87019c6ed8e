"""Which membership change is due next."""

import pytest

from wasabitray_core.controllers.consensus.group import (
    GroupSize,
    MemberStates,
    plan_change,
)
from wasabitray_core.messages import Member, Members

OLD = Member("c1.0", "c1")
NEW = Member("c1.x", "c1")
OTHER = Member("c2.0", "c2")
THIRD = Member("c3.0", "c3")


def make_group(*names, learners=()):
    return Members(
        tuple(Member(f"{n}.0", n) for n in names),
        tuple(Member(f"{n}.0", n) for n in learners),
    )


def plan(members, tolerated_losses=1, **states):
    """Return the next group; states name hosts or members."""
    named = {
        state: frozenset(m if "." in m else f"{m}.0" for m in names)
        for state, names in states.items()
    }
    change = plan_change(
        members, MemberStates(**named), GroupSize(tolerated_losses)
    )
    return change and change.members


def plan_all(members, tolerated_losses=1, **states):
    """Return the group after all changes that are due."""
    for _ in range(50):
        following = plan(members, tolerated_losses, **states)
        if following is None:
            return members
        members = following
    raise AssertionError("the group changes without end")


def test_learner_waits_until_it_has_caught_up():
    assert plan(Members((OLD, OTHER, THIRD), (NEW,))) is None


def test_old_voter_is_removed_before_the_learner_becomes_one():
    first = plan(Members((OLD, OTHER, THIRD), (NEW,)), ready=["c1.x"])
    assert first == Members((OTHER, THIRD), (NEW,))
    assert plan(first, ready=["c1.x"]) == Members((OTHER, THIRD, NEW))


def test_new_disk_takes_the_place_of_a_silent_one():
    rest = tuple(Member(f"c{n}.0", f"c{n}") for n in range(2, 6))
    members = Members((OLD, *rest), (NEW,))
    assert plan_all(members, ready=["c1.x"], silent=["c1"]) == Members(
        (*rest, NEW)
    )


def test_new_disk_takes_the_place_of_one_that_lost_its_vote():
    rest = tuple(Member(f"c{n}.0", f"c{n}") for n in range(2, 6))
    members = Members(rest, (OLD, NEW))
    assert plan_all(members, ready=["c1.x"], silent=["c1"]) == Members(
        (*rest, NEW)
    )


def test_learner_is_not_promoted_while_the_group_is_full():
    members = make_group("c1", "c2", "c3", "c4", "c5", learners=("c6", "c7"))
    assert plan(members, ready=["c6", "c7"]) is None


def test_learner_replaces_a_silent_voter():
    members = make_group("c1", "c2", "c3", "c4", "c5", learners=("c6",))
    first = plan(members, ready=["c6"], silent=["c2"])
    assert first == make_group("c1", "c3", "c4", "c5", learners=("c2", "c6"))
    assert plan(first, ready=["c6"], silent=["c2"]) == make_group(
        "c1", "c3", "c4", "c5", "c6", learners=("c2",)
    )


def test_learner_replaces_a_voter_that_is_leaving():
    members = make_group("c1", "c2", "c3", "c4", "c5", learners=("c6",))
    assert plan_all(members, ready=["c2", "c6"], leaving=["c2"]) == make_group(
        "c1", "c3", "c4", "c5", "c6", learners=("c2",)
    )


def test_silent_learner_replaces_no_voter():
    members = make_group("c1", "c2", "c3", "c4", "c5", learners=("c6",))
    assert plan(members, ready=["c6"], silent=["c2", "c6"]) is None


def test_silent_learner_does_not_become_a_voter():
    members = make_group("c1", "c2", learners=("c3",))
    assert plan(members, ready=["c3"], silent=["c3"]) is None


def test_voter_that_was_silent_votes_again():
    members = make_group("c1", "c3", "c4", "c5", learners=("c2",))
    assert plan(members, ready=["c2"]) == make_group(
        "c1", "c3", "c4", "c5", "c2"
    )


def test_silent_voter_leaves_a_group_of_an_even_number():
    members = make_group("c1", "c2", "c3", "c4")
    assert plan(members, silent=["c1"]) == make_group(
        "c2", "c3", "c4", learners=("c1",)
    )
    assert plan(members) is None


def test_silent_voter_stays_in_a_group_of_an_odd_number():
    for names in (("c1", "c2", "c3"), ("c1", "c2", "c3", "c4", "c5")):
        assert plan(make_group(*names), silent=["c1"]) is None


# Guards against a group that leaves out the sound half of a split.
def test_two_silent_voters_stay_in_a_group_without_learners():
    members = make_group("c1", "c2", "c3", "c4", "c5")
    assert plan(members, silent=["c1", "c2"]) is None


def test_two_voters_that_are_leaving_do_so_without_learners():
    members = make_group("c1", "c2", "c3", "c4", "c5")
    leaving = ["c1", "c2"]
    assert plan_all(members, leaving=leaving) == make_group(
        "c3", "c4", "c5", learners=("c2", "c1")
    )
    assert plan(members, tolerated_losses=2, leaving=leaving) is None


def test_smallest_group_grows_before_a_silent_voter_leaves_it():
    members = make_group("c1", "c2", "c3", learners=("c4",))
    first = plan(members, ready=["c4"], silent=["c1"])
    assert first == make_group("c1", "c2", "c3", "c4")
    assert plan(first, ready=["c4"], silent=["c1"]) == make_group(
        "c2", "c3", "c4", learners=("c1",)
    )


def test_group_grows_by_two_learners_or_to_an_odd_number():
    three = make_group("c1", "c2", "c3", learners=("c4", "c5"))
    assert plan(three, ready=["c4"]) is None
    assert plan_all(three, ready=["c4", "c5"]) == make_group(
        "c1", "c2", "c3", "c4", "c5"
    )


def test_learner_that_is_gone_is_forgotten():
    members = make_group("c1", "c2", "c3", learners=("c4", "c5"))
    assert plan(members, gone=["c4"], silent=["c4"]) == make_group(
        "c1", "c2", "c3", learners=("c5",)
    )


@pytest.mark.parametrize("tolerated_losses", (1, 2))
@pytest.mark.parametrize("voters", range(1, 10))
@pytest.mark.parametrize("learners", range(4))
@pytest.mark.parametrize("state", ("silent", "leaving"))
def test_each_change_is_committed_without_the_voters_that_are_lost(
    tolerated_losses, voters, learners, state
):
    names = [f"c{n}" for n in range(voters)]
    standby = [f"l{n}" for n in range(learners)]
    for count in range((voters + 1) // 2):
        lost, rest = names[:count], names[count:]
        ready = [*standby, *(rest if state == "silent" else names)]
        members = make_group(*names, learners=standby)
        borne = count_borne_losses(members, lost)
        while following := plan(
            members, tolerated_losses, ready=ready, **{state: lost}
        ):
            members = following
            assert count_borne_losses(members, lost) >= 0
        assert count_borne_losses(members, lost) >= borne
        size = GroupSize(tolerated_losses)
        if voters >= size.smallest:
            assert len(members.voters) >= size.smallest
        if state == "silent":
            is_planned_size = size.smallest <= voters <= size.largest
            replaced = min(count, learners) if is_planned_size else 0
            assert count_borne_losses(members, lost) >= borne + replaced
            continue
        most = min(len(rest) + len(standby), size.largest)
        if most >= size.smallest:
            assert count_borne_losses(members, lost) >= (most - 1) // 2


def count_borne_losses(members, lost):
    """Return how many more voters the group may lose; negative if none."""
    count = len(members.voters)
    return sum(v.host not in lost for v in members.voters) - count // 2 - 1
