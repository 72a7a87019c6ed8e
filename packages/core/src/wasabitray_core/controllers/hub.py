"""A control host as a hub: it gathers news and feeds it to the fleet.

Each entry listens to one hub, so an item crosses to a region once for each
hub there and not once for each entry. Hubs exchange their feeds, and pass
on a third hub's feed to one that lags behind it.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from functools import singledispatchmethod
from typing import Any, ClassVar

from wasabitray_core.controllers.controller import (
    Context,
    Controller,
    Origin,
)
from wasabitray_core.controllers.feed_table import (
    FeedItem,
    FeedTable,
    items_of,
    select,
)
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
from wasabitray_core.local import (
    ControllerName,
    EntriesView,
    FleetView,
    GetStatus,
    GroupContact,
    HostView,
    InForce,
    PeerAddresses,
    Register,
    SeedsChanged,
    SetFlag,
    Spread,
    Tick,
    Withdraw,
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
    Pause,
    Presence,
    Quarantine,
    Unsubscribe,
)
from wasabitray_core.states import HostFlag, TargetPhase

HUB_TICK_S = 0.5
# An entry sends its presence every half second; three may be lost.
ENTRY_TIMEOUT_S = 2.0
HUB_TIMEOUT_S = 3.0
# Longer than two links' delay between regions, so that what is on its way is
# not sent twice.
RESEND_AFTER_S = 0.4
# A third hub's feed is passed on once its reader lags for this long.
RELAY_AFTER_S = 1.0
# The list of hubs changes rarely, so most messages leave it out.
HUBS_EVERY_TICKS = 8
FORGET_HUB_S = 60.0
# A target asks elsewhere after a second without an answer.
CONFIRM_TIMEOUT_S = 2.0

_START = FeedPosition(0)
_NO_DOMAIN = FailureDomainName("")


@dataclass(slots=True)
class _Subscriber:
    """An entry that listens to this hub.

    Attributes:
        acked: how far it has read the feed.
        progress_at: when it last read on, or was last sent what it lacks.
    """

    sent: FeedPosition
    acked: FeedPosition
    progress_at: Seconds
    heard: Seconds
    told_hubs: bool = False


@dataclass(slots=True)
class _Hub:
    """Another hub.

    Attributes:
        marks: how far it has read the feeds of all hubs.
        sent: how far this hub's own feed was sent to it.
        acked: how far it has read that.
        progress_at: when it last read on, or was last sent what it lacks.
        heard: when it was last heard of; never if minus infinity.
    """

    address: HostAddress
    marks: dict[HostId, FeedMark] = field(default_factory=dict)
    sent: FeedPosition = _START
    acked: FeedPosition = _START
    progress_at: Seconds = Seconds(float("-inf"))
    heard: Seconds = Seconds(float("-inf"))


@dataclass(slots=True)
class _Confirmation:
    """A target's leave that waits until a majority of hubs holds it."""

    position: FeedPosition
    origin: Origin
    since: Seconds


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
        self._hubs: dict[HostId, _Hub] = {}
        self._marks: dict[HostId, FeedMark] = {}
        self._advanced: dict[HostId, Seconds] = {}
        self._contact = GroupContact(False, HostId(""), ())
        self._confirmations: list[_Confirmation] = []
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
        self._forget_hubs(now)
        self._confirm()
        presence = self._presence()
        for host in self._known_hubs():
            self._outbox.send(host, presence)
            self._relay(host, now)
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
            self._outbox.report(
                "leader contact",
                present=message.in_contact,
                leader=message.leader,
            )
            for host, subscriber in self._subscribers.items():
                self._feed_entry(host, subscriber, heartbeat=True)

    @receive.register
    def _(self, message: InForce, origin: Origin) -> None:
        self._revision = message.revision

    @receive.register
    def _(self, message: SetFlag, origin: Origin) -> None:
        """Hubs learn of the leader from the control group."""

    @receive.register
    def _(self, message: Spread, origin: Origin) -> None:
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
    def _(self, message: Withdraw, origin: Origin) -> None:
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
            self._outbox.report(
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
        waits = _Confirmation(position, origin, self._now())
        self._confirmations.append(waits)
        self._confirm()

    def _confirm(self) -> None:
        """Acknowledge the leaves that a majority of the hubs holds."""
        voters = self._contact.voters
        if not voters:
            return
        oldest = self._now() - CONFIRM_TIMEOUT_S
        positions = sorted(
            (self._read_by(host) for host in voters), reverse=True
        )
        reached = positions[len(voters) // 2]
        waiting = []
        for confirmation in self._confirmations:
            if confirmation.position <= reached:
                self._reply(confirmation.origin, True)
            elif confirmation.since > oldest:
                waiting.append(confirmation)
        self._confirmations = waiting

    def _read_by(self, host: HostId) -> FeedPosition:
        """Return how far a hub has read this hub's feed."""
        if host == self.host:
            return self._table.position
        hub = self._hubs.get(host)
        mark = hub.marks.get(self.host) if hub else None
        if mark is None or mark.incarnation != self._table.incarnation:
            return _START
        return mark.position

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
        hub = self._hubs.get(sender)
        if hub is not None:
            hub.heard = now
        mark = self._marks.get(message.origin)
        if mark is None or mark.incarnation != message.incarnation:
            mark = FeedMark(message.origin, message.incarnation, _START)
        place = FeedMark(message.origin, message.incarnation, message.position)
        taken = [
            self._table.put(item, sender, now, place)
            for item in items_of(message)
        ]
        if message.after <= mark.position < message.position:
            self._marks[message.origin] = place
            self._advanced[message.origin] = now
        if any(taken):
            self._spread()
        self._learn_hubs(message.hubs)
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
        items: list[FeedItem] = [
            item
            for item in self._table.after(subscriber.sent, host, now)
            if not isinstance(item, EntryState)  # for hubs only
        ]
        if not items and not heartbeat:
            return
        full = not subscriber.told_hubs or not self._ticks % HUBS_EVERY_TICKS
        mark = FeedMark(self.host, self._table.incarnation, subscriber.sent)
        feed = self._feed(mark, self._table.position, items, full)
        self._outbox.send(host, feed)
        subscriber.told_hubs = True
        if subscriber.acked >= subscriber.sent:
            subscriber.progress_at = now  # nothing was under way before
        subscriber.sent = self._table.position

    def _feed_hub(self, host: HostId, hub: _Hub) -> None:
        """Send another hub what came into the fleet here."""
        now = self._now()
        if hub.sent >= self._table.position:
            return
        mark = FeedMark(self.host, self._table.incarnation, hub.sent)
        items = self._table.after_mark(mark, now)
        if not items:
            return
        self._outbox.send(
            host, self._feed(mark, self._table.position, items, False)
        )
        if hub.acked >= hub.sent:
            hub.progress_at = now  # nothing was under way before
        hub.sent = self._table.position

    def _relay(self, host: HostId, now: Seconds) -> None:
        """Pass a third hub's feed on to a hub that lags behind."""
        hub = self._hubs.get(host)
        if hub is None or now - hub.heard > HUB_TIMEOUT_S:
            return
        for origin, mine in self._marks.items():
            theirs = hub.marks.get(origin)
            if origin == host or now - self._advanced[origin] < RELAY_AFTER_S:
                continue
            if theirs is None or theirs.incarnation != mine.incarnation:
                theirs = FeedMark(origin, mine.incarnation, _START)
            if theirs.position >= mine.position:
                continue
            items = self._table.after_mark(theirs, now)
            feed = self._feed(theirs, mine.position, items, False)
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
            self._hub_addresses() if with_hubs else (),
            select(items, Announcement),
            select(items, Ejection),
            select(items, Quarantine),
            select(items, Pause),
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
        hub = self._hubs.get(host)
        if hub is None:
            address = HostAddress(
                host, presence.caller_address, presence.region
            )
            hub = self._hubs[host] = _Hub(address)
            self._tell_addresses((address,))
            self._outbox.send(host, self._presence())
        if now - hub.heard > HUB_TIMEOUT_S:
            self._outbox.report("hub heard", peer=host)
        hub.heard = now
        hub.marks = {m.hub: m for m in presence.marks}
        read = self._read_by(host)
        if read > hub.acked:
            hub.acked, hub.progress_at = read, now
            hub.sent = max(read, hub.sent)
        elif now - hub.progress_at > RESEND_AFTER_S:
            hub.sent = min(read, hub.sent)
            hub.acked, hub.progress_at = read, now
        self._feed_hub(host, hub)
        self._confirm()
        if presence.revision > self._revision:
            self._outbox.send(host, ConfigPull(self._revision))

    def _learn_hubs(self, addresses: tuple[HostAddress, ...]) -> None:
        new = tuple(
            a
            for a in addresses
            if a.host not in self._hubs and a.host != self.host
        )
        for address in new:
            self._hubs[address.host] = _Hub(address, heard=self._now())
        if new:
            self._tell_addresses(new)

    def _tell_addresses(self, addresses: tuple[HostAddress, ...]) -> None:
        news = PeerAddresses(addresses)
        self._outbox.tell(ControllerName.DIRECTORY, news)

    def _known_hubs(self) -> list[HostId]:
        hosts = {*self._hubs, *self._seeds, *self._contact.voters}
        return sorted(hosts - {self.host})

    def _hub_addresses(self) -> tuple[HostAddress, ...]:
        now = self._now()
        heard = (
            h.address
            for h in self._hubs.values()
            if now - h.heard <= HUB_TIMEOUT_S
        )
        return (self._address, *heard)

    def _forget_hubs(self, now: Seconds) -> None:
        for host, hub in list(self._hubs.items()):
            if now - hub.heard > FORGET_HUB_S:
                del self._hubs[host]

    def _presence(self) -> Presence:
        return Presence(
            self._counter,
            self._revision,
            HostFlag.CONTROL,
            self._address.region,
            _NO_DOMAIN,
            self._address.address,
            tuple(self._marks.values()),
        )

    # Entries

    def _hear_entry(self, host: HostId, presence: Presence) -> None:
        now = self._now()
        mark = next((m for m in presence.marks if m.hub == self.host), None)
        read = _START
        if mark is not None and mark.incarnation == self._table.incarnation:
            read = mark.position
        subscriber = self._subscribers.get(host)
        if subscriber is None:
            subscriber = _Subscriber(read, read, now, now)
            self._subscribers[host] = subscriber
            self._outbox.report("entry subscribed", peer=host, position=read)
        elif read > subscriber.acked:
            subscriber.acked, subscriber.progress_at = read, now
        elif now - subscriber.progress_at > RESEND_AFTER_S:
            subscriber.sent = min(read, subscriber.sent)
            subscriber.acked, subscriber.progress_at = read, now
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
        for state in self._entries():
            hub = self._hubs.get(state.hub)
            orphaned = hub is None or now - hub.heard > HUB_TIMEOUT_S
            if state.present and state.hub != self.host and orphaned:
                self._report_silent(state.host)

    def _report_silent(self, host: HostId) -> None:
        held = self._table.find(EntryState, host)
        if held is None or not isinstance(held.item, EntryState):
            return
        state = held.item
        if not state.present:
            return
        here = state.hub == self.host
        age = self._now() - held.since
        if not here and age < HUB_TIMEOUT_S:
            return  # it may just be moving to another hub
        silent = EntryState(
            state.host,
            state.counter,
            False,
            state.flags,
            state.region,
            state.failure_domain,
            state.caller_address,
            state.hub,
        )
        self._outbox.report("entry silent", peer=host, hub=state.hub)
        if self._table.put(silent, self.host, self._now()) is not None:
            self._spread()

    def _entries(self) -> list[EntryState]:
        items = self._table.of_kind(EntryState)
        return [i for i in items if isinstance(i, EntryState)]

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
        self._publish_entries()

    def _publish_entries(self) -> None:
        view = EntriesView(tuple(self._entries()))
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
