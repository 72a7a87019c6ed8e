"""Heartbeats, contacts and gossip."""

from support.fakes import ControllerBed

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

FIRST_COUNTER = 1_000
NAMES = ("e1", "e2", "e3", "e4", "e5")


def entry_bed(first=FIRST_COUNTER):
    bed = ControllerBed(
        MembershipController, ("c1", "e2"), HostFlag.SERVING, (), first
    )
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


def get_own_counter(bed):
    gossip = next(m for _, m in reversed(bed.outbox.sent))
    return next(s.counter for s in gossip.statuses if s.host == "e1")


def receive_heartbeats(
    bed, counter, *names, echo=True, flags=HostFlag.SERVING
):
    """Deliver newer heartbeats of some hosts, sent by the first of them."""
    statuses = [HostStatus(n, counter, 1, flags) for n in names]
    if echo:
        own = get_own_counter(bed)
        statuses.append(HostStatus("e1", own, 1, HostFlag.SERVING))
    bed.receive(names[0], Gossip(tuple(statuses)))


def is_isolated(bed):
    bed.tick(0.1)
    return bed.outbox.get_told(Isolation)[-1].isolated


def test_majority_of_entries_is_enough_without_control():
    bed = entry_bed()
    bed.tick(0.5)
    receive_heartbeats(bed, 1, "e2")
    assert is_isolated(bed)
    receive_heartbeats(bed, 2, "e2", "e3")
    assert not is_isolated(bed)


def test_contact_to_the_leader_is_enough_alone():
    bed = entry_bed()
    bed.tick(0.5)
    receive_heartbeats(bed, 1, "c1", flags=HostFlag.CONTROL | HostFlag.LEADER)
    assert not is_isolated(bed)


def test_host_whose_heartbeats_reach_no_peer_is_isolated():
    bed = entry_bed()
    bed.tick(0.5)
    receive_heartbeats(bed, 1, *NAMES[1:], echo=False)
    assert is_isolated(bed)


def test_contacts_expire():
    bed = entry_bed()
    bed.tick(0.5)
    receive_heartbeats(bed, 1, *NAMES[1:])
    assert not is_isolated(bed)
    bed.tick(CONTACT_TIMEOUT_S + 0.1)
    assert is_isolated(bed)


def test_repeated_heartbeat_does_not_renew_a_contact():
    bed = entry_bed()
    bed.tick(0.5)
    for _ in range(8):
        receive_heartbeats(bed, 1, *NAMES[1:])
        bed.tick(0.5)
    assert is_isolated(bed)


def test_restarted_host_whose_clock_went_back_exceeds_its_old_counter():
    bed = entry_bed(first=10)
    bed.tick(0.5)
    old = HostStatus("e1", 5_000, 1, HostFlag.SERVING)
    bed.receive("e2", Gossip((old,)))
    bed.tick(0.5)
    assert get_own_counter(bed) > 5_000


def test_unresponsive_host_is_sent_its_last_heartbeat():
    bed = entry_bed()
    last_heartbeat = HostStatus("e2", 77, 1, HostFlag.SERVING)
    bed.receive("e3", Gossip((last_heartbeat,)))
    bed.clock.advance(CONTACT_TIMEOUT_S + 1)
    bed.outbox.sent.clear()
    for _ in range(20):
        bed.tick(0.5)
    sent_messages = [m for host, m in bed.outbox.sent if host == "e2"]
    assert sent_messages
    assert all(last_heartbeat in m.statuses for m in sent_messages)


def test_contact_of_the_control_group_is_ignored():
    bed = entry_bed()
    bed.outbox.sent.clear()
    bed.tell(GroupContact(True, "c1", ("c1", "c2", "c3")))
    assert not bed.outbox.sent
