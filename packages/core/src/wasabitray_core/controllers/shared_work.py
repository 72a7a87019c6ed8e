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


class _Sum(Struct):
    """The sum of several sources' counts.

    Attributes:
        last_attempts: the sum of their attempts in the last messages.
        changes: the targets at which the two differ.
    """

    last_attempts: AttemptCounts
    attempts: AttemptCounts = field(default_factory=Counter)
    ended: Counter[ServiceName] = field(default_factory=Counter)
    lost: Counter[ServiceName] = field(default_factory=Counter)
    changes: dict[TargetId, TargetWork] = field(default_factory=dict)

    def build_message(
        self,
        kind: type[EntryWork | OthersWork],
        own: _Source,
        last_own: AttemptCounts | None,
    ) -> EntryWork | OthersWork:
        """Return the message to a subscriber.

        A subscriber has attempts at few targets, so all others are the same
        in the messages to all subscribers.

        Args:
            kind: the kind of message.
            own: the subscriber's own counts, which are left out.
            last_own: those that were left out of the last message; None for
                a message with all counts.
        """
        if last_own is None:
            others = self.attempts - own.counts
            full = tuple(TargetWork(t, n) for t, n in others.items())
            return kind(full, True, self._list_requests(own))
        own_targets = own.counts.keys() | last_own.keys()
        if not own_targets:
            return kind(tuple(self.changes.values()), False)
        changes = [
            work for t, work in self.changes.items() if t not in own_targets
        ]
        for target in own_targets:
            attempts = self.attempts[target] - own.counts[target]
            if attempts != self.last_attempts[target] - last_own[target]:
                changes.append(TargetWork(target, attempts))
        return kind(tuple(changes), False)

    def _list_requests(self, own: _Source) -> tuple[RequestCounts, ...]:
        ended = self.ended - own.ended
        return tuple(
            RequestCounts(
                service, count, self.lost[service] - own.lost[service]
            )
            for service, count in ended.items()
        )


class SharedWorkController(Controller):
    """Owns a hub's counts of the in-flight attempts in its region."""

    name: ClassVar[ControllerName] = ControllerName.SHARED_WORK

    def __init__(self, context: Context) -> None:
        """Start without counts."""
        super().__init__(context)
        self._subscribers = InFlightSubscribers((), ())
        self._sources: dict[HostId, _Source] = {}
        # What was left out of the last message to each subscriber.
        self._last_own: dict[HostId, AttemptCounts] = {}
        self._everywhere = _Sum(Counter())
        self._at_entries = _Sum(Counter())
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
        for host in set(self._last_own) - subscribers:
            del self._last_own[host]

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
                "in_flight": sum(
                    sum(s.counts.values()) for s in self._sources.values()
                ),
            },
        )

    def _send_to_subscribers(self, full: bool) -> None:
        """Send all subscribers the changed counts, or all counts."""
        hubs = set(self._subscribers.hubs)
        entries = [h for h in self._sources if h not in hubs]
        everywhere = self._add_up(self._sources, self._everywhere.attempts)
        at_entries = self._add_up(entries, self._at_entries.attempts)
        nothing = _Source(self._now())
        sent_to = {}
        for host in self._subscribers.entries:
            own = self._sources.get(host, nothing)
            last_own = None if full else self._last_own.get(host)
            message = everywhere.build_message(OthersWork, own, last_own)
            self._send(host, message)
            sent_to[host] = own.counts
        for host in self._subscribers.hubs:
            last_own = None if full else self._last_own.get(host)
            message = at_entries.build_message(EntryWork, nothing, last_own)
            self._send(host, message)
            sent_to[host] = nothing.counts
        self._last_own = sent_to
        self._everywhere, self._at_entries = everywhere, at_entries

    def _send(self, host: HostId, message: EntryWork | OthersWork) -> None:
        if message.full or message.targets:
            self._outbox.send(host, message)

    def _add_up(
        self, hosts: Iterable[HostId], last_attempts: AttemptCounts
    ) -> _Sum:
        """Return the sum of several sources' counts."""
        result = _Sum(last_attempts)
        for host in hosts:
            source = self._sources[host]
            result.attempts.update(source.counts)
            result.ended.update(source.ended)
            result.lost.update(source.lost)
        result.changes = {
            target: TargetWork(target, result.attempts[target])
            for target in {*result.attempts, *last_attempts}
            if result.attempts[target] != last_attempts[target]
        }
        return result
