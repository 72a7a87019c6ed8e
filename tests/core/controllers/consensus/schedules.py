"""Faults of a simulated control group, as close together as is allowed."""

from __future__ import annotations

import random
from enum import Enum
from typing import NamedTuple

from core.controllers.consensus.changing_network import ChangingNetwork
from core.controllers.consensus.operators import Order, Reading

from wasabitray_core.ids import HostId

SETTLE_S = 12.0
# A calm group is stable this long after the last fault ended.
CONTACT_S = 4.0
READ_S = 5.0
SUCCESSOR_MAX_S = 1.0
OUTAGE_S = 4.0
SPLIT_S = 5.0
RESTART_S = 0.5
PAUSE_S = 2.5


class Site(NamedTuple):
    """How many machines a site may lose at once.

    Attributes:
        tolerated: machines with a disk that may be lost at the same time.
        catch_up_s: a machine counts as lost for this long after its return.
    """

    size: int
    tolerated: int
    catch_up_s: float


THREE = Site(3, 1, 4.0)
FIVE = Site(5, 1, 4.0)
SIX = Site(6, 2, 6.0)
NINE = Site(9, 2, 6.0)
FIFTEEN = Site(15, 2, 6.0)


class Removal(Enum):
    """How a host is removed for good."""

    KILL = "kill"
    STOP = "stop"
    STOP_AFTER_SUCCESSOR = "stop after its successor's start"


PLANNED = (Removal.STOP, Removal.STOP_AFTER_SUCCESSOR)


class Fault(Enum):
    """Something that happens to a control group."""

    REMOVE_LEADER = "remove leader"
    REMOVE_FOLLOWER = "remove follower"
    STOP_LEADER = "stop leader"
    STOP_FOLLOWER = "stop follower"
    WIPE = "wipe"
    CUT = "cut"
    FREEZE = "freeze"
    SPLIT = "split"
    KILL_ALL = "kill all"
    PAUSE = "pause"
    """Nothing, for a while."""


# Faults that lose a machine.
LOSSES = set(Fault) - {Fault.SPLIT, Fault.KILL_ALL, Fault.PAUSE}


