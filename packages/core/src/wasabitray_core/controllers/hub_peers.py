"""What a hub knows about the other hubs."""

from __future__ import annotations

from collections.abc import Iterator

from msgspec import Struct, field

from wasabitray_core.controllers.feed_readers import FEED_START, FeedReader
from wasabitray_core.ids import FeedPosition, HostId, Incarnation, Seconds
from wasabitray_core.messages import Feed, FeedMark, HostAddress, Presence

HUB_TIMEOUT_S = 3.0
# A third hub's feed is forwarded to a hub that made no progress in it for
# this long.
FORWARD_AFTER_S = 1.0
# All hubs forward a feed to one that lags behind. If it doesn't advance, more
# copies would not help it.
MAX_FORWARD_PAUSE_S = 4.0
HUB_EXPIRY_S = 60.0

_NEVER = Seconds(float("-inf"))


class PeerHub(Struct):
    """Another hub.

    Attributes:
        reader: its read position in this hub's own feed.
        marks: its read positions in the feeds of all hubs.
        last_contact: when it last sent a message or was added from another
            hub's list; minus infinity if never.
        returned_at: when it was last heard after it had been unresponsive.
        restarted_at: when it last showed that it had lost this hub's feed.
    """

    address: HostAddress
    reader: FeedReader
    marks: dict[HostId, FeedMark] = field(default_factory=dict)
    last_contact: Seconds = _NEVER
    returned_at: Seconds = _NEVER
    restarted_at: Seconds = _NEVER

    def is_unresponsive(self, now: Seconds) -> bool:
        """Return whether it had no contact within HUB_TIMEOUT_S."""
        return now - self.last_contact > HUB_TIMEOUT_S

    def record_contact(self, now: Seconds) -> None:
        """Record that it sent a message."""
        if self.is_unresponsive(now):
            self.returned_at = now
        self.last_contact = now


class _FeedLag(Struct, frozen=True):
    """A hub that lags behind in a third hub's feed.

    Attributes:
        mark: its mark in the feed.
        forward_at: when the feed is forwarded unless the mark has advanced.
        pause: seconds from then until it is forwarded again.
    """

    mark: FeedMark
    forward_at: Seconds
    pause: float = FORWARD_AFTER_S


