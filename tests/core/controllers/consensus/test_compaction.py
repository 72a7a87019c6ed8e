"""The size of the log, of what is sent of it and of what a start reads."""

import random

import pytest
from core.controllers.consensus.network import (
    Network,
    empty_snapshot,
    make_change,
)
from msgspec.structs import replace

from wasabitray_core.controllers.consensus.compaction import (
    MIN_SNAPSHOT_INTERVAL_BYTES,
    LogReplay,
)
from wasabitray_core.controllers.consensus.progress import RESEND_BYTES_PER_S
from wasabitray_core.controllers.consensus.state_machine import (
    ConfigurationStateMachine,
)
from wasabitray_core.local_messages import Committed
from wasabitray_core.messages import (
    AppendRequest,
    CommittedChange,
    DocumentEdit,
    InstallSnapshot,
    LogRecord,
    Members,
    Noop,
)
from wasabitray_core.sizes import get_size

CHANGE_BYTES = 200_000
CHANGES = 40


def make_large_change(number, expected, key="t"):
    """Return a change of a template whose text is long."""
    change = make_change(number, expected)
    body = change.edits[0].body.replace(
        '"path":"/"', f'"path":"/{number:0{CHANGE_BYTES}}"'
    )
    edit = DocumentEdit(f"template/{key}", body.replace('"t"', f'"{key}"'))
    return replace(change, edits=(edit,))


class MeasuredNetwork(Network):
    """A control group that counts the bytes of changes in messages.

    Attributes:
        committed_bytes: largest message about committed changes.
        sent_bytes: bytes of changes and documents sent to each host.
    """

    def __init__(self, size=3, seed=1):
        self.committed_bytes = 0
        self.sent_bytes = {}
        super().__init__(size, seed)
        self.run(4.0)

    def check_changes(self, node, message):
        super().check_changes(node, message)
        if isinstance(message, Committed):
            size = sum(get_size(c.change) for c in message.changes)
            self.committed_bytes = max(self.committed_bytes, size)

    def post(self, sender, host, message):
        size = 0
        if isinstance(message, AppendRequest):
            size = get_size(message.records)
        elif isinstance(message, InstallSnapshot):
            size = get_size(message.snapshot)
        self.sent_bytes[host] = self.sent_bytes.get(host, 0) + size
        super().post(sender, host, message)

    def change(self, count):
        """Commit a number of large changes."""
        for _ in range(count):
            revision = self.leader().controller.machine.revision
            change = make_large_change(revision + 1, revision)
            self.propose(self.leader().host, change)
            self.run(0.3)
            assert self.leader().controller.machine.revision == revision + 1


# Guards against control hosts that exceed their memory when they apply their
# log after a start.
def test_start_after_many_large_changes_applies_a_bounded_log():
    network = MeasuredNetwork()
    network.change(CHANGES)
    network.committed_bytes = 0
    for host in network.hosts:
        network.crash(host)
    for host in network.hosts:
        network.start(host)
    network.run(5.0)
    revisions = {n.controller.machine.revision for n in network.nodes.values()}
    assert revisions == {CHANGES}
    bound = MIN_SNAPSHOT_INTERVAL_BYTES + 2 * CHANGE_BYTES
    assert network.committed_bytes <= bound


# Guards against a member that lacks records and gets copies of them, or of a
# snapshot, faster than it can read them.
@pytest.mark.parametrize("changes", (3, CHANGES), ids=["log", "snapshot"])
def test_records_in_transit_are_not_sent_again_at_each_heartbeat(changes):
    network = MeasuredNetwork()
    silent = next(h for h in network.hosts if h != network.leader().host)
    network.blocked |= {(silent, h) for h in network.hosts}
    network.change(changes)
    network.sent_bytes.clear()
    seconds = 4.0
    network.run(seconds)
    bound = seconds * RESEND_BYTES_PER_S + CHANGES * CHANGE_BYTES / 10
    assert 0 < network.sent_bytes[silent] <= bound
    network.blocked.clear()
    network.run(5.0)
    behind = network.nodes[silent].controller
    assert behind.machine.revision == changes


@pytest.mark.parametrize("seed", range(20))
def test_replayed_log_gives_the_state_of_its_changes(seed):
    """A log may hold a tail that a later leader replaced."""
    rng = random.Random(seed)
    members = Members(())
    replay = LogReplay(empty_snapshot(members))
    expected = ConfigurationStateMachine()
    index = 0
    for number in range(1, 40):
        change = make_large_change(number, number - 1, rng.choice("abc"))
        expected.apply(change)
        if rng.random() < 0.3:  # the leader was lost before it committed
            other = replace(change, author="lost")
            replay.add(LogRecord(index + 1, 2 * number, other))
        index += 1
        replay.add(LogRecord(index, 2 * number + 1, change))
        for _ in range(rng.randrange(3)):
            index += 1
            replay.add(LogRecord(index, 2 * number + 1, Noop()))
        held = sum(get_size(r) for r in replay.records)
        assert held <= MIN_SNAPSHOT_INTERVAL_BYTES + 2 * CHANGE_BYTES
    machine = ConfigurationStateMachine()
    machine.restore(replay.snapshot)
    assert machine.revision > 1, "nothing was applied while it was loaded"
    for record in replay.records:
        if not isinstance(record.command, Noop):
            machine.apply(record.command)
    assert machine.snapshot(index, 1, members) == expected.snapshot(
        index, 1, members
    )


def test_history_of_an_earlier_version_is_kept_without_its_content():
    """Their snapshots have the newest changes with all their edits."""
    changes = tuple(
        CommittedChange(n, make_large_change(n, n - 1)) for n in range(1, 31)
    )
    machine = ConfigurationStateMachine()
    machine.restore(replace(empty_snapshot(Members(())), recent=changes))
    assert [s.revision for s in machine.history] == list(range(1, 31))
    assert machine.history[0].written == ("template/t",)
    assert get_size(machine.snapshot(1, 1, Members(()))) < CHANGE_BYTES
