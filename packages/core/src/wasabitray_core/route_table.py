"""The route table: routes by host name and path, given as a whole.

An operator can configure the fleet by templates and organisations, or by one
table of routes. The table is stored as one document for each route and each
service, so that a new version writes only the documents that differ.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from functools import lru_cache

from msgspec import Struct
from pydantic import Field
from result import Err, Ok, Result

from wasabitray_core.documents import (
    Document,
    Problems,
    RenderedTemplate,
    Route,
    ServicePolicy,
    parse_as,
)
from wasabitray_core.ids import AuthorityName, ConfigVersion
from wasabitray_core.messages import DocumentEdit
from wasabitray_core.organisation_policy import (
    KeyIndex,
    OrganisationPolicy,
    find_organisation_problems,
)
from wasabitray_core.states import RequestKind

ROUTE_PREFIX = "route/"
SERVICE_PREFIX = "service/"
POLICY_PREFIX = "organisation-policy/"
LIMITS_KEY = "traffic-limits"
VERSION_KEY = "table-version"
TABLE_KEYS = (
    ROUTE_PREFIX,
    SERVICE_PREFIX,
    POLICY_PREFIX,
    LIMITS_KEY,
    VERSION_KEY,
)

# Successive versions of a table share most of their documents. The cache holds
# two versions of a large table.
PARSED_CACHE_SIZE = 1_024

# Steps of the golden ratio, modulo 1, are distributed more evenly than random
# numbers (Weyl, "Über die Gleichverteilung von Zahlen mod. Eins", 1916).
_GOLDEN_STEP = (math.sqrt(5.0) - 1.0) / 2.0


class SplitPart(Document):
    """A service and its weight among the services of a route."""

    service: str = Field(min_length=1)
    weight: float = Field(ge=0, allow_inf_nan=False)


class HostRoute(Document):
    """Handling of the requests to one host name under one path prefix.

    Attributes:
        kind: whether the requests may be repeated.
        timeout_ms: longest time that a request may take.
        target_ms: time within which a response has its full value.
        priority: rank under load; 0 is served first.
        attempts: maximum number of targets that a request may be sent to.
        split: services and their shares of the requests.
        whole: whether the operator gave a single service, not a split.
        public: whether requests need no key; None if the operator gave no
            value, which means that they do.
    """

    name: str = Field(min_length=1)
    host: str = Field(min_length=1)
    path_prefix: str = Field(pattern=r"^/")
    kind: RequestKind
    timeout_ms: float = Field(gt=0, le=600_000)
    target_ms: float = Field(ge=0, allow_inf_nan=False)
    priority: int = Field(ge=0)
    attempts: int = Field(ge=1)
    split: tuple[SplitPart, ...] = Field(min_length=1)
    whole: bool = False
    public: bool | None = None

    @property
    def total_weight(self) -> float:
        """The sum of the weights of all parts."""
        return sum(part.weight for part in self.split)


class ServiceDocument(Document):
    """A service that routes refer to.

    Attributes:
        health_path: path of its targets' health check.
        max_connections: connections that one target accepts from all entries
            together.
    """

    name: str = Field(min_length=1)
    health_path: str = "/"
    max_connections: int = Field(default=1, ge=0)
    protocol: str = "h1"
    tls: bool = False


class TrafficLimits(Document):
    """Limits for callers' requests and connections.

    Attributes:
        header_timeout_ms: time in which all headers must arrive.
        idle_timeout_ms: time after which an idle connection may be closed.
    """

    max_header_bytes: int = Field(default=65_536, ge=1)
    max_body_bytes: int = Field(default=1_073_741_824, ge=0)
    header_timeout_ms: float = Field(default=10_000.0, gt=0)
    idle_timeout_ms: float = Field(default=60_000.0, gt=0)


class TableVersion(Document):
    """The operator's version number of the whole table.

    Attributes:
        has_organisations: whether the table lists organisations, so that
            requests need keys; the list may be empty.
    """

    version: ConfigVersion
    has_organisations: bool = False


class RouteTableSource(Struct, frozen=True):
    """A whole route table as the operator gives it.

    Attributes:
        organisations: the organisations whose requests are served; None if
            requests need no keys.
    """

    version: ConfigVersion
    routes: tuple[HostRoute, ...]
    services: tuple[ServiceDocument, ...]
    limits: TrafficLimits
    organisations: tuple[OrganisationPolicy, ...] | None = None

    def documents(self) -> dict[str, str]:
        """Return the table's documents by key."""
        documents: dict[str, Document] = {LIMITS_KEY: self.limits}
        documents[VERSION_KEY] = TableVersion(
            version=self.version,
            has_organisations=self.organisations is not None,
        )
        for route in self.routes:
            documents[ROUTE_PREFIX + route.name] = route
        for service in self.services:
            documents[SERVICE_PREFIX + service.name] = service
        for policy in self.organisations or ():
            documents[POLICY_PREFIX + policy.name] = policy
        return {k: d.model_dump_json() for k, d in documents.items()}

    def check(self) -> Result[None, Problems]:
        """Validate the table as a whole."""
        problems = _find_duplicates("routes", [r.name for r in self.routes])
        problems += _find_duplicates(
            "services", [s.name for s in self.services]
        )
        service_names = {s.name for s in self.services}
        for route in self.routes:
            problems += _validate_route(route, service_names)
        problems += find_organisation_problems(self.organisations or ())
        return Err(problems) if problems else Ok(None)


