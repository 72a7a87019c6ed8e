"""Quarantine of requests that crash the targets that run them."""

from __future__ import annotations

from collections import OrderedDict
from functools import singledispatchmethod
from typing import Any, ClassVar

from msgspec import Struct, field

from wasabitray_core.controllers.controller import (
    Context,
    Controller,
    Origin,
)
from wasabitray_core.controllers.crashes import (
    add_crash,
    clear_crashes,
    count_unused_trial,
    find_new_crashes,
    get_time_to_live,
    get_trial_wait,
    is_quarantined,
    merge_records,
)
from wasabitray_core.ids import Fingerprint, Seconds, TargetId
from wasabitray_core.local_messages import (
    AdmitAttempt,
    Broadcast,
    CheckQuarantine,
    ControllerName,
    GetStatus,
    ReportBrokenConnection,
    ReportResponse,
    ReportUnusedTrial,
    SendToLeader,
    Suspicion,
    Tick,
)
from wasabitray_core.messages import Quarantine, TrialReply, TrialRequest

IDLE_INTERVAL_S = 1.0
WAITING_INTERVAL_S = 0.2

# How long an attempt waits for the leader to allow it as a trial.
TRIAL_REPLY_TIMEOUT_S = 1.0
# Time between two trial requests of an entry while the leader denies them.
TRIAL_RETRY_S = 2.0
# An entry repeats a quarantine while it refuses the request, since hubs that
# restarted have lost it.
REBROADCAST_INTERVAL_S = 5.0
# For this long after a response, connections that break at the same time are
# taken for one failure that several targets share.
RESPONSE_TTL_S = 60.0
MAX_RECORDED_RESPONSES = 8_192
MAX_SUSPECTS = 4_096

_NEVER = Seconds(float("-inf"))


class _Suspect(Struct):
    """A request that may crash targets.

    Attributes:
        record: what this entry knows of it, from all entries.
        crashed_at: when this entry learned of each target's newest crash.
        expires_at: when the record is dropped if nothing new is learned.
        trial_at: when the next trial may be requested.
        waiting: the attempt that waits for the leader's reply.
        waits_until: when it is refused without a reply.
        broadcast_at: when the record was last broadcast.
    """

    record: Quarantine
    expires_at: Seconds
    crashed_at: dict[TargetId, Seconds] = field(default_factory=dict)
    trial_at: Seconds = _NEVER
    waiting: Origin | None = None
    waits_until: Seconds = _NEVER
    broadcast_at: Seconds = _NEVER

    @property
    def is_quarantined(self) -> bool:
        return is_quarantined(self.record)

    @property
    def newest_crash_at(self) -> Seconds:
        return max(self.crashed_at.values(), default=_NEVER)


