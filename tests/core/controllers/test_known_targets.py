"""The index of known targets by service and address."""

from msgspec.structs import replace

from wasabitray_core.controllers.known_targets import (
    EXPIRE_AFTER_LEASES,
    WARM_UP_S,
    KnownTarget,
    KnownTargets,
)
from wasabitray_core.messages import Announcement
from wasabitray_core.states import TargetPhase

ANNOUNCEMENT = Announcement(
    "t1", "rota", "south", "south-a", 2, 1, 1, TargetPhase.ACTIVE, 0.0, "a:1"
)


def make_known(**fields):
    return KnownTarget(replace(ANNOUNCEMENT, **fields), 0.0, 0.0)


def get_names(targets, service):
    return [known.target for known in targets.get_service_targets(service)]


def test_target_that_changes_its_service_is_listed_once():
    targets = KnownTargets()
    targets.put(make_known())
    assert targets.put(make_known(service="desk")) == {"rota", "desk"}
    assert get_names(targets, "rota") == []
    assert get_names(targets, "desk") == ["t1"]
    assert targets.get_services() == {"desk"}


def test_address_belongs_to_the_newest_generation():
    targets = KnownTargets()
    targets.put(make_known())
    newer = make_known(target="t2", service="desk", generation=2)
    assert targets.put(newer) == {"rota", "desk"}
    assert targets.is_replaced(ANNOUNCEMENT)
    assert not targets.is_replaced(newer.announcement)
    assert targets.remove("t2") == {"rota", "desk"}
    assert not targets.is_replaced(ANNOUNCEMENT)


def test_targets_without_an_address_replace_nobody():
    targets = KnownTargets()
    targets.put(make_known(address=""))
    targets.put(make_known(target="t2", address="", generation=2))
    assert not targets.is_replaced(make_known(address="").announcement)


def test_next_change_is_the_end_of_the_warm_up_the_lease_or_the_record():
    assert make_known().find_next_change(1.0) == WARM_UP_S
    assert make_known().find_next_change(WARM_UP_S) == float("inf")
    leased = make_known(lease_s=3.0)
    assert leased.find_next_change(1.0) == 3.0
    assert leased.find_next_change(20.0) == 3.0 * EXPIRE_AFTER_LEASES
