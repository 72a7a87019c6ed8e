"""Creates the controllers of a process and a task for each."""

from __future__ import annotations

import os
import random
import secrets
import time
from functools import singledispatch
from typing import Any

import gevent

from wasabitray_core.controllers.addresses import AddressesController
from wasabitray_core.controllers.claims import ClaimsController
from wasabitray_core.controllers.configuration import ConfigurationController
from wasabitray_core.controllers.consensus.controller import (
    ConsensusController,
)
from wasabitray_core.controllers.controller import Context, Controller
from wasabitray_core.controllers.departures import DeparturesController
from wasabitray_core.controllers.dispatch import DispatchController
from wasabitray_core.controllers.grants import GrantsController
from wasabitray_core.controllers.health import HealthController
from wasabitray_core.controllers.hub import HubController
from wasabitray_core.controllers.long_slots import LongSlotsController
from wasabitray_core.controllers.membership import MembershipController
from wasabitray_core.controllers.quarantine import QuarantineController
from wasabitray_core.controllers.shared_work import SharedWorkController
from wasabitray_core.controllers.subscriber import (
    EntryProfile,
    SubscriberController,
)
from wasabitray_core.controllers.targets import TargetsController
from wasabitray_core.controllers.trials import TrialsController
from wasabitray_core.errors import CorruptLogError
from wasabitray_core.ids import (
    FailureDomainName,
    HostId,
    Incarnation,
    MemberId,
    RegionName,
    Seconds,
)
from wasabitray_core.local_messages import ControllerName, SeedsChanged
from wasabitray_core.messages import Hello, HostAddress, Member, Members
from wasabitray_core.states import HostFlag, Role, Topology
from wasabitray_node.departure_file import DepartureFile
from wasabitray_node.fleet_directory import DirectoryController
from wasabitray_node.links import PeerLinks
from wasabitray_node.logs import flush_logs, log_error, log_event
from wasabitray_node.quarantine_file import QuarantineFile
from wasabitray_node.settings import Settings, split_address
from wasabitray_node.storage import Storage, StoredState
from wasabitray_node.tasks import ControllerTask, Router, TaskOutbox

DiskFile = Storage | DepartureFile | QuarantineFile

EXIT_TASK_FAILED = 3
# More than the entries of any fleet: a hub pushes a new configuration to every
# entry that subscribes to it.
UNLIMITED_FANOUT = 1_000_000


def monotonic() -> Seconds:
    """Return the time of the process's clock."""
    return Seconds(time.monotonic())


