"""A simulated control group with message loss, crashes and lost disks."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

from support.fakes import FakeClock, FakeOutbox

from wasabitray_core.controllers.consensus.controller import (
    ConsensusController,
)
from wasabitray_core.controllers.controller import Context, Origin, ReplyToken
from wasabitray_core.ids import HostId, LogIndex, MemberId, Revision, Term
from wasabitray_core.local_messages import Committed, Propose, Restored, Tick
from wasabitray_core.messages import (
    Ballot,
    Change,
    DocumentEdit,
    LogRecord,
    Member,
    Members,
    Snapshot,
)
from wasabitray_core.states import ConsensusRole

TEMPLATE = (
    '{"name":"%s","services":{"s":{}},'
    '"routes":[{"path":"/","service":"s","deadline_ms":%d}]}'
)


def make_change(number: int, expected: int, name: str = "t") -> Change:
    """Return a valid change whose id contains a number."""
    body = TEMPLATE % (name, 100 + number)
    edit = DocumentEdit(f"template/{name}", body)
    return Change(f"change-{number}", Revision(expected), "ann", "", (edit,))


def empty_snapshot(members: Members) -> Snapshot:
    return Snapshot(LogIndex(0), Term(0), members, Revision(0), {}, (), ())


@dataclass
class Disk:
    """The state of a member that survives a restart."""

    member: Member
    snapshot: Snapshot
    ballot: Ballot = Ballot(Term(0), MemberId(""))
    records: list[LogRecord] = field(default_factory=list)

    def write(self, item: Any) -> None:
        if isinstance(item, Ballot):
            self.ballot = item
        elif isinstance(item, Snapshot):
            self.snapshot = item
        else:
            self.records.append(item)


class Node:
    """A running control host of the network."""

    def __init__(self, network: Network, disk: Disk) -> None:
        self.network = network
        self.disk = disk
        self.host = disk.member.host
        self.outbox = FakeOutbox()
        self.events: list[tuple[str, dict]] = []
        context = Context(
            self.host, network.clock, network.random, self.outbox
        )
        self.controller = ConsensusController(
            context,
            disk.member.member,
            tuple(network.hosts),
            disk.ballot,
            disk.snapshot,
            tuple(disk.records),
        )
        self.applied_revision = Revision(0)
        self.flush(crash=False)

    def receive(self, message: Any, origin: Origin, crash: bool) -> None:
        self.controller.receive(message, origin)
        self.flush(crash)

    def flush(self, crash: bool) -> None:
        """Write to disk, then send.

        A crash comes after any number of the writes and before the sending.
        """
        outbox = self.outbox
        if crash:
            written = self.network.random.randint(0, len(outbox.persisted))
            for item in outbox.persisted[:written]:
                self.disk.write(item)
            self.network.crash(self.host)
            return
        for item in outbox.persisted:
            self.disk.write(item)
        for host, message in outbox.sent:
            self.network.post(self.host, host, message)
        for _, message in outbox.told:
            self.network.check_changes(self, message)
        for token, value in outbox.replies.items():
            self.network.replies[token] = value
        outbox.persisted.clear()
        outbox.sent.clear()
        outbox.told.clear()
        outbox.replies.clear()
        self.events += outbox.events
        outbox.events.clear()


class Network:
    """Hosts with a shared clock; checks the invariants on each step.

    Attributes:
        blocked: pairs of a sender and a host that it cannot reach.
    """

    def __init__(self, size: int, seed: int, loss: float = 0.0) -> None:
        self.random = random.Random(seed)
        self.clock = FakeClock()
        self.loss = loss
        self.hosts = [HostId(f"c{n + 1}") for n in range(size)]
        founders = tuple(Member(MemberId(f"{h}.0"), h) for h in self.hosts)
        members = Members(founders)
        self.disks = {
            m.host: Disk(m, empty_snapshot(members)) for m in founders
        }
        self.nodes: dict[HostId, Node] = {}
        self.queue: list[tuple[HostId, HostId, Any]] = []
        self.blocked: set[tuple[HostId, HostId]] = set()
        self.replies: dict[Any, Any] = {}
        self.leaders: dict[Term, MemberId] = {}
        self.committed: dict[Revision, str] = {}
        self.lost_disks = 0
        self.last_token = 0
        for host in self.hosts:
            self.start(host)

    # Faults

    def start(self, host: HostId) -> None:
        self.nodes[host] = Node(self, self.disks[host])

    def crash(self, host: HostId) -> None:
        self.nodes.pop(host, None)

    def lose_disk(self, host: HostId) -> None:
        self.crash(host)
        self.lost_disks += 1
        member = Member(MemberId(f"{host}.x{self.lost_disks}"), host)
        self.disks[host] = Disk(member, empty_snapshot(Members(())))

    # Messages

    def post(self, sender: HostId, host: HostId, message: Any) -> None:
        if (sender, host) in self.blocked or self.random.random() < self.loss:
            return
        self.queue.append((sender, host, message))
        if self.loss and self.random.random() < self.loss:
            self.queue.append((sender, host, message))

    def deliver_one(self, crash: bool = False) -> None:
        if not self.queue:
            return
        position = self.random.randrange(min(len(self.queue), 8))
        sender, host, message = self.queue.pop(position)
        node = self.nodes.get(host)
        if node is not None and (sender, host) not in self.blocked:
            node.receive(message, Origin(peer=sender), crash)
            self.check_single_leader(node)

    def tick(self, host: HostId) -> None:
        node = self.nodes.get(host)
        if node is not None:
            node.receive(Tick(), Origin(), False)
            self.check_single_leader(node)

    def run(self, seconds: float) -> None:
        """Run for a time without adding faults."""
        for _ in range(round(seconds / 0.1)):
            self.clock.advance(0.1)
            for host in list(self.nodes):
                self.tick(host)
            for _ in range(len(self.queue)):
                self.deliver_one()

    def propose(self, host: HostId, change: Change) -> Any:
        self.last_token += 1
        token = ReplyToken(self.last_token)
        self.nodes[host].receive(
            Propose(change), Origin(reply_token=token), False
        )
        return token

    def leader(self) -> Node | None:
        leaders = [
            n
            for n in self.nodes.values()
            if n.controller.role is ConsensusRole.LEADER
        ]
        return max(leaders, key=lambda n: n.controller.term, default=None)

    # Invariants

    def check_single_leader(self, node: Node) -> None:
        controller = node.controller
        if controller.role is ConsensusRole.LEADER:
            member = node.disk.member.member
            leader = self.leaders.setdefault(controller.term, member)
            assert leader == member, f"two leaders in term {controller.term}"

    def check_changes(self, node: Node, message: Any) -> None:
        """Check the revisions that a node sends to its other controllers."""
        if isinstance(message, Committed):
            for committed in message.changes:
                assert committed.revision == node.applied_revision + 1
                node.applied_revision = committed.revision
                change = committed.change.change
                first_change = self.committed.setdefault(
                    node.applied_revision, change
                )
                assert first_change == change, "two changes with one revision"
        elif isinstance(message, Restored):
            assert message.snapshot.revision >= node.applied_revision
            node.applied_revision = message.snapshot.revision