def _find_duplicates(where: str, names: list[str]) -> Problems:
    duplicates = sorted({n for n in names if names.count(n) > 1})
    return [f"{where}: {name} is listed twice" for name in duplicates]


def _validate_route(route: HostRoute, services: set[str]) -> Problems:
    problems = [
        f"routes.{route.name}: no service {part.service!r} in the table"
        for part in route.split
        if part.service not in services
    ]
    if route.total_weight <= 0:
        problems.append(
            f"routes.{route.name}: the weights add up to 0, at least one must "
            "be positive"
        )
    return problems


def is_table_key(key: str) -> bool:
    """Tell whether a key is that of a document of the route table."""
    return key.startswith(TABLE_KEYS)


def diff_documents(
    current: Mapping[str, str], new: Mapping[str, str]
) -> tuple[DocumentEdit, ...]:
    """Return the edits that turn the current table into the new one."""
    written = [
        DocumentEdit(key, body)
        for key, body in new.items()
        if current.get(key) != body
    ]
    deleted = [
        DocumentEdit(key, None)
        for key in current
        if is_table_key(key) and key not in new
    ]
    return (*written, *deleted)


def get_table_version(documents: Mapping[str, str]) -> ConfigVersion:
    """Return the version of the route table, 0 if there is none."""
    raw = documents.get(VERSION_KEY)
    if raw is None:
        return ConfigVersion(0)
    return TableVersion.model_validate_json(raw).version


def read_organisations(
    documents: Mapping[str, str],
) -> tuple[OrganisationPolicy, ...] | None:
    """Return the organisations in the documents, None if keys aren't used."""
    raw = documents.get(VERSION_KEY)
    if (
        raw is None
        or not TableVersion.model_validate_json(raw).has_organisations
    ):
        return None
    return tuple(
        _parse_documents(documents, POLICY_PREFIX, OrganisationPolicy)
    )


def read_table_source(documents: Mapping[str, str]) -> RouteTableSource | None:
    """Return the route table in the documents, None if there is none."""
    if VERSION_KEY not in documents:
        return None
    limits = documents.get(LIMITS_KEY)
    return RouteTableSource(
        get_table_version(documents),
        tuple(_parse_documents(documents, ROUTE_PREFIX, HostRoute)),
        tuple(_parse_documents(documents, SERVICE_PREFIX, ServiceDocument)),
        TrafficLimits.model_validate_json(limits)
        if limits
        else TrafficLimits(),
        read_organisations(documents),
    )


def _parse_documents(
    documents: Mapping[str, str], prefix: str, kind: type[Document]
) -> Iterable:
    for key, body in documents.items():
        if key.startswith(prefix):
            yield _parse(kind, body)


@lru_cache(maxsize=PARSED_CACHE_SIZE)
def _parse(kind: type[Document], body: str) -> Document:
    return kind.model_validate_json(body)


