"""An entry's subscription to a hub."""

from __future__ import annotations

from collections import Counter
from functools import singledispatchmethod
from typing import Any, ClassVar

from msgspec import Struct

from wasabitray_core.controllers.controller import (
    Context,
    Controller,
    Origin,
)
from wasabitray_core.controllers.feed_readers import WINDOW_ITEMS
from wasabitray_core.controllers.feed_table import (
    iterate_items,
    select_by_kind,
)
from wasabitray_core.controllers.hub_choice import HubChoice
from wasabitray_core.controllers.received_items import ReceivedItems
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
    Announcements,
    Broadcast,
    ConfigurationApplied,
    ControllerName,
    EntriesView,
    FleetSize,
    GetStatus,
    HubsView,
    Isolation,
    PeerAddresses,
    SeedsChanged,
    SendToLeader,
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
    News,
    Presence,
    Quarantine,
    TargetReport,
    Unsubscribe,
)
from wasabitray_core.nearness import Nearness
from wasabitray_core.states import HostFlag

PRESENCE_INTERVAL_S = 0.5
# Items of a feed that are acknowledged at once; the hub waits for that before
# it sends the next part of a long feed.
MAX_UNACKED_ITEMS = WINDOW_ITEMS // 2
# How often an entry asks for a configuration that is on its way already.
PULL_INTERVAL_S = 0.5
# A hub sends a heartbeat every half second; two may be late.
HUB_TIMEOUT_S = 1.5
# A hub without contact to the leader may be the isolated one.
LEADER_TIMEOUT_S = 1.0
# How long a hub may take to answer an entry that looks for another hub. With
# two wrong choices a change is still in force in time.
SEARCH_TIMEOUT_S = 0.6
# An entry whose hub is silent for this long asks another one, and stays with
# the first that answers.
HUB_SUSPECT_S = 0.9
MIN_TICK_INTERVAL_S = 0.01
# How often the entry looks for a nearer hub.
HUB_REVIEW_INTERVAL_S = 4.0

_NO_INCARNATION = Incarnation("")
_FEED_START = FeedPosition(0)
_SILENT = "silent"
_NO_LEADER = "no contact with the leader"
_NEARER = "nearer"


class EntryProfile(Struct, frozen=True):
    """What an entry reports about itself."""

    region: RegionName
    failure_domain: FailureDomainName
    caller_address: str


class _Trial(Struct, frozen=True):
    """A hub that was asked to replace the current one.

    Attributes:
        asked_at: when it was asked.
        reason: why the current hub should be replaced.
    """

    host: HostId
    asked_at: Seconds
    reason: str

    def is_over(self, now: Seconds) -> bool:
        """Return whether the hub has not answered in time."""
        return now - self.asked_at >= SEARCH_TIMEOUT_S


