"""The index that a majority of the voters holds."""

from wasabitray_core.controllers.consensus.progress import get_quorum_index
from wasabitray_core.messages import Member, Members


def test_quorum_index_is_held_by_a_majority():
    members = Members(
        (Member("c1.0", "c1"), Member("c2.0", "c2"), Member("c3.0", "c3"))
    )
    assert get_quorum_index(members, {"c1.0": 9, "c2.0": 5}) == 5