def parse_table_document(key: str, body: str) -> Result[Document, Problems]:
    """Parse a stored document of the route table by its key."""
    if key.startswith(ROUTE_PREFIX):
        return parse_as(HostRoute, key, body)
    if key.startswith(SERVICE_PREFIX):
        return parse_as(ServiceDocument, key, body)
    if key.startswith(POLICY_PREFIX):
        return parse_as(OrganisationPolicy, key, body)
    if key == LIMITS_KEY:
        return parse_as(TrafficLimits, key, body)
    return parse_as(TableVersion, key, body)


class _CompiledRoute:
    """A route of the table, with one `Route` for each part of its split."""

    def __init__(self, source: HostRoute, phase: float) -> None:
        """Compile the parts.

        Args:
            source: a validated route.
            phase: start of the sequence that selects parts, from 0 to 1.
        """
        self.source = source
        self._phase = phase
        total = source.total_weight
        self._parts: list[tuple[float, Route]] = []
        upper_bound = 0.0
        for part in source.split:
            if part.weight > 0:
                upper_bound += part.weight / total
                self._parts.append((upper_bound, _to_route(source, part)))

    def next_part(self) -> Route:
        """Return the next part; each is selected according to its weight."""
        self._phase = (self._phase + _GOLDEN_STEP) % 1.0
        for upper_bound, route in self._parts:
            if self._phase < upper_bound:
                return route
        return self._parts[-1][1]


def _to_route(source: HostRoute, part: SplitPart) -> Route:
    return Route.model_construct(
        name=source.name,
        path=source.path_prefix,
        service=part.service,
        idempotent=source.kind.is_repeatable,
        public=bool(source.public),
        has_large_responses=source.kind is RequestKind.DOWNLOAD,
        deadline_ms=source.timeout_ms,
        target_ms=source.target_ms,
        priority=source.priority,
        attempts=source.attempts,
        claimed=False,
    )


def _collect_priorities(
    source: RouteTableSource,
) -> dict[str, tuple[int, ...]]:
    """Return the priorities that requests for each service may have.

    An organisation with a priority may send requests to every service.
    """
    policies = source.organisations or ()
    of_organisations = {p.priority for p in policies if p.priority is not None}
    priorities = {s.name: set(of_organisations) for s in source.services}
    for route in source.routes:
        for part in route.split:
            if part.weight > 0:
                priorities[part.service].add(route.priority)
    return {name: tuple(sorted(p)) for name, p in priorities.items()}


class RouteTable:
    """Finds the route of a request by host name and longest prefix."""

    def __init__(self, source: RouteTableSource, phase: float) -> None:
        """Index the routes by host name.

        Args:
            source: a validated table.
            phase: start of the sequences that select parts, from 0 to 1.
        """
        self._version = source.version
        self._limits = source.limits
        self._by_host: dict[str, list[_CompiledRoute]] = {}
        for route in source.routes:
            compiled = _CompiledRoute(route, phase)
            self._by_host.setdefault(route.host.lower(), []).append(compiled)
        for routes in self._by_host.values():
            routes.sort(key=lambda r: -len(r.source.path_prefix))
        policy = ServicePolicy()
        names = {s.name for s in source.services}
        self._priorities = _collect_priorities(source)
        self._keys = (
            KeyIndex(source.organisations)
            if source.organisations is not None
            else None
        )
        self.template = RenderedTemplate.model_construct(
            services=dict.fromkeys(names, policy), routes=()
        )

    @property
    def version(self) -> ConfigVersion:
        """The operator's version number of the table."""
        return self._version

    @property
    def limits(self) -> TrafficLimits:
        """Limits for callers' requests and connections."""
        return self._limits

    @property
    def keys(self) -> KeyIndex | None:
        """The organisations' keys; None if requests need none."""
        return self._keys

    def get_priorities(self, service: str) -> tuple[int, ...]:
        """Return the priorities of a service's requests, most urgent first."""
        return self._priorities.get(service, ())

    def find(self, host: AuthorityName, path: str) -> Route | None:
        """Return the next part of the longest matching route, or None."""
        name = host.partition(":")[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.source.path_prefix):
                return route.next_part()
        return None

    def __repr__(self) -> str:
        return f"<RouteTable [{self._version}]>"
