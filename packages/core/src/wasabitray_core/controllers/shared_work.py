"""What the entries of a region have in flight, brought together at a hub.

Many entries each send a target a few requests a second, so what one of them
has in flight says little of the target's load. The sum over a region does.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import singledispatchmethod
from typing import Any, ClassVar

from wasabitray_core.controllers.controller import (
    Context,
    Controller,
    Origin,
)
from wasabitray_core.ids import HostId, Seconds, TargetId
from wasabitray_core.local_messages import (
    ControllerName,
    GetStatus,
    InFlightSubscribers,
    Tick,
)
from wasabitray_core.messages import EntryWork, OthersWork, TargetWork

# Well under the time that a request takes at a target, and long enough to
# gather several changes in one message.
SEND_INTERVAL_S = 0.02
IDLE_INTERVAL_S = 0.5
# Entries state all their work each half second; two may be lost.
SOURCE_TIMEOUT_S = 1.5

Work = Counter[TargetId]


@dataclass(slots=True)
class _Source:
    """An entry, or another hub with its entries."""

    heard: Seconds
    work: Work = field(default_factory=Counter)


class SharedWorkController(Controller):
    """Owns a hub's view of the work in flight in its region."""

    name: ClassVar[ControllerName] = ControllerName.SHARED_WORK

    def __init__(self, context: Context) -> None:
        """Start without work."""
        super().__init__(context)
        self._readers = InFlightSubscribers((), ())
        self._sources: dict[HostId, _Source] = {}
        self._told: dict[HostId, Work] = {}
        self._changed = False
        self._restate_at = context.clock()

    @property
    def tick_interval_s(self) -> float:  # type: ignore[override]
        """Seconds between ticks; short only while work changes."""
        return SEND_INTERVAL_S if self._changed else IDLE_INTERVAL_S

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message."""
        raise TypeError(f"{self!r} can't take {message!r}")

    @receive.register
    def _(self, message: InFlightSubscribers, origin: Origin) -> None:
        self._readers = message
        readers = {*message.entries, *message.hubs}
        for host in set(self._told) - readers:
            del self._told[host]

    @receive.register
    def _(self, message: EntryWork, origin: Origin) -> None:
        assert origin.peer is not None
        now = self._now()
        source = self._sources.setdefault(origin.peer, _Source(now))
        source.heard = now
        work: Work = Counter() if message.full else Counter(source.work)
        for stated in message.targets:
            work[stated.target] = stated.attempts
        self._changed = self._changed or work != source.work
        source.work = work

    @receive.register
    def _(self, message: Tick, origin: Origin) -> None:
        now = self._now()
        silent = [
            host
            for host, source in self._sources.items()
            if now - source.heard > SOURCE_TIMEOUT_S
        ]
        for host in silent:
            del self._sources[host]
        full = now >= self._restate_at
        if full:
            self._restate_at = Seconds(now + IDLE_INTERVAL_S)
        if full or self._changed or silent:
            self._tell_readers(full)
        self._changed = False

    @receive.register
    def _(self, message: GetStatus, origin: Origin) -> None:
        self._reply(
            origin,
            {
                "sources": sorted(self._sources),
                "in_flight": sum(self._sum(self._sources).values()),
            },
        )

    def _tell_readers(self, full: bool) -> None:
        total = self._sum(self._sources)
        for host in self._readers.entries:
            own = self._sources.get(host)
            others = total - own.work if own else total
            self._tell(host, others, OthersWork, full)
        hubs = set(self._readers.hubs)
        ours = self._sum(h for h in self._sources if h not in hubs)
        for host in self._readers.hubs:
            self._tell(host, ours, EntryWork, full)

    def _sum(self, hosts: Iterable[HostId]) -> Work:
        total: Work = Counter()
        for host in hosts:
            total.update(self._sources[host].work)
        return total

    def _tell(
        self,
        host: HostId,
        work: Work,
        kind: type[EntryWork | OthersWork],
        full: bool,
    ) -> None:
        """Send a reader what changed, or all now and then."""
        told = self._told.get(host)
        if told is None or full:
            changes = tuple(TargetWork(t, n) for t, n in work.items() if n)
            self._outbox.send(host, kind(changes, True))
        else:
            changes = tuple(
                TargetWork(t, work[t])
                for t in {*work, *told}
                if work[t] != told[t]
            )
            if not changes:
                return
            self._outbox.send(host, kind(changes, False))
        self._told[host] = +work
