"""A hub's feed, its entries and the leaves it acknowledges."""

from dataclasses import replace

from support.fakes import Bed

from wasabitray_core.controllers.hub import (
    ENTRY_TIMEOUT_S,
    HubController,
)
from wasabitray_core.local_messages import (
    Deregister,
    EntriesView,
    GroupContact,
    InFlightSubscribers,
    Register,
)
from wasabitray_core.messages import (
    Announcement,
    EntryState,
    Feed,
    FeedMark,
    HostAddress,
    News,
    Presence,
    TargetReport,
)
from wasabitray_core.states import HostFlag, ReportKind, TargetPhase

WORD = Announcement(
    "i-1", "rota", "south", "hobart", 2, 5, 1, TargetPhase.ACTIVE, 0.0, "a:1"
)
COOL_DOWN = TargetReport("i-1", 1, 12.0, ReportKind.BROKEN)


def hub_bed(*voters):
    address = HostAddress("c1", "127.0.0.1:1", "south")
    bed = Bed(HubController, address, "run-1", 100, host="c1")
    bed.tell(GroupContact(True, "c1", voters or ("c1",)))
    return bed


def presence(counter=1, marks=(), flags=HostFlag.SERVING):
    return Presence(counter, 0, flags, "south", "hobart", "10.0.0.1:80", marks)


def hub_presence(counter=1, marks=()):
    return presence(counter, marks, HostFlag.CONTROL)


def feeds_to(bed, host):
    return [m for h, m in bed.outbox.sent if h == host and isinstance(m, Feed)]


def test_new_entry_gets_all_there_is():
    bed = hub_bed()
    assert bed.ask(Register(WORD)) is True
    bed.receive("e1", presence())
    assert feeds_to(bed, "e1")[0].announcements == (WORD,)


def test_heartbeat_of_a_target_is_not_spread():
    bed = hub_bed()
    bed.receive("e1", presence())
    bed.ask(Register(WORD))
    before = len(feeds_to(bed, "e1"))
    assert bed.ask(Register(replace(WORD, sequence=2))) is True
    assert len(feeds_to(bed, "e1")) == before


def test_late_word_of_an_earlier_run_undoes_nothing():
    bed = hub_bed()
    bed.ask(Register(replace(WORD, generation=6)))
    bed.ask(Register(WORD))
    held = bed.controller.table.find(Announcement, "i-1").item
    assert held.generation == 6


def test_target_that_left_stays_gone_within_its_run():
    bed = hub_bed()
    bed.ask(Register(WORD))
    assert bed.ask(Deregister("i-1", None)) is True
    bed.ask(Register(replace(WORD, sequence=9)))
    held = bed.controller.table.find(Announcement, "i-1").item
    assert held.phase is TargetPhase.LEAVING
    bed.ask(Register(replace(WORD, generation=6, sequence=1)))
    held = bed.controller.table.find(Announcement, "i-1").item
    assert held.phase is TargetPhase.ACTIVE


def test_leave_waits_until_a_majority_of_hubs_holds_it():
    bed = hub_bed("c1", "c2", "c3")
    for host in ("c2", "c3"):
        bed.receive(host, hub_presence())
    bed.ask(Register(WORD))
    leave = bed.start_ask(Register(replace(WORD, phase=TargetPhase.LEAVING)))
    assert leave not in bed.outbox.replies
    position = bed.controller.table.position
    mark = FeedMark("c1", "run-1", position)
    bed.receive("c2", hub_presence(2, (mark,)))
    assert bed.outbox.replies[leave] is True


def test_mark_of_an_earlier_run_confirms_nothing():
    bed = hub_bed("c1", "c2", "c3")
    bed.receive("c2", hub_presence())
    leave = bed.start_ask(Register(replace(WORD, phase=TargetPhase.LEAVING)))
    bed.receive("c2", hub_presence(2, (FeedMark("c1", "run-0", 99),)))
    assert leave not in bed.outbox.replies


