"""Requests that break the targets that run them."""

from __future__ import annotations

from collections import OrderedDict
from functools import singledispatchmethod
from typing import Any, ClassVar

from wasabitray_core.controllers.controller import (
    Context,
    Controller,
    Origin,
)
from wasabitray_core.ids import Fingerprint, Seconds, TargetId
from wasabitray_core.local import (
    CheckQuarantine,
    ClearSuspicion,
    ControllerName,
    GetStatus,
    ReportBreak,
    Spread,
    Suspicion,
    Tick,
)
from wasabitray_core.messages import Quarantine

BREAKS_TO_QUARANTINE = 3
QUARANTINE_S = 600.0
SUSPICION_S = 120.0
MAX_SUSPECTS = 4_096

_NO_SUSPICION: tuple[frozenset[TargetId], Seconds] = (
    frozenset(),
    Seconds(0.0),
)


class QuarantineController(Controller):
    """Owns fingerprints of requests that broke several targets.

    Suspicions are shared between entries, since the caller's resend can
    reach another entry each time.
    """

    name: ClassVar[ControllerName] = ControllerName.QUARANTINE
    tick_interval_s = 1.0

    def __init__(self, context: Context) -> None:
        """Start without any suspect."""
        super().__init__(context)
        self._suspects: OrderedDict[
            Fingerprint, tuple[frozenset[TargetId], Seconds]
        ] = OrderedDict()
        self._cleared: OrderedDict[Fingerprint, frozenset[TargetId]] = (
            OrderedDict()
        )

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message."""
        raise TypeError(f"{self!r} can't take {message!r}")

    @receive.register
    def _(self, message: Tick, origin: Origin) -> None:
        now = self._now()
        for fingerprint, (_, until) in list(self._suspects.items()):
            if until < now:
                del self._suspects[fingerprint]

    @receive.register
    def _(self, message: CheckQuarantine, origin: Origin) -> None:
        targets, _ = self._suspects.get(message.fingerprint, _NO_SUSPICION)
        if len(targets) >= BREAKS_TO_QUARANTINE:
            self._reply(origin, Suspicion.QUARANTINED)
        else:
            suspect = Suspicion.SUSPECT if targets else Suspicion.NONE
            self._reply(origin, suspect)

    @receive.register
    def _(self, message: ClearSuspicion, origin: Origin) -> None:
        targets, _ = self._suspects.pop(message.fingerprint, _NO_SUSPICION)
        if targets:
            # Gossip still repeats these breaks; they no longer count.
            self._cleared[message.fingerprint] = frozenset(targets)
            if len(self._cleared) > MAX_SUSPECTS:
                self._cleared.popitem(last=False)

    @receive.register
    def _(self, message: ReportBreak, origin: Origin) -> None:
        targets = frozenset({message.target})
        self._merge(message.fingerprint, targets, SUSPICION_S)

    @receive.register
    def _(self, message: Quarantine, origin: Origin) -> None:
        targets = frozenset(message.targets)
        self._merge(message.fingerprint, targets, message.duration_s)

    @receive.register
    def _(self, message: GetStatus, origin: Origin) -> None:
        self._reply(
            origin,
            [
                {"fingerprint": f, "targets": sorted(targets)}
                for f, (targets, _) in self._suspects.items()
                if len(targets) >= BREAKS_TO_QUARANTINE
            ],
        )

    def _merge(
        self,
        fingerprint: Fingerprint,
        targets: frozenset[TargetId],
        duration_s: float,
    ) -> None:
        known, until = self._suspects.get(fingerprint, _NO_SUSPICION)
        merged = known | (
            targets - self._cleared.get(fingerprint, frozenset())
        )
        if merged == known:
            return
        if len(merged) >= BREAKS_TO_QUARANTINE:
            duration_s = QUARANTINE_S
        until = Seconds(max(until, self._now() + duration_s))
        self._suspects[fingerprint] = (merged, until)
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        news = Quarantine(fingerprint, duration_s, tuple(sorted(merged)))
        self._outbox.tell(ControllerName.MEMBERSHIP, Spread(news))
        if len(known) < BREAKS_TO_QUARANTINE <= len(merged):
            self._outbox.report(
                "request quarantined",
                fingerprint=fingerprint,
                targets=sorted(merged),
            )
