"""Control hosts that are replaced by others at new addresses.

The operator's versions must survive, and reads must find the leader.

Set WASABITRAY_SEEDS to run other seeds, for example 100-200.
"""

import os

import pytest
from core.controllers.consensus.schedules import (
    FIFTEEN,
    FIVE,
    NINE,
    SIX,
    THREE,
    Removal,
    Schedule,
)
from core.controllers.consensus.timed_network import BETWEEN_REGIONS_S

# A host has given up a silent leader by then.
LEADER_SILENCE_S = 1.8
HOWS = {
    "kill": Removal.KILL,
    "stop": Removal.STOP,
    "successor first": Removal.STOP_AFTER_SUCCESSOR,
}
ORDERS = {
    "leader first": Schedule.find_leader,
    "oldest first": Schedule.find_oldest,
}


def seeds():
    first, _, last = os.environ.get("WASABITRAY_SEEDS", "1-3").partition("-")
    return range(int(first), int(last or first) + 1)


# Guards against voters that are gone and make up a majority of the group.
@pytest.mark.parametrize("site", (THREE, FIVE), ids=lambda s: s.size)
@pytest.mark.parametrize("how", HOWS)
def test_configuration_is_read_back_after_the_leader_was_replaced_last(
    how, site
):
    for seed in seeds():
        schedule = Schedule(site, seed)
        leader = schedule.find_leader()
        others = [h for h in schedule.network.names if h != leader]
        for host in (*others, leader):
            schedule.await_room()
            schedule.replace(host, HOWS[how])
            schedule.send_order()
        schedule.check()


@pytest.mark.parametrize("order", ORDERS)
@pytest.mark.parametrize("how", HOWS)
def test_configuration_is_read_back_after_three_hosts_were_replaced(
    how, order
):
    for seed in seeds():
        schedule = Schedule(THREE, seed)
        for _ in range(THREE.size):
            schedule.await_room()
            schedule.replace(ORDERS[order](schedule), HOWS[how])
            schedule.send_order()
        schedule.check()


@pytest.mark.parametrize("count", (3, 4, 5))
@pytest.mark.parametrize("order", ORDERS)
@pytest.mark.parametrize("how", HOWS)
def test_configuration_is_read_back_after_hosts_were_replaced_one_by_one(
    how, order, count
):
    for seed in seeds():
        schedule = Schedule(FIVE, seed)
        for _ in range(count):
            schedule.await_room()
            schedule.replace(ORDERS[order](schedule), HOWS[how])
            schedule.send_order()
        schedule.check()


@pytest.mark.parametrize(
    ("site", "pairs"),
    ((SIX, 2), (SIX, 3), (NINE, 2), (NINE, 4)),
    ids=("2 of six", "3 of six", "2 of nine", "4 of nine"),
)
@pytest.mark.parametrize("order", ORDERS)
@pytest.mark.parametrize("how", ("kill", "stop"))
def test_configuration_is_read_back_after_hosts_were_replaced_two_by_two(
    how, order, site, pairs
):
    for seed in seeds():
        schedule = Schedule(site, seed)
        for _ in range(pairs):
            schedule.await_room(2)
            for _ in range(2):
                schedule.replace(ORDERS[order](schedule), HOWS[how])
            schedule.send_order()
        schedule.check()


# Guards against hosts that send operators to a leader that has gone.
@pytest.mark.parametrize(
    "site", (FIVE, SIX, NINE, FIFTEEN), ids=lambda s: s.size
)
def test_host_without_a_leader_redirects_to_no_host(site):
    for seed in seeds():
        network = Schedule(site, seed).network
        leader = network.find_leader()
        voters = [m.host for m in leader.controller._log.members.voters]
        voters.remove(leader.name)
        majority = (leader.name, *voters[: len(voters) // 2])
        for host in majority:
            network.remove(host)
        network.run(LEADER_SILENCE_S + BETWEEN_REGIONS_S)
        assert network.get_named_leaders() == dict.fromkeys(
            network.running, ""
        )
