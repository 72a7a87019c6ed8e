"""Control hosts that are stopped as planned, some of them for good."""

import pytest
from core.controllers.consensus import schedules
from core.controllers.consensus.schedules import (
    FIVE,
    THREE,
    Removal,
    Schedule,
    Site,
)

FIVE_OF_WHICH_TWO = Site(5, 2, 6.0)
STEP_S = 0.01
SEEDS = range(1, 7)


def stop(schedule, host):
    schedule.replaced.add(host)
    schedule.network.stop(host)


def note_end(schedule, host):
    """Return a list that will hold when a host ended and who voted then."""
    network, ends = schedule.network, []
    remove = network.remove

    def note(name):
        if name == host and not ends:
            leader = network.find_leader()
            voters = leader.controller._log.members.voters if leader else ()
            ends.append((network.clock.now, [m.host for m in voters]))
        remove(name)

    network.remove = note
    return ends


# Guards against a planned replacement of all hosts that ends the group.
@pytest.mark.parametrize("seed", SEEDS)
def test_voters_that_are_all_stopped_hand_their_votes_to_learners(seed):
    schedule = Schedule(FIVE, seed)
    network = schedule.network
    old = network.running
    for _ in old:
        schedule.start_successor()
    network.run(FIVE.catch_up_s)
    for host in old:
        network.stop(host)
    schedule.disturbed_until = schedule.now
    schedule.check()
    assert not set(old) & set(network.running)


# Guards against a host that ends between the promotion of the only learner
# and its own end as a voter.
@pytest.mark.parametrize("seed", SEEDS)
def test_host_that_is_stopped_ends_only_once_another_votes(seed):
    schedule = Schedule(FIVE, seed)
    schedule.start_successor()
    schedule.network.run(FIVE.catch_up_s)
    host = schedule.find_follower()
    ends = note_end(schedule, host)
    stop(schedule, host)
    schedule.network.run(3.0)
    assert host not in ends[0][1]


# Guards against a successor that is promoted for a host that has ended.
@pytest.mark.parametrize("site", (THREE, FIVE_OF_WHICH_TWO), ids=str)
@pytest.mark.parametrize("seed", SEEDS)
def test_two_hosts_that_are_stopped_at_once_leave_a_majority(site, seed):
    schedule = Schedule(site, seed)
    schedule.start_successor()
    schedule.network.run(site.catch_up_s)
    leader, follower = schedule.find_leader(), schedule.find_follower()
    stop(schedule, leader)
    schedule.replace(follower, Removal.STOP)
    schedule.disturbed_until = max(schedule.disturbed_until, schedule.now)
    schedule.check()


# Guards against hosts that end while a voter that is gone still counts.
@pytest.mark.parametrize("seed", SEEDS)
def test_hosts_that_are_stopped_after_a_loss_leave_a_majority(seed):
    schedule = Schedule(THREE, seed)
    network = schedule.network
    lost = schedule.find_follower()
    network.remove(lost)
    schedule.replaced.add(lost)
    schedule.lose(lost, 0.0)
    schedule.start_successor()
    network.run(0.1)
    schedule.start_successor()
    network.run(THREE.catch_up_s)
    stop(schedule, schedule.find_leader())
    network.run(0.2)
    schedule.replace(schedule.find_follower(), Removal.STOP)
    schedule.check()


# Guards against a hand-over to a voter that the others don't elect.
@pytest.mark.parametrize("event", ("nothing", "order", "join"))
@pytest.mark.parametrize("seed", SEEDS)
def test_leader_that_is_stopped_hands_over_at_once(seed, event):
    schedule = Schedule(FIVE, seed)
    network = schedule.network
    schedule.start_successor()
    network.run(6.0)
    leader = schedule.find_leader()
    if event == "join":
        schedule.start_successor()
        network.run(0.0)
    if event == "order":
        schedule.send_order()
        network.run(0.016)
    network.stop(leader)
    without_s = 0.0
    for _ in range(300):
        network.run(STEP_S)
        if not any(host.is_leader for host in network.hosts.values()):
            without_s += STEP_S
    assert without_s < 0.5


# Guards against a planned stop that waits for a learner that is gone.
@pytest.mark.parametrize(
    "find", (Schedule.find_leader, Schedule.find_follower)
)
@pytest.mark.parametrize("seed", SEEDS)
def test_host_that_is_stopped_waits_for_no_learner_that_is_gone(seed, find):
    schedule = Schedule(FIVE, seed)
    network = schedule.network
    schedule.start_successor()
    network.run(3.0)
    network.remove(network.names[-1])
    network.run(10.0)
    host, stopped_at = find(schedule), network.clock.now
    ends = note_end(schedule, host)
    stop(schedule, host)
    network.run(3.0)
    assert ends[0][0] - stopped_at < 1.5


# Guards against a group that leaves out the sound half of a split.
@pytest.mark.parametrize("is_with_leader", (True, False))
@pytest.mark.parametrize("seed", SEEDS)
def test_losses_in_a_split_leave_a_majority(seed, is_with_leader, monkeypatch):
    monkeypatch.setattr(schedules, "SPLIT_S", 8.0)
    schedule = Schedule(FIVE, seed)
    network = schedule.network
    leader = schedule.find_leader()
    others = [h for h in network.running if h != leader]
    network.split(others[:2])
    network.after(schedules.SPLIT_S, network.heal)
    schedule.disturbed_until = schedule.now + schedules.SPLIT_S
    network.run(2.9)
    for host in (leader, others[2]):
        network.remove(host)
        schedule.replaced.add(host)
        schedule.start_successor()
        new = network.names[-1]
        network.half.discard(new)
        if not is_with_leader:
            network.half.add(new)
        network.run(FIVE.catch_up_s)
    schedule.check()
