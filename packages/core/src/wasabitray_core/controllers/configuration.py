"""The configuration that a host applies."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from functools import singledispatchmethod
from typing import Any, ClassVar

from msgspec import Struct
from msgspec.structs import replace
from result import Err, Ok, Result

from wasabitray_core.controllers.controller import (
    Context,
    Controller,
    Origin,
)
from wasabitray_core.controllers.revised_documents import RevisedDocuments
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
    QuotaLimits,
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
    ConfigDelta,
    ConfigPull,
    ConfigPush,
    ConfigState,
    DocumentEdit,
)
from wasabitray_core.requests import ConfigurationAge
from wasabitray_core.route_table import RouteTable, read_table_source
from wasabitray_core.states import (
    HostFlag,
    IsolationPolicy,
    RefusalReason,
    RequestAccess,
)

PUSH_FANOUT = 3
# Deltas from different revisions that are kept for hosts that ask.
MAX_KEPT_DELTAS = 16
# A host that lags behind a known revision for longer than this stops serving.
MAX_LAG_S = 2.0
# A route is reported as missing only within this time after a contact with the
# leader has shown that no newer configuration is known. Hubs send a heartbeat
# every half second.
NEGATIVE_LEASE_S = 1.0
# How long a request without a route waits for a configuration that is on its
# way.
NEWER_WAIT_S = 0.5
# Interval of ticks while requests wait for a configuration, and while none
# does.
WAITING_INTERVAL_S = 0.1
IDLE_INTERVAL_S = 60.0
RENDERED_CACHE_SIZE = 4_096

_MISSING_REASONS = (
    RefusalReason.UNKNOWN_ORGANISATION,
    RefusalReason.UNKNOWN_ROUTE,
    RefusalReason.UNKNOWN_KEY,
)


class _FleetContact(Struct, frozen=True):
    """What membership reports about this host's contact to the fleet.

    Attributes:
        isolated: whether this host lacks the contacts that it needs to serve.
        newest_revision: highest revision reported by any contact.
        reported_at: when this was reported, None if never.
        leader_reported_at: when a contact with the leader last reported.
    """

    isolated: bool = True
    newest_revision: Revision = Revision(0)
    reported_at: Seconds | None = None
    leader_reported_at: Seconds | None = None


class _WaitingRequest(Struct, frozen=True):
    """A request that waits for a configuration.

    Attributes:
        until: when it is refused.
    """

    request: ResolveRoute
    origin: Origin
    until: Seconds


class ConfigurationController(Controller):
    """Owns the newest configuration that this host knows to be committed.

    It keeps documents as text and renders an organisation's template when a
    request first needs it. A revision is never replaced by a lower one.
    """

    name: ClassVar[ControllerName] = ControllerName.CONFIGURATION

    def __init__(
        self,
        context: Context,
        observers: tuple[ControllerName, ...],
        push_fanout: int = PUSH_FANOUT,
        when_isolated: IsolationPolicy = IsolationPolicy.REFUSE,
        startup_wait_s: float = 0.0,
        announces_quotas: bool = False,
    ) -> None:
        """Start without a configuration.

        Args:
            context: shared by all controllers.
            observers: controllers notified of each revision applied.
            push_fanout: number of entries that a new revision is pushed to.
            when_isolated: what to do while isolated from the fleet.
            startup_wait_s: seconds after the start in which requests wait
                for the first configuration.
            announces_quotas: whether to tell the limits of organisations to
                the controller that shares their quotas.
        """
        super().__init__(context)
        self._observers = observers
        self._push_fanout = push_fanout
        self._when_isolated = when_isolated
        self._announces_quotas = announces_quotas
        self._wait_until = Seconds(context.clock() + startup_wait_s)
        self._waiting_requests: list[_WaitingRequest] = []
        self._table: RouteTable | None = None
        self._split_phase = context.random.random()
        self._stored = RevisedDocuments()
        self._state: ConfigState | None = None
        self._deltas: dict[Revision, ConfigDelta] = {}
        self._rendered_templates: OrderedDict[
            OrganisationName, RenderedTemplate
        ] = OrderedDict()
        self._floors: dict[ServiceName, int] = {}
        self._retention_s = 0.0
        self._serving = False
        self._fleet_contact = _FleetContact()
        self._caught_up_at: Seconds | None = None
        self._applied_at: Seconds | None = None
        self._peers: tuple[HostId, ...] = ()

    @property
    def tick_interval_s(self) -> float:  # type: ignore[override]
        """Seconds between ticks; short only while requests wait."""
        return (
            WAITING_INTERVAL_S if self._waiting_requests else IDLE_INTERVAL_S
        )

    @property
    def revision(self) -> Revision:
        """The revision applied here, 0 if none."""
        return self._stored.revision

    @property
    def _documents(self) -> Mapping[str, str]:
        return self._stored.documents

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message."""
        raise TypeError(f"{self!r} does not handle {message!r}")

    @receive.register
    def _(self, message: Tick, origin: Origin) -> None:
        if self._waiting_requests:
            self._resolve_waiting()

    @receive.register
    def _(self, message: FleetView, origin: Origin) -> None:
        # Control hosts receive changes through their replicated log.
        self._peers = tuple(
            v.host
            for v in message.hosts
            if v.is_recent
            and v.host != self.host
            and not v.flags & HostFlag.CONTROL
        )

    @receive.register
    def _(self, message: Isolation, origin: Origin) -> None:
        now = self._now()
        self._fleet_contact = _FleetContact(
            message.isolated,
            message.newest,
            now,
            self._fleet_contact.leader_reported_at
            if message.isolated
            else now,
        )
        if not message.isolated and self.revision >= message.newest:
            self._caught_up_at = now
        self._update_serving_flag()
        self._resolve_waiting()

    @receive.register
    def _(self, message: Committed, origin: Origin) -> None:
        self._apply_changes(message.changes)

    @receive.register
    def _(self, message: Restored, origin: Origin) -> None:
        snapshot = message.snapshot
        self._replace(snapshot.revision, snapshot.documents)

    @receive.register
    def _(self, message: ConfigPush, origin: Origin) -> None:
        if not self._pull_after_gap(message.changes[0].revision, origin):
            self._apply_changes(message.changes)

    @receive.register
    def _(self, message: ConfigDelta, origin: Origin) -> None:
        if message.revision <= self.revision:
            return
        first = Revision(message.after + 1)
        if not self._pull_after_gap(first, origin):
            self._apply_delta(message)

    def _pull_after_gap(self, first: Revision, origin: Origin) -> bool:
        """Ask for missing changes, if there are any, and return whether.

        Args:
            first: the first revision that a message has the changes of.
            origin: sender of the message.
        """
        if first <= self.revision + 1:
            return False
        if origin.peer is not None:
            self._outbox.send(origin.peer, ConfigPull(self.revision))
        return True

    @receive.register
    def _(self, message: ConfigState, origin: Origin) -> None:
        self._replace(message.revision, message.documents)

    @receive.register
    def _(self, message: ConfigPull, origin: Origin) -> None:
        assert origin.peer is not None
        if message.after >= self.revision:
            return
        answer: ConfigDelta | ConfigState | None = None
        if message.accepts_delta:
            answer = self._find_delta(message.after)
        self._outbox.send(origin.peer, answer or self._get_state())

    def _find_delta(self, after: Revision) -> ConfigDelta | None:
        """Return what changed after a revision, None if the state is smaller.

        All hosts that ask for the same share one message.
        """
        delta = self._deltas.get(after)
        if delta is not None:
            return delta
        edits = self._stored.find_edits_after(after)
        if edits is None:
            return None
        delta = ConfigDelta(after, self.revision, edits)
        if len(self._deltas) < MAX_KEPT_DELTAS:
            self._deltas[after] = delta
        return delta

    def _get_state(self) -> ConfigState:
        """Return the documents; all hosts that ask share one message."""
        if self._state is None:
            self._state = ConfigState(self.revision, dict(self._documents))
        return self._state

    @receive.register
    def _(self, message: GetDocuments, origin: Origin) -> None:
        state = ConfigState(self.revision, dict(self._documents))
        self._reply(origin, state)

    @receive.register
    def _(self, message: GetStatus, origin: Origin) -> None:
        self._reply(
            origin,
            {
                "revision": self.revision,
                "documents": len(self._documents),
                "isolated": self._fleet_contact.isolated,
                "newest_heard": self._fleet_contact.newest_revision,
            },
        )

    @receive.register
    def _(self, message: IsServing, origin: Origin) -> None:
        self._reply(origin, self._serving)

    @receive.register
    def _(self, message: ResolveRoute, origin: Origin) -> None:
        until = self._wait_until
        if self.revision:
            until = Seconds(self._now() + NEWER_WAIT_S)
        self._resolve_or_wait(_WaitingRequest(message, origin, until))

    def _resolve_waiting(self) -> None:
        """Resolve the requests that waited, or let them wait on."""
        waiting_requests, self._waiting_requests = self._waiting_requests, []
        for waiting in waiting_requests:
            self._resolve_or_wait(waiting)

    def _resolve_or_wait(self, waiting: _WaitingRequest) -> None:
        resolution = self._resolve(waiting.request)
        may_wait = self._now() < waiting.until and self._is_newer_on_its_way()
        if isinstance(resolution, RouteUnresolved) and may_wait:
            self._waiting_requests.append(waiting)
        else:
            self._reply(waiting.origin, resolution)

    # Applying

    def _apply_changes(self, changes: tuple[CommittedChange, ...]) -> None:
        """Apply the changes that directly follow the own revision."""
        revision = self.revision
        edits: dict[str, DocumentEdit] = {}
        for committed in changes:
            if committed.revision == revision + 1:
                revision = committed.revision
                edits |= {edit.key: edit for edit in committed.change.edits}
        if revision > self.revision:
            merged = tuple(edits.values())
            self._apply_delta(ConfigDelta(self.revision, revision, merged))

    def _apply_delta(self, delta: ConfigDelta) -> None:
        self._stored.apply(delta.revision, delta.edits)
        self._apply_configuration()
        self._push_to_peers(delta)

    def _replace(self, revision: Revision, documents: dict[str, str]) -> None:
        if revision > self.revision:
            self._stored.replace(revision, documents)
            self._apply_configuration()

    def _apply_configuration(self) -> None:
        self._applied_at = self._now()
        self._state = None
        self._deltas.clear()
        self._rendered_templates.clear()
        self._floors = self._collect_floors()
        fleet_body = self._documents.get(FLEET_KEY)
        fleet = Fleet.model_validate_json(fleet_body) if fleet_body else None
        self._retention_s = fleet.claim_retention_s if fleet else 0.0
        source = read_table_source(self._documents)
        self._table = RouteTable(source, self._split_phase) if source else None
        limits = self._table.limits if self._table else None
        applied_configuration = ConfigurationApplied(
            self.revision, fleet, limits
        )
        self._outbox.tell(ControllerName.MEMBERSHIP, applied_configuration)
        for controller in self._observers:
            self._outbox.tell(controller, applied_configuration)
            self._outbox.tell(controller, ServiceLimits(self._floors))
        if self._announces_quotas:
            organisations = (source.organisations if source else None) or ()
            policies = tuple(p for p in organisations if p.has_quota)
            self._outbox.tell(ControllerName.QUOTAS, QuotaLimits(policies))
        self._outbox.log_event(
            "revision in force",
            revision=self.revision,
            table_version=self._table.version if self._table else None,
        )
        self._update_serving_flag()
        self._resolve_waiting()

    def _collect_floors(self) -> dict[ServiceName, int]:
        """Return each service's highest floor in any template."""
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

    def _push_to_peers(self, delta: ConfigDelta) -> None:
        """Push new changes to a few peers, which do the same."""
        sample_size = min(self._push_fanout, len(self._peers))
        for host in self._context.random.sample(self._peers, sample_size):
            self._outbox.send(host, delta)

    # Resolving

    def _resolve(
        self, request: ResolveRoute
    ) -> RouteResolved | RouteUnresolved:
        if self._when_isolated is IsolationPolicy.SERVE:
            if self.revision == 0:
                detail = "this entry has no configuration yet"
                return self._refuse(RefusalReason.NO_CONFIGURATION, detail)
            return self._check_missing_route(self._find_route(request))
        if self.revision == 0 or not self._is_current():
            return self._refuse(
                RefusalReason.NO_CONFIGURATION,
                f"this entry has revision {self.revision}, "
                f"the fleet has {self._fleet_contact.newest_revision}",
            )
        if self._fleet_contact.isolated:
            return self._refuse(
                RefusalReason.ISOLATED, "this entry is isolated from the fleet"
            )
        return self._find_route(request)

    def _check_missing_route(
        self, resolution: RouteResolved | RouteUnresolved
    ) -> RouteResolved | RouteUnresolved:
        """Report a route or key as missing only in a current configuration.

        What an entry has it can serve while it lacks contact, but a newer
        configuration that it doesn't know may have the route or the key.
        """
        if isinstance(resolution, RouteResolved) or self._is_confirmed():
            return resolution
        if resolution.reason not in _MISSING_REASONS:
            return resolution
        detail = f"{resolution.detail} in a configuration that may be outdated"
        return self._refuse(RefusalReason.OUTDATED, detail)

    def _is_confirmed(self) -> bool:
        """Return whether no newer configuration was known a moment ago."""
        contact = self._fleet_contact
        return (
            contact.leader_reported_at is not None
            and self._now() - contact.leader_reported_at <= NEGATIVE_LEASE_S
            and self.revision >= contact.newest_revision
        )

    def _is_newer_on_its_way(self) -> bool:
        """Return whether a configuration should arrive soon."""
        if self.revision == 0:
            return True
        contact = self._fleet_contact
        return (
            self._when_isolated is IsolationPolicy.SERVE
            and contact.reported_at is not None
            and self._now() - contact.reported_at <= NEGATIVE_LEASE_S
            and self.revision < contact.newest_revision
        )

    def _refuse(self, reason: RefusalReason, detail: str) -> RouteUnresolved:
        contact = self._fleet_contact
        age = ConfigurationAge(
            self.revision,
            self._table.version if self._table else None,
            self._get_age(self._applied_at),
            contact.newest_revision,
            self._get_age(contact.reported_at),
            self._get_age(contact.leader_reported_at),
        )
        return RouteUnresolved(reason, detail, age)

    def _get_age(self, at: Seconds | None) -> float | None:
        """Return the seconds since a time, None if it never was."""
        return None if at is None else round(self._now() - at, 3)

    def _find_route(
        self, request: ResolveRoute
    ) -> RouteResolved | RouteUnresolved:
        if request.authority:
            return self._find_table_route(request)
        rendered = self._get_rendered_template(request.organisation)
        if isinstance(rendered, Err):
            return self._refuse(
                RefusalReason.UNKNOWN_ORGANISATION, rendered.err_value
            )
        route = rendered.ok_value.find_route(request.method, request.path)
        if route is None:
            return self._refuse(
                RefusalReason.UNKNOWN_ROUTE,
                f"organisation {request.organisation} has no route for "
                f"{request.method} {request.path}",
            )
        return RouteResolved(
            self.revision, rendered.ok_value, route, self._retention_s
        )

    def _find_table_route(
        self, request: ResolveRoute
    ) -> RouteResolved | RouteUnresolved:
        table = self._table
        if table is None:
            return self._refuse(
                RefusalReason.NO_CONFIGURATION,
                "this entry has no route table yet",
            )
        route = table.find(request.authority, request.path)
        if route is None:
            return self._refuse(
                RefusalReason.UNKNOWN_ROUTE,
                f"no route for {request.authority}{request.path}",
            )
        resolved = RouteResolved(self.revision, table.template, route, 0.0)
        if table.keys is None:
            return resolved
        resolved = replace(
            resolved, service_priorities=table.get_priorities(route.service)
        )
        if route.public:
            return replace(resolved, access=RequestAccess.PUBLIC)
        policy = table.keys.find(request.api_key)
        if policy is None:
            detail = "unknown key" if request.api_key else "a key is needed"
            return self._refuse(RefusalReason.UNKNOWN_KEY, detail)
        return replace(
            resolved, access=RequestAccess.AUTHENTICATED, policy=policy
        )

    def _update_serving_flag(self) -> None:
        """Set or clear the flag that lists this host in address responses.

        It is set only while requests are served.
        """
        connected = self._is_current() and not self._fleet_contact.isolated
        serving = self.revision > 0 and (
            connected or self._when_isolated is IsolationPolicy.SERVE
        )
        if serving != self._serving:
            self._serving = serving
            flag = SetFlag(HostFlag.SERVING, serving)
            self._outbox.tell(ControllerName.MEMBERSHIP, flag)

    def _is_current(self) -> bool:
        """Return whether this host had the newest revision recently."""
        if self._caught_up_at is None:
            return False
        if self.revision >= self._fleet_contact.newest_revision:
            return True
        return self._now() - self._caught_up_at <= MAX_LAG_S

    def _get_rendered_template(
        self, name: OrganisationName
    ) -> Result[RenderedTemplate, str]:
        rendered = self._rendered_templates.get(name)
        if rendered is not None:
            return Ok(rendered)
        organisation_body = self._documents.get(ORGANISATION_PREFIX + name)
        if organisation_body is None:
            return Err(f"organisation {name!r} does not exist")
        organisation = Organisation.model_validate_json(organisation_body)
        template_body = self._documents.get(
            TEMPLATE_PREFIX + organisation.template
        )
        if template_body is None:
            return Err(
                f"organisation {name!r} names a template that does not exist"
            )
        result = render_template(
            Template.model_validate_json(template_body), organisation
        )
        if isinstance(result, Err):
            return Err("; ".join(result.err_value))
        self._rendered_templates[name] = result.ok_value
        if len(self._rendered_templates) > RENDERED_CACHE_SIZE:
            self._rendered_templates.popitem(last=False)
        return result