def test_resent_leave_that_came_from_another_hub_is_confirmed_anew():
    bed = hub_bed("c1", "c2", "c3")
    bed.receive("c2", hub_presence())
    gone = replace(WORD, phase=TargetPhase.LEAVING)
    feed = Feed("c2", "run-2", 0, 1, 0, True, 0, announcements=(gone,))
    bed.receive("c2", feed)
    leave = bed.start_ask(Register(gone))
    assert leave not in bed.outbox.replies
    mark = FeedMark("c1", "run-1", bed.controller.table.position)
    bed.receive("c2", hub_presence(2, (mark,)))
    assert bed.outbox.replies[leave] is True


def test_hub_without_a_group_confirms_no_leave():
    address = HostAddress("c1", "127.0.0.1:1", "south")
    bed = Bed(HubController, address, "run-1", 100, host="c1")
    assert bed.ask(Deregister("i-1", None)) is None


def test_news_goes_to_others_and_not_back():
    bed = hub_bed()
    for host in ("e1", "e2"):
        bed.receive(host, presence())
    bed.receive("c2", hub_presence())
    bed.receive("e1", News(reports=(COOL_DOWN,)))
    assert not any(f.reports for f in feeds_to(bed, "e1"))
    assert [f.reports for f in feeds_to(bed, "e2") if f.reports] == [
        (COOL_DOWN,)
    ]
    assert [f.reports for f in feeds_to(bed, "c2") if f.reports] == [
        (COOL_DOWN,)
    ]


def test_third_hub_that_lags_gets_the_feed_passed_on():
    bed = hub_bed("c1", "c2", "c3")
    for host in ("c2", "c3"):
        bed.receive(host, hub_presence())
    feed = Feed("c2", "run-2", 0, 1, 0, True, 0, announcements=(WORD,))
    bed.receive("c2", feed)
    assert not any(f.origin == "c2" for f in feeds_to(bed, "c3"))
    bed.receive("c3", hub_presence(2))
    bed.tick(1.5)
    passed = [f for f in feeds_to(bed, "c3") if f.origin == "c2"]
    assert passed[0].announcements == (WORD,)


def test_feed_is_passed_on_while_more_of_it_keeps_coming():
    bed = hub_bed("c1", "c2", "c3")
    for host in ("c2", "c3"):
        bed.receive(host, hub_presence())
    for number in range(8):
        word = replace(WORD, target=f"i-{number}")
        feed = Feed("c2", "run-2", number, number + 1, 0, True, 0, (), (word,))
        bed.receive("c2", feed)
        bed.receive("c3", hub_presence(2 + number))
        bed.tick(0.5)
    passed = [f for f in feeds_to(bed, "c3") if f.origin == "c2"]
    assert passed and passed[0].announcements[0].target == "i-0"


def test_hubs_are_told_of_each_other():
    bed = hub_bed("c1", "c2")
    bed.receive("c2", hub_presence())
    bed.receive("c3", hub_presence())
    told = {a.host for f in feeds_to(bed, "c3") for a in f.hubs}
    assert told == {"c1", "c2", "c3"}
    bed.outbox.sent.clear()
    for number in range(8):
        for host in ("c2", "c3"):
            bed.receive(host, hub_presence(2 + number))
        bed.tick(0.5)
    told = {a.host for f in feeds_to(bed, "c2") for a in f.hubs}
    assert told == {"c1", "c2", "c3"}


def test_hub_that_another_one_names_is_written_to():
    bed = hub_bed("c1", "c2")
    bed.receive("c2", hub_presence())
    third = HostAddress("c3", "127.0.0.3:1", "north")
    bed.receive("c2", Feed("c2", "r2", 0, 0, 0, True, 0, (third,)))
    bed.outbox.sent.clear()
    bed.tick(0.5)
    assert any(h == "c3" for h, m in bed.outbox.sent)


def test_feed_with_a_gap_is_not_taken_for_complete():
    bed = hub_bed("c1", "c2")
    bed.receive("c2", hub_presence())
    feed = Feed("c2", "run-2", 3, 4, 0, True, 0, announcements=(WORD,))
    bed.receive("c2", feed)
    mine = [m for h, m in bed.outbox.sent if isinstance(m, Presence)][-1]
    assert all(m.position == 0 for m in mine.marks if m.hub == "c2")


