"""An entry's right to accept keys."""

from __future__ import annotations

from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any, ClassVar

from msgspec import Struct

from wasabitray_core.access.lease import (
    ConfigEvidence,
    ConfigLease,
    SentRequests,
    is_valid_age,
)
from wasabitray_core.access.messages import LeaseReply, LeaseRequest
from wasabitray_core.controllers.controller import (
    Context,
    Controller,
    Origin,
)
from wasabitray_core.ids import HostId, Revision, Seconds
from wasabitray_core.local_messages import (
    CheckLease,
    ControllerName,
    GetStatus,
    HubsView,
    Tick,
)
from wasabitray_core.states import LeaseState

# An entry that had a path to the control group in the last 3 s must accept
# keys with evidence of at most 4.5 s. Of the rest, 1.5 s, the hub's queries
# take 0.5 s, the leader's heartbeats 0.2 s, and six ways of 30 ms 0.18 s.
RENEWAL_INTERVAL_S = 0.4
# Without requests with keys for this long, the lease isn't renewed.
IDLE_AFTER_S = 10.0
IDLE_INTERVAL_S = 60.0
# How long a request waits for a renewal: several round trips to another
# region.
RENEWAL_WAIT_S = 0.4
# A renewal that is later than this was not needed, or the process was
# suspended: an earlier request without a reply says nothing about the hub.
MAX_DELAY_S = 1.0
WAITING_INTERVAL_S = 0.1
MIN_INTERVAL_S = 0.01
# Hubs that are asked in turn while none answers.
MAX_HUBS = 3
# More than an entry receives in the time that requests wait after a start.
MAX_WAITING_CHECKS = 1_024
FIRST_NUMBER_BITS = 48


class _WaitingCheck(Struct, frozen=True):
    """A request that waits for evidence.

    Attributes:
        until: boot-time clock at which it is refused.
    """

    revision: Revision
    origin: Origin
    until: Seconds


