"""Operators' changes that the leader is processing."""

from __future__ import annotations

from collections import deque

from msgspec import Struct
from result import Err, Ok, Result

from wasabitray_core.controllers.consensus.state_machine import (
    ConfigurationStateMachine,
)
from wasabitray_core.controllers.controller import Origin
from wasabitray_core.documents import FLEET_KEY, Fleet
from wasabitray_core.errors import (
    DocumentError,
    UnavailableError,
    WasabitrayError,
)
from wasabitray_core.ids import ChangeId, HostId, Revision, Seconds
from wasabitray_core.local_messages import ChangeCommitted, FleetView
from wasabitray_core.messages import Change
from wasabitray_core.sizes import get_size

ACCEPT_TIMEOUT_S = 5.0
# Changes that wait while none can be committed; one may be larger.
MAX_QUEUED_BYTES = 16_777_216


class Proposal(Struct, frozen=True):
    """A proposed change and the origin to reply to.

    Attributes:
        queued_at: when the leader received the change.
        table: documents of a whole route table; the change's edits are
            computed from them when the change leaves the queue.
    """

    change: Change
    origin: Origin
    queued_at: Seconds
    table: dict[str, str] | None = None

    @property
    def size(self) -> int:
        """About how many bytes its content takes."""
        return get_size(self.change) + get_size(self.table)


class CommitTimes(Struct, frozen=True):
    """How long the steps of a committed change took.

    Attributes:
        queued: seconds until the change was appended to the log.
        commit: seconds from then until a majority had synced it.
    """

    queued: Seconds
    commit: Seconds


class _PendingAcceptance(Struct, frozen=True):
    revision: Revision
    origin: Origin
    deadline: Seconds


