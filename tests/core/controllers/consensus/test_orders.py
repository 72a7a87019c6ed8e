"""Orders of operators through faults of nine control hosts.

Processes are killed or frozen, links cut, disks lost or slow, one or two at a
time. Sometimes the group is split or killed as a whole, or all connections go
silent.

Set WASABITRAY_SEEDS to run other seeds, for example 100-200.
"""

import os
import random

import pytest
from core.controllers.consensus.operators import Order
from core.controllers.consensus.timed_network import TimedNetwork

SIZE = 9
SETTLE_S = 12.0
# A calm group is stable this long after the last fault ended.
CONTACT_S = 4.0
ACK_S = 5.0
ACK_PER_ROUTE_S = 0.003
# An acknowledged version is in force everywhere within this time.
CONFIG_S = 3.0
# Longer than the bound on an acknowledgement.
CALM_S = 7.0
# Within this time of an episode's start, its last fault has begun.
FAULT_WINDOW_S = 2.5
ORDER_GAP_S = 0.4
# Operators know for this long no better than that a lost host is there.
LIST_LAG_S = 3.0
SLOW_SYNC_S = 0.125


def seeds():
    first, _, last = os.environ.get("WASABITRAY_SEEDS", "1-10").partition("-")
    return range(int(first), int(last or first) + 1)


