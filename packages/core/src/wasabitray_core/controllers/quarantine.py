"""Quarantine of requests that break the targets that run them."""

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

# Distinct targets that must break the connection before a request is
# quarantined.
MIN_BROKEN_TARGETS = 3
MIN_BLOCK_S = 30.0
MAX_BLOCK_S = 600.0
# Time after which a suspicion without another broken connection expires.
SUSPICION_TTL_S = 120.0
# A request that got a response from a target doesn't break every target. For
# this long after it, broken connections are attributed to the targets only.
RESPONSE_TTL_S = 60.0
MAX_RECORDED_RESPONSES = 8_192
MAX_SUSPECTS = 4_096


@dataclass(slots=True)
class _Suspect:
    """A request that may break targets.

    Attributes:
        targets: targets that broke the connection while they processed it.
        blocked_until: time until which no attempt is made.
        block_s: duration of the next block.
        expires_at: when the suspicion ends if no other connection breaks.
    """

    targets: frozenset[TargetId]
    blocked_until: Seconds
    block_s: float
    expires_at: Seconds

    @property
    def is_quarantined(self) -> bool:
        return len(self.targets) >= MIN_BROKEN_TARGETS


class QuarantineController(Controller):
    """Owns the fingerprints of requests that may break targets.

    Entries share their suspicions, because each resend of a caller can reach
    another entry. After a block, one attempt is allowed. The next block lasts
    twice as long if that attempt breaks a target too; otherwise the
    quarantine ends, so that a failure of the targets themselves does not
    block requests for long.
    """

    name: ClassVar[ControllerName] = ControllerName.QUARANTINE
    tick_interval_s = 1.0

    def __init__(self, context: Context) -> None:
        """Start without any suspect."""
        super().__init__(context)
        self._suspects: OrderedDict[Fingerprint, _Suspect] = OrderedDict()
        self._responses: OrderedDict[Fingerprint, Seconds] = OrderedDict()

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message."""
        raise TypeError(f"{self!r} does not handle {message!r}")

    @receive.register
    def _(self, message: Tick, origin: Origin) -> None:
        now = self._now()
        for fingerprint, suspect in list(self._suspects.items()):
            if suspect.expires_at < now:
                del self._suspects[fingerprint]

    @receive.register
    def _(self, message: CheckQuarantine, origin: Origin) -> None:
        suspect = self._suspects.get(message.fingerprint)
        if suspect is None:
            self._reply(origin, Suspicion.NONE)
        elif suspect.is_quarantined and self._now() < suspect.blocked_until:
            self._reply(origin, Suspicion.QUARANTINED)
        else:
            if suspect.is_quarantined:
                self._block(suspect)  # allows this one attempt only
            self._reply(origin, Suspicion.SUSPECT)

    @receive.register
    def _(self, message: ReportResponse, origin: Origin) -> None:
        self._suspects.pop(message.fingerprint, None)
        self._responses[message.fingerprint] = self._now()
        self._responses.move_to_end(message.fingerprint)
        if len(self._responses) > MAX_RECORDED_RESPONSES:
            self._responses.popitem(last=False)

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
                if suspect.is_quarantined
            ],
        )

    def _merge(
        self, fingerprint: Fingerprint, targets: frozenset[TargetId]
    ) -> None:
        responded_at = self._responses.get(fingerprint)
        if (
            responded_at is not None
            and self._now() - responded_at < RESPONSE_TTL_S
        ):
            return
        suspect = self._suspects.get(fingerprint)
        known_targets = suspect.targets if suspect else frozenset()
        if targets <= known_targets:
            return
        if suspect is None:
            suspect = self._add_suspect(fingerprint)
        was_quarantined = suspect.is_quarantined
        suspect.targets = known_targets | targets
        suspect.expires_at = Seconds(
            self._now() + SUSPICION_TTL_S + suspect.block_s
        )
        self._broadcast(fingerprint, suspect)
        if suspect.is_quarantined and not was_quarantined:
            self._block(suspect)
            self._outbox.log_event(
                "request quarantined",
                fingerprint=fingerprint,
                targets=sorted(suspect.targets),
            )

    def _add_suspect(self, fingerprint: Fingerprint) -> _Suspect:
        now = self._now()
        suspect = _Suspect(frozenset(), now, MIN_BLOCK_S, now)
        self._suspects[fingerprint] = suspect
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        return suspect

    def _block(self, suspect: _Suspect) -> None:
        now = self._now()
        suspect.blocked_until = Seconds(now + suspect.block_s)
        suspect.block_s = min(MAX_BLOCK_S, 2 * suspect.block_s)
        suspect.expires_at = Seconds(suspect.blocked_until + SUSPICION_TTL_S)

    def _broadcast(self, fingerprint: Fingerprint, suspect: _Suspect) -> None:
        targets = tuple(sorted(suspect.targets))
        quarantine = Quarantine(fingerprint, targets)
        self._outbox.tell(ControllerName.MEMBERSHIP, Broadcast(quarantine))
