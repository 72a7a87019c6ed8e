"""An entry's subscription to a hub."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any, ClassVar

from wasabitray_core.controllers.controller import (
    Context,
    Controller,
    Origin,
)
from wasabitray_core.controllers.feed_table import (
    FeedItem,
    Subject,
    get_subject,
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
)
from wasabitray_core.local_messages import (
    Broadcast,
    ConfigurationApplied,
    ControllerName,
    EntriesView,
    FleetSize,
    GetStatus,
    Isolation,
    PeerAddresses,
    SeedsChanged,
    SetFlag,
    Tick,
)
from wasabitray_core.messages import (
    Announcement,
    ConfigPull,
    Ejection,
    EntryState,
    EntryWork,
    Feed,
    FeedMark,
    HostAddress,
    News,
    Presence,
    Quarantine,
    TargetReport,
    Unsubscribe,
)
from wasabitray_core.rendezvous import choose_owner
from wasabitray_core.states import HostFlag

PRESENCE_INTERVAL_S = 0.5
# A hub writes every half second; two messages may be late.
HUB_TIMEOUT_S = 1.5
# A hub that hears no leader may be the one that is cut off.
NO_CONTACT_S = 1.0
# A hub that failed is tried again after this, or at once if all failed.
AVOID_HUB_S = 5.0
# How often a nearer hub is looked for.
REVIEW_INTERVAL_S = 4.0

_NO_MARK_INCARNATION = Incarnation("")
_START = FeedPosition(0)


@dataclass(frozen=True, slots=True)
class EntryProfile:
    """What an entry tells of itself."""

    region: RegionName
    failure_domain: FailureDomainName
    caller_address: str


class SubscriberController(Controller):
    """Owns an entry's place in the fleet: the hub that it listens to.

    News of this entry go to the hub; what the hub feeds goes to the
    controllers here. An entry without a hub serves with what it knows.
    """

    name: ClassVar[ControllerName] = ControllerName.MEMBERSHIP
    tick_interval_s = PRESENCE_INTERVAL_S

    def __init__(
        self, context: Context, profile: EntryProfile, first_counter: int
    ) -> None:
        """Start without a hub.

        Args:
            context: shared by all controllers.
            profile: what other hosts learn of this entry.
            first_counter: above any counter of an earlier run here.
        """
        super().__init__(context)
        self._profile = profile
        self._counter = first_counter
        self._flags = HostFlag.NONE
        self._revision = Revision(0)
        self._newest = Revision(0)
        self._seeds: tuple[HostId, ...] = ()
        self._known: dict[HostId, HostAddress] = {}
        self._hub: HostId | None = None
        self._mark = FeedMark(HostId(""), _NO_MARK_INCARNATION, _START)
        self._heard = context.clock()
        self._contact_at = context.clock()
        self._avoid_until: dict[HostId, Seconds] = {}
        self._review_at = context.clock()
        self._fed: dict[Subject, FeedItem] = {}
        self._states: dict[HostId, EntryState] = {}
        self._entries = 0

    @property
    def hub(self) -> HostId | None:
        """The hub that this entry listens to."""
        return self._hub

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message."""
        raise TypeError(f"{self!r} can't take {message!r}")

    @receive.register
    def _(self, message: Tick, origin: Origin) -> None:
        self._review_hub()
        self._send_presence()
        self._publish_entries()

    @receive.register
    def _(self, message: SeedsChanged, origin: Origin) -> None:
        self._seeds = tuple(message.seeds)
        if self._hub is None:
            self._review_hub()
            self._send_presence()

    @receive.register
    def _(self, message: SetFlag, origin: Origin) -> None:
        if message.value:
            self._flags |= message.flag
        else:
            self._flags &= ~message.flag
        self._send_presence()
        self._publish_entries()

    @receive.register
    def _(self, message: ConfigurationApplied, origin: Origin) -> None:
        self._revision = message.revision

    @receive.register
    def _(self, message: Broadcast, origin: Origin) -> None:
        item = message.item
        subject = (type(item), get_subject(item))
        if self._hub is None or self._fed.get(subject) == item:
            return  # without a hub, or it came from there
        news = News(
            select((item,), Announcement),
            select((item,), Ejection),
            select((item,), Quarantine),
            select((item,), TargetReport),
        )
        self._outbox.send(self._hub, news)

    @receive.register
    def _(self, message: EntryWork, origin: Origin) -> None:
        if self._hub is not None and self._is_near(self._hub):
            self._outbox.send(self._hub, message)

    @receive.register
    def _(self, message: Feed, origin: Origin) -> None:
        if origin.peer != self._hub:
            if origin.peer is not None:
                self._outbox.send(origin.peer, Unsubscribe())
            return
        now = self._now()
        self._heard = now
        if message.in_contact:
            self._contact_at = now
        self._note_position(message)
        self._learn_hubs(message.hubs)
        self._learn_entries(message.entry_states)
        for item in items_of(message):
            if isinstance(item, EntryState):
                continue
            self._fed[(type(item), get_subject(item))] = item
            self._outbox.tell(_CONTROLLER_OF[type(item)], item)
        if message.entries != self._entries:
            self._entries = message.entries
            size = FleetSize(message.entries)
            self._outbox.tell(ControllerName.DISPATCH, size)
        if self._move_nearer():
            return  # the rest comes from there, and costs less
        self._newest = max(self._newest, message.revision)
        isolation = Isolation(not message.in_contact, self._newest)
        self._outbox.tell(ControllerName.CONFIGURATION, isolation)
        if message.revision > self._revision:
            assert self._hub is not None
            self._outbox.send(self._hub, ConfigPull(self._revision))

    @receive.register
    def _(self, message: GetStatus, origin: Origin) -> None:
        now = self._now()
        self._reply(
            origin,
            {
                "hub": self._hub,
                "hub_heard_s_ago": round(now - self._heard, 3),
                "leader_contact_s_ago": round(now - self._contact_at, 3),
                "position": self._mark.position,
                "revision": self._revision,
                "newest_heard": self._newest,
                "entries": self._entries,
            },
        )

    def _learn_entries(self, states: tuple[EntryState, ...]) -> None:
        """Take what the hub says of the other entries."""
        if states:
            self._states |= {state.host: state for state in states}
            self._publish_entries()

    def _publish_entries(self) -> None:
        """Tell which entries there are; a hub does not repeat this one."""
        own = EntryState(
            self.host,
            self._counter,
            True,
            self._flags,
            self._profile.region,
            self._profile.failure_domain,
            self._profile.caller_address,
            self._hub or HostId(""),
        )
        others = (s for h, s in self._states.items() if h != self.host)
        view = EntriesView((own, *others))
        self._outbox.tell(ControllerName.ADDRESSES, view)

    def _note_position(self, feed: Feed) -> None:
        """Advance the mark unless something before it is missing."""
        same = self._mark.incarnation == feed.incarnation
        read = self._mark.position if same else _START
        if feed.after <= read:
            position = max(read, feed.position)
            self._mark = FeedMark(feed.origin, feed.incarnation, position)
        else:
            self._mark = FeedMark(feed.origin, feed.incarnation, read)
            self._send_presence()

    def _send_presence(self) -> None:
        if self._hub is None:
            return
        self._counter += 1
        presence = Presence(
            self._counter,
            self._revision,
            self._flags,
            self._profile.region,
            self._profile.failure_domain,
            self._profile.caller_address,
            (self._mark,),
        )
        self._outbox.send(self._hub, presence)

    # Hubs

    def _learn_hubs(self, addresses: tuple[HostAddress, ...]) -> None:
        if not addresses:
            return
        new = tuple(a for a in addresses if self._known.get(a.host) != a)
        self._known = {a.host: a for a in addresses}
        if new:
            news = PeerAddresses(new)
            self._outbox.tell(ControllerName.DIRECTORY, news)

    def _review_hub(self) -> None:
        """Change the hub if it fails, or if a better one is known."""
        now = self._now()
        reason = self._find_fault(now)
        if reason is not None:
            if self._hub is not None:
                self._avoid_until[self._hub] = Seconds(now + AVOID_HUB_S)
            self._move(self._choose_hub(now), reason)
        elif now >= self._review_at:
            self._review_at = Seconds(now + REVIEW_INTERVAL_S)
            self._move_nearer()

    def _move_nearer(self) -> bool:
        """Move to a hub of the own region if there is one; tell if so."""
        if self._is_near(self._hub):
            return False
        best = self._choose_hub(self._now())
        if not self._is_near(best):
            return False
        self._move(best, "nearer")
        return True

    def _find_fault(self, now: Seconds) -> str | None:
        if self._hub is None:
            return "start"
        if now - self._heard > HUB_TIMEOUT_S:
            return "silent"
        if now - self._contact_at > NO_CONTACT_S:
            return "no contact with the leader"
        return None

    def _is_near(self, host: HostId | None) -> bool:
        known = self._known.get(host) if host else None
        return known is not None and known.region == self._profile.region

    def _choose_hub(self, now: Seconds) -> HostId | None:
        """Choose a hub that did not fail lately, in the own region if any.

        Rendezvous hashing spreads the entries of a region over its hubs.
        """
        hosts = sorted({*self._known, *self._seeds})
        good = [h for h in hosts if self._avoid_until.get(h, now) <= now]
        near = [h for h in good if self._is_near(h)]
        candidates = tuple(near or good or hosts)
        if not candidates:
            return None
        if not good:
            return self._context.random.choice(candidates)
        return choose_owner(self.host, candidates)

    def _move(self, host: HostId | None, reason: str) -> None:
        if host == self._hub:
            self._heard = self._contact_at = self._now()
            return
        if self._hub is not None:
            self._outbox.send(self._hub, Unsubscribe())
        self._outbox.log_event(
            "hub changed", hub=host, before=self._hub, reason=reason
        )
        self._hub = host
        self._mark = FeedMark(HostId(""), _NO_MARK_INCARNATION, _START)
        self._heard = self._contact_at = self._now()
        self._review_at = Seconds(self._now() + REVIEW_INTERVAL_S)
        self._send_presence()


_CONTROLLER_OF: dict[type, ControllerName] = {
    Announcement: ControllerName.TARGETS,
    Ejection: ControllerName.TARGETS,
    Quarantine: ControllerName.QUARANTINE,
    TargetReport: ControllerName.DISPATCH,
}
