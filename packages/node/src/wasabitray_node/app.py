"""The composition root: builds a process from its settings."""

from __future__ import annotations

import gc
import os
import random
import secrets
import time
from typing import Any

import gevent
from gevent.event import Event

from wasabitray_core.controllers.addresses import (
    ADDRESS_TTL_S,
    AddressesController,
)
from wasabitray_core.controllers.claims import ClaimsController
from wasabitray_core.controllers.configuration import ConfigurationController
from wasabitray_core.controllers.consensus.controller import (
    ConsensusController,
)
from wasabitray_core.controllers.controller import Context, Controller
from wasabitray_core.controllers.dispatch import DispatchController
from wasabitray_core.controllers.grants import GrantsController
from wasabitray_core.controllers.health import HealthController
from wasabitray_core.controllers.long_slots import LongSlotsController
from wasabitray_core.controllers.membership import (
    CONTACT_TIMEOUT_S,
    MembershipController,
)
from wasabitray_core.controllers.quarantine import QuarantineController
from wasabitray_core.controllers.targets import TargetsController
from wasabitray_core.errors import CorruptLogError
from wasabitray_core.filters import build_chain
from wasabitray_core.ids import (
    ClaimId,
    HostId,
    Incarnation,
    MemberId,
    RegionName,
    Seconds,
)
from wasabitray_core.local import (
    ControllerName,
    SetFlag,
    TransferLeadership,
)
from wasabitray_core.messages import Hello, Member, Members
from wasabitray_core.states import HostFlag, Role
from wasabitray_node.announcements import build_targets_app
from wasabitray_node.callers import (
    AddressesResource,
    CallersApp,
    Work,
    build_callers_app,
)
from wasabitray_node.fleet_directory import DirectoryController
from wasabitray_node.http import NoDelayServer, build_server
from wasabitray_node.links import PeerLinks, PeerListener
from wasabitray_node.logs import log_change, log_fault
from wasabitray_node.metrics import Metrics
from wasabitray_node.operators import build_operators_app
from wasabitray_node.settings import Settings, split_address
from wasabitray_node.storage import Storage, StoredState
from wasabitray_node.tasks import ControllerTask, Router, TaskOutbox
from wasabitray_node.upstream import ConnectionPool, Upstream

# After the last address answer has expired, callers may still be on the way.
STOP_MARGIN_S = 1.0
# Fewer, larger collections: their pauses show in the slowest requests.
COLLECTOR_THRESHOLDS = (10_000, 20, 50)
TRANSFER_WAIT_S = 0.5
EXIT_TASK_FAILED = 3


def monotonic() -> Seconds:
    """Return the process's clock."""
    return Seconds(time.monotonic())


