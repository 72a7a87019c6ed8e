"""Requests that break the targets that run them."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any, ClassVar

from wasabitray_core.controllers.controller import (
    Context,
    Controller,
    Origin,
)
from wasabitray_core.ids import Fingerprint, Seconds, TargetId
from wasabitray_core.local_messages import (
    Broadcast,
    CheckQuarantine,
    ControllerName,
    GetStatus,
    ReportBrokenConnection,
    ReportResponse,
    Suspicion,
    Tick,
)
from wasabitray_core.messages import Quarantine

BREAKS_TO_QUARANTINE = 3
QUARANTINE_FIRST_S = 30.0
QUARANTINE_MAX_S = 600.0
SUSPICION_S = 120.0
# A request that a target answered is not one that breaks every target; for
# this long breaks are held against the targets only.
ANSWERED_S = 60.0
MAX_ANSWERED = 8_192
MAX_SUSPECTS = 4_096


@dataclass(slots=True)
class _Suspect:
    """A request that broke targets.

    Attributes:
        blocked_until: no attempt is made until then.
        block_s: how long the next block lasts.
        forget_at: when the suspicion ends without another break.
    """

    targets: frozenset[TargetId]
    blocked_until: Seconds
    block_s: float
    forget_at: Seconds

    @property
    def quarantined(self) -> bool:
        return len(self.targets) >= BREAKS_TO_QUARANTINE


class QuarantineController(Controller):
    """Owns fingerprints of requests that broke several targets.

    Suspicions are shared between entries, since the caller's resend can
    reach another entry each time. After a block one attempt is let through;
    the block doubles if that breaks a target too, and ends if it does not,
    so that a failure of the targets is not held against requests for long.
    """

    name: ClassVar[ControllerName] = ControllerName.QUARANTINE
    tick_interval_s = 1.0

    def __init__(self, context: Context) -> None:
        """Start without any suspect."""
        super().__init__(context)
        self._suspects: OrderedDict[Fingerprint, _Suspect] = OrderedDict()
        self._answered: OrderedDict[Fingerprint, Seconds] = OrderedDict()

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message."""
        raise TypeError(f"{self!r} can't take {message!r}")

    @receive.register
    def _(self, message: Tick, origin: Origin) -> None:
        now = self._now()
        for fingerprint, suspect in list(self._suspects.items()):
            if suspect.forget_at < now:
                del self._suspects[fingerprint]

    @receive.register
    def _(self, message: CheckQuarantine, origin: Origin) -> None:
        suspect = self._suspects.get(message.fingerprint)
        if suspect is None:
            self._reply(origin, Suspicion.NONE)
        elif suspect.quarantined and self._now() < suspect.blocked_until:
            self._reply(origin, Suspicion.QUARANTINED)
        else:
            if suspect.quarantined:
                self._block(suspect)  # this is the one attempt let through
            self._reply(origin, Suspicion.SUSPECT)

    @receive.register
    def _(self, message: ReportResponse, origin: Origin) -> None:
        self._suspects.pop(message.fingerprint, None)
        self._answered[message.fingerprint] = self._now()
        self._answered.move_to_end(message.fingerprint)
        if len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)

    @receive.register
    def _(self, message: ReportBrokenConnection, origin: Origin) -> None:
        self._merge(message.fingerprint, frozenset({message.target}))

    @receive.register
    def _(self, message: Quarantine, origin: Origin) -> None:
        self._merge(message.fingerprint, frozenset(message.targets))

    @receive.register
    def _(self, message: GetStatus, origin: Origin) -> None:
        self._reply(
            origin,
            [
                {"fingerprint": f, "targets": sorted(suspect.targets)}
                for f, suspect in self._suspects.items()
                if suspect.quarantined
            ],
        )

    def _merge(
        self, fingerprint: Fingerprint, targets: frozenset[TargetId]
    ) -> None:
        answered = self._answered.get(fingerprint)
        if answered is not None and self._now() - answered < ANSWERED_S:
            return
        suspect = self._suspects.get(fingerprint)
        known = suspect.targets if suspect else frozenset()
        if targets <= known:
            return
        if suspect is None:
            suspect = self._add(fingerprint)
        was_quarantined = suspect.quarantined
        suspect.targets = known | targets
        suspect.forget_at = Seconds(
            self._now() + SUSPICION_S + suspect.block_s
        )
        self._tell_others(fingerprint, suspect)
        if suspect.quarantined and not was_quarantined:
            self._block(suspect)
            self._outbox.log_event(
                "request quarantined",
                fingerprint=fingerprint,
                targets=sorted(suspect.targets),
            )

    def _add(self, fingerprint: Fingerprint) -> _Suspect:
        now = self._now()
        suspect = _Suspect(frozenset(), now, QUARANTINE_FIRST_S, now)
        self._suspects[fingerprint] = suspect
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        return suspect

    def _block(self, suspect: _Suspect) -> None:
        now = self._now()
        suspect.blocked_until = Seconds(now + suspect.block_s)
        suspect.block_s = min(QUARANTINE_MAX_S, 2 * suspect.block_s)
        suspect.forget_at = Seconds(suspect.blocked_until + SUSPICION_S)

    def _tell_others(
        self, fingerprint: Fingerprint, suspect: _Suspect
    ) -> None:
        targets = tuple(sorted(suspect.targets))
        news = Quarantine(fingerprint, targets)
        self._outbox.tell(ControllerName.MEMBERSHIP, Broadcast(news))
