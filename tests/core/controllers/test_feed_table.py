"""Reading a feed in parts."""

import random
import sys

import pytest

from wasabitray_core.controllers.feed_table import FeedTable, get_subject
from wasabitray_core.messages import FeedMark, Quarantine, TargetReport
from wasabitray_core.states import ReportKind


@pytest.fixture
def table():
    """Return a feed of 20 items; every third one came from e1."""
    table = FeedTable("c1", "run-1")
    for number in range(20):
        sender = "e1" if number % 3 == 0 else "e2"
        table.put(Quarantine(f"r-{number}", ("i-1",)), sender, 0.0)
    return table


def read_in_parts(table, reader, now, limit):
    """Return the subjects in the order in which they are read."""
    position, subjects = 0, []
    while position < table.position:
        items, reached = table.get_items_after(position, reader, now, limit)
        assert len(items) <= limit
        assert reached > position
        subjects += [item.fingerprint for item in items]
        position = reached
    return subjects


@pytest.mark.parametrize("limit", [1, 3, 7, 100])
def test_parts_have_every_item_of_other_senders_once_and_in_order(
    table, limit
):
    expected = [f"r-{n}" for n in range(20) if n % 3]
    assert read_in_parts(table, "e1", 1.0, limit) == expected


def test_item_that_changes_meanwhile_is_read_again(table):
    items, reached = table.get_items_after(0, "e9", 1.0, 5)
    table.put(Quarantine("r-0", ("i-1", "i-2")), "e1", 1.0)
    rest, reached = table.get_items_after(reached, "e9", 1.0, 100)
    assert len(items) + len(rest) == 21
    assert rest[-1].targets == ("i-1", "i-2")
    assert reached == table.position


def test_reader_without_a_window_gets_nothing_and_stays(table):
    assert table.get_items_after(4, "e9", 1.0, 0) == ([], 4)
    assert table.get_items_after(20, "e9", 1.0, 0) == ([], 20)


def test_expired_items_are_passed_over():
    table = FeedTable("c1", "run-1")
    table.put(TargetReport("i-1", 1, 12.0, ReportKind.BROKEN), "e1", 0.0)
    table.put(Quarantine("r", ("i-1",)), "e1", 0.0)
    items, reached = table.get_items_after(0, "e9", 13.0, 1)
    assert [type(item) for item in items] == [Quarantine]
    assert reached == 2


def test_forwarded_feed_has_items_that_came_from_elsewhere_before():
    table = FeedTable("c1", "run-1")
    record = Quarantine("r-1", ("i-1",))
    table.put(record, "e1", 0.0)
    table.put(record, "c2", 0.0, FeedMark("c2", "run-2", 5))
    items = table.get_items_after_mark(FeedMark("c2", "run-2", 4), 1.0)
    assert items == [record]
    assert not table.get_items_after_mark(FeedMark("c2", "run-2", 5), 1.0)


def test_forwarded_feed_has_the_newer_item_that_came_from_elsewhere():
    table = FeedTable("c1", "run-1")
    older = TargetReport("i-1", 1, 12.0, ReportKind.BROKEN)
    newer = TargetReport("i-1", 2, 12.0, ReportKind.BROKEN)
    table.put(older, "c2", 0.0, FeedMark("c2", "run-2", 5))
    table.put(newer, "c3", 0.0, FeedMark("c3", "run-3", 7))
    items = table.get_items_after_mark(FeedMark("c2", "run-2", 4), 0.0)
    assert items == [newer]


def fill_table(rng):
    """Return a feed of cool-downs, some expired, from several entries."""
    table = FeedTable("c1", "run-1")
    for number in range(rng.randrange(40)):
        report = TargetReport(
            f"t-{rng.randrange(20)}",
            number,
            rng.choice([0.0, 1.0, 12.0]),
            ReportKind.BROKEN,
        )
        table.put(report, f"e{rng.randrange(6)}", rng.uniform(0.0, 10.0))
    return table


@pytest.mark.parametrize("seed", range(50))
def test_shared_part_is_what_each_reader_gets_alone(seed):
    rng = random.Random(seed)
    table = fill_table(rng)
    for position in range(table.position + 1):
        limit = rng.choice([1, 10, 100])
        part = table.get_part_after(position, 10.0, limit)
        for reader in ("e0", "e1", "e9"):
            items, reached = table.get_items_after(
                position, reader, 10.0, limit
            )
            if part is None:
                assert len(items) == limit or reader != "e9"
            elif reader not in part.senders:
                assert (part.items, part.reached) == (items, reached)
            else:
                assert len(items) < len(part.items)


@pytest.mark.parametrize("seed", range(50))
def test_no_item_that_entered_the_fleet_here_is_beyond_the_own_position(seed):
    rng = random.Random(seed)
    table = FeedTable("c1", "run-1")
    for number in range(60):
        report = TargetReport(
            f"t-{rng.randrange(20)}", number, 12.0, ReportKind.BROKEN
        )
        mark = FeedMark("c2", rng.choice(["old", "new"]), number)
        table.put(report, "e1", 0.0, rng.choice([None, mark]))
        if rng.random() < 0.1 and table.find(TargetReport, "t-3"):
            table.republish(TargetReport, "t-3")
        if rng.random() < 0.1:
            table.adopt("c2", "new")
        mark = FeedMark("c1", "run-1", table.own_position)
        assert table.get_items_after_mark(mark, 1.0) == []
        if table.own_position:
            before = FeedMark("c1", "run-1", table.own_position - 1)
            newest = table.get_items_after_mark(before, 1.0)
            assert newest or table.own_position < table.position


def put_random_items(rng, table, count):
    """Put reports and crashes into a table; move and expire some."""
    for number in range(count):
        name = f"n-{rng.randrange(20)}"
        report = TargetReport(name, number, 12.0, ReportKind.BROKEN)
        crash = Quarantine(name, (f"i-{number}",))
        now = number / 2
        table.put(rng.choice([report, crash]), "e1", now)
        if table.find(TargetReport, "n-3"):
            table.republish(TargetReport, "n-3")
        if rng.random() < 0.2:
            table.expire(now)


@pytest.mark.parametrize("seed", range(20))
def test_items_of_a_kind_are_those_in_the_table_in_its_order(seed):
    table = FeedTable("c1", "run-1")
    put_random_items(random.Random(seed), table, 80)
    items, _ = table.get_items_after(0, "e9", 0.0, 1_000)
    for kind in (TargetReport, Quarantine):
        found = [get_subject(i) for i in table.get_items_of_kind(kind)]
        listed = [get_subject(i) for i in items if isinstance(i, kind)]
        assert found == listed


# Guards against a look at all items each time that entries are published.
def test_items_of_a_kind_cost_the_same_beside_more_of_another():
    def count_lines(crashes):
        table, count = FeedTable("c1", "run-1"), 0
        for number in range(crashes):
            table.put(Quarantine(f"r-{number}", ("i-1",)), "e1", 0.0)

        def trace(frame, event, arg):
            nonlocal count
            count += event == "line"
            return trace

        sys.settrace(trace)
        try:
            table.get_items_of_kind(TargetReport)
        finally:
            sys.settrace(None)
        return count

    assert count_lines(500) == count_lines(5)
