"""Heartbeats, contacts and gossip."""

from support.fakes import Bed

from wasabitray_core.controllers.membership import (
    CONTACT_TIMEOUT_S,
    MembershipController,
)
from wasabitray_core.documents import EntryHost, Fleet
from wasabitray_core.local_messages import (
    ConfigurationApplied,
    GroupContact,
    Isolation,
)
from wasabitray_core.messages import Gossip, HostStatus
from wasabitray_core.states import HostFlag

FIRST = 1_000
NAMES = ("e1", "e2", "e3", "e4", "e5")


def entry(first=FIRST):
    bed = Bed(MembershipController, ("c1", "e2"), HostFlag.SERVING, (), first)
    entries = tuple(
        EntryHost(
            host=n,
            region="r",
            failure_domain="d",
            peer_address="p",
            caller_address="c",
        )
        for n in NAMES
    )
    bed.tell(
        ConfigurationApplied(1, Fleet(entries=entries, claim_groups=(NAMES,)))
    )
    return bed


def own_counter(bed):
    gossip = next(m for _, m in reversed(bed.outbox.sent))
    return next(s.counter for s in gossip.statuses if s.host == "e1")


def hear(bed, counter, *names, echo=True, flags=HostFlag.SERVING):
    """Hear newer heartbeats of some hosts from the first of them."""
    statuses = [HostStatus(n, counter, 1, flags) for n in names]
    if echo:
        own = own_counter(bed)
        statuses.append(HostStatus("e1", own, 1, HostFlag.SERVING))
    bed.receive(names[0], Gossip(tuple(statuses)))


def isolated(bed):
    bed.tick(0.1)
    return bed.outbox.told_of(Isolation)[-1].isolated


def test_majority_of_entries_is_enough_without_control():
    bed = entry()
    bed.tick(0.5)
    hear(bed, 1, "e2")
    assert isolated(bed)
    hear(bed, 2, "e2", "e3")
    assert not isolated(bed)


def test_leader_is_enough_alone():
    bed = entry()
    bed.tick(0.5)
    hear(bed, 1, "c1", flags=HostFlag.CONTROL | HostFlag.LEADER)
    assert not isolated(bed)


def test_host_that_hears_but_is_not_heard_is_cut_off():
    bed = entry()
    bed.tick(0.5)
    hear(bed, 1, *NAMES[1:], echo=False)
    assert isolated(bed)


def test_contacts_age():
    bed = entry()
    bed.tick(0.5)
    hear(bed, 1, *NAMES[1:])
    assert not isolated(bed)
    bed.tick(CONTACT_TIMEOUT_S + 0.1)
    assert isolated(bed)


def test_repeated_heartbeat_is_no_sign_of_life():
    bed = entry()
    bed.tick(0.5)
    for _ in range(8):
        hear(bed, 1, *NAMES[1:])
        bed.tick(0.5)
    assert isolated(bed)


def test_restarted_host_whose_clock_went_back_jumps_over_its_last_run():
    bed = entry(first=10)
    bed.tick(0.5)
    old = HostStatus("e1", 5_000, 1, HostFlag.SERVING)
    bed.receive("e2", Gossip((old,)))
    bed.tick(0.5)
    assert own_counter(bed) > 5_000


def test_host_that_seems_gone_is_told_its_last_heartbeat():
    bed = entry()
    hear_e2 = HostStatus("e2", 77, 1, HostFlag.SERVING)
    bed.receive("e3", Gossip((hear_e2,)))
    bed.clock.advance(CONTACT_TIMEOUT_S + 1)
    bed.outbox.sent.clear()
    for _ in range(20):
        bed.tick(0.5)
    told = [m for host, m in bed.outbox.sent if host == "e2"]
    assert told
    assert all(hear_e2 in m.statuses for m in told)


def test_word_of_the_control_group_changes_nothing():
    bed = entry()
    bed.outbox.sent.clear()
    bed.tell(GroupContact(True, "c1", ("c1", "c2", "c3")))
    assert not bed.outbox.sent