class SubscriberController(Controller):
    """Owns an entry's subscription to a hub.

    It sends this entry's items to the hub and passes the items of the hub's
    feed to the other controllers. An entry without a hub keeps serving with
    the state that it has.

    An entry that serves leaves a hub only for one that has answered, so that
    no change is late because the new hub fails.
    """

    name: ClassVar[ControllerName] = ControllerName.MEMBERSHIP

    def __init__(
        self, context: Context, profile: EntryProfile, first_counter: int
    ) -> None:
        """Start without a hub.

        Args:
            context: shared by all controllers.
            profile: what this entry reports about itself.
            first_counter: above any counter of an earlier incarnation here.
        """
        super().__init__(context)
        self._profile = profile
        self._counter = first_counter
        self._flags = HostFlag.NONE
        self._revision = Revision(0)
        self._newest_revision = Revision(0)
        self._hubs = HubChoice(
            context.host, profile.region, profile.failure_domain
        )
        self._hub: HostId | None = None
        self._trial: _Trial | None = None
        self._is_searching = False
        self._has_found_leader = False
        self._leader = HostId("")
        self._marks: dict[HostId, FeedMark] = {}
        self._unacked_items = 0
        self._pulled_revision = Revision(0)
        self._next_pull_at = context.clock()
        self._next_presence_at = context.clock()
        self._last_hub_contact = context.clock()
        self._last_leader_contact = context.clock()
        self._next_review_at = context.clock()
        self._received_items = ReceivedItems()
        self._entry_states: dict[HostId, EntryState] = {}
        self._are_entries_published = False
        self._entry_count = 0
        self._serving_by_region: tuple[tuple[RegionName, int], ...] = ()
        self._sent_fleet_size: FleetSize | None = None
        self._sent_hubs = HubsView(())

    @property
    def tick_interval_s(self) -> float:  # type: ignore[override]
        """Seconds until the next heartbeat, or until the hub has failed."""
        due = min(self._next_presence_at, self._get_hub_deadline())
        if self._trial is not None:
            due = min(due, Seconds(self._trial.asked_at + SEARCH_TIMEOUT_S))
        elif self._revision and not self._is_searching:
            due = min(due, Seconds(self._last_hub_contact + HUB_SUSPECT_S))
        return max(MIN_TICK_INTERVAL_S, due - self._now())

    @property
    def hub(self) -> HostId | None:
        """The hub that this entry subscribes to."""
        return self._hub

    @property
    def read_position(self) -> FeedPosition:
        """The read position in the hub's feed."""
        return self._mark.position

    @property
    def _mark(self) -> FeedMark:
        """The read position in the hub's feed."""
        return self._get_mark(self._hub)

    @property
    def _hub_timeout_s(self) -> float:
        return SEARCH_TIMEOUT_S if self._is_searching else HUB_TIMEOUT_S

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message."""
        raise TypeError(f"{self!r} does not handle {message!r}")

    @receive.register
    def _(self, message: Tick, origin: Origin) -> None:
        self._review_hub()
        if self._now() >= self._next_presence_at:
            self._send_presence()
        if not self._are_entries_published:
            self._publish_entries()

    @receive.register
    def _(self, message: SeedsChanged, origin: Origin) -> None:
        self._hubs.set_seeds(tuple(message.seeds))
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
        if self._hub is None or item in self._received_items:
            return  # there is no hub, or the item came from it
        update = News(
            select_by_kind((item,), Announcement),
            select_by_kind((item,), Ejection),
            select_by_kind((item,), Quarantine),
            select_by_kind((item,), TargetReport),
        )
        self._outbox.send(self._hub, update)

    @receive.register
    def _(self, message: SendToLeader, origin: Origin) -> None:
        if self._leader:
            self._outbox.send(self._leader, message.message)

    @receive.register
    def _(self, message: EntryWork, origin: Origin) -> None:
        if self._hub is not None and self._is_in_region(self._hub):
            self._outbox.send(self._hub, message)

    @receive.register
    def _(self, message: Feed, origin: Origin) -> None:
        now = self._now()
        if origin.peer != self._hub:
            self._check_trial(message, origin.peer)
        if origin.peer != self._hub:
            if origin.peer is not None:
                self._outbox.send(origin.peer, Unsubscribe())
            return
        self._last_hub_contact = now
        self._cancel_trial(_SILENT)
        self._leader = message.leader
        self._apply_hub_list(message)
        if message.in_contact:
            self._record_leader_contact(now)
        elif self._is_searching:
            self._replace_hub(now, _NO_LEADER)
            return
        self._record_position(message)
        self._apply_entry_states(message.entry_states)
        self._apply_items(message)
        self._entry_count = message.entries
        self._publish_fleet_size()
        if self._switch_to_nearer_hub():
            return  # the nearer hub sends the rest, at a lower cost
        self._newest_revision = max(self._newest_revision, message.revision)
        isolation = Isolation(not message.in_contact, self._newest_revision)
        self._outbox.tell(ControllerName.CONFIGURATION, isolation)
        if message.revision > self._revision:
            self._pull_configuration(message.revision, now)
        if self._unacked_items >= MAX_UNACKED_ITEMS:
            self._send_presence()

    @receive.register
    def _(self, message: GetStatus, origin: Origin) -> None:
        now = self._now()
        self._reply(
            origin,
            {
                "hub": self._hub,
                "hub_heard_s_ago": round(now - self._last_hub_contact, 3),
                "leader_contact_s_ago": round(
                    now - self._last_leader_contact, 3
                ),
                "position": self._mark.position,
                "revision": self._revision,
                "newest_heard": self._newest_revision,
                "entries": self._entry_count,
            },
        )

    def _pull_configuration(self, newest: Revision, now: Seconds) -> None:
        """Ask the hub for a newer configuration, unless that was just done."""
        is_pulled = newest <= self._pulled_revision
        if self._hub is None or (is_pulled and now < self._next_pull_at):
            return
        self._pulled_revision = newest
        self._next_pull_at = Seconds(now + PULL_INTERVAL_S)
        self._outbox.send(self._hub, ConfigPull(self._revision))

    def _apply_items(self, feed: Feed) -> None:
        """Pass the items of a feed to their controllers."""
        now = self._now()
        items = tuple(iterate_items(feed))
        self._unacked_items += len(items)
        if feed.announcements:
            announcements = Announcements(feed.announcements)
            self._outbox.tell(ControllerName.TARGETS, announcements)
        for item in items:
            kind = type(item)
            if kind is EntryState:
                continue
            self._received_items.add(item, now)
            if kind is not Announcement:
                self._outbox.tell(_CONTROLLER_BY_KIND[kind], item)

    def _apply_entry_states(self, states: tuple[EntryState, ...]) -> None:
        """Store the states of the other entries that the hub sent."""
        if states:
            self._entry_states |= {state.host: state for state in states}
            self._publish_entries()

    def _publish_entries(self) -> None:
        """Publish all entries; the hub doesn't send this entry's own state."""
        own_state = EntryState(
            self.host,
            self._counter,
            True,
            self._flags,
            self._profile.region,
            self._profile.failure_domain,
            self._profile.caller_address,
            self._hub or HostId(""),
        )
        other_states = (
            s for h, s in self._entry_states.items() if h != self.host
        )
        view = EntriesView((own_state, *other_states))
        self._are_entries_published = True
        self._outbox.tell(ControllerName.ADDRESSES, view)
        serving = Counter(s.region for s in view.entries if _is_serving(s))
        self._serving_by_region = tuple(sorted(serving.items()))
        self._publish_fleet_size()

    def _publish_fleet_size(self) -> None:
        size = FleetSize(self._entry_count, self._serving_by_region)
        if self._entry_count and size != self._sent_fleet_size:
            self._sent_fleet_size = size
            self._outbox.tell(ControllerName.DISPATCH, size)

    def _record_position(self, feed: Feed) -> None:
        """Advance the mark to the end of a feed message.

        If items before the message are missing, the mark doesn't advance,
        and a heartbeat with the mark asks for them immediately.
        """
        is_same = self._mark.incarnation == feed.incarnation
        read_position = self._mark.position if is_same else _FEED_START
        if not is_same:
            self._received_items.clear()  # a restarted hub lost its feed
        if feed.after <= read_position:
            position = max(read_position, feed.position)
            self._set_mark(feed, position)
        else:
            self._set_mark(feed, read_position)
            self._send_presence()

    def _set_mark(self, feed: Feed, position: FeedPosition) -> None:
        mark = FeedMark(feed.origin, feed.incarnation, position)
        self._marks[feed.origin] = mark

    def _send_presence(self) -> None:
        self._next_presence_at = Seconds(self._now() + PRESENCE_INTERVAL_S)
        if self._hub is None:
            return
        self._unacked_items = 0
        self._send_presence_to(self._hub, self._is_searching)

    def _send_presence_to(self, hub: HostId, needs_leader: bool) -> None:
        self._counter += 1
        flags = self._flags
        if self._hubs.has_addresses:
            flags |= HostFlag.KNOWS_HUBS
        if needs_leader:
            flags |= HostFlag.NEEDS_LEADER
        presence = Presence(
            self._counter,
            self._revision,
            flags,
            self._profile.region,
            self._profile.failure_domain,
            self._profile.caller_address,
            (self._get_mark(hub),),
        )
        self._outbox.send(hub, presence)

    def _get_mark(self, hub: HostId | None) -> FeedMark:
        start = FeedMark(HostId(""), _NO_INCARNATION, _FEED_START)
        return self._marks.get(hub, start) if hub else start

    # Hubs

    def _apply_hub_list(self, feed: Feed) -> None:
        if not feed.hubs:
            return
        changed = self._hubs.update_addresses(feed.hubs, feed.in_contact)
        if not feed.in_contact:
            self._hubs.record_isolated_side(feed.hubs, self._now())
        self._marks = {
            h: m for h, m in self._marks.items() if self._hubs.is_known(h)
        }
        if changed:
            update = PeerAddresses(changed)
            self._outbox.tell(ControllerName.DIRECTORY, update)
        self._publish_hubs()

    def _publish_hubs(self) -> None:
        """Tell the controllers that ask hubs which ones there are."""
        others = (h for h in self._hubs.rank_hosts() if h != self._hub)
        view = HubsView((*filter(None, (self._hub,)), *others))
        if view != self._sent_hubs:
            self._sent_hubs = view
            for controller in (ControllerName.LEASE, ControllerName.QUOTAS):
                self._outbox.tell(controller, view)

    def _record_leader_contact(self, now: Seconds) -> None:
        assert self._hub is not None
        self._last_leader_contact = now
        self._is_searching = False
        self._has_found_leader = True
        self._hubs.record_contact(self._hub)

    def _review_hub(self) -> None:
        """Switch hubs if this one fails or there is a nearer one."""
        now = self._now()
        self._review_trial(now)
        reason = self._find_hub_problem(now)
        if reason is not None:
            self._replace_hub(now, reason)
        elif self._is_hub_suspect(now):
            self._try_hub(self._hubs.choose(now, self._hub), _SILENT)
        elif now >= self._next_review_at:
            self._next_review_at = Seconds(now + HUB_REVIEW_INTERVAL_S)
            self._switch_to_nearer_hub()

    def _replace_hub(self, now: Seconds, reason: str) -> None:
        """Switch to another hub because this one fails.

        The search for a hub in contact with the leader ends when none is
        left to try. The entry then stays with one of them for some time.
        """
        self._has_found_leader = False
        trial, self._trial = self._trial, None
        if self._hub is not None:
            is_isolated = reason == _NO_LEADER
            self._hubs.record_failure(self._hub, now, is_isolated)
            self._is_searching = self._hubs.has_untried(now)
        if trial is not None:
            self._is_searching = True
            self._use_hub(trial.host, reason, trial.asked_at)
            return
        chosen = self._hubs.choose(now)
        if not self._is_searching:
            self._hubs.forget_isolated()
        self._switch_hub(chosen, reason)

    # Trials of another hub

    def _is_hub_suspect(self, now: Seconds) -> bool:
        """Return whether another hub should be asked."""
        return (
            self._revision > 0
            and self._trial is None
            and not self._is_searching
            and now - self._last_hub_contact >= HUB_SUSPECT_S
        )

    def _try_hub(self, host: HostId | None, reason: str) -> None:
        """Ask a hub to replace the current one, which is kept meanwhile."""
        if host is None or host == self._hub or self._trial is not None:
            return
        self._trial = _Trial(host, self._now(), reason)
        self._send_presence_to(host, needs_leader=True)
        if reason == _SILENT:
            self._outbox.send(host, ConfigPull(self._revision))

    def _check_trial(self, feed: Feed, sender: HostId | None) -> None:
        """Use the hub that is tried if it has answered and has a leader."""
        trial = self._trial
        if trial is None or sender != trial.host:
            return
        self._trial = None
        if feed.in_contact:
            self._use_hub(trial.host, trial.reason, self._now())
        else:
            self._hubs.record_failure(trial.host, self._now(), True)

    def _review_trial(self, now: Seconds) -> None:
        """End the trial of a hub that has not answered in time."""
        trial = self._trial
        if trial is not None and trial.is_over(now):
            self._hubs.record_failure(trial.host, now, False)
            self._cancel_trial(trial.reason)

    def _cancel_trial(self, reason: str) -> None:
        """End a trial that was begun for a reason."""
        trial = self._trial
        if trial is not None and trial.reason == reason:
            self._trial = None
            self._outbox.send(trial.host, Unsubscribe())

    def _switch_to_nearer_hub(self) -> bool:
        """Switch to a nearer hub, or try it, if there is one.

        Returns:
            Whether another hub is used now.
        """
        current = self._hubs.get_nearness(self._hub)
        if current is Nearness.FAILURE_DOMAIN:
            return False  # none is nearer
        chosen = self._hubs.choose(self._now())
        if self._hubs.get_nearness(chosen) <= current:
            return False
        if self._revision:
            self._try_hub(chosen, _NEARER)
            return False
        # Without a leader so far, the nearer hub gets the usual time.
        self._is_searching = self._has_found_leader
        self._switch_hub(chosen, _NEARER)
        return True

    def _find_hub_problem(self, now: Seconds) -> str | None:
        if self._hub is None:
            return "start"
        if now - self._last_hub_contact > self._hub_timeout_s:
            return _SILENT
        if now - self._last_leader_contact <= LEADER_TIMEOUT_S:
            return None
        has_answered = self._last_hub_contact > self._last_leader_contact
        return _NO_LEADER if has_answered else _SILENT

    def _get_hub_deadline(self) -> Seconds:
        """Return when the hub has failed unless it sends a message."""
        return Seconds(
            min(
                self._last_hub_contact + self._hub_timeout_s,
                self._last_leader_contact + LEADER_TIMEOUT_S,
            )
        )

    def _is_in_region(self, host: HostId) -> bool:
        return self._hubs.get_nearness(host) >= Nearness.REGION

    def _switch_hub(self, host: HostId | None, reason: str) -> None:
        if host == self._hub:
            self._last_hub_contact = self._last_leader_contact = self._now()
            return
        self._use_hub(host, reason, self._now())
        self._send_presence()
        if self._revision and host is not None:
            self._outbox.send(host, ConfigPull(self._revision))

    def _use_hub(
        self, host: HostId | None, reason: str, asked_at: Seconds
    ) -> None:
        """Leave the current hub for one that was asked some time ago."""
        if self._hub is not None:
            self._outbox.send(self._hub, Unsubscribe())
        self._outbox.log_event(
            "hub changed", hub=host, before=self._hub, reason=reason
        )
        self._hub = host
        self._publish_hubs()
        self._are_entries_published = False
        self._last_hub_contact = self._last_leader_contact = asked_at
        self._next_review_at = Seconds(self._now() + HUB_REVIEW_INTERVAL_S)
        self._next_pull_at = self._now()


def _is_serving(state: EntryState) -> bool:
    """Return whether an entry is present and takes requests."""
    is_serving = HostFlag.SERVING in state.flags
    is_leaving = HostFlag.LEAVING in state.flags
    return state.present and is_serving and not is_leaving


_CONTROLLER_BY_KIND: dict[type, ControllerName] = {
    Ejection: ControllerName.TARGETS,
    Quarantine: ControllerName.QUARANTINE,
    TargetReport: ControllerName.DISPATCH,
}
