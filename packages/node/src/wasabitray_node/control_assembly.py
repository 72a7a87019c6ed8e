"""The assembly of a control host in a fleet with hubs."""

from __future__ import annotations

import secrets
from pathlib import Path

from wasabitray_core.controllers.configuration import ConfigurationController
from wasabitray_core.controllers.consensus.controller import (
    ConsensusController,
)
from wasabitray_core.controllers.departures import DeparturesController
from wasabitray_core.controllers.hub import HubController
from wasabitray_core.controllers.lease_relay import LeaseRelayController
from wasabitray_core.controllers.shared_work import SharedWorkController
from wasabitray_core.controllers.trials import TrialsController
from wasabitray_core.errors import CorruptLogError
from wasabitray_core.ids import (
    FailureDomainName,
    HostId,
    Incarnation,
    MemberId,
    RegionName,
)
from wasabitray_core.messages import HostAddress, Member, Members
from wasabitray_core.quotas.limits import QuotaBound
from wasabitray_core.quotas.share_controller import QuotaShareController
from wasabitray_core.states import IsolationPolicy
from wasabitray_node.assembly import Assembly, boottime, handle_sync_error
from wasabitray_node.departure_file import DepartureFile
from wasabitray_node.logs import log_event
from wasabitray_node.quarantine_file import QuarantineFile
from wasabitray_node.settings import Settings
from wasabitray_node.storage import Storage, StoredState

# More than the entries of any fleet: a hub pushes a new configuration to every
# entry that subscribes to it.
UNLIMITED_FANOUT = 1_000_000


class ControlAssembly(Assembly):
    """The controllers of a control host, and its files."""

    def __init__(self, settings: Settings, initialise: bool) -> None:
        """Create the controllers.

        Args:
            settings: the validated settings.
            initialise: whether an empty data folder becomes a founding
                member's.
        """
        self._initialise = initialise
        super().__init__(settings)

    @property
    def _data_folder(self) -> Path:
        folder = self._settings.data_folder
        assert folder is not None
        return folder

    def _build_controllers(self) -> None:
        # The disk is read first: a damaged folder is moved aside.
        storage = Storage(self._data_folder)
        state = self._load_consensus(storage)
        self._add_hub()
        self._add(SharedWorkController)
        self._add(
            ConfigurationController,
            (),
            UNLIMITED_FANOUT,
            IsolationPolicy.REFUSE,
            0.0,
            self._settings.quotas is not None,
        )
        quotas = self._settings.quotas
        if quotas is not None:
            bound = QuotaBound(quotas.window_s, quotas.excess, quotas.slack)
            self._add_quotas(QuotaShareController, bound)
        self._add_addresses()
        if self._settings.needs_leader_evidence:
            self._add(LeaseRelayController, boottime)
        self._add_consensus(storage, state)

    def _add_hub(self) -> None:
        departure_file = DepartureFile(self._data_folder)
        quarantine_file = QuarantineFile(self._data_folder)
        quarantines = quarantine_file.load()
        hello = self._build_hello()
        self._add(
            HubController,
            HostAddress(
                hello.host,
                hello.address,
                RegionName(self._settings.region),
                FailureDomainName(self._settings.failure_domain),
            ),
            Incarnation(secrets.token_hex(4)),
            self._first_counter,
            departure_file.load(),
            quarantines,
        )
        self._add(DeparturesController, storage=departure_file)
        self._add(TrialsController, quarantines, storage=quarantine_file)

    def _load_consensus(self, storage: Storage) -> StoredState:
        state = self._load_state(storage)
        log_event("disk loaded", member=state.member.member)
        return state

    def _add_consensus(self, storage: Storage, state: StoredState) -> None:
        self._add(
            ConsensusController,
            state.member.member,
            tuple(self._settings.get_peer_seeds()),
            state.ballot,
            state.snapshot,
            tuple(state.records),
            self._settings.tolerated_losses,
            storage=storage,
        )

    def _load_state(self, storage: Storage) -> StoredState:
        """Return the state on disk, or a new member's if there is none.

        A damaged data folder is moved aside: its member never votes again,
        and the host joins as a new member.
        """
        initialise = self._initialise
        if storage.exists():
            try:
                return storage.load()
            except CorruptLogError as error:
                moved_path = storage.move_aside()
                log_event(
                    "disk damaged", reason=str(error), moved_to=moved_path.name
                )
                initialise = False
        founders = self._settings.get_founding_hosts()
        if initialise and self._host in founders:
            members = Members(tuple(_build_founder(h) for h in founders))
            return storage.create(_build_founder(self._host), members)
        name = MemberId(f"{self._host}.{secrets.token_hex(6)}")
        return storage.create(Member(name, self._host), Members(()))


@handle_sync_error.register
def _(file: QuarantineFile, error: Exception) -> None:
    # The records are still in memory and on other control hosts.
    log_event("quarantines not stored", reason=str(error))


def _build_founder(host: HostId) -> Member:
    return Member(MemberId(f"{host}.0"), host)
