"""A control host's hub, which collects items and sends them to the fleet.

Each entry subscribes to one hub, so an item is sent to a region once for
each hub there and not once for each entry. Hubs exchange their feeds, and
forward a third hub's feed to a hub that lags behind in it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from functools import singledispatchmethod
from typing import Any, ClassVar, TypeGuard

from msgspec import Struct
from msgspec.structs import replace

from wasabitray_core.controllers.controller import (
    Context,
    Controller,
    Origin,
)
from wasabitray_core.controllers.crashes import must_be_stored
from wasabitray_core.controllers.departures import UnstoredDepartures
from wasabitray_core.controllers.feed_readers import (
    FEED_START,
    WINDOW_ITEMS,
    FeedReader,
    PendingConfirmations,
)
from wasabitray_core.controllers.feed_table import (
    FeedItem,
    FeedPart,
    FeedRecord,
    FeedTable,
    is_urgent,
    iterate_items,
    select_by_kind,
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
    DeparturesStored,
    Deregister,
    EntriesView,
    FleetView,
    GetStatus,
    GroupContact,
    HostView,
    InFlightSubscribers,
    PeerAddresses,
    Register,
    RestoredQuarantine,
    SeedsChanged,
    SetFlag,
    StoreDepartures,
    StoreQuarantines,
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
from wasabitray_core.nearness import Nearness, get_nearness
from wasabitray_core.states import SUBSCRIPTION_FLAGS, HostFlag, TargetPhase

HUB_TICK_INTERVAL_S = 0.5
# Entries send a heartbeat every half second; three in a row may be lost.
ENTRY_TIMEOUT_S = 2.0
# The list of hubs changes rarely, so most feed messages leave it out.
HUB_LIST_INTERVAL_TICKS = 8
# Hubs send heartbeats every half second. An isolated hub lists only those that
# it heard since, so that entries can tell which side of a cut it is on.
ISOLATED_LIST_WITHIN_S = 1.0
# News that can wait is gathered for this long. When a fleet starts, each entry
# and each target is news for all entries.
GATHER_INTERVAL_S = 0.2
# Each piece of news concerns all subscribers. A hub that has many of them
# gathers urgent news too, which bounds its processor time.
MAX_MESSAGES_PER_S = 400.0

_NO_DOMAIN = FailureDomainName("")
_NEVER = Seconds(math.inf)


_FeedParts = dict[FeedPosition, FeedPart | None]
"""The part of the feed after a position, None if it is too long to share."""


class _Subscriber(Struct):
    """An entry that subscribes to this hub.

    Attributes:
        reader: its read position in this hub's feed.
        last_contact: when its last heartbeat arrived.
        started_at: position in the feed when it began to read from the
            start. It has lost what it sent before, if it had restarted.
        has_hub_list: whether the current list of hubs was sent to it.
    """

    reader: FeedReader
    last_contact: Seconds
    region: RegionName
    started_at: FeedPosition = FEED_START
    has_hub_list: bool = False


class HubController(Controller):
    """Owns a hub's feed and the known state of entries and other hubs."""

    name: ClassVar[ControllerName] = ControllerName.MEMBERSHIP

    def __init__(
        self,
        context: Context,
        address: HostAddress,
        incarnation: Incarnation,
        first_counter: int,
        stored_departures: tuple[Announcement, ...] | None = None,
        quarantines: tuple[RestoredQuarantine, ...] = (),
    ) -> None:
        """Start with a feed of the items on this hub's disk alone.

        Args:
            context: shared by all controllers.
            address: this hub's own address.
            incarnation: the hub's incarnation; a new one after each start.
            first_counter: above any counter of an earlier incarnation here.
            stored_departures: departures of targets on this hub's disk; None
                if it stores none.
            quarantines: requests that crashed targets, from the same disk.
        """
        super().__init__(context)
        self._stores_departures = stored_departures is not None
        self._unstored = UnstoredDepartures()
        self._address = address
        self._table = FeedTable(context.host, incarnation)
        self._counter = first_counter
        self._revision = Revision(0)
        self._seeds: tuple[HostId, ...] = ()
        self._subscribers: dict[HostId, _Subscriber] = {}
        self._hubs = HubPeers(context.host, incarnation)
        self._group_contact = GroupContact(False, HostId(""), ())
        self._was_in_contact = False
        self._pending_departures = PendingConfirmations()
        self._ticks = 0
        self._present_entry_count = 0
        self._next_heartbeat_at = context.clock()
        self._broadcast_at = Seconds(-math.inf)
        self._next_broadcast_at = _NEVER
        for departure in stored_departures or ():
            self._table.put(departure, self.host, self._now())
        self._restored_position = self._table.position
        for restored in quarantines:
            stored_at = Seconds(self._now() - restored.age_s)
            self._table.put(restored.record, self.host, stored_at)

    @property
    def tick_interval_s(self) -> float:  # type: ignore[override]
        """Seconds between ticks; shorter while news waits to be sent."""
        due = min(self._next_heartbeat_at, self._next_broadcast_at)
        return max(0.0, due - self._now())

    @property
    def _is_in_contact(self) -> bool:
        """Whether this host hears the leader, as it reported lately."""
        contact = self._group_contact
        return contact.in_contact and self._now() <= contact.valid_until

    @property
    def table(self) -> FeedTable:
        """The hub's feed."""
        return self._table

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message."""
        raise TypeError(f"{self!r} does not handle {message!r}")

    @receive.register
    def _(self, message: Tick, origin: Origin) -> None:
        now = self._now()
        if now >= self._next_heartbeat_at:
            self._next_heartbeat_at = Seconds(now + HUB_TICK_INTERVAL_S)
            self._send_heartbeats(now)
        elif now >= self._next_broadcast_at:
            self._broadcast()

    def _send_heartbeats(self, now: Seconds) -> None:
        self._ticks += 1
        self._counter += 1
        self._review_leader_contact()
        self._table.expire(now)
        self._drop_unresponsive_entries(now)
        for mark in self._hubs.find_silent_marks(now):
            self._table.adopt_after(mark)
        self._hubs.expire_hubs(now)
        self._confirm_departures()
        presence = self._build_presence()
        for host in self._get_known_hubs():
            self._outbox.send(host, presence)
            self._forward_feeds(host, now)
            if not self._ticks % HUB_LIST_INTERVAL_TICKS:
                self._send_hub_list(host)
        self._send_to_entries(heartbeat=True)
        self._send_to_hubs()
        self._record_broadcast(now)
        self._publish()

    @receive.register
    def _(self, message: SeedsChanged, origin: Origin) -> None:
        self._seeds = tuple(h for h in message.seeds if h != self.host)

    @receive.register
    def _(self, message: GroupContact, origin: Origin) -> None:
        self._group_contact = message
        self._review_leader_contact()

    def _review_leader_contact(self) -> None:
        """Tell the entries at once when contact with the leader changes."""
        is_present = self._is_in_contact
        if is_present == self._was_in_contact:
            return
        self._was_in_contact = is_present
        contact = self._group_contact
        self._outbox.log_event(
            "leader contact",
            present=is_present,
            leader=contact.leader,
            reported=contact.in_contact,
        )
        self._send_to_entries(heartbeat=True)

    @receive.register
    def _(self, message: ConfigurationApplied, origin: Origin) -> None:
        self._revision = message.revision

    @receive.register
    def _(self, message: SetFlag, origin: Origin) -> None:
        """Ignored: hubs know the leader from the control group."""

    @receive.register
    def _(self, message: Broadcast, origin: Origin) -> None:
        self._apply_items((message.item,), self.host)

    @receive.register
    def _(self, message: News, origin: Origin) -> None:
        assert origin.peer is not None
        self._apply_items(iterate_items(message), origin.peer)

    @receive.register
    def _(self, message: GetStatus, origin: Origin) -> None:
        self._reply(
            origin,
            {
                "feed": repr(self._table),
                "in_contact": self._is_in_contact,
                "leader": self._group_contact.leader,
                "voters": list(self._group_contact.voters),
                "entries": {
                    e.host: {"present": e.present, "hub": e.hub}
                    for e in self._get_entry_states()
                },
                "subscribers": sorted(self._subscribers),
                "hubs": sorted(self._get_known_hubs()),
            },
        )

    # Targets

    @receive.register
    def _(self, message: Register, origin: Origin) -> None:
        self._register(message.announcement, origin)

    @receive.register
    def _(self, message: Deregister, origin: Origin) -> None:
        record = self._table.find(Announcement, message.target)
        announcement = record.item if record else None
        if not isinstance(announcement, Announcement):
            announcement = _build_leaving_announcement(message.target)
        generation = message.generation
        if generation is None:
            generation = announcement.generation
            if record is None or self._is_restored(record):
                # Other hubs may know a later generation, which has to end too.
                generation = max(generation, message.newest_generation)
        if generation < announcement.generation:
            self._reply(origin, True)  # a later generation uses the name
            return
        departure = replace(
            announcement, generation=generation, phase=TargetPhase.LEAVING
        )
        self._register(departure, origin)

    def _is_restored(self, record: FeedRecord) -> bool:
        """Return whether nothing but this hub's disk has shown a record."""
        return record.position <= self._restored_position

    def _register(self, announcement: Announcement, origin: Origin) -> None:
        known_record = self._table.find(Announcement, announcement.target)
        mark = self._build_own_mark()
        new_record = self._table.put(announcement, self.host, self._now())
        self._store_departures([new_record])
        if new_record is not None:
            self._outbox.log_event(
                "target announced",
                target=announcement.target,
                service=announcement.service,
                phase=announcement.phase.name.lower(),
                generation=announcement.generation,
                sequence=announcement.sequence,
                address=announcement.address,
            )
            self._spread([new_record])
        if announcement.phase is TargetPhase.ACTIVE:
            self._reply(origin, True)
            return
        record = new_record or known_record
        assert record is not None
        self._unstored.hold(mark, [announcement.target])
        if record.origin.hub != self.host:
            position = self._table.republish(Announcement, announcement.target)
            self._broadcast()
        else:
            position = record.origin.position
        self._pending_departures.add(position, origin, self._now())
        self._confirm_departures()

    def _confirm_departures(self) -> None:
        """Acknowledge the departures that a majority of the hubs holds."""
        voters = self._group_contact.voters
        if not voters:
            return
        positions = sorted(
            (self._get_read_position(host) for host in voters), reverse=True
        )
        reached = positions[len(voters) // 2]
        for origin in self._pending_departures.pop_confirmed(
            reached, self._now()
        ):
            self._reply(origin, True)

    def _get_read_position(self, host: HostId) -> FeedPosition:
        """Return a hub's read position in this hub's feed."""
        if host == self.host:
            return self._unstored.limit_mark(self._build_own_mark()).position
        return self._hubs.get_read_position(host)

    # Feed items

    def _apply_items(self, items: Any, sender: HostId) -> None:
        now = self._now()
        records = [self._table.put(item, sender, now) for item in items]
        self._store(records)
        self._spread(records)

    def _build_own_mark(self) -> FeedMark:
        table = self._table
        return FeedMark(self.host, table.incarnation, table.position)

    def _store(self, records: list[FeedRecord | None]) -> None:
        """Write the new items among records that must outlive a restart."""
        self._store_departures(records)
        items = (record.item for record in records if record is not None)
        quarantines = tuple(
            item
            for item in items
            if isinstance(item, Quarantine) and must_be_stored(item)
        )
        if quarantines:
            request = StoreQuarantines(quarantines)
            self._outbox.tell(ControllerName.TRIALS, request)

    def _store_departures(self, records: Iterable[FeedRecord | None]) -> None:
        """Write the new departures among records to disk."""
        departures = tuple(
            record.item
            for record in records
            if record is not None and _is_departure(record.item)
        )
        if not departures or not self._stores_departures:
            return
        for departure in departures:
            self._unstored.add(departure)
        request = StoreDepartures(departures)
        self._outbox.tell(ControllerName.DEPARTURES, request)

    @receive.register
    def _(self, message: DeparturesStored, origin: Origin) -> None:
        hubs = self._unstored.remove(message.departures)
        presence = self._build_presence()
        for host in hubs - {self.host}:
            self._outbox.send(host, presence)
        self._confirm_departures()

    @receive.register
    def _(self, message: Feed, origin: Origin) -> None:
        sender = origin.peer
        assert sender is not None
        now = self._now()
        read_before = self._hubs.get_mark(message.origin, message.incarnation)
        reached = self._hubs.record_feed(sender, message, now)
        records = [
            self._table.put(item, sender, now, reached)
            for item in iterate_items(message)
        ]
        self._store(records)
        departures = filter(_is_departure, message.announcements)
        self._unstored.hold(read_before, [d.target for d in departures])
        self._spread(records)
        current = self._hubs.find_restart(sender, message)
        if current is not None and self._table.adopt(message.origin, current):
            self._plan_broadcast(Seconds(now + GATHER_INTERVAL_S))
        new_hubs = self._hubs.add_hubs(message.hubs, now)
        if new_hubs:
            self._send_to_directory(new_hubs)
            for address in new_hubs:
                self._introduce(address.host)
            self._renew_hub_lists(now)
        self._outbox.send(sender, self._build_presence())

    def _spread(self, records: Iterable[FeedRecord | None]) -> None:
        """Send new items as soon as the bound on messages allows.

        Items that are not urgent wait for others.
        """
        new_items = [r.item for r in records if r is not None]
        if not new_items:
            return
        now = self._now()
        if not any(is_urgent(item) for item in new_items):
            self._plan_broadcast(Seconds(now + GATHER_INTERVAL_S))
            return
        messages = len(self._subscribers) + len(self._hubs.hosts)
        pause = messages / MAX_MESSAGES_PER_S
        self._plan_broadcast(Seconds(self._broadcast_at + pause))
        if now >= self._next_broadcast_at:
            self._broadcast()

    def _plan_broadcast(self, at: Seconds) -> None:
        self._next_broadcast_at = min(self._next_broadcast_at, at)

    def _record_broadcast(self, now: Seconds) -> None:
        self._broadcast_at = now
        self._next_broadcast_at = _NEVER

    def _broadcast(self) -> None:
        """Send new items to the entries and the other hubs."""
        self._record_broadcast(self._now())
        self._send_to_entries()
        self._send_to_hubs()
        self._publish_entries()

    def _send_to_entries(self, heartbeat: bool = False) -> None:
        """Send all entries what they lack; most get the same message."""
        parts: _FeedParts = {}
        for host, subscriber in self._subscribers.items():
            self._send_to_entry(host, subscriber, heartbeat, parts)

    def _send_to_entry(
        self,
        host: HostId,
        subscriber: _Subscriber,
        heartbeat: bool = False,
        parts: _FeedParts | None = None,
    ) -> None:
        """Send an entry the items that it lacks.

        Args:
            host: the entry.
            subscriber: its state.
            heartbeat: whether to send a message without items too.
            parts: what other entries get at the same time.
        """
        now = self._now()
        reader = subscriber.reader
        part = self._get_part(host, subscriber, parts, now)
        if not part.items and not heartbeat and subscriber.has_hub_list:
            return
        with_hubs = (
            not subscriber.has_hub_list
            or not self._ticks % HUB_LIST_INTERVAL_TICKS
            or not self._is_in_contact
        )
        feed = part.messages.get(with_hubs)
        if feed is None:
            mark = FeedMark(self.host, self._table.incarnation, reader.sent)
            feed = self._build_feed(mark, part.reached, part.items, with_hubs)
            part.messages[with_hubs] = feed
        self._outbox.send(host, feed)
        subscriber.has_hub_list = True
        reader.record_sent(part.reached, len(part.items), now)

    def _get_part(
        self,
        host: HostId,
        subscriber: _Subscriber,
        parts: _FeedParts | None,
        now: Seconds,
    ) -> FeedPart:
        """Return what an entry lacks, shared with others if possible."""
        reader = subscriber.reader
        if parts is not None:
            if reader.sent not in parts:
                parts[reader.sent] = self._table.get_part_after(
                    reader.sent, now, WINDOW_ITEMS
                )
            shared = parts[reader.sent]
            if (
                shared is not None
                and host not in shared.senders
                and len(shared.items) <= reader.window
            ):
                return shared
        items, reached = self._table.get_items_after(
            reader.sent, host, now, reader.window, subscriber.started_at
        )
        return FeedPart(items, reached)

    def _send_to_hubs(self) -> None:
        """Send all other hubs what they lack; most get the same message."""
        feeds: dict[FeedPosition, Feed | None] = {}
        for host, hub in self._hubs.items():
            self._send_to_hub(host, hub, feeds)

    def _send_to_hub(
        self,
        host: HostId,
        hub: PeerHub,
        feeds: dict[FeedPosition, Feed | None] | None = None,
    ) -> None:
        """Send another hub the new items that entered the fleet here.

        Args:
            host: the hub.
            hub: its state.
            feeds: what other hubs get at the same time, by their position.
        """
        sent = hub.reader.sent
        if sent >= self._table.own_position:
            return
        known = {} if feeds is None else feeds
        if sent not in known:
            known[sent] = self._build_own_feed(sent)
        feed = known[sent]
        if feed is None:
            return
        self._outbox.send(host, feed)
        count = sum(1 for _ in iterate_items(feed))
        hub.reader.record_sent(feed.position, count, self._now())

    def _build_own_feed(self, sent: FeedPosition) -> Feed | None:
        """Return the items that entered the fleet here, None without any."""
        mark = FeedMark(self.host, self._table.incarnation, sent)
        items = self._table.get_items_after_mark(mark, self._now())
        if not items:
            return None
        return self._build_feed(mark, self._table.position, items, False)

    def _renew_hub_lists(self, now: Seconds) -> None:
        """Send the changed list of hubs to the entries soon.

        An entry may be far from this hub and near to the one that was added.
        """
        for subscriber in self._subscribers.values():
            subscriber.has_hub_list = False
        self._plan_broadcast(Seconds(now + GATHER_INTERVAL_S))

    def _introduce(self, host: HostId) -> None:
        """Send another hub what it needs to send its feed here."""
        self._outbox.send(host, self._build_presence())
        self._send_hub_list(host)

    def _send_hub_list(self, host: HostId) -> None:
        """Send the list of hubs to another hub, whose seeds may differ."""
        hub = self._hubs.find(host)
        if hub is not None:
            sent = hub.reader.sent
            mark = FeedMark(self.host, self._table.incarnation, sent)
            self._outbox.send(host, self._build_feed(mark, sent, [], True))

    def _forward_feeds(self, host: HostId, now: Seconds) -> None:
        """Forward third hubs' feeds to a hub that lags behind in them."""
        for peer_mark, position in self._hubs.find_lagging_feeds(host, now):
            items = self._table.get_items_after_mark(peer_mark, now)
            feed = self._build_feed(peer_mark, position, items, False)
            self._outbox.send(host, feed)

    def _build_feed(
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
            self._is_in_contact,
            self._present_entry_count,
            self._get_hub_addresses() if with_hubs else (),
            select_by_kind(items, Announcement),
            select_by_kind(items, Ejection),
            select_by_kind(items, Quarantine),
            select_by_kind(items, TargetReport),
            select_by_kind(items, EntryState),
            self._group_contact.leader,
        )

    # Hubs

    @receive.register
    def _(self, message: Presence, origin: Origin) -> None:
        assert origin.peer is not None
        if message.flags & HostFlag.CONTROL:
            self._handle_hub_presence(origin.peer, message)
        else:
            self._handle_entry_presence(origin.peer, message)

    def _handle_hub_presence(self, host: HostId, presence: Presence) -> None:
        now = self._now()
        was_unresponsive = self._hubs.is_unresponsive(host, now)
        is_new = self._hubs.find(host) is None
        hub = self._hubs.record_heartbeat(host, presence, now)
        if is_new:
            self._send_to_directory((hub.address,))
        if now in (hub.returned_at, hub.restarted_at):
            self._introduce(host)
        if was_unresponsive:
            self._outbox.log_event("hub heard", peer=host)
            self._plan_broadcast(now)  # its entries are present again
            self._renew_hub_lists(now)
        self._send_to_hub(host, hub)
        self._confirm_departures()
        if presence.revision > self._revision:
            self._outbox.send(host, ConfigPull(self._revision))

    def _send_to_directory(self, addresses: tuple[HostAddress, ...]) -> None:
        if addresses:
            message = PeerAddresses(addresses)
            self._outbox.tell(ControllerName.DIRECTORY, message)

    def _get_known_hubs(self) -> list[HostId]:
        hosts = {
            *dict(self._hubs.items()),
            *self._seeds,
            *self._group_contact.voters,
        }
        return sorted(hosts - {self.host})

    def _get_hub_addresses(self) -> tuple[HostAddress, ...]:
        now = self._now()
        if self._is_in_contact:
            return (self._address, *self._hubs.get_addresses(now))
        recent = self._hubs.get_addresses(now, ISOLATED_LIST_WITHIN_S)
        return (self._address, *recent)

    def _build_presence(self) -> Presence:
        return Presence(
            self._counter,
            self._revision,
            HostFlag.CONTROL,
            self._address.region,
            self._address.failure_domain,
            self._address.address,
            tuple(self._unstored.limit_mark(m) for m in self._hubs.marks),
        )

    # Entries

    def _handle_entry_presence(self, host: HostId, presence: Presence) -> None:
        now = self._now()
        mark = next((m for m in presence.marks if m.hub == self.host), None)
        read_position = FEED_START
        if mark is not None and mark.incarnation == self._table.incarnation:
            read_position = mark.position
        subscriber = self._subscribers.get(host)
        if subscriber is None and self._has_nearer_hub(presence, now):
            self._send_empty_feed(host, with_hubs=True)
            return
        if subscriber is None and self._lacks_leader(presence):
            self._send_empty_feed(host, with_hubs=False)
            return
        if subscriber is None:
            subscriber = _Subscriber(
                FeedReader(read_position, read_position, now),
                now,
                presence.region,
            )
            self._subscribers[host] = subscriber
            self._outbox.log_event(
                "entry subscribed", peer=host, position=read_position
            )
            has_started = read_position == FEED_START
        else:
            has_started = read_position < subscriber.reader.acked
        if has_started:
            subscriber.started_at = self._table.position
        subscriber.reader.record_read(read_position, now)
        subscriber.last_contact = now
        state = EntryState(
            host,
            presence.counter,
            True,
            presence.flags & ~SUBSCRIPTION_FLAGS,
            presence.region,
            presence.failure_domain,
            presence.caller_address,
            self.host,
        )
        self._spread([self._table.put(state, host, now)])
        self._send_to_entry(host, subscriber)

    def _has_nearer_hub(self, presence: Presence, now: Seconds) -> bool:
        """Return whether an entry that starts should use another hub.

        The whole feed would be sent to it here and again by the other hub.
        """
        if presence.flags & HostFlag.KNOWS_HUBS:
            return False
        place = presence.region, presence.failure_domain
        nearest = max(
            (get_nearness(a, *place) for a in self._hubs.get_addresses(now)),
            default=Nearness.ELSEWHERE,
        )
        return nearest > get_nearness(self._address, *place)

    def _lacks_leader(self, presence: Presence) -> bool:
        """Return whether an entry asks for a leader that is out of reach."""
        needs_leader = HostFlag.NEEDS_LEADER in presence.flags
        return needs_leader and not self._is_in_contact

    def _send_empty_feed(self, host: HostId, with_hubs: bool) -> None:
        """Answer an entry that does not become a subscriber."""
        mark = FeedMark(self.host, self._table.incarnation, FEED_START)
        feed = self._build_feed(mark, FEED_START, [], with_hubs)
        self._outbox.send(host, feed)

    @receive.register
    def _(self, message: Unsubscribe, origin: Origin) -> None:
        assert origin.peer is not None
        self._subscribers.pop(origin.peer, None)

    def _drop_unresponsive_entries(self, now: Seconds) -> None:
        for host, subscriber in list(self._subscribers.items()):
            if now - subscriber.last_contact > ENTRY_TIMEOUT_S:
                del self._subscribers[host]
                self._mark_absent(host)

    def _mark_absent(self, host: HostId) -> None:
        record = self._table.find(EntryState, host)
        state = record.item if record else None
        if not isinstance(state, EntryState) or state.hub != self.host:
            return  # the entry has moved to another hub
        self._outbox.log_event("entry silent", peer=host, hub=state.hub)
        absent = replace(state, present=False)
        self._spread([self._table.put(absent, self.host, self._now())])

    def _get_entry_states(self) -> tuple[EntryState, ...]:
        """Return the entries, those of an unresponsive hub as absent.

        The change is not sent to other hosts, which may still reach the hub.
        """
        now = self._now()
        return tuple(
            replace(state, present=False)
            if state.hub != self.host
            and self._hubs.is_unresponsive(state.hub, now)
            else state
            for state in self._table.get_items_of_kind(EntryState)
            if isinstance(state, EntryState)
        )

    # Publishing

    def _publish(self) -> None:
        """Send the known hosts to the controllers of this process."""
        own = HostView(self.host, self._revision, HostFlag.CONTROL, True)
        entries = (
            HostView(h, Revision(0), HostFlag.NONE, True)
            for h in self._subscribers
        )
        hubs = (
            HostView(h, Revision(0), HostFlag.CONTROL, True)
            for h in self._get_known_hubs()
        )
        view = FleetView((own, *entries, *hubs))
        self._outbox.tell(ControllerName.CONFIGURATION, view)
        self._outbox.tell(ControllerName.CONSENSUS, view)
        subscribers = InFlightSubscribers(
            self._get_region_entries(), self._get_region_hubs()
        )
        self._outbox.tell(ControllerName.SHARED_WORK, subscribers)
        self._publish_entries()

    def _get_region_entries(self) -> tuple[HostId, ...]:
        """Return the subscribers of this region.

        Counts of in-flight attempts are not sent to entries of other
        regions: the counts concern targets outside their region and are
        costly to send there.
        """
        return tuple(
            host
            for host, subscriber in self._subscribers.items()
            if subscriber.region == self._address.region
        )

    def _get_region_hubs(self) -> tuple[HostId, ...]:
        return tuple(
            hub.host
            for hub in self._hubs.get_addresses(self._now())
            if hub.region == self._address.region
        )

    def _publish_entries(self) -> None:
        view = EntriesView(self._get_entry_states())
        self._present_entry_count = sum(1 for e in view.entries if e.present)
        self._outbox.tell(ControllerName.ADDRESSES, view)


def _is_departure(item: FeedItem) -> TypeGuard[Announcement]:
    if not isinstance(item, Announcement):
        return False
    return item.phase is TargetPhase.LEAVING


def _build_leaving_announcement(target: TargetId) -> Announcement:
    """Return the departure of a target that has no known announcement."""
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