class Proposals:
    """Changes that are queued, uncommitted or waiting for acceptance.

    At most one uncommitted change is in the log at a time, so each change is
    validated against the state that it will be applied to.
    """

    def __init__(self, machine: ConfigurationStateMachine) -> None:
        """Start with no changes and no known entries."""
        self._machine = machine
        self._queue: deque[Proposal] = deque()
        self._queued_bytes = 0
        self._uncommitted: Proposal | None = None
        self._appended_at = Seconds(0.0)
        self._pending_acceptances: list[_PendingAcceptance] = []
        self._view = FleetView(())
        self._fleet_changed_at = Seconds(0.0)
        self._fleet_revision = Revision(0)

    @property
    def has_uncommitted_change(self) -> bool:
        """Whether the log contains an uncommitted change."""
        return self._uncommitted is not None

    def add(self, proposal: Proposal) -> Result[None, WasabitrayError]:
        """Queue a change, unless too much is queued already."""
        queued_bytes = self._queued_bytes + proposal.size
        if self._queue and queued_bytes > MAX_QUEUED_BYTES:
            detail = f"{len(self._queue)} changes wait to be committed"
            return Err(UnavailableError(detail, step="propose"))
        self._queue.append(proposal)
        self._queued_bytes = queued_bytes
        return Ok(None)

    def pop_next(self) -> Proposal | None:
        """Remove and return the next queued change, None if there is none.

        Tables that the newest one has overtaken come first, then the oldest
        change. If that is a table, the queued table with the highest version
        replaces it, since it overtakes all others.
        """
        if not self._queue:
            return None
        tables = [p for p in self._queue if p.table is not None]
        overtaken = [
            p for p in tables if self._machine.has_overtaken(p.change.version)
        ]
        proposal = self._queue[0]
        if overtaken:
            proposal = overtaken[0]
        elif proposal.table is not None:
            proposal = max(tables, key=lambda p: p.change.version)
        self._queue.remove(proposal)
        self._queued_bytes -= proposal.size
        return proposal

    def mark_appended(self, proposal: Proposal, now: Seconds) -> None:
        """Record that a change was appended to the log."""
        self._uncommitted = proposal
        self._appended_at = now

    def mark_applied(
        self, change: ChangeId, now: Seconds
    ) -> tuple[Origin, CommitTimes] | None:
        """Record that a change was applied.

        Returns:
            The origin to reply to and how long the change took, or None if
            it was not proposed on this leader.
        """
        proposal = self._uncommitted
        if proposal is None or proposal.change.change != change:
            return None
        self._uncommitted = None
        times = CommitTimes(
            Seconds(self._appended_at - proposal.queued_at),
            Seconds(now - self._appended_at),
        )
        return proposal.origin, times

    def cancel_all(self) -> list[Origin]:
        """Remove all changes; return the origins that wait for a reply."""
        waiting = [p.origin for p in self._queue]
        if self._uncommitted is not None:
            waiting.append(self._uncommitted.origin)
        waiting += [a.origin for a in self._pending_acceptances]
        self._queue.clear()
        self._queued_bytes = 0
        self._uncommitted = None
        self._pending_acceptances.clear()
        return waiting

    def record_view(self, view: FleetView) -> None:
        """Record the newest view of the fleet's hosts."""
        self._view = view

    def record_fleet_change(self, revision: Revision, now: Seconds) -> None:
        """Record when a fleet document was committed or first seen."""
        self._fleet_revision = revision
        self._fleet_changed_at = now

    def await_acceptance(
        self, revision: Revision, origin: Origin, now: Seconds
    ) -> None:
        """Wait for a majority of the entries to apply a revision.

        `pop_completed` returns the origin when they have, or after
        `ACCEPT_TIMEOUT_S`.
        """
        deadline = Seconds(now + ACCEPT_TIMEOUT_S)
        self._pending_acceptances.append(
            _PendingAcceptance(revision, origin, deadline)
        )

    def pop_completed(
        self, now: Seconds
    ) -> list[tuple[Origin, Result[ChangeCommitted, WasabitrayError]]]:
        """Remove and return the accepted or timed-out changes.

        Returns:
            The origin to reply to and its reply, for each of them.
        """
        replies: list[
            tuple[Origin, Result[ChangeCommitted, WasabitrayError]]
        ] = []
        for pending in list(self._pending_acceptances):
            unconfirmed = self._get_unconfirmed_entries(pending.revision)
            accepted = 2 * len(unconfirmed) < max(1, len(self._get_entries()))
            if accepted or now >= pending.deadline:
                self._pending_acceptances.remove(pending)
                committed = ChangeCommitted(
                    pending.revision, accepted, unconfirmed
                )
                replies.append((pending.origin, Ok(committed)))
        return replies

    def validate(
        self, proposal: Proposal, now: Seconds
    ) -> Result[None, WasabitrayError]:
        """Check a change against the state and the contact with entries.

        A change that no retry can help is refused for that reason, whatever
        the contact. A table was checked as a whole before its edits were
        computed.
        """
        change = proposal.change
        is_table = proposal.table is not None
        has_contact = change.forced or self._has_majority_contact()
        # A leader that was replaced may not know the newest revision.
        is_final = has_contact or change.expected <= self._machine.revision
        checked = Ok(None) if is_table else self._machine.validate(change)
        if isinstance(checked, Err) and is_final:
            return checked
        if not has_contact:
            return Err(
                UnavailableError(
                    "no contact with a majority of the entries", step="propose"
                )
            )
        if is_table:
            return Ok(None)
        return self._validate_group_removal(change, now)

    def _validate_group_removal(
        self, change: Change, now: Seconds
    ) -> Result[None, WasabitrayError]:
        """Refuse to remove an old claim group that may still be in use.

        Claims granted by the old group alone must have expired, and a
        majority of its hosts must have applied the configuration with the
        joint groups, so that no new claim can be granted by the old group
        alone.
        """
        old = self._machine.fleet
        body = next((e.body for e in change.edits if e.key == FLEET_KEY), None)
        if old is None or body is None:
            return Ok(None)
        new = Fleet.model_validate_json(body)
        if len(old.claim_groups) <= len(new.claim_groups):
            return Ok(None)
        informed_hosts = set(old.claim_groups[0]) - set(
            self._get_unconfirmed_entries(self._fleet_revision)
        )
        has_informed_majority = 2 * len(informed_hosts) > len(
            old.claim_groups[0]
        )
        remaining_s = self._fleet_changed_at + old.claim_retention_s - now
        if has_informed_majority and remaining_s <= 0:
            return Ok(None)
        detail = (
            f"{FLEET_KEY}: claim_groups: the old group is still in use: its "
            f"claims expire in {max(0.0, remaining_s):.0f} s; a majority of "
            f"its hosts has the joint groups: {has_informed_majority}"
        )
        return Err(DocumentError(detail, step="check change"))

    def _get_entries(self) -> tuple[HostId, ...]:
        fleet = self._machine.fleet
        return tuple(HostId(e.host) for e in fleet.entries) if fleet else ()

    def _get_unconfirmed_entries(
        self, revision: Revision
    ) -> tuple[HostId, ...]:
        up_to_date = {
            v.host
            for v in self._view.hosts
            if v.is_recent and v.revision >= revision
        }
        return tuple(h for h in self._get_entries() if h not in up_to_date)

    def _has_majority_contact(self) -> bool:
        unreachable = self._get_unconfirmed_entries(Revision(0))
        return 2 * len(unreachable) < max(1, len(self._get_entries()))
