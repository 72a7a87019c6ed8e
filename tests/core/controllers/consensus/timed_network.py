"""A simulated control group in three regions, in simulated time.

Messages take the time of the path between their hosts, a link has one batch
in flight as `PeerLink` has, and what a host persists is written before its
messages are sent.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable
from typing import Any

from core.controllers.consensus.network import Disk, empty_snapshot
from support.fakes import FakeClock, FakeOutbox

from wasabitray_core.controllers.consensus.controller import (
    ConsensusController,
)
from wasabitray_core.controllers.controller import Context, Origin, ReplyToken
from wasabitray_core.ids import HostId, MemberId
from wasabitray_core.local_messages import Tick
from wasabitray_core.messages import Member, Members
from wasabitray_core.states import ConsensusRole

REGIONS = 3
BETWEEN_REGIONS_S = 0.030
WITHIN_REGION_S = 0.001
SYNC_S = 0.005
FOUNDERS = 3
ACK_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.5
RECONNECT_FIRST_S = 0.1
RECONNECT_MAX_S = 1.0
FREEZE_STEP_S = 0.05


class Link:
    """Sends the batches of one host to another, one at a time."""

    def __init__(self, network: TimedNetwork, sender: Host, peer: HostId):
        self.network, self.sender, self.peer = network, sender, peer
        self.queue: deque[Any] = deque(maxlen=1_024)
        self.is_busy = False
        self.is_connected = False
        self.is_silent = False
        self.backoff = RECONNECT_FIRST_S

    def put(self, message: Any) -> None:
        self.queue.append(message)
        if not self.is_busy:
            self.send_queued()

    def send_queued(self) -> None:
        if self.sender.is_ended:
            return
        if self.sender.is_frozen:
            self.network.after(FREEZE_STEP_S, self.send_queued)
            return
        network, peer = self.network, self.network.hosts[self.peer]
        if not self.queue:
            self.is_busy = False
            return
        self.is_busy = True
        path_s = network.get_path_s(self.sender.name, self.peer)
        if not network.has_path(self.sender.name, self.peer):
            timeout_s = (
                ACK_TIMEOUT_S if self.is_connected else CONNECT_TIMEOUT_S
            )
            self.fail_after(timeout_s)
        elif peer.is_ended:
            self.fail_after(2 * path_s)
        elif not self.is_connected:
            self.is_connected = True
            self.is_silent = False
            self.backoff = RECONNECT_FIRST_S
            network.after(4 * path_s, self.send_queued)
        else:
            batch = [self.queue.popleft() for _ in range(len(self.queue))]
            network.after(path_s, lambda: self.deliver(peer, batch))
            deadline = network.clock.now + ACK_TIMEOUT_S
            network.after(2 * path_s, lambda: self.await_ack(peer, deadline))

    def deliver(self, peer: Host, batch: list[Any]) -> None:
        has_path = self.network.has_path(self.sender.name, self.peer)
        if has_path and not self.is_silent:
            for message in batch:
                peer.put(message, Origin(peer=self.sender.name))

    def await_ack(self, peer: Host, deadline: float) -> None:
        if not peer.is_frozen and not self.is_silent:
            self.send_queued()
        elif self.network.clock.now >= deadline:
            self.fail_after(0.0)
        else:
            self.network.after(
                FREEZE_STEP_S, lambda: self.await_ack(peer, deadline)
            )

    def fail_after(self, seconds: float) -> None:
        self.is_connected = False
        self.network.after(seconds, self.back_off)

    def back_off(self) -> None:
        self.queue.clear()
        wait = self.backoff * (0.5 + self.network.random.random())
        self.backoff = min(RECONNECT_MAX_S, 2 * self.backoff)
        self.network.after(wait, self.send_queued)


class Host:
    """One process of a control host, from its start to its end."""

    def __init__(self, network: TimedNetwork, disk: Disk) -> None:
        self.network, self.disk = network, disk
        self.name = disk.member.host
        self.outbox = FakeOutbox()
        self.mailbox: deque[tuple[Any, Origin]] = deque()
        self.links: dict[HostId, Link] = {}
        self.is_ended = self.is_frozen = self.is_syncing = False
        context = Context(
            self.name, network.clock, network.random, self.outbox
        )
        self.controller = ConsensusController(
            context,
            disk.member.member,
            network.get_contacts(self.name),
            disk.ballot,
            disk.snapshot,
            tuple(disk.records),
            network.tolerated_losses,
        )
        network.after(0.0, self.tick)

    @property
    def is_leader(self) -> bool:
        return (
            not self.is_ended and self.controller.role is ConsensusRole.LEADER
        )

    def put(self, message: Any, origin: Origin) -> None:
        if not self.is_ended:
            self.mailbox.append((message, origin))
            self.run_batch()

    def tick(self) -> None:
        if not self.is_ended:
            self.put(Tick(), Origin())
            interval_s = self.controller.tick_interval_s
            self.network.after(interval_s, self.tick)

    def run_batch(self) -> None:
        if self.is_ended or self.is_frozen or self.is_syncing:
            return
        while self.mailbox:
            message, origin = self.mailbox.popleft()
            if isinstance(message, Tick) and self.mailbox:
                ticks = [m for m, _ in self.mailbox if isinstance(m, Tick)]
                if ticks:
                    continue  # a late timer runs once
            self.controller.receive(message, origin)
        self.network.observe(self)
        items = list(self.outbox.persisted)
        sent, replies = list(self.outbox.sent), dict(self.outbox.replies)
        for kept in (self.outbox.persisted, self.outbox.sent):
            kept.clear()
        for cleared in (self.outbox.told, self.outbox.events):
            cleared.clear()
        self.outbox.replies.clear()
        if not items:
            self.send(sent, replies)
            return
        self.is_syncing = True
        sync_s = self.network.get_sync_s(self.name)
        self.network.after(
            sync_s, lambda: self.finish_sync(items, sent, replies)
        )

    def finish_sync(self, items: list, sent: list, replies: dict) -> None:
        if self.is_ended:
            return
        if self.is_frozen:
            self.network.after(
                FREEZE_STEP_S, lambda: self.finish_sync(items, sent, replies)
            )
            return
        self.is_syncing = False
        for item in items:
            self.disk.write(item)
        self.send(sent, replies)
        self.run_batch()

    def send(self, sent: list, replies: dict) -> None:
        for token, value in replies.items():
            self.network.pending.pop(token)(value)
        for peer, message in sent:
            if peer not in self.links:
                self.links[peer] = Link(self.network, self, peer)
            self.links[peer].put(message)


class TimedNetwork:
    """Control hosts with a shared simulated clock.

    Attributes:
        cut: pairs of hosts that can't reach each other.
        listed: hosts that operators know.
        slow_disks: hosts whose disk is slow, with the time of a sync.
    """

    tolerated_losses = 1

    def __init__(self, size: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.clock = FakeClock()
        self.names = [HostId(f"c{n + 1}") for n in range(size)]
        self.listed = list(self.names)
        self.cut: set[frozenset[HostId]] = set()
        self.slow_disks: dict[HostId, float] = {}
        self.pending: dict[ReplyToken, Callable[[Any], None]] = {}
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_count = self.token_count = self.lost_disks = 0
        founders = tuple(
            Member(MemberId(f"{h}.0"), h) for h in self.names[:FOUNDERS]
        )
        self.disks = {
            h: Disk(
                Member(MemberId(f"{h}.0"), h),
                empty_snapshot(
                    Members(founders if h in self.names[:FOUNDERS] else ())
                ),
            )
            for h in self.names
        }
        self.hosts: dict[HostId, Host] = {}
        for name in self.names:
            self.start(name)

    # Time

    def after(self, seconds: float, run: Callable[[], None]) -> None:
        self.event_count += 1
        event = (self.clock.now + seconds, self.event_count, run)
        heapq.heappush(self.events, event)

    def run(self, seconds: float) -> None:
        end = self.clock.now + seconds
        while self.events and self.events[0][0] <= end:
            self.clock.now, _, run = heapq.heappop(self.events)
            run()
        self.clock.now = end

    # Paths

    def get_contacts(self, name: HostId) -> tuple[HostId, ...]:
        """Return the control hosts that a host's settings name."""
        return tuple(self.names)

    def get_path_s(self, one: HostId, other: HostId) -> float:
        regions = {self.names.index(h) % REGIONS for h in (one, other)}
        return WITHIN_REGION_S if len(regions) == 1 else BETWEEN_REGIONS_S

    def has_path(self, one: HostId, other: HostId) -> bool:
        return frozenset((one, other)) not in self.cut

    def get_sync_s(self, name: HostId) -> float:
        return self.slow_disks.get(name, SYNC_S)

    # Faults

    def start(self, name: HostId) -> None:
        if name in self.hosts:
            self.kill(name)
        self.hosts[name] = Host(self, self.disks[name])

    def kill(self, name: HostId) -> None:
        self.hosts[name].is_ended = True

    def lose_disk(self, name: HostId) -> None:
        self.kill(name)
        self.lost_disks += 1
        member = Member(MemberId(f"{name}.x{self.lost_disks}"), name)
        self.disks[name] = Disk(member, empty_snapshot(Members(())))

    def freeze(self, name: HostId) -> None:
        self.hosts[name].is_frozen = True

    def thaw(self, name: HostId) -> None:
        self.hosts[name].is_frozen = False
        self.hosts[name].run_batch()

    def split(self, half: list[HostId]) -> None:
        self.cut |= {
            frozenset((a, b))
            for a in half
            for b in self.names
            if b not in half
        }

    def heal(self) -> None:
        self.cut.clear()

    def silence_connections(self) -> None:
        """Lose all that is sent on open connections; new ones work."""
        for host in self.hosts.values():
            for link in host.links.values():
                link.is_silent = link.is_connected

    # Group

    def find_leader(self) -> Host | None:
        leaders = [h for h in self.hosts.values() if h.is_leader]
        return max(leaders, key=lambda h: h.controller.term, default=None)

    def ask(
        self, name: HostId, message: Any, on_reply: Callable[[Any], None]
    ) -> None:
        self.token_count += 1
        token = ReplyToken(self.token_count)
        self.pending[token] = on_reply
        self.hosts[name].put(message, Origin(reply_token=token))

    def observe(self, host: Host) -> None:
        """Look at a host that has handled messages."""
