"""Which target gets a request."""

import random
from collections import Counter

import pytest

from wasabitray_core.placement import (
    Basis,
    PlacementRequest,
    TargetState,
    choose_target,
    find_early_readmissions,
)
from wasabitray_core.requests import Target

NOW = 1_000.0


def states(near=4, far=4, slots=2, **fields):
    names = [("south", n) for n in range(near)]
    names += [("north", n) for n in range(far)]
    return {
        f"{region}-{n}": TargetState(
            Target(f"{region}-{n}", "s", region, f"{region}-a", slots),
            False,
            NOW,
            **fields,
        )
        for region, n in names
    }


def play(targets, count=1_000, **need):
    """Return how often each target is chosen, none being kept busy."""
    source = random.Random(1)
    chosen = Counter()
    for _ in range(count):
        choice = choose_target(
            targets, PlacementRequest("south", **need), NOW, source
        )
        chosen[choice.state.target.target if choice else None] += 1
    return chosen


def share(chosen, prefix):
    found = sum(n for name, n in chosen.items() if name.startswith(prefix))
    return found / sum(chosen.values())


def test_own_region_carries_its_load():
    assert share(play(states(), region_demand=4.0), "south") == 1.0


def test_what_the_own_region_cannot_carry_goes_elsewhere():
    chosen = play(states(), region_demand=12.0, demand=12.0)
    # 8 of 12 fit, and a part of what overflows comes back here.
    assert 0.6 < share(chosen, "south") < 0.95


def informed(targets, **others):
    """Let every target's other work be known."""
    for name, state in targets.items():
        region = name.partition("-")[0]
        state.others_attempts = others.get(region, 0)
        state.others_received_at = NOW
    return targets


def test_known_work_keeps_requests_in_the_region_while_the_wait_is_short():
    targets = informed(states(), south=2, north=0)
    assert share(play(targets, region_demand=99.0), "south") == 1.0
    targets = informed(states(), south=4, north=0)
    assert share(play(targets), "south") == 0.0


def test_known_work_is_levelled():
    targets = informed(states(far=0), south=1)
    targets["south-2"].others_attempts = 0
    assert set(play(targets)) == {"south-2"}


def test_large_bodies_wait_rather_than_cross():
    targets = informed(states(), south=4, north=0)
    assert share(play(targets, large=True), "south") == 1.0


def test_large_bodies_stay_in_the_region():
    chosen = play(states(), region_demand=40.0, large=True)
    assert share(chosen, "south") == 1.0


def test_cooling_target_gets_nothing_while_the_others_can_carry_the_load():
    targets = states(near=4, far=0)
    targets["south-0"].cooling_until = NOW + 5
    chosen = play(targets, demand=5.0, region_demand=5.0)
    assert "south-0" not in chosen


@pytest.mark.parametrize(
    ("demand", "least", "most"), [(20, 0.2, 0.3), (30, 0.45, 0.55)]
)
def test_cooling_target_gets_what_the_others_lack(demand, least, most):
    targets = states(near=4, far=0)
    targets["south-0"].cooling_until = NOW + 5
    chosen = play(targets, demand=demand, region_demand=demand)
    assert least < share(chosen, "south-0") < most


def test_when_all_are_cooling_the_longest_cooling_is_used():
    targets = states(near=3, far=0)
    for number, state in enumerate(targets.values()):
        state.cooling_until = NOW + 5 - number
    choice = choose_target(
        targets, PlacementRequest("south"), NOW, random.Random(1)
    )
    assert choice.state.target.target == "south-2"
    assert choice.basis is Basis.NEEDED


def test_tried_target_is_not_chosen_again():
    targets = states(near=2, far=0)
    assert set(play(targets, excluded=("south-0",))) == {"south-1"}


def test_without_room_nothing_is_chosen():
    assert set(play(states(near=2, far=1, busy=2), count=5)) == {None}


def test_unreachable_target_is_used_only_without_another():
    targets = states(near=2, far=0)
    targets["south-0"].avoid_until = NOW + 1
    assert set(play(targets)) == {"south-1"}
    targets["south-1"].busy = 2
    assert set(play(targets, count=5)) == {"south-0"}


def cooling(count, of, failed_ago):
    """Return targets of which some cool down, the first the longest."""
    targets = states(near=of, far=0)
    for number, state in enumerate(list(targets.values())[:count]):
        state.failed_at = NOW - failed_ago + 0.1 * number
        state.cooling_until = NOW + 12.0
        state.recovering = True
    return targets


def surplus(targets, lost_share=0.2):
    found = find_early_readmissions(targets.values(), lost_share, NOW)
    return [s.target.target for s in found]


def test_targets_that_failed_longest_ago_return_first():
    targets = cooling(6, of=20, failed_ago=5.0)
    assert surplus(targets) == ["south-0", "south-1"]


def test_nothing_returns_early_while_the_other_targets_serve_well():
    targets = cooling(15, of=20, failed_ago=5.0)
    assert surplus(targets, lost_share=0.05) == []


def test_recent_failures_keep_targets_out_whatever_their_number():
    assert surplus(cooling(20, of=20, failed_ago=1.0)) == []


def test_small_service_keeps_no_sound_target_out():
    assert surplus(cooling(1, of=3, failed_ago=5.0)) == ["south-0"]


def test_unreachable_targets_leave_less_room_for_cool_downs():
    targets = cooling(4, of=20, failed_ago=5.0)
    assert surplus(targets) == []
    for state in list(targets.values())[10:]:
        state.avoid_until = NOW + 1.0
    assert surplus(targets) == ["south-0", "south-1"]


def test_readmitted_target_is_tried_with_repeatable_work_first():
    targets = cooling(1, of=4, failed_ago=5.0)
    targets["south-0"].cooling_until = NOW
    assert set(play(targets, count=50, trial=True)) == {"south-0"}
    targets["south-0"].busy = 1
    assert "south-0" not in play(targets, count=50, trial=True)
