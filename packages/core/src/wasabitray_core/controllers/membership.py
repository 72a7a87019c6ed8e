"""Heartbeats, contacts and the spreading of news by gossip.

News travels as in epidemic broadcast: each host repeats an item to a few
random peers for a number of rounds that grows with the logarithm of the
fleet (Demers et al., "Epidemic algorithms for replicated database
maintenance", PODC 1987).
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace
from functools import singledispatchmethod
from typing import Any, ClassVar

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
URGENT_PER_ROUND = 16
CONTACT_TIMEOUT_S = 3.0
FORGET_AFTER_S = 3_600.0
EXTRA_ROUNDS = 3
MAX_NEWS_PER_GOSSIP = 64


@dataclass(slots=True)
class _Peer:
    """A host and when its heartbeat last advanced here."""

    status: HostStatus
    advanced: Seconds


@dataclass(slots=True)
class _News:
    item: Announcement | Ejection | Quarantine
    rounds: int


class MembershipController(Controller):
    """Owns what this host knows of the other hosts.

    An entry may serve while it is in two-way contact with the leader of the
    control group or with a majority of the entries that the configuration
    lists. The leader accepts no change without a majority of the entries,
    so an entry that may not serve is the only one that can miss a change.
    """

    name: ClassVar[ControllerName] = ControllerName.MEMBERSHIP
    tick_interval_s = GOSSIP_INTERVAL_S

    def __init__(
        self,
        context: Context,
        seeds: Iterable[HostId],
        flags: HostFlag,
        audience: Iterable[ControllerName],
        first_counter: int,
    ) -> None:
        """Start with the seeds as the only known peers.

        Args:
            context: shared by all controllers.
            seeds: hosts from the settings, gossiped to when none is known.
            flags: what this host is.
            audience: controllers that want each new FleetView.
            first_counter: above any counter of an earlier run here.
        """
        super().__init__(context)
        self._seeds = tuple(h for h in seeds if h != context.host)
        self._flags = flags
        self._audience = tuple(audience)
        self._counter = first_counter
        self._first_counter = first_counter
        self._revision = Revision(0)
        self._entries: frozenset[HostId] = frozenset()
        self._peers: dict[HostId, _Peer] = {}
        self._heard_back: dict[HostId, tuple[int, Seconds]] = {}
        self._news: dict[tuple[type, str], _News] = {}
        self._isolated = True
        self._urgent_left = URGENT_PER_ROUND

    @property
    def isolated(self) -> bool:
        """Whether this host lacks the contacts it needs to serve."""
        return self._isolated

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message."""
        raise TypeError(f"{self!r} can't take {message!r}")

    @receive.register
    def _(self, message: Tick, origin: Origin) -> None:
        self._counter += 1
        self._urgent_left = URGENT_PER_ROUND
        self._gossip()
        self._forget_old_peers()
        self._publish()

    @receive.register
    def _(self, message: Gossip, origin: Origin) -> None:
        sender = origin.peer
        assert sender is not None
        news = False
        for status in message.statuses:
            if status.host == self.host:
                self._note_heard_back(sender, status.counter)
            else:
                news = self._note_status(status) or news
        if news:
            self._publish()
        self._pass_on(message)
        self._pull_if_behind(sender)

    @receive.register
    def _(self, message: Broadcast, origin: Origin) -> None:
        item = message.item
        if isinstance(item, TargetReport):
            return  # entries that gossip eject targets instead
        key = (type(item), _subject(item))
        self._news[key] = _News(item, self._rounds())
        if _is_urgent(item):
            self._spread_at_once(item)

    @receive.register
    def _(self, message: GroupContact, origin: Origin) -> None:
        """Hosts of a mesh hear the leader by its flag."""

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
        self._acknowledge()
        self._publish()

    @receive.register
    def _(self, message: GetStatus, origin: Origin) -> None:
        view = self._view()
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
                        "flags": _flag_names(v.flags),
                    }
                    for v in view.hosts
                ],
            },
        )

    # Heartbeats

    def _note_status(self, status: HostStatus) -> bool:
        """Take a newer heartbeat; tell whether it says more than "alive"."""
        known = self._peers.get(status.host)
        if known is None:
            self._peers[status.host] = _Peer(status, self._now())
            return True
        old = known.status
        if status.counter <= old.counter:
            return False
        known.status = status
        known.advanced = self._now()
        return (status.revision, status.flags) != (old.revision, old.flags)

    def _note_heard_back(self, sender: HostId, counter: int) -> None:
        """Record that a peer has heard this host's heartbeat."""
        if counter > self._counter:  # of an earlier run
            self._counter = self._first_counter = counter + 1
        elif counter >= self._first_counter:
            self._heard_back[sender] = (counter, self._now())

    def _heard_lately(self) -> bool:
        """Tell whether any peer has heard a recent heartbeat of this host."""
        oldest = self._now() - CONTACT_TIMEOUT_S
        stale = int(CONTACT_TIMEOUT_S / GOSSIP_INTERVAL_S)
        return any(
            when >= oldest and counter >= self._counter - stale
            for counter, when in self._heard_back.values()
        )

    def _forget_old_peers(self) -> None:
        oldest = self._now() - FORGET_AFTER_S
        for host, peer in list(self._peers.items()):
            if peer.advanced < oldest:
                del self._peers[host]

    # Gossip

    def _rounds(self) -> int:
        return math.ceil(math.log2(len(self._peers) + 2)) + EXTRA_ROUNDS

    def _gossip(self) -> None:
        news = list(self._news.values())[:MAX_NEWS_PER_GOSSIP]
        gossip = Gossip(
            statuses=self._statuses(),
            announcements=_select(news, Announcement),
            ejections=_select(news, Ejection),
            quarantines=_select(news, Quarantine),
        )
        for host in self._choose_peers():
            self._outbox.send(host, self._addressed(gossip, host))
        for entry in news:
            entry.rounds -= 1
        self._news = {k: n for k, n in self._news.items() if n.rounds > 0}

    def _spread_at_once(
        self, item: Announcement | Ejection | Quarantine
    ) -> None:
        """Send urgent news to several entries, which do the same.

        Only entries use news, so control hosts are left out here. When much
        is urgent, the rest goes with the next round.
        """
        if not self._urgent_left:
            return
        self._urgent_left -= 1
        entries = sorted(
            (set(self._peers) | self._entries)
            - {self.host}
            - self._control_hosts()
        )
        news = [_News(item, 1)]
        gossip = Gossip(
            statuses=(self._own_status(),),
            announcements=_select(news, Announcement),
            ejections=_select(news, Ejection),
            quarantines=_select(news, Quarantine),
        )
        count = min(URGENT_FANOUT, len(entries))
        for host in self._context.random.sample(entries, count):
            self._outbox.send(host, gossip)

    def _control_hosts(self) -> set[HostId]:
        return {
            host
            for host, peer in self._peers.items()
            if peer.status.flags & HostFlag.CONTROL
        }

    def _addressed(self, gossip: Gossip, host: HostId) -> Gossip:
        """Add what is known of the receiver, if it seems to be gone.

        A restarted host whose clock went back starts with a counter that
        everyone takes for old; it learns so from its peers.
        """
        peer = self._peers.get(host)
        if peer is None or peer.status in gossip.statuses:
            return gossip
        return replace(gossip, statuses=(*gossip.statuses, peer.status))

    def _acknowledge(self) -> None:
        """Tell the leader at once, which waits for a majority of entries."""
        acknowledgement = Gossip((self._own_status(),))
        for host, peer in self._peers.items():
            if peer.status.flags & HostFlag.LEADER:
                self._outbox.send(host, acknowledgement)

    def _own_status(self) -> HostStatus:
        return HostStatus(
            self.host, self._counter, self._revision, self._flags
        )

    def _statuses(self) -> tuple[HostStatus, ...]:
        oldest = self._now() - CONTACT_TIMEOUT_S
        fresh = (
            p.status for p in self._peers.values() if p.advanced >= oldest
        )
        return (self._own_status(), *fresh)

    def _choose_peers(self) -> list[HostId]:
        known = sorted(set(self._peers) | set(self._seeds) | self._entries)
        others = [h for h in known if h != self.host]
        count = min(GOSSIP_FANOUT, len(others))
        chosen = self._context.random.sample(others, count)
        if self._seeds and not set(chosen) & set(self._seeds):
            # A seed in each round heals a fleet that was cut in two.
            chosen[-1:] = [self._context.random.choice(self._seeds)]
        return chosen

    def _pass_on(self, gossip: Gossip) -> None:
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

    def _view(self) -> FleetView:
        oldest = self._now() - CONTACT_TIMEOUT_S
        own = HostView(self.host, self._revision, self._flags, True)
        others = (
            HostView(
                p.status.host,
                p.status.revision,
                p.status.flags,
                p.advanced >= oldest,
            )
            for p in self._peers.values()
        )
        return FleetView((own, *others))

    def _has_contacts(self, view: FleetView) -> bool:
        if not self._heard_lately():
            return False
        fresh = [v for v in view.hosts if v.is_recent and v.host != self.host]
        if any(v.flags & HostFlag.LEADER for v in fresh):
            return True
        if not self._entries:
            return False
        reached = {v.host for v in fresh} | {self.host}
        return 2 * len(reached & self._entries) > len(self._entries)

    def _publish(self) -> None:
        view = self._view()
        isolated = not self._has_contacts(view)
        if isolated != self._isolated:
            self._isolated = isolated
            self._outbox.log_event("isolation", isolated=isolated)
        newest = max(v.revision for v in view.hosts if v.is_recent)
        if not self._flags & HostFlag.CONTROL:
            self._outbox.tell(
                ControllerName.CONFIGURATION, Isolation(isolated, newest)
            )
        for controller in self._audience:
            self._outbox.tell(controller, view)


def _is_urgent(item: Announcement | Ejection | Quarantine) -> bool:
    """Tell whether news should not wait for the next round of gossip."""
    if isinstance(item, Announcement):
        return item.phase is TargetPhase.LEAVING
    return isinstance(item, Ejection | Quarantine)


def _subject(item: Announcement | Ejection | Quarantine) -> str:
    if isinstance(item, Quarantine):
        return item.fingerprint
    return item.target


def _select(news: list[_News], kind: type) -> tuple:
    return tuple(n.item for n in news if isinstance(n.item, kind))


def _flag_names(flags: HostFlag) -> list[str]:
    return [f.name.lower() for f in HostFlag if f and f in flags and f.name]
