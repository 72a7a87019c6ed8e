"""In-flight attempts and losses of a region's entries, summed at a hub.

Many entries each send a target a few requests a second, so one entry's
in-flight attempts say little about the target's load. The sum over a region
shows it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from functools import singledispatchmethod
from typing import Any, ClassVar

from msgspec import Struct, field

from wasabitray_core.controllers.controller import (
    Context,
    Controller,
    Origin,
)
from wasabitray_core.ids import HostId, Seconds, ServiceName, TargetId
from wasabitray_core.local_messages import (
    ControllerName,
    GetStatus,
    InFlightSubscribers,
    Tick,
)
from wasabitray_core.messages import (
    EntryWork,
    OthersWork,
    RequestCounts,
    TargetWork,
)

# Well under the time that a request takes at a target, and long enough to
# gather several changes in one message.
SEND_INTERVAL_S = 0.02
# Every change concerns all subscribers, so a hub with many of them gathers for
# longer. This bounds its processor time.
MAX_MESSAGES_PER_S = 400.0
IDLE_INTERVAL_S = 0.5
# Entries send all their counts every half second; two messages may be lost.
SOURCE_TIMEOUT_S = 1.5

AttemptCounts = Counter[TargetId]


class _Source(Struct):
    """An entry, or another hub that sums its entries.

    Attributes:
        last_contact: when its last counts arrived.
        counts: its in-flight attempts at each target.
        ended: its requests that ended recently, by service.
        lost: those of them that were not served.
    """

    last_contact: Seconds
    counts: AttemptCounts = field(default_factory=Counter)
    ended: Counter[ServiceName] = field(default_factory=Counter)
    lost: Counter[ServiceName] = field(default_factory=Counter)

    def set_requests(self, counts: tuple[RequestCounts, ...]) -> None:
        self.ended = Counter({c.service: c.ended for c in counts})
        self.lost = Counter({c.service: c.lost for c in counts})


class SharedWorkController(Controller):
    """Owns a hub's counts of the in-flight attempts in its region."""

    name: ClassVar[ControllerName] = ControllerName.SHARED_WORK

    def __init__(self, context: Context) -> None:
        """Start without counts."""
        super().__init__(context)
        self._subscribers = InFlightSubscribers((), ())
        self._sources: dict[HostId, _Source] = {}
        self._last_sent: dict[HostId, AttemptCounts] = {}
        self._changed = False
        self._next_full_at = context.clock()

    @property
    def tick_interval_s(self) -> float:  # type: ignore[override]
        """Seconds between ticks; short only while counts change."""
        if not self._changed:
            return IDLE_INTERVAL_S
        subscribers = self._subscribers
        count = len(subscribers.entries) + len(subscribers.hubs)
        paced = max(SEND_INTERVAL_S, count / MAX_MESSAGES_PER_S)
        return min(IDLE_INTERVAL_S, paced)

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message."""
        raise TypeError(f"{self!r} does not handle {message!r}")

    @receive.register
    def _(self, message: InFlightSubscribers, origin: Origin) -> None:
        self._subscribers = message
        subscribers = {*message.entries, *message.hubs}
        for host in set(self._last_sent) - subscribers:
            del self._last_sent[host]

    @receive.register
    def _(self, message: EntryWork, origin: Origin) -> None:
        assert origin.peer is not None
        now = self._now()
        source = self._sources.setdefault(origin.peer, _Source(now))
        source.last_contact = now
        counts: AttemptCounts = (
            Counter() if message.full else Counter(source.counts)
        )
        for target_work in message.targets:
            counts[target_work.target] = target_work.attempts
        self._changed = self._changed or counts != source.counts
        source.counts = counts
        if message.full:
            source.set_requests(message.requests)

    @receive.register
    def _(self, message: Tick, origin: Origin) -> None:
        now = self._now()
        expired = [
            host
            for host, source in self._sources.items()
            if now - source.last_contact > SOURCE_TIMEOUT_S
        ]
        for host in expired:
            del self._sources[host]
        full = now >= self._next_full_at
        if full:
            self._next_full_at = Seconds(now + IDLE_INTERVAL_S)
        if full or self._changed or expired:
            self._send_to_subscribers(full)
        self._changed = False

    @receive.register
    def _(self, message: GetStatus, origin: Origin) -> None:
        self._reply(
            origin,
            {
                "sources": sorted(self._sources),
                "in_flight": sum(self._sum_counts(self._sources).values()),
            },
        )

    def _send_to_subscribers(self, full: bool) -> None:
        total = self._sum_counts(self._sources)
        for host in self._subscribers.entries:
            own_source = self._sources.get(host)
            others_total = total - own_source.counts if own_source else total
            others = [h for h in self._sources if h != host]
            self._send_counts(host, others_total, OthersWork, full, others)
        hubs = set(self._subscribers.hubs)
        entries = [h for h in self._sources if h not in hubs]
        entries_total = self._sum_counts(entries)
        for host in self._subscribers.hubs:
            self._send_counts(host, entries_total, EntryWork, full, entries)

    def _sum_counts(self, hosts: Iterable[HostId]) -> AttemptCounts:
        total: AttemptCounts = Counter()
        for host in hosts:
            total.update(self._sources[host].counts)
        return total

    def _sum_requests(self, hosts: list[HostId]) -> tuple[RequestCounts, ...]:
        ended: Counter[ServiceName] = Counter()
        lost: Counter[ServiceName] = Counter()
        for host in hosts:
            ended.update(self._sources[host].ended)
            lost.update(self._sources[host].lost)
        return tuple(RequestCounts(s, n, lost[s]) for s, n in ended.items())

    def _send_counts(
        self,
        host: HostId,
        counts: AttemptCounts,
        kind: type[EntryWork | OthersWork],
        full: bool,
        sources: list[HostId],
    ) -> None:
        """Send a subscriber the changed counts, or all counts.

        It gets all counts if `full` is set or none were sent to it yet.
        """
        last_sent = self._last_sent.get(host)
        if last_sent is None or full:
            changes = tuple(TargetWork(t, n) for t, n in counts.items() if n)
            requests = self._sum_requests(sources)
            self._outbox.send(host, kind(changes, True, requests))
        else:
            changes = tuple(
                TargetWork(t, counts[t])
                for t in {*counts, *last_sent}
                if counts[t] != last_sent[t]
            )
            if not changes:
                return
            self._outbox.send(host, kind(changes, False))
        self._last_sent[host] = +counts
