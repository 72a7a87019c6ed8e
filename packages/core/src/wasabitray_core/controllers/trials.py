"""Trials of quarantined requests, and the records of them on disk.

The leader grants the trials. Each control host stores what the fleet knows of
requests that crashed targets, as the limit on their attempts also holds when
all processes are started again.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from functools import singledispatchmethod
from typing import Any, ClassVar

from msgspec import Struct

from wasabitray_core.controllers.controller import (
    Context,
    Controller,
    Origin,
)
from wasabitray_core.controllers.crashes import (
    QUARANTINE_TTL_S,
    count_trial,
    get_trial_wait,
    is_quarantined,
    merge_records,
)
from wasabitray_core.ids import Fingerprint, Seconds
from wasabitray_core.local_messages import (
    ControllerName,
    GetStatus,
    GroupContact,
    RestoredQuarantine,
    StoreQuarantines,
    Tick,
)
from wasabitray_core.messages import Quarantine, TrialReply, TrialRequest

MAX_RECORDS = 4_096
# Time between two writes of records; the first quarantine after a pause is
# written at once.
STORE_INTERVAL_S = 0.2
IDLE_INTERVAL_S = 60.0


class _Granted(Struct):
    """The trials that were granted for a request.

    Attributes:
        record: what is known of the request.
        newest_at: when the newest trial was granted.
    """

    record: Quarantine
    newest_at: Seconds


class TrialsController(Controller):
    """Owns the grants of trials and the file of requests that crashed targets.

    The number of targets that a request may still reach is a limit of the
    fleet, so a single host grants the attempts. A new leader learns from the
    entries' records of the trials that were granted before. It waits before
    it grants one itself, because its predecessor may have granted one just
    now that few entries know of.
    """

    name: ClassVar[ControllerName] = ControllerName.TRIALS

    def __init__(
        self,
        context: Context,
        restored: tuple[RestoredQuarantine, ...] = (),
    ) -> None:
        """Start with the records on disk.

        Args:
            context: shared by all controllers.
            restored: the records on this host's disk, the oldest first.
        """
        super().__init__(context)
        self._is_leader = False
        self._leader_since = context.clock()
        self._granted: OrderedDict[Fingerprint, _Granted] = OrderedDict()
        self._unstored: dict[Fingerprint, Quarantine] = {}
        self._stored_at = Seconds(-math.inf)
        for item in restored:
            newest_at = Seconds(context.clock() - item.age_s)
            granted = _Granted(item.record, newest_at)
            self._granted[item.record.fingerprint] = granted

    @property
    def tick_interval_s(self) -> float:  # type: ignore[override]
        """Seconds between ticks; short while records wait to be stored."""
        return STORE_INTERVAL_S if self._unstored else IDLE_INTERVAL_S

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message."""
        raise TypeError(f"{self!r} does not handle {message!r}")

    @receive.register
    def _(self, message: Tick, origin: Origin) -> None:
        self._store()
        expired_before = self._now() - QUARANTINE_TTL_S
        for fingerprint, granted in list(self._granted.items()):
            if granted.newest_at < expired_before:
                del self._granted[fingerprint]

    @receive.register
    def _(self, message: StoreQuarantines, origin: Origin) -> None:
        for record in message.records:
            self._unstored[record.fingerprint] = record
        while len(self._unstored) > MAX_RECORDS:
            del self._unstored[next(iter(self._unstored))]
        is_due = self._now() >= self._stored_at + STORE_INTERVAL_S
        if is_due and any(map(is_quarantined, message.records)):
            self._store()

    @receive.register
    def _(self, message: GroupContact, origin: Origin) -> None:
        was_leader = self._is_leader
        self._is_leader = message.in_contact and message.leader == self.host
        if self._is_leader and not was_leader:
            self._leader_since = self._now()

    @receive.register
    def _(self, message: TrialRequest, origin: Origin) -> None:
        if origin.peer is None or not self._is_leader:
            return
        record = self._learn(message.record)
        may_grant = self._is_due(record)
        if may_grant:
            record = self._grant(record)
        self._outbox.log_event(
            "trial granted" if may_grant else "trial denied",
            fingerprint=record.fingerprint,
            peer=origin.peer,
            trials=record.trials,
        )
        self._outbox.send(origin.peer, TrialReply(record, may_grant))

    @receive.register
    def _(self, message: GetStatus, origin: Origin) -> None:
        self._reply(
            origin, {f: g.record.trials for f, g in self._granted.items()}
        )

    def _store(self) -> None:
        for record in self._unstored.values():
            self._outbox.persist(self._learn(record))
        self._unstored.clear()
        self._stored_at = self._now()

    def _learn(self, record: Quarantine) -> Quarantine:
        granted = self._granted.get(record.fingerprint)
        if granted is None:
            return record
        granted.record = merge_records(granted.record, record)
        return granted.record

    def _is_due(self, record: Quarantine) -> bool:
        granted = self._granted.get(record.fingerprint)
        newest_at = self._leader_since
        if granted is not None:
            newest_at = max(newest_at, granted.newest_at)
        return self._now() >= newest_at + get_trial_wait(record)

    def _grant(self, record: Quarantine) -> Quarantine:
        record = count_trial(record)
        self._outbox.persist(record)  # durable before the entry's attempt
        self._granted[record.fingerprint] = _Granted(record, self._now())
        self._granted.move_to_end(record.fingerprint)
        if len(self._granted) > MAX_RECORDS:
            self._granted.popitem(last=False)
        return record