def test_silent_entry_leaves_the_address_answers():
    bed = hub_bed()
    bed.receive("e1", presence())
    bed.tick(ENTRY_TIMEOUT_S + 0.1)
    view = bed.outbox.told_of(EntriesView)[-1]
    assert [(e.host, e.present) for e in view.entries] == [("e1", False)]
    bed.receive("e1", presence(2))
    bed.tick()
    view = bed.outbox.told_of(EntriesView)[-1]
    assert [e.present for e in view.entries] == [True]


def test_lost_feed_is_sent_again():
    bed = hub_bed()
    bed.receive("e1", presence())
    bed.ask(Register(WORD))
    bed.clock.advance(1.0)
    bed.outbox.sent.clear()
    bed.receive("e1", presence(2, (FeedMark("c1", "run-1", 0),)))
    assert feeds_to(bed, "e1")[0].announcements == (WORD,)


def test_cool_down_is_passed_on_with_what_is_left_of_it():
    bed = hub_bed()
    bed.receive("e1", presence())
    bed.receive("e1", News(reports=(COOL_DOWN,)))
    bed.clock.advance(5.0)
    bed.receive("e2", presence())
    assert feeds_to(bed, "e2")[0].reports[0].duration_s == 7.0


def test_lost_feed_is_sent_again_while_other_news_keeps_coming():
    bed = hub_bed()
    bed.receive("e1", presence())
    gone = replace(WORD, phase=TargetPhase.LEAVING)
    bed.ask(Register(gone))
    bed.outbox.sent.clear()  # the feed is lost
    mark = FeedMark("c1", "run-1", 0)
    for number in range(8):
        bed.clock.advance(0.2)
        cool_down = replace(COOL_DOWN, target=f"t-{number}")
        bed.receive("e2", News(reports=(cool_down,)))
        bed.receive("e1", presence(2 + number, (mark,)))
    assert any(f.announcements == (gone,) for f in feeds_to(bed, "e1"))


def test_entries_of_a_silent_hub_are_absent_here_until_it_is_heard():
    bed = hub_bed("c1", "c2", "c3")
    for host in ("c2", "c3"):
        bed.receive(host, hub_presence())
    state = EntryState(
        "e9", 50, True, HostFlag.SERVING, "north", "n-a", "10.0.0.2:80", "c2"
    )
    bed.receive(
        "c2", Feed("c2", "r2", 0, 1, 0, True, 1, entry_states=(state,))
    )
    for number in range(8):
        bed.tick(0.5)
        bed.receive("c3", hub_presence(2 + number))
    assert not bed.outbox.told_of(EntriesView)[-1].entries[0].present
    passed = [f for f in feeds_to(bed, "c3") if f.entry_states]
    assert all(s.present for f in passed for s in f.entry_states)
    bed.receive("c2", hub_presence(2))
    bed.tick(0.1)
    assert bed.outbox.told_of(EntriesView)[-1].entries[0].present


def test_entry_that_moved_to_another_hub_is_not_called_silent():
    bed = hub_bed("c1", "c2")
    bed.receive("c2", hub_presence())
    bed.receive("e1", presence(1))
    moved = EntryState(
        "e1", 9, True, HostFlag.SERVING, "south", "hobart", "10.0.0.1:80", "c2"
    )
    bed.receive(
        "c2", Feed("c2", "r2", 0, 1, 0, True, 1, entry_states=(moved,))
    )
    bed.clock.advance(ENTRY_TIMEOUT_S + 0.1)
    bed.receive("c2", hub_presence(2))
    bed.tick()
    assert bed.outbox.told_of(EntriesView)[-1].entries[0].present


def test_work_in_flight_is_told_within_the_region_only():
    bed = hub_bed()
    bed.receive("e1", presence())
    far = replace(presence(), region="north")
    bed.receive("e2", far)
    bed.tick(0.5)
    readers = bed.outbox.told_of(InFlightSubscribers)[-1]
    assert readers.entries == ("e1",)
