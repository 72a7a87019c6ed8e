"""Long random histories of the replicated log.

Set WASABITRAY_SEEDS to run other seeds, for example 100-200.
"""

import os

import pytest
from core.controllers.consensus.network import Network, make_change
from result import Ok

STEPS = 6_000


def seeds():
    first, _, last = os.environ.get("WASABITRAY_SEEDS", "1-16").partition("-")
    return range(int(first), int(last or first) + 1)


class History:
    """Applies random faults and changes; keeps the replies to operators."""

    def __init__(self, seed: int, size: int) -> None:
        self.network = Network(size, seed, loss=0.05)
        self.random = self.network.random
        self.changes = {}
        self.proposed_changes = {}
        self.accepted_revisions = {}

    def step(self) -> None:
        network, chance = self.network, self.random.random()
        if chance < 0.80:
            all_hosts_up = len(network.nodes) == len(network.hosts)
            network.deliver_one(crash=all_hosts_up and chance < 0.002)
        elif chance < 0.96:
            network.clock.advance(0.05)
            network.tick(self.random.choice(network.hosts))
        elif chance < 0.992:
            self.propose()
        elif chance < 0.996:
            self.toggle_link()
        else:
            self.crash_or_restart()
        self.collect()

    def propose(self) -> None:
        host = self.random.choice(self.network.hosts)
        if host not in self.network.nodes:
            return
        if self.changes and self.random.random() < 0.3:
            change = self.random.choice(list(self.changes.values()))
        else:
            machine = self.network.nodes[host].controller.machine
            change = make_change(len(self.changes), machine.revision)
            self.changes[change.change] = change
        self.proposed_changes[self.network.propose(host, change)] = (
            change.change
        )

    def toggle_link(self) -> None:
        pair = tuple(self.random.sample(self.network.hosts, 2))
        if self.random.random() < 0.7:
            self.network.blocked.discard(pair)
        else:
            self.network.blocked.add(pair)

    def crash_or_restart(self) -> None:
        """Crash a host or restart the one that is down.

        At most one host is down at a time. It may lose its disk before it
        restarts.
        """
        network = self.network
        down = [h for h in network.hosts if h not in network.nodes]
        if down:
            if self.random.random() < 0.3 and self.may_lose_disk():
                network.lose_disk(down[0])
            network.start(down[0])
        else:
            network.crash(self.random.choice(network.hosts))

    def may_lose_disk(self) -> bool:
        """Return whether all other hosts are voters and up to date.

        If more disks are lost than a majority tolerates, any system loses
        data.
        """
        network = self.network
        leader = network.leader()
        if leader is None or len(network.nodes) < len(network.hosts) - 1:
            return False
        voters = leader.controller._log.members.voters
        running_members = {n.disk.member for n in network.nodes.values()}
        return set(voters) >= running_members and all(
            n.applied_revision == leader.applied_revision
            for n in network.nodes.values()
        )

    def collect(self) -> None:
        for token, value in list(self.network.replies.items()):
            change = self.proposed_changes.pop(token, None)
            del self.network.replies[token]
            if change is not None and isinstance(value, Ok):
                revision = value.ok_value.revision
                first_revision = self.accepted_revisions.setdefault(
                    change, revision
                )
                assert first_revision == revision, (
                    "a resent change got a different revision"
                )
                assert self.network.committed[revision] == change


@pytest.mark.parametrize("size", [3, 5])
@pytest.mark.parametrize("seed", seeds())
def test_accepted_changes_survive_random_faults(seed, size):
    print(f"seed {seed}, {size} members")
    history = History(seed, size)
    for _ in range(STEPS):
        history.step()
    network = history.network
    network.blocked.clear()
    network.loss = 0.0
    for host in network.hosts:
        if host not in network.nodes:
            network.start(host)
    network.run(12.0)
    history.collect()
    assert history.accepted_revisions, "no change was accepted"
    newest = max(history.accepted_revisions.values())
    for node in network.nodes.values():
        assert node.applied_revision >= newest, "an accepted change is missing"
