"""The configuration in force on a host."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any, ClassVar

from result import Err, Ok, Result

from wasabitray_core.controllers.controller import (
    Context,
    Controller,
    Origin,
)
from wasabitray_core.documents import (
    FLEET_KEY,
    ORGANISATION_PREFIX,
    TEMPLATE_PREFIX,
    Fleet,
    Organisation,
    RenderedTemplate,
    Template,
    render_template,
)
from wasabitray_core.ids import (
    HostId,
    OrganisationName,
    Revision,
    Seconds,
    ServiceName,
)
from wasabitray_core.local_messages import (
    Committed,
    ConfigurationApplied,
    ControllerName,
    FleetView,
    GetDocuments,
    GetStatus,
    Isolation,
    IsServing,
    ResolveRoute,
    Restored,
    RouteResolved,
    RouteUnresolved,
    ServiceLimits,
    SetFlag,
    Tick,
)
from wasabitray_core.messages import (
    CommittedChange,
    ConfigPull,
    ConfigPush,
    ConfigState,
)
from wasabitray_core.route_table import RouteTable, read_table_source
from wasabitray_core.states import HostFlag, IsolationPolicy, RefusalReason

PUSH_FANOUT = 3
KEPT_CHANGES = 512
# A host that stays behind a known revision for longer stops serving.
MAX_LAG_S = 2.0
FILLED_CACHE_SIZE = 4_096


@dataclass(frozen=True, slots=True)
class _Access:
    """Whether requests may be served now."""

    isolated: bool = True
    newest: Revision = Revision(0)


class ConfigurationController(Controller):
    """Owns the newest configuration this host knows to be committed.

    It holds documents as text and fills an organisation's template when a
    request first needs it. A revision is never replaced by a lower one.
    """

    name: ClassVar[ControllerName] = ControllerName.CONFIGURATION

    def __init__(
        self,
        context: Context,
        audience: tuple[ControllerName, ...],
        push_fanout: int = PUSH_FANOUT,
        when_isolated: IsolationPolicy = IsolationPolicy.REFUSE,
        startup_wait_s: float = 0.0,
    ) -> None:
        """Start without a configuration.

        Args:
            context: shared by all controllers.
            audience: controllers told of each revision put in force.
            push_fanout: entries that a new revision is passed on to.
            when_isolated: what to do while cut off from the fleet.
            startup_wait_s: seconds from the start in which requests wait
                for the first configuration.
        """
        super().__init__(context)
        self._audience = audience
        self._push_fanout = push_fanout
        self._when_isolated = when_isolated
        self._wait_until = Seconds(context.clock() + startup_wait_s)
        self._waiting: list[tuple[ResolveRoute, Origin]] = []
        self._table: RouteTable | None = None
        self._split_phase = context.random.random()
        self._revision = Revision(0)
        self._documents: dict[str, str] = {}
        self._recent: deque[CommittedChange] = deque(maxlen=KEPT_CHANGES)
        self._filled: OrderedDict[OrganisationName, RenderedTemplate] = (
            OrderedDict()
        )
        self._floors: dict[ServiceName, int] = {}
        self._retention_s = 0.0
        self._serving = False
        self._access = _Access()
        self._caught_up_at: Seconds | None = None
        self._peers: tuple[HostId, ...] = ()

    @property
    def revision(self) -> Revision:
        """The revision in force, 0 if none."""
        return self._revision

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message."""
        raise TypeError(f"{self!r} can't take {message!r}")

    @receive.register
    def _(self, message: Tick, origin: Origin) -> None:
        if self._waiting and self._now() >= self._wait_until:
            self._answer_waiting()

    @receive.register
    def _(self, message: FleetView, origin: Origin) -> None:
        # Control hosts learn of changes through their log.
        self._peers = tuple(
            v.host
            for v in message.hosts
            if v.is_recent
            and v.host != self.host
            and not v.flags & HostFlag.CONTROL
        )

    @receive.register
    def _(self, message: Isolation, origin: Origin) -> None:
        self._access = _Access(message.isolated, message.newest)
        if not message.isolated and self._revision >= message.newest:
            self._caught_up_at = self._now()
        self._tell_serving()

    @receive.register
    def _(self, message: Committed, origin: Origin) -> None:
        self._apply_changes(message.changes)

    @receive.register
    def _(self, message: Restored, origin: Origin) -> None:
        snapshot = message.snapshot
        self._replace(snapshot.revision, snapshot.documents)
        self._recent.extend(snapshot.recent)

    @receive.register
    def _(self, message: ConfigPush, origin: Origin) -> None:
        gap = message.changes[0].revision > self._revision + 1
        if gap and origin.peer is not None:
            self._outbox.send(origin.peer, ConfigPull(self._revision))
        else:
            self._apply_changes(message.changes)

    @receive.register
    def _(self, message: ConfigState, origin: Origin) -> None:
        self._replace(message.revision, message.documents)

    @receive.register
    def _(self, message: ConfigPull, origin: Origin) -> None:
        assert origin.peer is not None
        if message.after >= self._revision:
            return
        missing = tuple(c for c in self._recent if c.revision > message.after)
        if missing and missing[0].revision == message.after + 1:
            self._outbox.send(origin.peer, ConfigPush(missing))
        else:
            state = ConfigState(self._revision, self._documents)
            self._outbox.send(origin.peer, state)

    @receive.register
    def _(self, message: GetDocuments, origin: Origin) -> None:
        state = ConfigState(self._revision, dict(self._documents))
        self._reply(origin, state)

    @receive.register
    def _(self, message: GetStatus, origin: Origin) -> None:
        self._reply(
            origin,
            {
                "revision": self._revision,
                "documents": len(self._documents),
                "isolated": self._access.isolated,
                "newest_heard": self._access.newest,
            },
        )

    @receive.register
    def _(self, message: IsServing, origin: Origin) -> None:
        self._reply(origin, self._serving)

    @receive.register
    def _(self, message: ResolveRoute, origin: Origin) -> None:
        if self._revision == 0 and self._now() < self._wait_until:
            self._waiting.append((message, origin))
        else:
            self._reply(origin, self._resolve(message))

    def _answer_waiting(self) -> None:
        """Answer the requests that came before the first configuration."""
        waiting, self._waiting = self._waiting, []
        for ask, origin in waiting:
            self._reply(origin, self._resolve(ask))

    # Applying

    def _apply_changes(self, changes: tuple[CommittedChange, ...]) -> None:
        fresh = []
        for committed in changes:
            if committed.revision == self._revision + 1:
                self._apply(committed)
                fresh.append(committed)
        if fresh:
            self._recent.extend(fresh)
            self._put_in_force()
            self._push(ConfigPush(tuple(fresh)))

    def _apply(self, committed: CommittedChange) -> None:
        for edit in committed.change.edits:
            if edit.body is None:
                self._documents.pop(edit.key, None)
            else:
                self._documents[edit.key] = edit.body
        self._revision = committed.revision

    def _replace(self, revision: Revision, documents: dict[str, str]) -> None:
        if revision <= self._revision:
            return
        self._revision = revision
        self._documents = dict(documents)
        self._recent.clear()
        self._put_in_force()

    def _put_in_force(self) -> None:
        self._filled.clear()
        self._floors = self._collect_floors()
        raw = self._documents.get(FLEET_KEY)
        fleet = Fleet.model_validate_json(raw) if raw else None
        self._retention_s = fleet.claim_retention_s if fleet else 0.0
        source = read_table_source(self._documents)
        self._table = RouteTable(source, self._split_phase) if source else None
        limits = self._table.limits if self._table else None
        in_force = ConfigurationApplied(self._revision, fleet, limits)
        self._outbox.tell(ControllerName.MEMBERSHIP, in_force)
        for controller in self._audience:
            self._outbox.tell(controller, in_force)
            self._outbox.tell(controller, ServiceLimits(self._floors))
        self._outbox.log_event(
            "revision in force",
            revision=self._revision,
            table_version=self._table.version if self._table else None,
        )
        self._tell_serving()
        self._answer_waiting()

    def _collect_floors(self) -> dict[ServiceName, int]:
        """Return the highest floor that any template states per service."""
        floors: dict[ServiceName, int] = {}
        for key, body in self._documents.items():
            if not key.startswith(TEMPLATE_PREFIX):
                continue
            template = Template.model_validate_json(body)
            for name, policy in template.services.items():
                floor = policy.get("floor", 1)
                if isinstance(floor, int):
                    service = ServiceName(name)
                    floors[service] = max(floor, floors.get(service, 1))
        return floors

    def _push(self, push: ConfigPush) -> None:
        """Pass new changes on to a few peers, which do the same."""
        count = min(self._push_fanout, len(self._peers))
        for host in self._context.random.sample(self._peers, count):
            self._outbox.send(host, push)

    # Resolving

    def _resolve(self, ask: ResolveRoute) -> RouteResolved | RouteUnresolved:
        if self._when_isolated is IsolationPolicy.SERVE:
            if self._revision == 0:
                detail = "no configuration yet"
                return RouteUnresolved(RefusalReason.NO_CONFIGURATION, detail)
            return self._find(ask)
        if self._revision == 0 or not self._is_current():
            return RouteUnresolved(
                RefusalReason.NO_CONFIGURATION,
                f"revision {self._revision} is in force here, "
                f"{self._access.newest} is known",
            )
        if self._access.isolated:
            return RouteUnresolved(
                RefusalReason.ISOLATED, "this entry is cut off from the fleet"
            )
        return self._find(ask)

    def _find(self, ask: ResolveRoute) -> RouteResolved | RouteUnresolved:
        if ask.authority:
            return self._find_in_table(ask)
        filled = self._fill(ask.organisation)
        if isinstance(filled, Err):
            return RouteUnresolved(
                RefusalReason.UNKNOWN_ORGANISATION, filled.err_value
            )
        route = filled.ok_value.find_route(ask.method, ask.path)
        if route is None:
            return RouteUnresolved(
                RefusalReason.UNKNOWN_ROUTE,
                f"{ask.organisation} has no route {ask.method} {ask.path}",
            )
        return RouteResolved(
            self._revision, filled.ok_value, route, self._retention_s
        )

    def _find_in_table(
        self, ask: ResolveRoute
    ) -> RouteResolved | RouteUnresolved:
        table = self._table
        route = table.find(ask.authority, ask.path) if table else None
        if table is None or route is None:
            return RouteUnresolved(
                RefusalReason.UNKNOWN_ROUTE,
                f"no route for {ask.authority}{ask.path}",
            )
        return RouteResolved(self._revision, table.template, route, 0.0)

    def _tell_serving(self) -> None:
        """Be in address answers only while requests are served."""
        connected = self._is_current() and not self._access.isolated
        serving = self._revision > 0 and (
            connected or self._when_isolated is IsolationPolicy.SERVE
        )
        if serving != self._serving:
            self._serving = serving
            flag = SetFlag(HostFlag.SERVING, serving)
            self._outbox.tell(ControllerName.MEMBERSHIP, flag)

    def _is_current(self) -> bool:
        """Tell whether this host had the newest revision a moment ago."""
        if self._caught_up_at is None:
            return False
        if self._revision >= self._access.newest:
            return True
        return self._now() - self._caught_up_at <= MAX_LAG_S

    def _fill(self, name: OrganisationName) -> Result[RenderedTemplate, str]:
        filled = self._filled.get(name)
        if filled is not None:
            return Ok(filled)
        raw = self._documents.get(ORGANISATION_PREFIX + name)
        if raw is None:
            return Err(f"no organisation {name!r}")
        organisation = Organisation.model_validate_json(raw)
        body = self._documents.get(TEMPLATE_PREFIX + organisation.template)
        if body is None:
            return Err(f"{name!r} names a template that does not exist")
        result = render_template(
            Template.model_validate_json(body), organisation
        )
        if isinstance(result, Err):
            return Err("; ".join(result.err_value))
        self._filled[name] = result.ok_value
        if len(self._filled) > FILLED_CACHE_SIZE:
            self._filled.popitem(last=False)
        return result
