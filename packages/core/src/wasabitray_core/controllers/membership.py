"""Heartbeats, contacts and the broadcast of items by gossip.

Items spread by epidemic broadcast: each host sends an item to a few random
peers for a number of rounds that grows with the logarithm of the fleet's
size (Demers et al., "Epidemic algorithms for replicated database
maintenance", PODC 1987).
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from functools import singledispatchmethod
from typing import Any, ClassVar

from msgspec import Struct
from msgspec.structs import replace

from wasabitray_core.controllers.controller import (
    Context,
    Controller,
    Origin,
)
from wasabitray_core.ids import HostId, Revision, Seconds
from wasabitray_core.local_messages import (
    Broadcast,
    ConfigurationApplied,
    ControllerName,
    FleetView,
    GetStatus,
    GroupContact,
    HostView,
    Isolation,
    SendToLeader,
    SetFlag,
    Tick,
)
from wasabitray_core.messages import (
    Announcement,
    ConfigPull,
    Ejection,
    Gossip,
    HostStatus,
    Quarantine,
    TargetReport,
)
from wasabitray_core.states import HostFlag, TargetPhase

GOSSIP_INTERVAL_S = 0.5
GOSSIP_FANOUT = 3
URGENT_FANOUT = 8
MAX_URGENT_PER_ROUND = 16
CONTACT_TIMEOUT_S = 3.0
PEER_EXPIRY_S = 3_600.0
EXTRA_GOSSIP_ROUNDS = 3
MAX_ITEMS_PER_GOSSIP = 64


class _Peer(Struct):
    """A host and when its heartbeat last advanced here."""

    status: HostStatus
    advanced_at: Seconds


class _GossipItem(Struct):
    item: Announcement | Ejection | Quarantine
    remaining_rounds: int


class MembershipController(Controller):
    """Owns what this host knows about the other hosts.

    An entry may serve while it has two-way contact with the leader of the
    control group or with a majority of the entries that the configuration
    lists. The leader accepts no change without a majority of the entries,
    so only an entry that may not serve can miss a change.
    """

    name: ClassVar[ControllerName] = ControllerName.MEMBERSHIP
    tick_interval_s = GOSSIP_INTERVAL_S

    def __init__(
        self,
        context: Context,
        seeds: Iterable[HostId],
        flags: HostFlag,
        observers: Iterable[ControllerName],
        first_counter: int,
    ) -> None:
        """Start with the seeds as the only known peers.

        Args:
            context: shared by all controllers.
            seeds: hosts from the settings; they are contacted first, and
                one of them in each gossip round.
            flags: the role and state of this host.
            observers: controllers that receive each new FleetView.
            first_counter: above any counter of an earlier incarnation here.
        """
        super().__init__(context)
        self._seeds = tuple(h for h in seeds if h != context.host)
        self._flags = flags
        self._observers = tuple(observers)
        self._counter = first_counter
        self._first_counter = first_counter
        self._revision = Revision(0)
        self._entries: frozenset[HostId] = frozenset()
        self._peers: dict[HostId, _Peer] = {}
        self._heartbeat_echoes: dict[HostId, tuple[int, Seconds]] = {}
        self._gossip_items: dict[tuple[type, str], _GossipItem] = {}
        self._isolated = True
        self._urgent_remaining = MAX_URGENT_PER_ROUND

    @property
    def isolated(self) -> bool:
        """Whether this host lacks the contacts that it needs to serve."""
        return self._isolated

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message."""
        raise TypeError(f"{self!r} does not handle {message!r}")

    @receive.register
    def _(self, message: Tick, origin: Origin) -> None:
        self._counter += 1
        self._urgent_remaining = MAX_URGENT_PER_ROUND
        self._gossip()
        self._expire_peers()
        self._publish()

    @receive.register
    def _(self, message: Gossip, origin: Origin) -> None:
        sender = origin.peer
        assert sender is not None
        changed = False
        for status in message.statuses:
            if status.host == self.host:
                self._record_heartbeat_echo(sender, status.counter)
            else:
                changed = self._record_status(status) or changed
        if changed:
            self._publish()
        self._tell_controllers(message)
        self._pull_if_behind(sender)

    @receive.register
    def _(self, message: Broadcast, origin: Origin) -> None:
        item = message.item
        if isinstance(item, TargetReport):
            return  # entries that use gossip eject targets instead
        key = (type(item), _get_subject(item))
        self._gossip_items[key] = _GossipItem(item, self._get_gossip_rounds())
        if _is_urgent(item):
            self._send_urgently(item)

    @receive.register
    def _(self, message: SendToLeader, origin: Origin) -> None:
        for host, peer in self._peers.items():
            if peer.status.flags & HostFlag.LEADER:
                self._outbox.send(host, message.message)

    @receive.register
    def _(self, message: GroupContact, origin: Origin) -> None:
        """Ignored: hosts of a mesh find the leader by its flag."""

    @receive.register
    def _(self, message: SetFlag, origin: Origin) -> None:
        if message.value:
            self._flags |= message.flag
        else:
            self._flags &= ~message.flag
        self._counter += 1
        self._gossip()

    @receive.register
    def _(self, message: ConfigurationApplied, origin: Origin) -> None:
        self._revision = message.revision
        if message.fleet is not None:
            hosts = (HostId(e.host) for e in message.fleet.entries)
            self._entries = frozenset(hosts)
        self._counter += 1
        self._acknowledge_revision()
        self._publish()

    @receive.register
    def _(self, message: GetStatus, origin: Origin) -> None:
        view = self._build_view()
        self._reply(
            origin,
            {
                "isolated": self._isolated,
                "revision": self._revision,
                "hosts": [
                    {
                        "host": v.host,
                        "revision": v.revision,
                        "fresh": v.is_recent,
                        "flags": _get_flag_names(v.flags),
                    }
                    for v in view.hosts
                ],
            },
        )

    # Heartbeats

    def _record_status(self, status: HostStatus) -> bool:
        """Record a newer heartbeat.

        Returns:
            Whether more than the counter changed, or the host is new.
        """
        peer = self._peers.get(status.host)
        if peer is None:
            self._peers[status.host] = _Peer(status, self._now())
            return True
        known_status = peer.status
        if status.counter <= known_status.counter:
            return False
        peer.status = status
        peer.advanced_at = self._now()
        return (status.revision, status.flags) != (
            known_status.revision,
            known_status.flags,
        )

    def _record_heartbeat_echo(self, sender: HostId, counter: int) -> None:
        """Record which heartbeat of this host a peer has received."""
        if counter > self._counter:  # sent by an earlier incarnation
            self._counter = self._first_counter = counter + 1
        elif counter >= self._first_counter:
            self._heartbeat_echoes[sender] = (counter, self._now())

    def _is_heard_by_peers(self) -> bool:
        """Return whether any peer received a recent heartbeat of this host."""
        oldest = self._now() - CONTACT_TIMEOUT_S
        max_lag = int(CONTACT_TIMEOUT_S / GOSSIP_INTERVAL_S)
        return any(
            when >= oldest and counter >= self._counter - max_lag
            for counter, when in self._heartbeat_echoes.values()
        )

    def _expire_peers(self) -> None:
        oldest = self._now() - PEER_EXPIRY_S
        for host, peer in list(self._peers.items()):
            if peer.advanced_at < oldest:
                del self._peers[host]

    # Gossip

    def _get_gossip_rounds(self) -> int:
        return math.ceil(math.log2(len(self._peers) + 2)) + EXTRA_GOSSIP_ROUNDS

    def _gossip(self) -> None:
        gossip_items = list(self._gossip_items.values())[:MAX_ITEMS_PER_GOSSIP]
        gossip = Gossip(
            statuses=self._get_recent_statuses(),
            announcements=_select_by_kind(gossip_items, Announcement),
            ejections=_select_by_kind(gossip_items, Ejection),
            quarantines=_select_by_kind(gossip_items, Quarantine),
        )
        for host in self._choose_peers():
            self._outbox.send(host, self._add_receiver_status(gossip, host))
        for item in gossip_items:
            item.remaining_rounds -= 1
        self._gossip_items = {
            key: item
            for key, item in self._gossip_items.items()
            if item.remaining_rounds > 0
        }

    def _send_urgently(
        self, item: Announcement | Ejection | Quarantine
    ) -> None:
        """Send an urgent item to several entries without waiting for a round.

        The receivers do the same. Control hosts are left out, as only
        entries use these items. Above MAX_URGENT_PER_ROUND, items wait for
        the next round.
        """
        if not self._urgent_remaining:
            return
        self._urgent_remaining -= 1
        entries = sorted(
            (set(self._peers) | self._entries)
            - {self.host}
            - self._get_control_hosts()
        )
        gossip_items = [_GossipItem(item, 1)]
        gossip = Gossip(
            statuses=(self._build_own_status(),),
            announcements=_select_by_kind(gossip_items, Announcement),
            ejections=_select_by_kind(gossip_items, Ejection),
            quarantines=_select_by_kind(gossip_items, Quarantine),
        )
        sample_size = min(URGENT_FANOUT, len(entries))
        for host in self._context.random.sample(entries, sample_size):
            self._outbox.send(host, gossip)

    def _get_control_hosts(self) -> set[HostId]:
        return {
            host
            for host, peer in self._peers.items()
            if peer.status.flags & HostFlag.CONTROL
        }

    def _add_receiver_status(self, gossip: Gossip, host: HostId) -> Gossip:
        """Add the receiver's own status if it has no recent heartbeat.

        If a host's clock went back before a restart, its first counter is
        below the one that its peers know, so they ignore its heartbeats.
        With its own status from a peer it continues above that counter.
        """
        peer = self._peers.get(host)
        if peer is None or peer.status in gossip.statuses:
            return gossip
        return replace(gossip, statuses=(*gossip.statuses, peer.status))

    def _acknowledge_revision(self) -> None:
        """Send the applied revision to the leader immediately.

        The leader waits until a majority of the entries has applied a
        revision.
        """
        acknowledgement = Gossip((self._build_own_status(),))
        for host, peer in self._peers.items():
            if peer.status.flags & HostFlag.LEADER:
                self._outbox.send(host, acknowledgement)

    def _build_own_status(self) -> HostStatus:
        return HostStatus(
            self.host, self._counter, self._revision, self._flags
        )

    def _get_recent_statuses(self) -> tuple[HostStatus, ...]:
        oldest = self._now() - CONTACT_TIMEOUT_S
        recent = (
            p.status for p in self._peers.values() if p.advanced_at >= oldest
        )
        return (self._build_own_status(), *recent)

    def _choose_peers(self) -> list[HostId]:
        hosts = sorted(set(self._peers) | set(self._seeds) | self._entries)
        other_hosts = [h for h in hosts if h != self.host]
        sample_size = min(GOSSIP_FANOUT, len(other_hosts))
        chosen = self._context.random.sample(other_hosts, sample_size)
        if self._seeds and not set(chosen) & set(self._seeds):
            # A seed in each round reconnects a fleet that was partitioned.
            chosen[-1:] = [self._context.random.choice(self._seeds)]
        return chosen

    def _tell_controllers(self, gossip: Gossip) -> None:
        for announcement in gossip.announcements:
            self._outbox.tell(ControllerName.TARGETS, announcement)
        for ejection in gossip.ejections:
            self._outbox.tell(ControllerName.TARGETS, ejection)
        for quarantine in gossip.quarantines:
            self._outbox.tell(ControllerName.QUARANTINE, quarantine)

    def _pull_if_behind(self, sender: HostId) -> None:
        peer = self._peers.get(sender)
        if peer is not None and peer.status.revision > self._revision:
            self._outbox.send(sender, ConfigPull(self._revision))

    # Contacts

    def _build_view(self) -> FleetView:
        oldest = self._now() - CONTACT_TIMEOUT_S
        own = HostView(self.host, self._revision, self._flags, True)
        other_hosts = (
            HostView(
                p.status.host,
                p.status.revision,
                p.status.flags,
                p.advanced_at >= oldest,
            )
            for p in self._peers.values()
        )
        return FleetView((own, *other_hosts))

    def _has_required_contacts(self, view: FleetView) -> bool:
        if not self._is_heard_by_peers():
            return False
        recent = [v for v in view.hosts if v.is_recent and v.host != self.host]
        if any(v.flags & HostFlag.LEADER for v in recent):
            return True
        if not self._entries:
            return False
        reached = {v.host for v in recent} | {self.host}
        return 2 * len(reached & self._entries) > len(self._entries)

    def _publish(self) -> None:
        view = self._build_view()
        isolated = not self._has_required_contacts(view)
        if isolated != self._isolated:
            self._isolated = isolated
            self._outbox.log_event("isolation", isolated=isolated)
        newest = max(v.revision for v in view.hosts if v.is_recent)
        if not self._flags & HostFlag.CONTROL:
            self._outbox.tell(
                ControllerName.CONFIGURATION, Isolation(isolated, newest)
            )
        for controller in self._observers:
            self._outbox.tell(controller, view)


def _is_urgent(item: Announcement | Ejection | Quarantine) -> bool:
    """Return whether an item should not wait for the next gossip round."""
    if isinstance(item, Announcement):
        return item.phase is TargetPhase.LEAVING
    return isinstance(item, Ejection | Quarantine)


def _get_subject(item: Announcement | Ejection | Quarantine) -> str:
    if isinstance(item, Quarantine):
        return item.fingerprint
    return item.target


def _select_by_kind(gossip_items: list[_GossipItem], kind: type) -> tuple:
    return tuple(g.item for g in gossip_items if isinstance(g.item, kind))


def _get_flag_names(flags: HostFlag) -> list[str]:
    return [f.name.lower() for f in HostFlag if f and f in flags and f.name]
