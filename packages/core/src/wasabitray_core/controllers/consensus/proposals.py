"""Operators' changes on their way through the leader."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

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

ACCEPT_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class Proposal:
    """A change and the ask that waits for its answer.

    Attributes:
        table: documents of a whole route table, from which the change's
            edits follow once it is its turn.
    """

    change: Change
    origin: Origin
    table: dict[str, str] | None = None


@dataclass(frozen=True, slots=True)
class _Awaiting:
    revision: Revision
    origin: Origin
    until: Seconds


class Proposals:
    """Changes that wait for their turn, commit or acceptance.

    Only one change is in the log uncommitted, so each is checked against
    the state it will be applied to.
    """

    def __init__(self, machine: ConfigurationStateMachine) -> None:
        """Start empty."""
        self._machine = machine
        self._queue: deque[Proposal] = deque()
        self._in_flight: Proposal | None = None
        self._awaiting: list[_Awaiting] = []
        self._view = FleetView(())
        self._fleet_since = Seconds(0.0)
        self._fleet_revision = Revision(0)

    @property
    def busy(self) -> bool:
        """Whether a change is in the log uncommitted."""
        return self._in_flight is not None

    def add(self, proposal: Proposal) -> None:
        """Queue a change."""
        self._queue.append(proposal)

    def pop(self) -> Proposal | None:
        """Return the next change in turn."""
        return self._queue.popleft() if self._queue else None

    def start(self, proposal: Proposal) -> None:
        """Note that a change is in the log."""
        self._in_flight = proposal

    def finish(self, change: ChangeId) -> Origin | None:
        """Note that a change is applied; return the ask that waits."""
        proposal = self._in_flight
        if proposal is None or proposal.change.change != change:
            return None
        self._in_flight = None
        return proposal.origin

    def abandon(self) -> list[Origin]:
        """Forget everything; return the asks that still wait."""
        waiting = [p.origin for p in self._queue]
        if self._in_flight is not None:
            waiting.append(self._in_flight.origin)
        waiting += [a.origin for a in self._awaiting]
        self._queue.clear()
        self._in_flight = None
        self._awaiting.clear()
        return waiting

    def note_view(self, view: FleetView) -> None:
        """Take the newest view of the entries."""
        self._view = view

    def note_fleet(self, revision: Revision, now: Seconds) -> None:
        """Note when a fleet document was committed or first seen."""
        self._fleet_revision = revision
        self._fleet_since = now

    def await_acceptance(
        self, revision: Revision, origin: Origin, now: Seconds
    ) -> None:
        """Answer an ask once a majority of the entries has a revision."""
        until = Seconds(now + ACCEPT_TIMEOUT_S)
        self._awaiting.append(_Awaiting(revision, origin, until))

    def take_accepted(
        self, now: Seconds
    ) -> list[tuple[Origin, Result[ChangeCommitted, WasabitrayError]]]:
        """Return the asks that can be answered now."""
        answers: list[
            tuple[Origin, Result[ChangeCommitted, WasabitrayError]]
        ] = []
        for awaiting in list(self._awaiting):
            missing = self._entries_without(awaiting.revision)
            accepted = 2 * len(missing) < max(1, len(self._entries()))
            if accepted or now >= awaiting.until:
                self._awaiting.remove(awaiting)
                proposed = ChangeCommitted(
                    awaiting.revision, accepted, missing
                )
                answers.append((awaiting.origin, Ok(proposed)))
        return answers

    def check(
        self, change: Change, now: Seconds
    ) -> Result[None, WasabitrayError]:
        """Check a change against the state and the reachable entries."""
        if not change.forced and not self._reaches_majority():
            return Err(
                UnavailableError(
                    "no contact with a majority of the entries", step="propose"
                )
            )
        checked = self._machine.check(change)
        if isinstance(checked, Err):
            return checked
        return self._check_group_removal(change, now)

    def _check_group_removal(
        self, change: Change, now: Seconds
    ) -> Result[None, WasabitrayError]:
        """Refuse to drop an old claim group that may still be in use.

        Claims granted by the old group alone must have expired, and a
        majority of it must know the joint groups, so that no claimant can
        still win with the old group alone.
        """
        old = self._machine.fleet
        body = next((e.body for e in change.edits if e.key == FLEET_KEY), None)
        if old is None or body is None:
            return Ok(None)
        new = Fleet.model_validate_json(body)
        if len(old.claim_groups) <= len(new.claim_groups):
            return Ok(None)
        dropped = set(old.claim_groups[0]) - set(
            self._entries_without(self._fleet_revision)
        )
        informed = 2 * len(dropped) > len(old.claim_groups[0])
        wait = self._fleet_since + old.claim_retention_s - now
        if informed and wait <= 0:
            return Ok(None)
        detail = (
            f"{FLEET_KEY}: claim_groups: the old group is still needed for "
            f"{max(0.0, wait):.0f} s; known by its majority: {informed}"
        )
        return Err(DocumentError(detail, step="check change"))

    def _entries(self) -> tuple[HostId, ...]:
        fleet = self._machine.fleet
        return tuple(HostId(e.host) for e in fleet.entries) if fleet else ()

    def _entries_without(self, revision: Revision) -> tuple[HostId, ...]:
        have = {
            v.host
            for v in self._view.hosts
            if v.is_recent and v.revision >= revision
        }
        return tuple(h for h in self._entries() if h not in have)

    def _reaches_majority(self) -> bool:
        missing = self._entries_without(Revision(0))
        return 2 * len(missing) < max(1, len(self._entries()))