class Schedule:
    """Faults of a group while an operator sends a version after each.

    Attributes:
        lost: until when a host counts as lost.
        replaced: hosts that were removed for good or are being stopped.
        disturbed_until: when the last fault has ended.
        steps: what was done, with the time.
    """

    def __init__(self, site: Site, seed: int | str) -> None:
        self.site, self.seed = site, seed
        self.network = ChangingNetwork(site.size, seed, site.tolerated)
        self.random = random.Random(f"schedule {seed}")
        self.lost: dict[HostId, float] = {}
        self.replaced: set[HostId] = set()
        self.split_until = self.disturbed_until = 0.0
        self.orders: list[Order] = []
        self.steps: list[tuple[float, str]] = []
        self.network.run(SETTLE_S)
        self.send_order()
        self.network.run(1.0)

    @property
    def now(self) -> float:
        return self.network.clock.now

    def send_order(self) -> None:
        version = len(self.orders) + 1
        seed = f"order {self.seed} {version}"
        self.orders.append(Order(self.network, version, seed))

    def log(self, step: str) -> None:
        self.steps.append((round(self.now, 2), step))

    # What is allowed

    def get_lost(self) -> list[HostId]:
        return [h for h, until in self.lost.items() if until > self.now]

    def await_room(self, count: int = 1) -> None:
        """Wait until so many more machines may be lost."""
        allowed = self.site.tolerated - count
        ends = sorted(self.lost[h] for h in self.get_lost())
        if len(ends) > allowed:
            until = ends[len(ends) - allowed - 1]
            self.network.run(until - self.now)

    def lose(self, host: HostId, back_in_s: float) -> None:
        back_at = self.now + back_in_s
        self.lost[host] = back_at + self.site.catch_up_s
        self.disturbed_until = max(self.disturbed_until, back_at)

    # Hosts

    def get_sound_hosts(self) -> list[HostId]:
        unsound = self.replaced.union(self.get_lost())
        return [h for h in self.network.running if h not in unsound]

    def find_leader(self) -> HostId:
        """Return the leader, or any other host if it is lost or unknown."""
        leader = self.network.find_leader()
        sound = self.get_sound_hosts()
        if leader is not None and leader.name in sound:
            return leader.name
        return self.random.choice(sound)

    def find_follower(self) -> HostId:
        leader = self.network.find_leader()
        leaders = [leader.name] if leader is not None else []
        followers = [h for h in self.get_sound_hosts() if h not in leaders]
        return self.random.choice(followers)

    def find_oldest(self) -> HostId:
        names = self.network.names
        return min(self.get_sound_hosts(), key=names.index)

    def find_any(self) -> HostId:
        """Return the leader or a follower."""
        find = self.random.choice((self.find_leader, self.find_follower))
        return find()

    # Faults

    def start_successor(self) -> None:
        network = self.network
        name = HostId(f"c{len(network.names) + 1}")
        network.add(name)
        self.log(f"{name} starts")

    def replace(self, host: HostId, how: Removal) -> None:
        """Remove a host for good; another one takes its place."""
        network = self.network
        self.log(f"{how.value} {host}")
        self.replaced.add(host)
        if how is Removal.STOP_AFTER_SUCCESSOR:
            self.start_successor()
            network.run(self.site.catch_up_s)
            network.stop(host)
            self.disturbed_until = max(self.disturbed_until, self.now)
            return
        if how is Removal.STOP:
            network.stop(host)
        else:
            network.remove(host)
        wait = self.random.uniform(0.0, SUCCESSOR_MAX_S)
        network.after(wait, self.start_successor)
        self.lose(host, wait)

    def wipe(self, host: HostId) -> None:
        self.log(f"wipe {host}")
        self.network.lose_disk(host)
        self.network.after(RESTART_S, lambda: self.network.start(host))
        self.lose(host, RESTART_S)

    def cut(self, host: HostId) -> None:
        isolated = self.network.isolated
        self.log(f"cut {host}")
        isolated.add(host)
        self.network.after(OUTAGE_S, lambda: isolated.discard(host))
        self.lose(host, OUTAGE_S)

    def freeze(self, host: HostId) -> None:
        self.log(f"freeze {host}")
        self.network.freeze(host)
        self.network.after(OUTAGE_S, lambda: self.network.thaw(host))
        self.lose(host, OUTAGE_S)

    def split(self) -> None:
        """Split the group in two halves, once an earlier split has ended."""
        self.network.run(max(0.0, self.split_until - self.now))
        running = self.network.running
        half = self.random.sample(running, len(running) // 2)
        self.log(f"split {sorted(half)}")
        self.network.split(half)
        self.network.after(SPLIT_S, self.network.heal)
        self.split_until = self.now + SPLIT_S
        self.disturbed_until = max(self.disturbed_until, self.split_until)

    def kill_all(self) -> None:
        self.log("kill all")
        names = [h for h in self.network.running if h not in self.replaced]
        for name in names:
            self.network.kill(name)
        for name in self.network.running:
            self.network.remove(name)
        self.network.run(RESTART_S)
        for name in names:
            self.network.start(name)
        self.disturbed_until = max(self.disturbed_until, self.now)

    def apply(self, fault: Fault) -> None:
        """Begin a fault as soon as it is allowed."""
        how = Removal.KILL
        if fault in (Fault.STOP_LEADER, Fault.STOP_FOLLOWER):
            how = self.random.choice(PLANNED)
        if fault in LOSSES and how is not Removal.STOP_AFTER_SUCCESSOR:
            self.await_room()
        match fault:
            case Fault.REMOVE_LEADER | Fault.STOP_LEADER:
                self.replace(self.find_leader(), how)
            case Fault.REMOVE_FOLLOWER | Fault.STOP_FOLLOWER:
                self.replace(self.find_follower(), how)
            case Fault.WIPE:
                self.wipe(self.find_any())
            case Fault.CUT:
                self.cut(self.find_any())
            case Fault.FREEZE:
                self.freeze(self.find_any())
            case Fault.SPLIT:
                self.split()
            case Fault.KILL_ALL:
                self.kill_all()
            case Fault.PAUSE:
                self.network.run(PAUSE_S)

    # Checks

    def check(self) -> None:
        """Check the group once the last fault has ended."""
        network = self.network
        calm_since = self.disturbed_until + CONTACT_S
        network.run(max(0.0, calm_since - self.now))
        versions = [o.version for o in self.orders if o.acknowledged_at]
        reading = Reading(network, f"reading {self.seed}")
        network.run(READ_S)
        self.report(reading)
        assert reading.version is not None, f"nothing read, seed {self.seed}"
        newest = max(versions, default=0)
        assert reading.version >= newest, f"{reading.version} < {newest}"
        late = [o.version for o in self.orders if not o.acknowledged_at]
        assert not late, f"versions without acknowledgement: {late}"
        self.check_redirects()

    def check_redirects(self) -> None:
        """Check that all hosts send operators to the same living leader."""
        leaders = self.network.get_named_leaders()
        leader = self.network.find_leader()
        assert leader is not None, "nobody leads"
        stale = self.network.stale_redirects
        assert not stale, f"sent to hosts that are gone: {stale}"
        expected = dict.fromkeys(self.network.running, leader.name)
        assert leaders == expected, "sent to hosts that don't lead"

    def report(self, reading: Reading) -> None:
        print(f"seed {self.seed}, {self.site}")
        print(f"steps: {self.steps}")
        print(f"reading of {reading.version}: {reading.steps}")
        for host in self.network.hosts.values():
            controller = host.controller
            voters = [m.host for m in controller._log.members.voters]
            state = "gone" if host.is_ended else controller.role.value
            print(
                f"{host.name}: {state}, term {controller.term}, "
                f"{controller.commit_index} committed, voters {voters}"
            )
