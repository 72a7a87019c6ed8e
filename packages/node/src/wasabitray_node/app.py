"""The composition root: builds a process from its settings."""

from __future__ import annotations

import gc
import secrets

import gevent
from gevent.event import Event

from wasabitray_core.controllers.membership import CONTACT_TIMEOUT_S
from wasabitray_core.filters import build_chain
from wasabitray_core.filters.chain import Filter
from wasabitray_core.filters.lease import LeaseFilter
from wasabitray_core.filters.quota import QuotaFilter
from wasabitray_core.ids import ClaimId
from wasabitray_core.local_messages import (
    ControllerName,
    IsServing,
    LeaveGroup,
    SetFlag,
)
from wasabitray_core.states import HostFlag, Role, Topology
from wasabitray_core.stopping import plan_stop
from wasabitray_node.assembly import Assembly, exit_immediately, monotonic
from wasabitray_node.callers import (
    AddressesResource,
    CallersApp,
    InFlightRequests,
    build_callers_app,
)
from wasabitray_node.connections import ConnectionPool
from wasabitray_node.http import (
    NoDelayServer,
    build_budget,
    build_server,
)
from wasabitray_node.interfaces import (
    Interfaces,
    ServerParts,
    native_interfaces,
)
from wasabitray_node.links import PeerListener
from wasabitray_node.logs import (
    flush_logs,
    get_log_writer,
    log_event,
    start_log_writer,
)
from wasabitray_node.metrics import Metrics
from wasabitray_node.operators import build_operators_app
from wasabitray_node.read_turns import ReadTurns
from wasabitray_node.settings import Settings
from wasabitray_node.upstream import Upstream

# After the last list of addresses has expired, requests of callers may still
# be on the way.
STOP_MARGIN_S = 1.0
# Higher than the defaults, for fewer collections: their pauses delay the
# slowest requests.
GC_THRESHOLDS = (10_000, 20, 50)
# A member of the control group leaves within a few round trips, unless the
# group has no leader. The rest of the time for a stop is for the process to
# end.
LEAVE_TIMEOUT_S = 5.0
LEAVE_TIME_SHARE = 0.8
MAX_LOGGED_REQUESTS = 50


