"""What hosts know together of a request that crashed targets."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from wasabitray_core.controllers.crashes import (
    add_crash,
    clear_crashes,
    find_new_crashes,
    is_quarantined,
    merge_records,
)
from wasabitray_core.controllers.feed_table import FeedTable
from wasabitray_core.messages import Quarantine

RECORDS = st.builds(
    lambda targets, *counts: Quarantine("f", tuple(sorted(targets)), *counts),
    st.lists(st.sampled_from(("t1", "t2", "t3")), max_size=5),
    st.integers(0, 2),
    st.integers(0, 2),
    st.integers(0, 2),
)


@given(RECORDS, RECORDS, RECORDS)
def test_order_and_repetition_of_merges_do_not_matter(a, b, c):
    assert merge_records(a, b) == merge_records(b, a)
    assert merge_records(a, merge_records(b, c)) == merge_records(
        merge_records(a, b), c
    )
    merged = merge_records(a, b)
    assert merge_records(merged, a) == merged


@given(RECORDS, st.sampled_from(("t1", "t4")))
def test_own_crash_or_response_is_never_lost_in_a_merge(record, target):
    crashed = add_crash(record, target)
    assert merge_records(record, crashed) == crashed
    cleared = clear_crashes(record)
    assert merge_records(crashed, cleared) == cleared
    assert not is_quarantined(cleared)


def test_hub_passes_on_the_crashes_that_all_entries_reported():
    table = FeedTable("c1", "run-1")
    table.put(Quarantine("f", ("t1", "t2")), "e1", 0.0)
    record = table.put(Quarantine("f", ("t3",)), "e2", 0.1)
    assert record.item.targets == ("t1", "t2", "t3")
    items, _ = table.get_items_after(0, "e2", 0.2, 10)
    assert record.item in items
    assert table.put(Quarantine("f", ("t2",)), "e3", 0.3) is None


@given(RECORDS, RECORDS)
def test_merge_has_the_larger_count_of_each_targets_crashes(known, other):
    merged = merge_records(known, other)
    newest = max(known.epoch, other.epoch)
    counts = [Counter(r.targets) for r in (known, other) if r.epoch == newest]
    union = counts[0] | counts[-1]
    assert merged.targets == tuple(sorted(union.elements()))


@given(RECORDS, RECORDS)
def test_new_crashes_are_those_beyond_the_known_count(record, known):
    same = record.epoch == known.epoch
    counted = Counter(known.targets) if same else Counter()
    expected = Counter(record.targets) - counted
    assert find_new_crashes(record, known) == set(expected)