class App:
    """One process of the fleet."""

    def __init__(self, settings: Settings, initialise: bool) -> None:
        """Build every part; nothing runs yet.

        Args:
            settings: the checked settings.
            initialise: make an empty data folder a founding member's.
        """
        self._settings = settings
        self._host = HostId(settings.host)
        self._secret = settings.read_secret().unwrap_or("")
        self._random = random.Random(secrets.randbits(64))
        # Counters of a restarted host go on above those of its last run.
        self._first_number = time.time_ns() // 1_000_000
        self._router = Router(self._host)
        self._metrics = Metrics()
        self._work = Work()
        self._stop = Event()
        self._links = PeerLinks(
            self._hello(),
            self._seeds(),
            split_address(settings.listen.peers)[0],
        )
        self._router.connect_peers(self._links.send)
        self._storage: Storage | None = None
        self._servers: list[NoDelayServer] = []
        self._add_shared_controllers()
        if settings.role is Role.CONTROL:
            self._add_control(initialise)
        else:
            self._add_entry()
        self._servers.append(self._build_operators())
        self._listener = PeerListener(
            settings.listen.peers,
            self._secret,
            self._router.receive,
            self._links.learn,
        )

    def _seeds(self) -> dict[HostId, str]:
        return {HostId(h): a for h, a in self._settings.seeds.items()}

    def _hello(self) -> Hello:
        listen = self._settings.listen.peers
        advertised = self._settings.advertised_peers or listen
        return Hello(self._host, advertised, self._secret)

    # Controllers

    def _context(self, outbox: TaskOutbox) -> Context:
        return Context(self._host, monotonic, self._random, outbox)

    def _add(
        self, build: Any, *args: Any, storage: Storage | None = None
    ) -> Controller:
        """Build a controller and its task."""
        outbox = TaskOutbox()
        controller = build(self._context(outbox), *args)
        sync = None
        if storage is not None:
            pool = gevent.get_hub().threadpool

            def sync(items: list[Any]) -> None:
                error = pool.apply(_try_sync, (storage, items))
                if error is not None:
                    _exit_at_once(error)

        task = ControllerTask(
            controller, outbox, self._router, monotonic, sync
        )
        self._router.add(task)
        return controller

    def _add_shared_controllers(self) -> None:
        control = self._settings.role is Role.CONTROL
        if control:
            audience = (
                ControllerName.CONFIGURATION,
                ControllerName.CONSENSUS,
            )
            told: tuple[ControllerName, ...] = (ControllerName.DIRECTORY,)
        else:
            audience = (
                ControllerName.CONFIGURATION,
                ControllerName.ADDRESSES,
                ControllerName.HEALTH,
                ControllerName.LONG_SLOTS,
            )
            told = (
                ControllerName.DIRECTORY,
                ControllerName.ADDRESSES,
                ControllerName.TARGETS,
                ControllerName.HEALTH,
                ControllerName.CLAIMS,
                ControllerName.GRANTS,
            )
        self._add(
            MembershipController,
            tuple(self._seeds()),
            HostFlag.CONTROL if control else HostFlag.NONE,
            audience,
            self._first_number,
        )
        self._add(ConfigurationController, told)
        self._add(DirectoryController, self._links)

    def _add_control(self, initialise: bool) -> None:
        settings = self._settings
        assert settings.data_folder is not None
        self._storage = Storage(settings.data_folder)
        state = self._load_state(self._storage, initialise)
        log_change("disk loaded", member=state.member.member)
        self._add(
            ConsensusController,
            state.member.member,
            tuple(self._seeds()),
            state.ballot,
            state.snapshot,
            tuple(state.records),
            storage=self._storage,
        )

    def _load_state(self, storage: Storage, initialise: bool) -> StoredState:
        """Return the disk's state, as a new member if it has none.

        A damaged disk is set aside: its member never votes again, and the
        host joins as a new one.
        """
        if storage.exists():
            try:
                return storage.load()
            except CorruptLogError as error:
                aside = storage.set_aside()
                log_change(
                    "disk damaged", reason=str(error), moved_to=aside.name
                )
                initialise = False
        if initialise:
            founders = tuple(
                _founder(HostId(h)) for h in self._settings.initial_control
            )
            return storage.create(_founder(self._host), Members(founders))
        name = MemberId(f"{self._host}.{secrets.token_hex(6)}")
        return storage.create(Member(name, self._host), Members(()))

    def _add_entry(self) -> None:
        settings = self._settings
        region = RegionName(settings.region)
        incarnation = Incarnation(secrets.token_hex(12))
        self._add(AddressesController)
        self._add(TargetsController, self._first_number)
        self._add(DispatchController, region)
        self._add(HealthController, region)
        self._add(QuarantineController)
        self._add(ClaimsController)
        self._add(GrantsController, incarnation)
        self._add(LongSlotsController)
        pool = ConnectionPool(settings.limits, monotonic)
        self._servers.append(self._build_callers(pool))
        assert settings.listen.targets is not None
        self._servers.append(
            build_server(
                settings.listen.targets, build_targets_app(self._router)
            )
        )

    # Listeners

    def _build_callers(self, pool: ConnectionPool) -> NoDelayServer:
        settings = self._settings
        assert settings.listen.callers is not None
        app = CallersApp(
            self._host,
            build_chain(monotonic, _new_claim),
            self._router,
            Upstream(pool, settings.limits, monotonic),
            self._metrics,
            settings.limits,
            monotonic,
            self._work,
        )
        addresses = AddressesResource(self._router, settings.region)
        return build_server(
            settings.listen.callers, build_callers_app(app, addresses)
        )

    def _build_operators(self) -> NoDelayServer:
        settings = self._settings
        facts = {
            "host": settings.host,
            "role": settings.role.value,
            "region": settings.region,
            "failure_domain": settings.failure_domain,
        }
        app = build_operators_app(
            self._router, self._metrics, self._secret, facts, self.stop
        )
        return build_server(settings.listen.operators, app)

    # Life

    def stop(self) -> None:
        """Start a graceful stop; it may be called more than once."""
        self._stop.set()

    def run(self) -> None:
        """Run until a graceful stop is complete."""
        self._listener.start()
        tasks = self._router.start()
        for task in tasks:
            task.link_exception(lambda t: _exit_at_once(t.exception))
        for server in self._servers:
            server.start()
        gc.collect()
        gc.freeze()  # start-up objects live on; collections skip them
        gc.set_threshold(*COLLECTOR_THRESHOLDS)
        log_change("started", role=self._settings.role.value)
        self._stop.wait()
        log_change("stopping")
        if self._settings.role is Role.CONTROL:
            self._hand_over()
        else:
            self._drain()
        for server in self._servers:
            server.stop(timeout=STOP_MARGIN_S)
        gevent.killall(tasks)
        self._listener.stop()
        if self._storage is not None:
            self._storage.close()
        log_change("stopped")

    def _hand_over(self) -> None:
        """Let another control host lead before this one goes."""
        leads = self._router.ask(
            ControllerName.CONSENSUS, TransferLeadership()
        )
        if leads:
            gevent.sleep(TRANSFER_WAIT_S)

    def _drain(self) -> None:
        """Leave the address answers, then finish the requests in flight.

        Answers that others gave before the news reached them expire after
        the contact timeout and their time to live.
        """
        leaving = SetFlag(HostFlag.LEAVING, True)
        self._router.tell(ControllerName.MEMBERSHIP, leaving)
        gevent.sleep(CONTACT_TIMEOUT_S + ADDRESS_TTL_S)
        self._work.closing = True
        gevent.sleep(STOP_MARGIN_S)
        self._work.wait_idle()


def _try_sync(storage: Storage, items: list[Any]) -> Exception | None:
    """Sync on a thread; an error is returned, not printed there."""
    try:
        storage.sync(items)
    except Exception as error:
        return error
    return None


def _exit_at_once(error: BaseException) -> None:
    """End the process when a task fails, such as on a disk error.

    A member that can't sync must not go on to vote or acknowledge.
    """
    log_fault("task failed", error)
    os._exit(EXIT_TASK_FAILED)


def _founder(host: HostId) -> Member:
    return Member(MemberId(f"{host}.0"), host)


def _new_claim() -> ClaimId:
    return ClaimId(secrets.token_hex(12))
