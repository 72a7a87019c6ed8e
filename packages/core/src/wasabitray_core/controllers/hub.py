"""A control host as a hub: it gathers news and feeds it to the fleet.

Each entry listens to one hub, so an item crosses to a region once for each
hub there and not once for each entry. Hubs exchange their feeds, and pass
on a third hub's feed to one that lags behind it.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from functools import singledispatchmethod
from typing import Any, ClassVar

from wasabitray_core.controllers.controller import (
    Context,
    Controller,
    Origin,
)
from wasabitray_core.controllers.feed_readers import (
    START,
    Confirmations,
    Reader,
)
from wasabitray_core.controllers.feed_table import (
    FeedItem,
    FeedTable,
    items_of,
    select,
)
from wasabitray_core.controllers.hub_peers import HubPeers, PeerHub
from wasabitray_core.ids import (
    FailureDomainName,
    FeedPosition,
    HostId,
    Incarnation,
    RegionName,
    Revision,
    Seconds,
    ServiceName,
    TargetId,
)
from wasabitray_core.local_messages import (
    Broadcast,
    ConfigurationApplied,
    ControllerName,
    Deregister,
    EntriesView,
    FleetView,
    GetStatus,
    GroupContact,
    HostView,
    InFlightSubscribers,
    PeerAddresses,
    Register,
    SeedsChanged,
    SetFlag,
    Tick,
)
from wasabitray_core.messages import (
    Announcement,
    ConfigPull,
    Ejection,
    EntryState,
    Feed,
    FeedMark,
    HostAddress,
    News,
    Presence,
    Quarantine,
    TargetReport,
    Unsubscribe,
)
from wasabitray_core.states import HostFlag, TargetPhase

HUB_TICK_S = 0.5
# An entry sends its presence every half second; three may be lost.
ENTRY_TIMEOUT_S = 2.0
# The list of hubs changes rarely, so most messages leave it out.
HUBS_EVERY_TICKS = 8

_NO_DOMAIN = FailureDomainName("")


@dataclass(slots=True)
class _Subscriber:
    """An entry that listens to this hub."""

    reader: Reader
    heard: Seconds
    region: RegionName
    told_hubs: bool = False


class HubController(Controller):
    """Owns a hub's feed and what it knows of entries and other hubs."""

    name: ClassVar[ControllerName] = ControllerName.MEMBERSHIP
    tick_interval_s = HUB_TICK_S

    def __init__(
        self,
        context: Context,
        address: HostAddress,
        incarnation: Incarnation,
        first_counter: int,
    ) -> None:
        """Start without news.

        Args:
            context: shared by all controllers.
            address: this hub's own.
            incarnation: this run of the hub.
            first_counter: above any counter of an earlier run here.
        """
        super().__init__(context)
        self._address = address
        self._table = FeedTable(context.host, incarnation)
        self._counter = first_counter
        self._revision = Revision(0)
        self._seeds: tuple[HostId, ...] = ()
        self._subscribers: dict[HostId, _Subscriber] = {}
        self._hubs = HubPeers(context.host, incarnation)
        self._contact = GroupContact(False, HostId(""), ())
        self._confirmations = Confirmations()
        self._ticks = 0
        self._present = 0

    @property
    def table(self) -> FeedTable:
        """The hub's feed."""
        return self._table

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message."""
        raise TypeError(f"{self!r} can't take {message!r}")

    @receive.register
    def _(self, message: Tick, origin: Origin) -> None:
        self._ticks += 1
        self._counter += 1
        now = self._now()
        self._table.expire(now)
        self._drop_silent_entries(now)
        self._hubs.forget(now)
        self._confirm()
        presence = self._presence()
        for host in self._known_hubs():
            self._outbox.send(host, presence)
            self._relay(host, now)
            if not self._ticks % HUBS_EVERY_TICKS:
                self._introduce(host)
        for host, subscriber in self._subscribers.items():
            self._feed_entry(host, subscriber, heartbeat=True)
        self._publish()

    @receive.register
    def _(self, message: SeedsChanged, origin: Origin) -> None:
        self._seeds = tuple(h for h in message.seeds if h != self.host)

    @receive.register
    def _(self, message: GroupContact, origin: Origin) -> None:
        lost = self._contact.in_contact and not message.in_contact
        regained = message.in_contact and not self._contact.in_contact
        self._contact = message
        if lost or regained:
            self._outbox.log_event(
                "leader contact",
                present=message.in_contact,
                leader=message.leader,
            )
            for host, subscriber in self._subscribers.items():
                self._feed_entry(host, subscriber, heartbeat=True)

    @receive.register
    def _(self, message: ConfigurationApplied, origin: Origin) -> None:
        self._revision = message.revision

    @receive.register
    def _(self, message: SetFlag, origin: Origin) -> None:
        """Hubs learn of the leader from the control group."""

    @receive.register
    def _(self, message: Broadcast, origin: Origin) -> None:
        self._take((message.item,), self.host)

    @receive.register
    def _(self, message: News, origin: Origin) -> None:
        assert origin.peer is not None
        self._take(items_of(message), origin.peer)

    @receive.register
    def _(self, message: GetStatus, origin: Origin) -> None:
        self._reply(
            origin,
            {
                "feed": repr(self._table),
                "in_contact": self._contact.in_contact,
                "leader": self._contact.leader,
                "voters": list(self._contact.voters),
                "entries": {
                    e.host: {"present": e.present, "hub": e.hub}
                    for e in self._entries()
                },
                "subscribers": sorted(self._subscribers),
                "hubs": sorted(self._known_hubs()),
            },
        )

    # Targets

    @receive.register
    def _(self, message: Register, origin: Origin) -> None:
        self._register(message.announcement, origin)

    @receive.register
    def _(self, message: Deregister, origin: Origin) -> None:
        held = self._table.find(Announcement, message.target)
        known = held.item if held else None
        if not isinstance(known, Announcement):
            known = _unknown_target(message.target)
        generation = message.generation
        if generation is None:
            generation = known.generation
        if generation < known.generation:
            self._reply(origin, True)  # a later run has the name
            return
        gone = replace(known, generation=generation, phase=TargetPhase.LEAVING)
        self._register(gone, origin)

    def _register(self, announcement: Announcement, origin: Origin) -> None:
        known = self._table.find(Announcement, announcement.target)
        fresh = self._table.put(announcement, self.host, self._now())
        if fresh is not None:
            self._outbox.log_event(
                "target announced",
                target=announcement.target,
                service=announcement.service,
                phase=announcement.phase.name.lower(),
                generation=announcement.generation,
                sequence=announcement.sequence,
                address=announcement.address,
            )
            self._spread()
        if announcement.phase is TargetPhase.ACTIVE:
            self._reply(origin, True)
            return
        held = fresh or known
        assert held is not None
        if held.origin.hub != self.host:
            position = self._table.renew(Announcement, announcement.target)
            self._spread()
        else:
            position = held.origin.position
        self._confirmations.add(position, origin, self._now())
        self._confirm()

    def _confirm(self) -> None:
        """Acknowledge the leaves that a majority of the hubs holds."""
        voters = self._contact.voters
        if not voters:
            return
        read = sorted((self._read_by(host) for host in voters), reverse=True)
        reached = read[len(voters) // 2]
        for origin in self._confirmations.take(reached, self._now()):
            self._reply(origin, True)

    def _read_by(self, host: HostId) -> FeedPosition:
        """Return how far a hub has read this hub's feed."""
        if host == self.host:
            return self._table.position
        return self._hubs.read_by(host)

    # News

    def _take(self, items: Any, sender: HostId) -> None:
        now = self._now()
        taken = [self._table.put(item, sender, now) for item in items]
        if any(taken):
            self._spread()

    @receive.register
    def _(self, message: Feed, origin: Origin) -> None:
        sender = origin.peer
        assert sender is not None
        now = self._now()
        place = self._hubs.note_feed(sender, message, now)
        taken = [
            self._table.put(item, sender, now, place)
            for item in items_of(message)
        ]
        if any(taken):
            self._spread()
        self._tell_addresses(self._hubs.learn(message.hubs, now))
        self._outbox.send(sender, self._presence())

    def _spread(self) -> None:
        """Send what is new to the entries and the other hubs."""
        for host, subscriber in self._subscribers.items():
            self._feed_entry(host, subscriber)
        for host, hub in self._hubs.items():
            self._feed_hub(host, hub)
        self._publish_entries()

    def _feed_entry(
        self, host: HostId, subscriber: _Subscriber, heartbeat: bool = False
    ) -> None:
        now = self._now()
        items = list(self._table.after(subscriber.reader.sent, host, now))
        if not items and not heartbeat:
            return
        full = not subscriber.told_hubs or not self._ticks % HUBS_EVERY_TICKS
        sent = subscriber.reader.sent
        mark = FeedMark(self.host, self._table.incarnation, sent)
        feed = self._feed(mark, self._table.position, items, full)
        self._outbox.send(host, feed)
        subscriber.told_hubs = True
        subscriber.reader.note_sent(self._table.position, now)

    def _feed_hub(self, host: HostId, hub: PeerHub) -> None:
        """Send another hub what came into the fleet here."""
        now = self._now()
        sent = hub.reader.sent
        if sent >= self._table.position:
            return
        mark = FeedMark(self.host, self._table.incarnation, sent)
        items = self._table.after_mark(mark, now)
        if not items:
            return
        self._outbox.send(
            host, self._feed(mark, self._table.position, items, False)
        )
        hub.reader.note_sent(self._table.position, now)

    def _introduce(self, host: HostId) -> None:
        """Tell another hub of all hubs: those given to each may differ."""
        hub = self._hubs.find(host)
        if hub is not None:
            sent = hub.reader.sent
            mark = FeedMark(self.host, self._table.incarnation, sent)
            self._outbox.send(host, self._feed(mark, sent, [], True))

    def _relay(self, host: HostId, now: Seconds) -> None:
        """Pass a third hub's feed on to a hub that lags behind."""
        for theirs, position in self._hubs.lacking(host, now):
            items = self._table.after_mark(theirs, now)
            feed = self._feed(theirs, position, items, False)
            self._outbox.send(host, feed)

    def _feed(
        self,
        mark: FeedMark,
        position: FeedPosition,
        items: list[FeedItem],
        with_hubs: bool,
    ) -> Feed:
        return Feed(
            mark.hub,
            mark.incarnation,
            mark.position,
            position,
            self._revision,
            self._contact.in_contact,
            self._present,
            self._all_addresses() if with_hubs else (),
            select(items, Announcement),
            select(items, Ejection),
            select(items, Quarantine),
            select(items, TargetReport),
            select(items, EntryState),
        )

    # Hubs

    @receive.register
    def _(self, message: Presence, origin: Origin) -> None:
        assert origin.peer is not None
        if message.flags & HostFlag.CONTROL:
            self._hear_hub(origin.peer, message)
        else:
            self._hear_entry(origin.peer, message)

    def _hear_hub(self, host: HostId, presence: Presence) -> None:
        now = self._now()
        silent = self._hubs.is_silent(host, now)
        is_new = self._hubs.find(host) is None
        hub = self._hubs.hear(host, presence, now)
        if is_new:
            self._tell_addresses((hub.address,))
            self._outbox.send(host, self._presence())
            self._introduce(host)
        if silent:
            self._outbox.log_event("hub heard", peer=host)
        self._feed_hub(host, hub)
        self._confirm()
        if presence.revision > self._revision:
            self._outbox.send(host, ConfigPull(self._revision))

    def _tell_addresses(self, addresses: tuple[HostAddress, ...]) -> None:
        if addresses:
            news = PeerAddresses(addresses)
            self._outbox.tell(ControllerName.DIRECTORY, news)

    def _known_hubs(self) -> list[HostId]:
        hosts = {
            *dict(self._hubs.items()),
            *self._seeds,
            *self._contact.voters,
        }
        return sorted(hosts - {self.host})

    def _all_addresses(self) -> tuple[HostAddress, ...]:
        return (self._address, *self._hubs.addresses(self._now()))

    def _presence(self) -> Presence:
        return Presence(
            self._counter,
            self._revision,
            HostFlag.CONTROL,
            self._address.region,
            _NO_DOMAIN,
            self._address.address,
            self._hubs.marks,
        )

    # Entries

    def _hear_entry(self, host: HostId, presence: Presence) -> None:
        now = self._now()
        mark = next((m for m in presence.marks if m.hub == self.host), None)
        read = START
        if mark is not None and mark.incarnation == self._table.incarnation:
            read = mark.position
        subscriber = self._subscribers.get(host)
        if subscriber is None:
            subscriber = _Subscriber(
                Reader(read, read, now), now, presence.region
            )
            self._subscribers[host] = subscriber
            self._outbox.log_event(
                "entry subscribed", peer=host, position=read
            )
        subscriber.reader.note_read(read, now)
        subscriber.heard = now
        state = EntryState(
            host,
            presence.counter,
            True,
            presence.flags,
            presence.region,
            presence.failure_domain,
            presence.caller_address,
            self.host,
        )
        if self._table.put(state, host, now) is not None:
            self._spread()
        self._feed_entry(host, subscriber)
        if not subscriber.told_hubs:
            self._feed_entry(host, subscriber, heartbeat=True)

    @receive.register
    def _(self, message: Unsubscribe, origin: Origin) -> None:
        assert origin.peer is not None
        self._subscribers.pop(origin.peer, None)

    def _drop_silent_entries(self, now: Seconds) -> None:
        for host, subscriber in list(self._subscribers.items()):
            if now - subscriber.heard > ENTRY_TIMEOUT_S:
                del self._subscribers[host]
                self._report_silent(host)

    def _report_silent(self, host: HostId) -> None:
        held = self._table.find(EntryState, host)
        state = held.item if held else None
        if not isinstance(state, EntryState) or state.hub != self.host:
            return  # it listens to another hub by now
        self._outbox.log_event("entry silent", peer=host, hub=state.hub)
        silent = replace(state, present=False)
        if self._table.put(silent, self.host, self._now()) is not None:
            self._spread()

    def _entries(self) -> tuple[EntryState, ...]:
        """Return the entries; those of a silent hub count as absent.

        That is not told to others: they may hear the hub.
        """
        now = self._now()
        return tuple(
            replace(state, present=False)
            if state.hub != self.host and self._hubs.is_silent(state.hub, now)
            else state
            for state in self._table.of_kind(EntryState)
            if isinstance(state, EntryState)
        )

    # Publishing

    def _publish(self) -> None:
        """Tell local controllers which hosts are there."""
        own = HostView(self.host, self._revision, HostFlag.CONTROL, True)
        entries = (
            HostView(h, Revision(0), HostFlag.NONE, True)
            for h in self._subscribers
        )
        hubs = (
            HostView(h, Revision(0), HostFlag.CONTROL, True)
            for h in self._known_hubs()
        )
        view = FleetView((own, *entries, *hubs))
        self._outbox.tell(ControllerName.CONFIGURATION, view)
        self._outbox.tell(ControllerName.CONSENSUS, view)
        readers = InFlightSubscribers(self._near_entries(), self._near_hubs())
        self._outbox.tell(ControllerName.SHARED_WORK, readers)
        self._publish_entries()

    def _near_entries(self) -> tuple[HostId, ...]:
        """Return the subscribers of this region.

        One of another region does without word of work in flight: it is of
        targets that are far from it, and dear to bring there.
        """
        return tuple(
            host
            for host, subscriber in self._subscribers.items()
            if subscriber.region == self._address.region
        )

    def _near_hubs(self) -> tuple[HostId, ...]:
        return tuple(
            hub.host
            for hub in self._hubs.addresses(self._now())
            if hub.region == self._address.region
        )

    def _publish_entries(self) -> None:
        view = EntriesView(self._entries())
        self._present = sum(1 for e in view.entries if e.present)
        self._outbox.tell(ControllerName.ADDRESSES, view)


def _unknown_target(target: TargetId) -> Announcement:
    """Return a word for a target that this hub has not heard of."""
    return Announcement(
        target,
        ServiceName(""),
        RegionName(""),
        _NO_DOMAIN,
        1,
        0,
        0,
        TargetPhase.LEAVING,
        0.0,
    )