class App:
    """One process of the fleet."""

    def __init__(
        self,
        settings: Settings,
        initialise: bool = False,
        interfaces: Interfaces | None = None,
    ) -> None:
        """Create every part; nothing runs yet.

        Args:
            settings: the validated settings.
            initialise: whether an empty data folder becomes a founding
                member's.
            interfaces: the dialects and further listeners; the project's
                native ones if None.
        """
        self._settings = settings
        self._interfaces = interfaces or native_interfaces(settings)
        self._assembly = create_assembly(
            settings, initialise or settings.initialise
        )
        self._router = self._assembly.router
        self._metrics = Metrics(get_log_writer())
        self._requests = InFlightRequests()
        self._stop = Event()
        self._callers_server: NoDelayServer | None = None
        self._servers: list[NoDelayServer] = [self._build_operators()]
        if settings.role is Role.ENTRY:
            self._callers_server = self._build_callers()
            self._assembly.listeners.add(self._callers_server)
            self._servers.append(self._callers_server)
        parts = ServerParts(settings, self._router, self._is_ready)
        self._servers += self._interfaces.build_servers(parts)
        budget = build_budget(settings.limits)
        turns = ReadTurns()
        for server in self._servers:
            server.budget = budget
            server.turns = turns
        self._metrics.clients = budget
        self._peer_listener = PeerListener(
            settings.listen.peers,
            self._assembly.secret,
            self._router.receive,
            self._assembly.links.set_address,
            budget,
        )

    # Listeners

    def _build_callers(self) -> NoDelayServer:
        settings = self._settings
        assert settings.listen.callers is not None
        pool = ConnectionPool(settings.limits, monotonic)
        upstream = Upstream(
            pool,
            settings.limits,
            monotonic,
            self._interfaces.targets,
            lambda: self._requests.is_stopping,
        )
        app = CallersApp(
            build_chain(
                monotonic,
                _create_claim_id,
                self._build_access_filters(),
                settings.second_attempts is not None,
                self._stop.is_set,
            ),
            self._router,
            upstream,
            self._metrics,
            settings.limits,
            monotonic,
            self._requests,
            self._interfaces.callers,
        )
        addresses = None
        if ControllerName.ADDRESSES in self._router.get_controllers():
            addresses = AddressesResource(self._router, settings.region)
        return build_server(
            settings.listen.callers, build_callers_app(app, addresses)
        )

    def _build_access_filters(self) -> tuple[Filter, ...]:
        filters: list[Filter] = []
        if ControllerName.LEASE in self._router.get_controllers():
            filters.append(LeaseFilter())
        if ControllerName.QUOTAS in self._router.get_controllers():
            filters.append(QuotaFilter())
        return tuple(filters)

    def _build_operators(self) -> NoDelayServer:
        settings = self._settings
        host_info = {
            "host": settings.host,
            "role": settings.role.value,
            "region": settings.region,
            "failure_domain": settings.failure_domain,
        }
        app = build_operators_app(
            self._router,
            self._metrics,
            self._assembly.secret,
            host_info,
            self.stop,
        )
        return build_server(settings.listen.operators, app)

    def _is_ready(self) -> bool:
        """Return whether callers may be sent to this entry."""
        if self._requests.is_stopping:
            return False
        return self._router.ask(ControllerName.CONFIGURATION, IsServing())

    # Life cycle

    def stop(self) -> None:
        """Start a graceful stop; further calls do nothing."""
        self._stop.set()

    def reload(self, settings: Settings) -> None:
        """Apply changed settings: only the hosts to contact first."""
        self._assembly.update_seeds(settings)

    def run(self) -> None:
        """Run until a graceful stop is complete."""
        start_log_writer()
        self._peer_listener.start()
        tasks = self._router.start()
        for task in tasks:
            task.link_exception(lambda t: exit_immediately(t.exception))
        self._assembly.update_seeds(self._settings)
        for server in self._servers:
            server.start()
        enable_collector()
        log_event("started", role=self._settings.role.value)
        self._stop.wait()
        log_event("stopping")
        if self._settings.role is Role.CONTROL:
            self._leave_group()
        elif self._settings.grace_s is None:
            self._drain()
        else:
            self._drain_within(self._settings.grace_s)
        for server in self._servers:
            server.stop(timeout=0 if self._settings.grace_s else STOP_MARGIN_S)
        gevent.killall(tasks)
        self._peer_listener.stop()
        self._assembly.close_files()
        log_event("stopped")
        flush_logs()

    def _leave_group(self) -> None:
        """Hand leadership and vote to other control hosts before the stop."""
        timeout_s = LEAVE_TIMEOUT_S
        if self._settings.grace_s is not None:
            timeout_s = LEAVE_TIME_SHARE * self._settings.grace_s
        try:
            self._router.ask(ControllerName.CONSENSUS, LeaveGroup(), timeout_s)
        except gevent.Timeout:
            log_event("group not left", waited_s=timeout_s)

    def _drain(self) -> None:
        """Leave the lists of addresses, then finish the requests in flight.

        Lists that other hosts sent before they learned of the stop expire
        after the contact timeout and their time to live.
        """
        self._announce_leaving()
        ttl_s = self._settings.addresses.ttl_s
        gevent.sleep(CONTACT_TIMEOUT_S + ttl_s)
        self._requests.is_stopping = True
        gevent.sleep(STOP_MARGIN_S)
        self._requests.wait_idle()

    def _drain_within(self, grace_s: float) -> None:
        """Stop within a given time.

        Callers keep addresses for longer than the stop may take. They are
        served for a share of the time, as far as their requests can end
        before the process does; then the listener is closed, and their
        connection attempts are refused.
        """
        assert self._callers_server is not None
        schedule = plan_stop(monotonic(), grace_s)
        log_event(
            "stop planned",
            accept_s=round(schedule.accept_until - monotonic(), 3),
            respond_s=round(schedule.respond_until - monotonic(), 3),
            finish_s=round(schedule.finish_until - monotonic(), 3),
        )
        self._announce_leaving()
        self._requests.is_stopping = True
        self._router.tell(ControllerName.DISPATCH, schedule)
        gevent.sleep(schedule.accept_until - monotonic())
        self._callers_server.close()
        self._callers_server.close_idle()
        remaining_s = max(0.0, schedule.finish_until - monotonic())
        if not self._callers_server.wait_closed(remaining_s):
            log_event(
                "requests cut off",
                count=self._requests.in_flight,
                requests=self._requests.ids[:MAX_LOGGED_REQUESTS],
            )

    def _announce_leaving(self) -> None:
        leaving = SetFlag(HostFlag.LEAVING, True)
        self._router.tell(ControllerName.MEMBERSHIP, leaving)


def create_assembly(settings: Settings, initialise: bool) -> Assembly:
    """Create the controllers that the role and the topology need.

    Args:
        settings: the validated settings.
        initialise: whether an empty data folder becomes a founding member's.
    """
    # Imported here so that a start loads only the controllers of its role.
    if settings.topology is Topology.MESH:
        from wasabitray_node import mesh_assembly

        if settings.role is Role.CONTROL:
            return mesh_assembly.MeshControlAssembly(settings, initialise)
        return mesh_assembly.MeshEntryAssembly(settings)
    if settings.role is Role.CONTROL:
        from wasabitray_node.control_assembly import ControlAssembly

        return ControlAssembly(settings, initialise)
    from wasabitray_node.entry_assembly import EntryAssembly

    return EntryAssembly(settings)


def enable_collector() -> None:
    """Enable the garbage collector, for objects that are made from now on.

    Those of the start stay alive.
    """
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    gc.enable()


def _create_claim_id() -> ClaimId:
    return ClaimId(secrets.token_hex(12))