class Day:
    """Random faults of a group while an operator sends orders."""

    def __init__(self, seed: int) -> None:
        self.network = TimedNetwork(SIZE, seed)
        self.random = random.Random(f"day {seed}")
        self.seed = seed
        self.orders: list[Order] = []
        self.faults: list[tuple[float, str]] = []
        self.disturbed_until = 0.0
        self.network.run(SETTLE_S)

    def send_order(self) -> None:
        version = len(self.orders) + 1
        seed = self.seed * 10_000 + version
        self.orders.append(Order(self.network, version, seed))

    def send_orders(self) -> None:
        """Send an order, and the next one soon."""
        self.send_order()
        self.network.after(
            2 * ORDER_GAP_S * self.random.random(), self.send_orders
        )

    def disturb(self) -> None:
        """Begin one or two faults at nearly the same time."""
        for host in self.pick_hosts(self.random.choice((1, 1, 2))):
            wait = self.random.choice((0.0, 2.0)) * self.random.random()
            fault = self.random.choice(
                (self.kill, self.wipe, self.freeze, self.cut, self.slow_disk)
            )
            self.network.after(wait, lambda f=fault, h=host: f(h))
        if self.random.random() < 0.3:
            self.network.after(0.0, self.split)
        if self.random.random() < 0.1:
            self.network.after(0.0, self.kill_all)

        if self.random.random() < 0.2:
            self.network.after(1.0, self.silence_connections)

    def pick_hosts(self, count):
        hosts = self.random.sample(self.network.names, count)
        leader = self.network.find_leader()
        if leader is not None and self.random.random() < 0.5:
            hosts[0] = leader.name
        return set(hosts)

    def begin(self, fault: str, seconds: float, end) -> None:
        now = self.network.clock.now
        self.faults.append((round(now, 2), f"{fault} for {seconds:.2f}"))
        self.disturbed_until = max(self.disturbed_until, now + seconds)
        self.network.after(seconds, end)

    def kill(self, host) -> None:
        self.network.kill(host)
        seconds = self.random.uniform(0.3, 4.0)
        self.begin(f"kill {host}", seconds, lambda: self.network.start(host))

    def wipe(self, host) -> None:
        self.network.lose_disk(host)
        self.begin(f"wipe {host}", 3.0, lambda: self.network.start(host))

    def freeze(self, host) -> None:
        self.network.freeze(host)
        self.begin(f"freeze {host}", 4.0, lambda: self.network.thaw(host))

    def cut(self, host) -> None:
        self.network.split([host])
        self.begin(f"cut {host}", 5.5, self.network.heal)

    def slow_disk(self, host) -> None:
        self.network.slow_disks[host] = SLOW_SYNC_S
        self.begin(f"slow disk {host}", 5.5, self.network.slow_disks.clear)

    def split(self) -> None:
        half = self.random.sample(self.network.names, SIZE // 2)
        self.network.split(half)
        seconds = self.random.uniform(3.0, 12.0)
        self.begin(f"split {sorted(half)}", seconds, self.network.heal)

    def silence_connections(self) -> None:
        self.network.silence_connections()
        self.begin("silence", 0.0, lambda: None)

    def kill_all(self) -> None:
        for host in self.network.names:
            self.network.kill(host)

        def start_all() -> None:
            for host in self.network.names:
                self.network.start(host)

        self.begin("kill all", self.random.uniform(0.2, 1.0), start_all)

    def run(self, episodes: int) -> list[tuple[float, Order]]:
        """Run faults with calm between them.

        Returns:
            How long each order had no acknowledgement within one stretch of
            calm, with the order.
        """
        self.network.after(0.0, self.send_orders)
        stretches = []
        for _ in range(episodes):
            self.disturb()
            self.network.run(FAULT_WINDOW_S)
            while self.network.clock.now < self.disturbed_until:
                self.network.run(self.disturbed_until - self.network.clock.now)
            calm_since = self.disturbed_until + CONTACT_S
            calm_until = calm_since + CALM_S
            self.network.run(calm_until - self.network.clock.now)
            stretches.append((calm_since, calm_until))
        return [
            (order.get_wait(since, until), order)
            for order in self.orders
            for since, until in stretches
        ]


def check_newest_version(day: Day) -> None:
    """Check that every host gets the highest acknowledged version in time."""
    newest = max(o.version for o in day.orders if o.acknowledged_at)
    day.network.run(CONFIG_S)
    for host in day.network.hosts.values():
        assert host.controller.machine.version >= newest


def report(day: Day, waits: list[tuple[float, Order]]) -> float:
    """Print the slowest order and return its wait."""
    wait, order = max(waits, key=lambda w: w[0])
    print(f"seed {day.seed}: slowest {wait:.2f} s, {len(day.orders)} orders")
    print(f"order sent at {order.sent_at:.2f}: {order.steps}")
    print(f"faults: {day.faults}")
    return wait


@pytest.mark.parametrize("seed", seeds())
def test_orders_are_acknowledged_in_calm_after_faults(seed):
    day = Day(seed)
    assert report(day, day.run(episodes=4)) <= ACK_S + ACK_PER_ROUTE_S
    check_newest_version(day)


@pytest.mark.parametrize("seed", (11, 26, 28, 29))  # commits cross regions
def test_sixty_orders_in_a_second_and_a_half_are_acknowledged(seed):
    day = Day(seed)
    for number in range(60):
        wait = 1.5 * number / 60
        day.network.after(wait, day.send_order)
    since = day.network.clock.now
    day.network.run(CALM_S)
    until = day.network.clock.now
    waits = [(order.get_wait(since, until), order) for order in day.orders]
    assert report(day, waits) <= ACK_S + ACK_PER_ROUTE_S
    check_newest_version(day)


def lose_leader_and_voter(network):
    """Kill the leader and another voter for good; return their hosts."""
    leader = network.find_leader()
    voters = [m.host for m in leader.controller._log.members.voters]
    voters.remove(leader.name)
    lost = (network.random.choice(voters), leader.name)
    for host in lost:
        network.kill(host)
    return lost


# Guards against split votes, each of which cost a whole election timeout.
@pytest.mark.parametrize("seed", (595, 15, 49, 131, 166, 215))
def test_orders_are_acknowledged_while_two_voters_stay_away(seed):
    day = Day(seed)
    network = day.network
    for host in lose_leader_and_voter(network):
        network.after(LIST_LAG_S, lambda h=host: network.listed.remove(h))
    since = network.clock.now + CONTACT_S
    day.orders = [Order(network, n + 1, seed * 10 + n) for n in range(4)]
    network.run(CONTACT_S + CALM_S)
    until = network.clock.now
    waits = [(order.get_wait(since, until), order) for order in day.orders]
    assert report(day, waits) <= ACK_S + ACK_PER_ROUTE_S


# Guards against elections that begin together, at the same heartbeat.
@pytest.mark.parametrize("seed", (2, 133, 154, 157, 233, 249, 705, 751))
def test_lead_is_taken_before_calm_while_two_voters_stay_away(seed):
    network = Day(seed).network
    lose_leader_and_voter(network)
    network.run(CONTACT_S)
    leader = network.find_leader()
    assert leader is not None
    assert leader.controller._has_committed_own_term()
