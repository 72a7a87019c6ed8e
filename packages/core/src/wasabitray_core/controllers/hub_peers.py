"""What a hub knows of the other hubs."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from wasabitray_core.controllers.feed_readers import FEED_START, FeedReader
from wasabitray_core.ids import FeedPosition, HostId, Incarnation, Seconds
from wasabitray_core.messages import Feed, FeedMark, HostAddress, Presence

HUB_TIMEOUT_S = 3.0
# A third hub's feed is passed on once its reader is stuck for this long.
RELAY_AFTER_S = 1.0
FORGET_HUB_S = 60.0

_NEVER = Seconds(float("-inf"))


@dataclass(slots=True)
class PeerHub:
    """Another hub.

    Attributes:
        reader: how far this hub's own feed has reached it.
        marks: how far it has read the feeds of all hubs.
        heard: when it was last heard of; never if minus infinity.
    """

    address: HostAddress
    reader: FeedReader
    marks: dict[HostId, FeedMark] = field(default_factory=dict)
    heard: Seconds = _NEVER

    def is_silent(self, now: Seconds) -> bool:
        """Tell whether it was not heard of lately."""
        return now - self.heard > HUB_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class _Lag:
    """Where a hub stands in a third one's feed, and since when."""

    mark: FeedMark
    since: Seconds


class HubPeers:
    """The other hubs, and how far each feed has been read here."""

    def __init__(self, host: HostId, incarnation: Incarnation) -> None:
        """Take this hub's name and run."""
        self._host = host
        self._incarnation = incarnation
        self._hubs: dict[HostId, PeerHub] = {}
        self._marks: dict[HostId, FeedMark] = {}
        self._advanced: dict[HostId, Seconds] = {}
        self._lags: dict[tuple[HostId, HostId], _Lag] = {}

    @property
    def marks(self) -> tuple[FeedMark, ...]:
        """How far the feeds of the other hubs have been read here."""
        return tuple(self._marks.values())

    @property
    def hosts(self) -> frozenset[HostId]:
        """The hubs' hosts."""
        return frozenset(self._hubs)

    def items(self) -> Iterator[tuple[HostId, PeerHub]]:
        """Return the hubs by host."""
        return iter(self._hubs.items())

    def find(self, host: HostId) -> PeerHub | None:
        """Return what is known of a hub."""
        return self._hubs.get(host)

    def is_silent(self, host: HostId, now: Seconds) -> bool:
        """Tell whether a hub is unknown or was not heard of lately."""
        hub = self._hubs.get(host)
        return hub is None or hub.is_silent(now)

    def addresses(self, now: Seconds) -> tuple[HostAddress, ...]:
        """Return the addresses of the hubs that are heard."""
        return tuple(
            h.address for h in self._hubs.values() if not h.is_silent(now)
        )

    def learn(
        self, addresses: tuple[HostAddress, ...], now: Seconds
    ) -> tuple[HostAddress, ...]:
        """Take hubs that another one knows; return those that are new."""
        new = tuple(
            a
            for a in addresses
            if a.host not in self._hubs and a.host != self._host
        )
        for address in new:
            self._hubs[address.host] = _new_hub(address, now)
        return new

    def forget(self, now: Seconds) -> None:
        """Forget the hubs that have been silent for long."""
        for host, hub in list(self._hubs.items()):
            if now - hub.heard > FORGET_HUB_S:
                del self._hubs[host]

    def hear(self, host: HostId, presence: Presence, now: Seconds) -> PeerHub:
        """Take a hub's heartbeat."""
        hub = self._hubs.get(host)
        if hub is None:
            address = HostAddress(
                host, presence.caller_address, presence.region
            )
            hub = self._hubs[host] = _new_hub(address)
        hub.heard = now
        hub.marks = {m.hub: m for m in presence.marks}
        hub.reader.record_read(self.read_by(host), now)
        return hub

    def read_by(self, host: HostId) -> FeedPosition:
        """Return how far another hub has read this hub's feed."""
        hub = self._hubs.get(host)
        mark = hub.marks.get(self._host) if hub else None
        if mark is None or mark.incarnation != self._incarnation:
            return FEED_START
        return mark.position

    def note_feed(self, sender: HostId, feed: Feed, now: Seconds) -> FeedMark:
        """Advance the mark of a feed; return the place that it reaches.

        A feed that starts after the mark leaves it where it is: something
        before it is missing.
        """
        hub = self._hubs.get(sender)
        if hub is not None:
            hub.heard = now
        mark = self._marks.get(feed.origin)
        same_run = mark is not None and mark.incarnation == feed.incarnation
        read = mark.position if mark is not None and same_run else FEED_START
        place = FeedMark(feed.origin, feed.incarnation, feed.position)
        if feed.after <= read < feed.position:
            self._marks[feed.origin] = place
            self._advanced[feed.origin] = now
        return place

    def lacking(
        self, host: HostId, now: Seconds
    ) -> Iterator[tuple[FeedMark, FeedPosition]]:
        """Return the third hubs' feeds in which a hub lags behind this one.

        Yields:
            How far it has read a feed, and how far this hub has.
        """
        hub = self._hubs.get(host)
        if hub is None or hub.is_silent(now):
            return
        for origin, mine in self._marks.items():
            if origin == host:
                continue
            theirs = hub.marks.get(origin)
            if theirs is None or theirs.incarnation != mine.incarnation:
                theirs = FeedMark(origin, mine.incarnation, FEED_START)
            if self._is_stuck(host, theirs, mine, now):
                yield theirs, mine.position

    def _is_stuck(
        self, host: HostId, theirs: FeedMark, mine: FeedMark, now: Seconds
    ) -> bool:
        """Tell whether a hub has stood at one place of a feed for long.

        The feed itself may go on all the while.
        """
        key = (host, theirs.hub)
        if theirs.position >= mine.position:
            self._lags.pop(key, None)
            return False
        lag = self._lags.get(key)
        if lag is None or lag.mark != theirs:
            lag = self._lags[key] = _Lag(theirs, self._advanced[theirs.hub])
        return now - lag.since >= RELAY_AFTER_S


def _new_hub(address: HostAddress, heard: Seconds = _NEVER) -> PeerHub:
    return PeerHub(
        address, FeedReader(FEED_START, FEED_START, _NEVER), heard=heard
    )
