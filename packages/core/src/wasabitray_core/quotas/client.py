"""An entry's requests for tokens of its organisations' quotas."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import Any, ClassVar

from msgspec import Struct

from wasabitray_core.controllers.controller import (
    Context,
    Controller,
    Origin,
)
from wasabitray_core.ids import HostId, OrganisationName, Seconds
from wasabitray_core.local_messages import (
    AcquireQuota,
    ControllerName,
    GetStatus,
    HubsView,
    QuotaVerdict,
    Tick,
)
from wasabitray_core.quotas.counters import QuotaCounters
from wasabitray_core.quotas.messages import QuotaReply, QuotaRequest
from wasabitray_core.quotas.times import MAX_RETRY_S, QuotaTimes
from wasabitray_core.states import QuotaDecision

MAX_HUBS_ASKED = 3
# A hub that doesn't reply is asked last for this long.
SKIP_S = 1.0
UNAVAILABLE_RETRY_S = 1.0
# How often hubs are asked again while this entry starts.
STARTUP_RETRY_S = 0.1
IDLE_INTERVAL_S = 60.0
MIN_INTERVAL_S = 0.005

_COUNTER_OF_DECISION = {
    QuotaDecision.GRANTED: "granted",
    QuotaDecision.EXCEEDED: "exceeded",
    QuotaDecision.UNKNOWN: "unavailable",
}


class _Pending(Struct, frozen=True):
    """A request that waits for a token.

    Attributes:
        give_up_at: when it is refused without a decision.
        sent_at: when the newest message was sent to a hub.
        asked: hubs that were asked, the newest last.
    """

    organisation: OrganisationName
    origin: Origin
    give_up_at: Seconds
    sent_at: Seconds
    asked: tuple[HostId, ...]


class _Deferred(Struct, frozen=True):
    """A request that waits for hubs to get their shares after a start.

    Attributes:
        ask_at: when hubs are asked again.
    """

    organisation: OrganisationName
    origin: Origin
    ask_at: Seconds


class QuotaClientController(Controller):
    """Asks the nearest hub for a token for each request with a quota.

    The numbers of messages continue above those of an earlier process on this
    host, so that no reply to that one is used.
    """

    name: ClassVar[ControllerName] = ControllerName.QUOTAS

    def __init__(
        self,
        context: Context,
        times: QuotaTimes,
        first_number: int,
        startup_wait_s: float = 0.0,
    ) -> None:
        """Start without hubs.

        Args:
            context: shared by all controllers. Its clock must continue while
                the host is suspended.
            times: how long replies are used and requests wait.
            first_number: higher than any number of an earlier process.
            startup_wait_s: seconds after the start in which requests wait
                for hubs that can decide.
        """
        super().__init__(context)
        self._times = times
        self._number = first_number
        self._hubs: tuple[HostId, ...] = ()
        self._skipped_until: dict[HostId, Seconds] = {}
        self._pending: dict[int, _Pending] = {}
        self._wait_until = Seconds(context.clock() + startup_wait_s)
        self._deferred: list[_Deferred] = []
        self._counters = QuotaCounters()

    @property
    def tick_interval_s(self) -> float:  # type: ignore[override]
        """Seconds until the next pending request is due."""
        if not self._pending and not self._deferred:
            return IDLE_INTERVAL_S
        due_at = min(
            *(self._find_due(p) for p in self._pending.values()),
            *(d.ask_at for d in self._deferred),
            self._now() + IDLE_INTERVAL_S,
        )
        return max(MIN_INTERVAL_S, due_at - self._now())

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message."""
        raise TypeError(f"{self!r} does not handle {message!r}")

    @receive.register
    def _(self, message: HubsView, origin: Origin) -> None:
        self._hubs = message.hubs
        known = frozenset(message.hubs)
        for hub in self._skipped_until.keys() - known:
            del self._skipped_until[hub]

    @receive.register
    def _(self, message: AcquireQuota, origin: Origin) -> None:
        self._ask_first(message.organisation, origin)

    def _ask_first(
        self, organisation: OrganisationName, origin: Origin
    ) -> None:
        now = self._now()
        give_up_at = Seconds(now + self._times.wait_s)
        self._ask_next(_Pending(organisation, origin, give_up_at, now, ()))

    @receive.register
    def _(self, message: QuotaReply, origin: Origin) -> None:
        pending = self._pending.get(message.number)
        if pending is None or pending.asked[-1] != origin.peer:
            return
        if self._now() >= self._find_due(pending):
            return  # the next tick asks another hub
        del self._pending[message.number]
        if message.decision is QuotaDecision.UNKNOWN:
            self._ask_next(pending)
            return
        retry_after = min(MAX_RETRY_S, max(0.0, message.retry_after_s))
        self._complete(pending, QuotaVerdict(message.decision, retry_after))

    @receive.register
    def _(self, message: Tick, origin: Origin) -> None:
        now = self._now()
        silent = {
            pending.asked[-1]
            for pending in self._pending.values()
            if now - pending.sent_at >= self._times.reply_s
        }
        for hub in silent:
            self._skip(hub, now)
        # Others that wait for a silent hub don't wait out their time.
        for number, pending in list(self._pending.items()):
            if pending.asked[-1] in silent or now >= pending.give_up_at:
                del self._pending[number]
                self._ask_next(pending)
        due = [d for d in self._deferred if d.ask_at <= now]
        self._deferred = [d for d in self._deferred if d.ask_at > now]
        for deferred in due:
            self._ask_first(deferred.organisation, deferred.origin)

    @receive.register
    def _(self, message: GetStatus, origin: Origin) -> None:
        now = self._now()
        self._reply(
            origin,
            {
                "hubs": list(self._hubs),
                "skipped": [
                    h
                    for h, until in self._skipped_until.items()
                    if until > now
                ],
                "waiting": len(self._pending),
                "counters": self._counters.describe(),
            },
        )

    def _find_due(self, pending: _Pending) -> Seconds:
        """Return when the newest hub asked is given up."""
        replied_by = pending.sent_at + self._times.reply_s
        return Seconds(min(replied_by, pending.give_up_at))

    def _skip(self, hub: HostId, now: Seconds) -> None:
        if self._skipped_until.get(hub, now) <= now:
            self._outbox.log_event("quota hub silent", hub=hub)
        self._skipped_until[hub] = Seconds(now + SKIP_S)

    def _ask_next(self, pending: _Pending) -> None:
        """Ask the best hub that was not asked, or refuse the request."""
        now = self._now()
        hubs = [h for h in self._hubs if h not in pending.asked]
        is_over = (
            len(pending.asked) >= MAX_HUBS_ASKED or now >= pending.give_up_at
        )
        if (is_over or not hubs) and now < self._wait_until:
            ask_at = Seconds(now + STARTUP_RETRY_S)
            self._deferred.append(
                _Deferred(pending.organisation, pending.origin, ask_at)
            )
            return
        if is_over or not hubs:
            refusal = QuotaVerdict(QuotaDecision.UNKNOWN, UNAVAILABLE_RETRY_S)
            self._complete(pending, refusal)
            return
        # The sort is stable: hubs that are not skipped stay in their order.
        hub = min(hubs, key=lambda h: self._skipped_until.get(h, now) > now)
        self._number += 1
        self._pending[self._number] = _Pending(
            pending.organisation,
            pending.origin,
            pending.give_up_at,
            now,
            (*pending.asked, hub),
        )
        self._outbox.send(
            hub, QuotaRequest(self._number, pending.organisation)
        )

    def _complete(self, pending: _Pending, verdict: QuotaVerdict) -> None:
        kind = _COUNTER_OF_DECISION[verdict.decision]
        self._counters.add(pending.organisation, kind)
        self._reply(pending.origin, verdict)
