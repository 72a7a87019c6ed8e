"""The items that an entry received from its hub."""

from support.fakes import ControllerBed

from wasabitray_core.controllers.received_items import (
    MIN_REVIEWED_ITEMS,
    ReceivedItems,
)
from wasabitray_core.controllers.subscriber import (
    EntryProfile,
    SubscriberController,
)
from wasabitray_core.local_messages import SeedsChanged
from wasabitray_core.messages import Feed, TargetReport
from wasabitray_core.states import ReportKind


def make_report(number, duration_s=12.0):
    return TargetReport(f"i-{number}", 1, duration_s, ReportKind.BROKEN)


def test_item_is_known_until_a_newer_one_replaces_it():
    items = ReceivedItems()
    older, newer = make_report(1), make_report(1, 13.0)
    items.add(older, 0.0)
    assert older in items and newer not in items
    items.add(newer, 1.0)
    assert newer in items and older not in items
    items.clear()
    assert newer not in items and not len(items)


def test_items_that_have_not_expired_are_kept():
    items = ReceivedItems()
    reports = [make_report(n) for n in range(4 * MIN_REVIEWED_ITEMS)]
    for report in reports:
        items.add(report, 0.0)
    assert all(report in items for report in reports)


# Guards against memory that grows with each broken connection of the fleet.
def test_entry_forgets_expired_items_of_its_hub():
    profile = EntryProfile("south", "hobart", "10.0.0.9:80")
    bed = ControllerBed(SubscriberController, profile, 100)
    bed.tell(SeedsChanged(("c1",)))
    for number in range(20):
        reports = tuple(make_report(f"{number}-{n}") for n in range(200))
        feed = Feed("c1", "r", number, number + 1, 0, True, 4, reports=reports)
        bed.receive("c1", feed)
        bed.clock.advance(13.0)
    assert len(bed.controller._received_items) <= 2 * MIN_REVIEWED_ITEMS
