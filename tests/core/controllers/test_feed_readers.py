"""How much of a feed is sent to a reader, and when it is sent again."""

from wasabitray_core.controllers.feed_readers import (
    FEED_START,
    RESEND_AFTER_S,
    WINDOW_ITEMS,
    FeedReader,
)


def make_reader(*sent):
    """Return a reader to which messages were sent, at 0 s."""
    reader = FeedReader(FEED_START, FEED_START, 0.0)
    for position, count in sent:
        reader.record_sent(position, count, 0.0)
    return reader


def test_window_opens_again_as_items_are_acknowledged():
    reader = make_reader((300, 300), (WINDOW_ITEMS, WINDOW_ITEMS - 300))
    assert reader.window == 0
    reader.record_read(300, 0.1)
    assert reader.window == 300
    reader.record_read(WINDOW_ITEMS, 0.2)
    assert reader.window == WINDOW_ITEMS


def test_reader_without_progress_gets_the_items_again_ever_more_rarely():
    reader = make_reader((10, 10))
    resent_at = []
    for step in range(1, 60):
        reader.record_read(FEED_START, step * 0.1)
        if reader.sent == FEED_START:
            resent_at.append(step * 0.1)
            reader.record_sent(10, 10, step * 0.1)
    gaps = [b - a for a, b in zip(resent_at, resent_at[1:], strict=False)]
    assert resent_at[0] > RESEND_AFTER_S
    assert all(b > 1.5 * a for a, b in zip(gaps, gaps[1:], strict=False))


def test_reader_that_makes_progress_again_gets_lost_items_soon():
    reader = make_reader((10, 10))
    reader.record_read(FEED_START, 1.0)
    reader.record_sent(10, 10, 1.0)
    reader.record_read(10, 1.1)
    reader.record_sent(20, 10, 2.0)
    reader.record_read(10, 2.0 + RESEND_AFTER_S + 0.01)
    assert reader.sent == 10
    assert reader.window == WINDOW_ITEMS


def test_item_lost_after_a_quiet_time_is_sent_again_soon():
    reader = make_reader((10, 10))
    for half_second in range(1, 40):
        reader.record_read(10, half_second * 0.5)
    reader.record_sent(11, 1, 20.0)
    reader.record_read(10, 20.0 + RESEND_AFTER_S + 0.01)
    assert reader.sent == 10


def test_restarted_reader_gets_the_feed_at_once():
    reader = make_reader((10, 10))
    reader.record_read(10, 0.1)
    reader.record_sent(20, 10, 0.1)
    reader.record_read(FEED_START, 0.2)
    assert reader.sent == FEED_START
    assert reader.window == WINDOW_ITEMS