class HubPeers:
    """The other hubs, and this hub's read positions in their feeds."""

    def __init__(self, host: HostId, incarnation: Incarnation) -> None:
        """Start without other hubs.

        Args:
            host: this hub's own host.
            incarnation: this hub's own incarnation.
        """
        self._host = host
        self._incarnation = incarnation
        self._hubs: dict[HostId, PeerHub] = {}
        self._marks: dict[HostId, FeedMark] = {}
        self._advanced_at: dict[HostId, Seconds] = {}
        self._lags: dict[tuple[HostId, HostId], _FeedLag] = {}
        self._incarnations: dict[HostId, Incarnation] = {}

    @property
    def marks(self) -> tuple[FeedMark, ...]:
        """This hub's read positions in the feeds of the other hubs."""
        return tuple(self._marks.values())

    @property
    def hosts(self) -> frozenset[HostId]:
        """The hubs' hosts."""
        return frozenset(self._hubs)

    def items(self) -> Iterator[tuple[HostId, PeerHub]]:
        """Return the hubs with their hosts."""
        return iter(self._hubs.items())

    def find(self, host: HostId) -> PeerHub | None:
        """Return what is known about a hub, None if it is unknown."""
        return self._hubs.get(host)

    def is_unresponsive(self, host: HostId, now: Seconds) -> bool:
        """Return whether a hub is unknown or had no recent contact."""
        hub = self._hubs.get(host)
        return hub is None or hub.is_unresponsive(now)

    def get_addresses(
        self, now: Seconds, within_s: float = HUB_TIMEOUT_S
    ) -> tuple[HostAddress, ...]:
        """Return the addresses of the hubs with contact within a time."""
        return tuple(
            hub.address
            for hub in self._hubs.values()
            if now - hub.last_contact <= within_s
        )

    def add_hubs(
        self, addresses: tuple[HostAddress, ...], now: Seconds
    ) -> tuple[HostAddress, ...]:
        """Add hubs from another hub's list; return those that are new."""
        new = tuple(
            a
            for a in addresses
            if a.host not in self._hubs and a.host != self._host
        )
        for address in new:
            self._hubs[address.host] = _new_hub(address, now)
        return new

    def expire_hubs(self, now: Seconds) -> None:
        """Remove the hubs without contact for HUB_EXPIRY_S."""
        for host, hub in list(self._hubs.items()):
            if now - hub.last_contact > HUB_EXPIRY_S:
                del self._hubs[host]

    def record_heartbeat(
        self, host: HostId, presence: Presence, now: Seconds
    ) -> PeerHub:
        """Record a hub's heartbeat and the read positions in it."""
        hub = self._hubs.get(host)
        if hub is None:
            address = HostAddress(
                host,
                presence.caller_address,
                presence.region,
                presence.failure_domain,
            )
            hub = self._hubs[host] = _new_hub(address)
        hub.record_contact(now)
        hub.marks = {m.hub: m for m in presence.marks}
        read_position = self.get_read_position(host)
        if read_position < hub.reader.acked:
            hub.restarted_at = now
        hub.reader.record_read(read_position, now)
        return hub

    def get_read_position(self, host: HostId) -> FeedPosition:
        """Return another hub's read position in this hub's feed."""
        hub = self._hubs.get(host)
        mark = hub.marks.get(self._host) if hub else None
        if mark is None or mark.incarnation != self._incarnation:
            return FEED_START
        return mark.position

    def get_mark(self, host: HostId, incarnation: Incarnation) -> FeedMark:
        """Return this hub's read position in the feed of another one."""
        mark = self._marks.get(host)
        if mark is None or mark.incarnation != incarnation:
            return FeedMark(host, incarnation, FEED_START)
        return mark

    def find_silent_marks(self, now: Seconds) -> Iterator[FeedMark]:
        """Return this hub's read positions in the feeds of silent hubs."""
        for host, hub in self._hubs.items():
            if hub.is_unresponsive(now):
                unread = FeedMark(host, Incarnation(""), FEED_START)
                yield self._marks.get(host, unread)

    def find_restart(self, sender: HostId, feed: Feed) -> Incarnation | None:
        """Return a feed's current incarnation if there is an earlier one.

        Args:
            sender: the host that sent the feed, its hub or a third one.
            feed: the feed.
        """
        known = self._incarnations.get(feed.origin)
        if sender == feed.origin:
            self._incarnations[sender] = feed.incarnation
        current = self._incarnations.get(feed.origin)
        return current if {known, feed.incarnation} != {current} else None

    def record_feed(
        self, sender: HostId, feed: Feed, now: Seconds
    ) -> FeedMark:
        """Advance the mark of a feed; return the mark at the message's end.

        A message that continues from after the mark doesn't advance it, as
        items between the two are missing.
        """
        hub = self._hubs.get(sender)
        if hub is not None:
            hub.record_contact(now)
        read_position = self.get_mark(feed.origin, feed.incarnation).position
        reached = FeedMark(feed.origin, feed.incarnation, feed.position)
        if feed.after <= read_position < feed.position:
            self._marks[feed.origin] = reached
            self._advanced_at[feed.origin] = now
        return reached

    def find_lagging_feeds(
        self, host: HostId, now: Seconds
    ) -> Iterator[tuple[FeedMark, FeedPosition]]:
        """Find the third hubs' feeds in which a hub lags behind this one.

        Yields:
            Its mark in the feed, and this hub's read position there.
        """
        hub = self._hubs.get(host)
        if hub is None or hub.is_unresponsive(now):
            self._forget_lags(host)
            return
        for origin, own_mark in self._marks.items():
            if origin == host:
                continue
            peer_mark = hub.marks.get(origin)
            if (
                peer_mark is None
                or peer_mark.incarnation != own_mark.incarnation
            ):
                peer_mark = FeedMark(origin, own_mark.incarnation, FEED_START)
            if self._is_stuck(host, hub, peer_mark, own_mark, now):
                yield peer_mark, own_mark.position

    def _forget_lags(self, host: HostId) -> None:
        self._lags = {k: v for k, v in self._lags.items() if k[0] != host}

    def _is_stuck(
        self,
        host: HostId,
        hub: PeerHub,
        peer_mark: FeedMark,
        own_mark: FeedMark,
        now: Seconds,
    ) -> bool:
        """Return whether a feed is to be forwarded to a hub now.

        That is so if the hub made no progress in it for FORWARD_AFTER_S. The
        feed itself may have advanced in the meantime.
        """
        key = (host, peer_mark.hub)
        if peer_mark.position >= own_mark.position:
            self._lags.pop(key, None)
            return False
        lag = self._lags.get(key)
        if lag is None or lag.mark != peer_mark:
            since = now
            if lag is None:
                since = max(self._advanced_at[peer_mark.hub], hub.returned_at)
                if not self.is_unresponsive(peer_mark.hub, now):
                    # The feed's own hub sends it to one that restarted.
                    since = max(since, hub.restarted_at)
            lag = _FeedLag(peer_mark, Seconds(since + FORWARD_AFTER_S))
            self._lags[key] = lag
        if now < lag.forward_at:
            return False
        next_pause = min(2 * lag.pause, MAX_FORWARD_PAUSE_S)
        forward_at = Seconds(now + lag.pause)
        self._lags[key] = _FeedLag(peer_mark, forward_at, next_pause)
        return True


def _new_hub(address: HostAddress, last_contact: Seconds = _NEVER) -> PeerHub:
    return PeerHub(
        address,
        FeedReader(FEED_START, FEED_START, _NEVER),
        last_contact=last_contact,
    )