class LeaseController(Controller):
    """Owns the configuration lease of an entry.

    All its times are readings of the boot-time clock, which runs on while the
    process or its host is suspended.
    """

    name: ClassVar[ControllerName] = ControllerName.LEASE

    def __init__(
        self,
        context: Context,
        boot_clock: Callable[[], Seconds],
        lease_s: float,
        startup_wait_s: float = 0.0,
    ) -> None:
        """Start without evidence.

        Args:
            context: shared by all controllers.
            boot_clock: returns the seconds since the host's boot, including
                those in which it was suspended.
            lease_s: how old evidence may be.
            startup_wait_s: seconds after the start in which requests wait
                for the first evidence.
        """
        super().__init__(context)
        self._boot_clock = boot_clock
        self._lease = ConfigLease(lease_s)
        first_number = context.random.getrandbits(FIRST_NUMBER_BITS)
        self._sent = SentRequests(first_number)
        self._hubs: tuple[HostId, ...] = ()
        self._position = 0
        now = boot_clock()
        self._wait_until = Seconds(now + startup_wait_s)
        self._used_at = self._renew_at = now
        self._unanswered_since: Seconds | None = None
        self._waiting: list[_WaitingCheck] = []
        self._state = LeaseState.UNUSED
        self._lost_at = now

    @property
    def tick_interval_s(self) -> float:  # type: ignore[override]
        """Seconds until the next renewal, or until waiting requests end."""
        if self._waiting:
            return WAITING_INTERVAL_S
        now = self._boot_clock()
        if not self._is_used(now):
            return IDLE_INTERVAL_S
        return max(MIN_INTERVAL_S, self._renew_at - now)

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message."""
        raise TypeError(f"{self!r} does not handle {message!r}")

    @receive.register
    def _(self, message: Tick, origin: Origin) -> None:
        now = self._boot_clock()
        if self._is_used(now):
            if now >= self._renew_at:
                self._renew(now)
            self._resolve_waiting(now)
            self._update_state(now)
        else:
            self._state = LeaseState.UNUSED

    @receive.register
    def _(self, message: HubsView, origin: Origin) -> None:
        hubs = message.hubs[:MAX_HUBS]
        is_other = hubs[:1] != self._hubs[:1]
        self._hubs = hubs
        now = self._boot_clock()
        if is_other:
            self._position = 0
            if self._is_used(now):
                self._renew(now)

    @receive.register
    def _(self, message: CheckLease, origin: Origin) -> None:
        now = self._boot_clock()
        self._used_at = now
        if self._lease.covers(message.revision, now):
            self._reply(origin, True)
            return
        if now >= self._renew_at:
            self._renew(now)
        if self._may_wait(now):
            until = max(self._wait_until, now + RENEWAL_WAIT_S)
            check = _WaitingCheck(message.revision, origin, Seconds(until))
            self._waiting.append(check)
        else:
            self._reply(origin, False)

    @receive.register
    def _(self, message: LeaseReply, origin: Origin) -> None:
        sent_at = self._sent.take(message.number, origin.peer)
        if sent_at is None or not is_valid_age(message.age_s):
            return
        confirmed_at = Seconds(sent_at - message.age_s)
        self._lease.add(ConfigEvidence(message.revision, confirmed_at))
        self._unanswered_since = None
        now = self._boot_clock()
        self._resolve_waiting(now)
        self._update_state(now)

    @receive.register
    def _(self, message: GetStatus, origin: Origin) -> None:
        age = self._lease.get_age(self._boot_clock())
        self._reply(
            origin,
            {
                "state": self._state.value,
                "revision": self._lease.newest_revision,
                "age_s": None if age is None else round(age, 3),
                "hub": self._get_hub(),
                "waiting": len(self._waiting),
            },
        )

    def _is_used(self, now: Seconds) -> bool:
        return now - self._used_at < IDLE_AFTER_S

    def _get_hub(self) -> HostId | None:
        if not self._hubs:
            return None
        return self._hubs[self._position % len(self._hubs)]

    def _renew(self, now: Seconds) -> None:
        """Ask a hub for evidence; another one if the last didn't reply."""
        was_paused = now - self._renew_at > MAX_DELAY_S
        self._renew_at = Seconds(now + RENEWAL_INTERVAL_S)
        if self._unanswered_since is None or was_paused:
            self._unanswered_since = now
        else:
            self._position += 1
        hub = self._get_hub()
        if hub is not None:
            number = self._sent.add(hub, now)
            self._outbox.send(hub, LeaseRequest(number))

    def _may_wait(self, now: Seconds) -> bool:
        """Return whether a reply with evidence can be expected soon."""
        if len(self._waiting) >= MAX_WAITING_CHECKS:
            return False
        if now < self._wait_until:
            return True
        if self._lease.is_valid(now):
            return False  # the evidence is of a newer revision
        since = self._unanswered_since
        return since is not None and now - since < RENEWAL_WAIT_S

    def _resolve_waiting(self, now: Seconds) -> None:
        """Reply to the requests whose revision is confirmed, or too old."""
        waiting, self._waiting = self._waiting, []
        is_valid = self._lease.is_valid(now)
        for check in waiting:
            is_covered = self._lease.covers(check.revision, now)
            if is_covered or is_valid or now >= check.until:
                self._reply(check.origin, is_covered)
            else:
                self._waiting.append(check)

    def _update_state(self, now: Seconds) -> None:
        """Log when the lease is lost or regained."""
        old_state = self._state
        if self._lease.is_valid(now):
            self._state = LeaseState.HELD
        elif not self._may_wait(now):
            self._state = LeaseState.LOST
        if self._state is old_state:
            return
        age = self._lease.get_age(now)
        age_s = None if age is None else round(age, 3)
        if self._state is LeaseState.LOST:
            self._lost_at = now
            self._outbox.log_event(
                "lease lost", age_s=age_s, hub=self._get_hub()
            )
        elif old_state is LeaseState.LOST:
            self._outbox.log_event(
                "lease regained",
                age_s=age_s,
                hub=self._get_hub(),
                revision=self._lease.newest_revision,
                lost_s=round(now - self._lost_at, 3),
            )
