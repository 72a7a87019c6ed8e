"""Quarantine of requests that crash the targets that run them."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from functools import singledispatchmethod
from typing import Any, ClassVar

from wasabitray_core.controllers.controller import (
    Context,
    Controller,
    Origin,
)
from wasabitray_core.controllers.crashes import (
    add_crash,
    clear_crashes,
    get_time_to_live,
    is_quarantined,
    merge_records,
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

MIN_BLOCK_S = 30.0
MAX_BLOCK_S = 600.0
# For this long after a response, connections that break at the same time are
# taken for one failure that several targets share.
RESPONSE_TTL_S = 60.0
MAX_RECORDED_RESPONSES = 8_192
MAX_SUSPECTS = 4_096

_NEVER = Seconds(float("-inf"))


@dataclass(slots=True)
class _Suspect:
    """A request that may crash targets.

    Attributes:
        record: what this entry knows of it, from all entries.
        crashed_at: when this entry learned of each target's newest crash.
        expires_at: when the record is dropped if nothing new is learned.
        blocked_until: time until which no attempt is made.
        block_s: duration of the next block.
    """

    record: Quarantine
    expires_at: Seconds
    crashed_at: dict[TargetId, Seconds] = field(default_factory=dict)
    blocked_until: Seconds = _NEVER
    block_s: float = MIN_BLOCK_S

    @property
    def is_quarantined(self) -> bool:
        return is_quarantined(self.record)

    @property
    def newest_crash_at(self) -> Seconds:
        return max(self.crashed_at.values(), default=_NEVER)


class QuarantineController(Controller):
    """Owns what is known of the requests that may crash targets.

    Entries share each crash and each response after one, because a caller
    that sends the request again can reach another entry. After a block, one
    attempt is allowed.
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
        if suspect is None or not suspect.record.targets:
            self._reply(origin, Suspicion.NONE)
        elif suspect.is_quarantined and self._now() < suspect.blocked_until:
            self._reply(origin, Suspicion.QUARANTINED)
        else:
            if suspect.is_quarantined:
                self._block(suspect)  # allows this one attempt only
            self._reply(origin, Suspicion.SUSPECT)

    @receive.register
    def _(self, message: ReportResponse, origin: Origin) -> None:
        suspect = self._suspects.get(message.fingerprint)
        if suspect is not None and suspect.record.targets:
            self._apply(suspect, clear_crashes(suspect.record))
        self._responses[message.fingerprint] = self._now()
        self._responses.move_to_end(message.fingerprint)
        if len(self._responses) > MAX_RECORDED_RESPONSES:
            self._responses.popitem(last=False)

    @receive.register
    def _(self, message: ReportBrokenConnection, origin: Origin) -> None:
        suspect = self._get_suspect(message.fingerprint)
        if self._is_new_crash(suspect, message):
            self._apply(suspect, add_crash(suspect.record, message.target))

    @receive.register
    def _(self, message: Quarantine, origin: Origin) -> None:
        suspect = self._get_suspect(message.fingerprint)
        self._apply(suspect, merge_records(suspect.record, message))

    @receive.register
    def _(self, message: GetStatus, origin: Origin) -> None:
        self._reply(
            origin,
            [
                {"fingerprint": f, "targets": list(suspect.record.targets)}
                for f, suspect in self._suspects.items()
                if suspect.is_quarantined
            ],
        )

    def _is_new_crash(
        self, suspect: _Suspect, report: ReportBrokenConnection
    ) -> bool:
        """Return whether a broken connection shows a crash not yet counted.

        All connections of a target break when it crashes, so a second one
        shows a second crash only if its attempt began after the first crash
        was known here. The same holds for targets that fail together, unless
        nothing shows that any target can serve the request.
        """
        began = self._now() - report.elapsed
        answered_at = self._responses.get(report.fingerprint, _NEVER)
        if self._now() - answered_at < RESPONSE_TTL_S:
            return began >= suspect.newest_crash_at
        return began >= suspect.crashed_at.get(report.target, _NEVER)

    def _apply(self, suspect: _Suspect, record: Quarantine) -> None:
        """Store a record and broadcast it if it shows something new."""
        if record == suspect.record:
            return
        now = self._now()
        was_quarantined = suspect.is_quarantined
        if record.epoch != suspect.record.epoch:
            suspect.crashed_at.clear()
        for target in record.targets:
            known = suspect.record.targets.count(target)
            if record.targets.count(target) > known or (
                record.epoch != suspect.record.epoch
            ):
                suspect.crashed_at[target] = now
        suspect.record = record
        suspect.expires_at = Seconds(now + get_time_to_live(record))
        broadcast = Broadcast(record)
        self._outbox.tell(ControllerName.MEMBERSHIP, broadcast)
        if suspect.is_quarantined and not was_quarantined:
            self._block(suspect)
            self._log("request quarantined", record)
        elif was_quarantined and not suspect.is_quarantined:
            suspect.block_s = MIN_BLOCK_S
            self._log("quarantine ended", record)

    def _log(self, event: str, record: Quarantine) -> None:
        self._outbox.log_event(
            event, fingerprint=record.fingerprint, targets=record.targets
        )

    def _get_suspect(self, fingerprint: Fingerprint) -> _Suspect:
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            if len(self._suspects) >= MAX_SUSPECTS:
                self._evict()
            record = Quarantine(fingerprint, ())
            suspect = _Suspect(record, self._now())
            self._suspects[fingerprint] = suspect
        return suspect

    def _evict(self) -> None:
        """Drop the oldest suspect, a quarantined one only if all are."""
        oldest = next(iter(self._suspects))
        candidates = (
            f for f, s in self._suspects.items() if not s.is_quarantined
        )
        del self._suspects[next(candidates, oldest)]

    def _block(self, suspect: _Suspect) -> None:
        now = self._now()
        suspect.blocked_until = Seconds(now + suspect.block_s)
        suspect.block_s = min(MAX_BLOCK_S, 2 * suspect.block_s)