class QuarantineController(Controller):
    """Owns what is known of the requests that may crash targets.

    Entries share each crash and each response after one, because a caller
    that sends the request again can reach another entry. Some time after a
    request was quarantined, the leader allows a trial attempt of one entry.
    """

    name: ClassVar[ControllerName] = ControllerName.QUARANTINE

    def __init__(self, context: Context) -> None:
        """Start without any suspect."""
        super().__init__(context)
        self._suspects: OrderedDict[Fingerprint, _Suspect] = OrderedDict()
        self._responses: OrderedDict[Fingerprint, Seconds] = OrderedDict()
        self._waiting_count = 0

    @property
    def tick_interval_s(self) -> float:  # type: ignore[override]
        """Seconds between ticks; short while an attempt waits."""
        return WAITING_INTERVAL_S if self._waiting_count else IDLE_INTERVAL_S

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message."""
        raise TypeError(f"{self!r} does not handle {message!r}")

    @receive.register
    def _(self, message: Tick, origin: Origin) -> None:
        now = self._now()
        for fingerprint, suspect in list(self._suspects.items()):
            if suspect.waiting is not None and suspect.waits_until <= now:
                self._end_wait(suspect, Suspicion.QUARANTINED)
            if suspect.waiting is None and suspect.expires_at < now:
                del self._suspects[fingerprint]

    @receive.register
    def _(self, message: CheckQuarantine, origin: Origin) -> None:
        suspect = self._suspects.get(message.fingerprint)
        suspicion = self._get_suspicion(suspect)
        if suspicion is Suspicion.QUARANTINED:
            assert suspect is not None
            self._repeat_broadcast(suspect)
        self._reply(origin, suspicion)

    @receive.register
    def _(self, message: AdmitAttempt, origin: Origin) -> None:
        suspect = self._suspects.get(message.fingerprint)
        suspicion = self._get_suspicion(suspect)
        if suspicion is not Suspicion.TRIAL:
            self._reply(origin, suspicion)
            return
        assert suspect is not None
        suspect.waiting = origin
        suspect.waits_until = Seconds(self._now() + TRIAL_REPLY_TIMEOUT_S)
        suspect.trial_at = Seconds(self._now() + TRIAL_RETRY_S)
        self._waiting_count += 1
        request = SendToLeader(TrialRequest(suspect.record))
        self._outbox.tell(ControllerName.MEMBERSHIP, request)

    @receive.register
    def _(self, message: TrialReply, origin: Origin) -> None:
        suspect = self._suspects.get(message.record.fingerprint)
        if suspect is None or suspect.waiting is None:
            return  # the reply came too late
        self._apply(suspect, merge_records(suspect.record, message.record))
        is_allowed = message.granted and suspect.record == message.record
        self._end_wait(
            suspect,
            Suspicion.TRIAL if is_allowed else Suspicion.QUARANTINED,
        )

    @receive.register
    def _(self, message: ReportUnusedTrial, origin: Origin) -> None:
        suspect = self._suspects.get(message.fingerprint)
        if suspect is not None and suspect.is_quarantined:
            self._apply(suspect, count_unused_trial(suspect.record))

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
        served_at = self._responses.get(report.fingerprint, _NEVER)
        if self._now() - served_at < RESPONSE_TTL_S:
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
        for target in find_new_crashes(record, suspect.record):
            suspect.crashed_at[target] = now
        suspect.record = record
        suspect.expires_at = Seconds(now + get_time_to_live(record))
        self._broadcast(suspect)
        if not suspect.is_quarantined:
            if was_quarantined:
                self._log("quarantine ended", record)
            return
        suspect.trial_at = Seconds(now + get_trial_wait(record))
        if not was_quarantined:
            self._log("request quarantined", record)

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
        evicted = self._suspects.pop(next(candidates, oldest))
        if evicted.waiting is not None:
            self._end_wait(evicted, Suspicion.QUARANTINED)

    def _get_suspicion(self, suspect: _Suspect | None) -> Suspicion:
        """Return what is known; TRIAL if a trial may be requested now."""
        if suspect is None or not suspect.record.targets:
            return Suspicion.NONE
        if not suspect.is_quarantined:
            return Suspicion.SUSPECT
        is_due = suspect.waiting is None and self._now() >= suspect.trial_at
        return Suspicion.TRIAL if is_due else Suspicion.QUARANTINED

    def _end_wait(self, suspect: _Suspect, suspicion: Suspicion) -> None:
        """Reply to the attempt that waits for the leader."""
        assert suspect.waiting is not None
        self._reply(suspect.waiting, suspicion)
        suspect.waiting = None
        self._waiting_count -= 1

    def _broadcast(self, suspect: _Suspect) -> None:
        suspect.broadcast_at = self._now()
        broadcast = Broadcast(suspect.record)
        self._outbox.tell(ControllerName.MEMBERSHIP, broadcast)

    def _repeat_broadcast(self, suspect: _Suspect) -> None:
        if self._now() - suspect.broadcast_at >= REBROADCAST_INTERVAL_S:
            self._broadcast(suspect)