class Assembly:
    """The controllers of one process and the links between hosts."""

    def __init__(self, settings: Settings, initialise: bool) -> None:
        """Create the controllers that the role and the topology need.

        Args:
            settings: the validated settings.
            initialise: whether an empty data folder becomes a founding
                member's.
        """
        self._settings = settings
        self._initialise = initialise
        self._host = HostId(settings.host)
        self._random = random.Random(secrets.randbits(64))
        # Milliseconds since 1970: counters of a restarted host continue above
        # those of its previous incarnation.
        self._first_counter = time.time_ns() // 1_000_000
        self._secret = settings.read_secret().unwrap_or("")
        self.router = Router(self._host)
        self.links = PeerLinks(
            self._build_hello(),
            settings.get_peer_seeds(),
            split_address(settings.listen.peers)[0],
        )
        self.router.connect_peers(self.links.send)
        self._storage: Storage | None = None
        self._departure_file: DepartureFile | None = None
        self._quarantine_file: QuarantineFile | None = None
        if settings.topology is Topology.HUBS:
            self._build_hubs()
        else:
            self._build_mesh()

    @property
    def secret(self) -> str:
        """The shared secret, empty if none is set."""
        return self._secret

    def close_files(self) -> None:
        """Close the files of the data folder; nothing is written later."""
        files: tuple[DiskFile | None, ...] = (
            self._storage,
            self._departure_file,
            self._quarantine_file,
        )
        for file in files:
            if file is not None:
                file.close()

    def update_seeds(self, settings: Settings) -> None:
        """Apply the hosts to contact first that the settings list."""
        seeds = settings.get_peer_seeds()
        for host, address in seeds.items():
            self.links.set_address(host, address)
        if settings.topology is Topology.HUBS:
            update = SeedsChanged(tuple(seeds))
            self.router.tell(ControllerName.MEMBERSHIP, update)

    def _build_hello(self) -> Hello:
        listen = self._settings.listen.peers
        advertised = self._settings.advertised_peers or listen
        return Hello(self._host, advertised, self._secret)

    # Topologies

    def _build_mesh(self) -> None:
        if self._settings.role is Role.CONTROL:
            self._add_membership(
                HostFlag.CONTROL,
                (ControllerName.CONFIGURATION, ControllerName.CONSENSUS),
            )
            self._add(ConfigurationController, (ControllerName.DIRECTORY,))
            self._add(TrialsController)
            self._add_consensus(self._load_consensus())
        else:
            self._add_membership(
                HostFlag.NONE,
                (
                    ControllerName.CONFIGURATION,
                    ControllerName.ADDRESSES,
                    ControllerName.HEALTH,
                    ControllerName.LONG_SLOTS,
                ),
            )
            self._add_mesh_entry()
        self._add(DirectoryController, self.links)

    def _add_membership(
        self, flags: HostFlag, audience: tuple[ControllerName, ...]
    ) -> None:
        self._add(
            MembershipController,
            tuple(self._settings.get_peer_seeds()),
            flags,
            audience,
            self._first_counter,
        )

    def _add_mesh_entry(self) -> None:
        region = RegionName(self._settings.region)
        audience = (
            ControllerName.DIRECTORY,
            ControllerName.ADDRESSES,
            ControllerName.TARGETS,
            ControllerName.HEALTH,
            ControllerName.CLAIMS,
            ControllerName.GRANTS,
        )
        self._add(ConfigurationController, audience)
        self._add_addresses()
        self._add_dispatch()
        self._add(HealthController, region)
        self._add(ClaimsController)
        self._add(GrantsController, Incarnation(secrets.token_hex(12)))
        self._add(LongSlotsController)

    def _build_hubs(self) -> None:
        settings = self._settings
        region = RegionName(settings.region)
        if settings.role is Role.CONTROL:
            # The disk is read first: a damaged folder is moved aside.
            state = self._load_consensus()
            self._add_hub(region)
            self._add(SharedWorkController)
            self._add(ConfigurationController, (), UNLIMITED_FANOUT)
            self._add_addresses()
            self._add_consensus(state)
        else:
            domain = FailureDomainName(settings.failure_domain)
            profile = EntryProfile(
                region, domain, settings.listen.callers or ""
            )
            self._add(SubscriberController, profile, self._first_counter)
            self._add(
                ConfigurationController,
                (ControllerName.TARGETS,),
                0,
                settings.when_isolated,
                settings.startup_wait_s,
            )
            self._add_dispatch()
            if settings.listen.directory is not None:
                self._add_addresses()
        self._add(DirectoryController, self.links)

    # Controllers

    def _add_addresses(self) -> None:
        address_settings = self._settings.addresses
        self._add(
            AddressesController,
            address_settings.limit,
            address_settings.ttl_s,
            address_settings.spread,
        )

    def _add_dispatch(self) -> None:
        settings = self._settings
        self._add(TargetsController, self._first_counter)
        self._add(
            DispatchController,
            RegionName(settings.region),
            settings.retries.to_limits(),
            settings.pauses,
            settings.startup_wait_s,
            settings.topology is Topology.HUBS,
            FailureDomainName(settings.failure_domain),
        )
        self._add(QuarantineController)

    def _add_hub(self, region: RegionName) -> None:
        assert self._settings.data_folder is not None
        self._departure_file = DepartureFile(self._settings.data_folder)
        self._quarantine_file = QuarantineFile(self._settings.data_folder)
        quarantines = self._quarantine_file.load()
        hello = self._build_hello()
        self._add(
            HubController,
            HostAddress(
                hello.host,
                hello.address,
                region,
                FailureDomainName(self._settings.failure_domain),
            ),
            Incarnation(secrets.token_hex(4)),
            self._first_counter,
            self._departure_file.load(),
            quarantines,
        )
        self._add(DeparturesController, storage=self._departure_file)
        self._add(TrialsController, quarantines, storage=self._quarantine_file)

    def _load_consensus(self) -> StoredState:
        assert self._settings.data_folder is not None
        self._storage = Storage(self._settings.data_folder)
        state = self._load_state(self._storage)
        log_event("disk loaded", member=state.member.member)
        return state

    def _add_consensus(self, state: StoredState) -> None:
        self._add(
            ConsensusController,
            state.member.member,
            tuple(self._settings.get_peer_seeds()),
            state.ballot,
            state.snapshot,
            tuple(state.records),
            storage=self._storage,
        )

    def _add(
        self,
        controller_class: Any,
        *args: Any,
        storage: DiskFile | None = None,
    ) -> Controller:
        """Create a controller and its task.

        Args:
            controller_class: the controller's class.
            args: its arguments after the context.
            storage: makes what it persists durable, if it persists.
        """
        outbox = TaskOutbox()
        context = Context(self._host, monotonic, self._random, outbox)
        controller = controller_class(context, *args)
        sync = None
        if storage is not None:
            pool = gevent.get_hub().threadpool

            def sync(items: list[Any]) -> None:
                error = pool.apply(_try_sync, (storage, items))
                if error is not None:
                    handle_sync_error(storage, error)

        task = ControllerTask(controller, outbox, self.router, monotonic, sync)
        self.router.add(task)
        return controller

    # Stored state

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


def _try_sync(storage: DiskFile, items: list[Any]) -> Exception | None:
    """Sync in a worker thread and return the error, if there is one.

    The thread pool would print an error that is raised there.
    """
    try:
        storage.sync(items)
    except Exception as error:
        return error
    return None


@singledispatch
def handle_sync_error(file: DiskFile, error: Exception) -> None:
    """Handle items that could not be made durable."""
    exit_immediately(error)


@handle_sync_error.register
def _(file: QuarantineFile, error: Exception) -> None:
    # The records are still in memory and on other control hosts.
    log_event("quarantines not stored", reason=str(error))


def exit_immediately(error: BaseException) -> None:
    """End the process after a task failed, such as on a disk error.

    A member that can't sync must no longer vote or acknowledge.
    """
    log_error("task failed", error)
    flush_logs()
    os._exit(EXIT_TASK_FAILED)


def _build_founder(host: HostId) -> Member:
    return Member(MemberId(f"{host}.0"), host)
