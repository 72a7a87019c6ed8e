"""Routes by host name and path: the operator's whole configuration.

Beside templates, which describe organisations one by one, an operator can
give one table of routes. It is kept as one document for each route and
service, so that a new version of the table costs what differs from the one
before.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import lru_cache

from pydantic import Field
from result import Err, Ok, Result

from wasabitray_core.documents import (
    MAX_DEADLINE_MS,
    Document,
    Problems,
    RenderedTemplate,
    Route,
    ServicePolicy,
    parse_as,
)
from wasabitray_core.ids import AuthorityName, ConfigVersion
from wasabitray_core.messages import DocumentEdit
from wasabitray_core.states import RequestKind

ROUTE_PREFIX = "route/"
SERVICE_PREFIX = "service/"
LIMITS_KEY = "traffic-limits"
VERSION_KEY = "table-version"
TABLE_KEYS = (ROUTE_PREFIX, SERVICE_PREFIX, LIMITS_KEY, VERSION_KEY)

# A new version of a table shares most documents with the one before; this
# holds two versions of a large one.
PARSED_CACHE_SIZE = 1_024

# Steps of the golden ratio spread over an interval more evenly than random
# numbers do (Weyl, "Über die Gleichverteilung von Zahlen mod. Eins", 1916).
_GOLDEN_STEP = (math.sqrt(5.0) - 1.0) / 2.0


class SplitPart(Document):
    """A service's part of a route's requests."""

    service: str = Field(min_length=1)
    weight: float = Field(ge=0, allow_inf_nan=False)


class HostRoute(Document):
    """Requests to one host name under one path prefix.

    Attributes:
        timeout_ms: longest time that a request is kept waiting.
        target_ms: time within which an answer is worth most to a caller.
        priority: rank under load, 0 is served first.
        attempts: targets that one request may be sent to at most.
        split: services and their shares of the requests.
        whole: whether the operator gave one service instead of a split.
    """

    name: str = Field(min_length=1)
    host: str = Field(min_length=1)
    path_prefix: str = Field(pattern=r"^/")
    kind: RequestKind
    timeout_ms: float = Field(gt=0, le=600_000)
    target_ms: float = Field(gt=0, le=MAX_DEADLINE_MS)
    priority: int = Field(ge=0)
    attempts: int = Field(ge=1)
    split: tuple[SplitPart, ...] = Field(min_length=1)
    whole: bool = False

    @property
    def total_weight(self) -> float:
        """The sum of the weights."""
        return sum(part.weight for part in self.split)


class ServiceDocument(Document):
    """A service that routes name.

    Attributes:
        health_path: where its targets tell of their health.
        max_connections: connections that one target accepts of all entries.
    """

    name: str = Field(min_length=1)
    health_path: str = "/"
    max_connections: int = Field(default=1, ge=0)
    protocol: str = "h1"
    tls: bool = False


class TrafficLimits(Document):
    """Bounds on what callers may send.

    Attributes:
        idle_timeout_ms: after it an idle connection may be closed.
    """

    max_header_bytes: int = Field(default=65_536, ge=1)
    max_body_bytes: int = Field(default=1_073_741_824, ge=0)
    header_timeout_ms: float = Field(default=10_000.0, gt=0)
    idle_timeout_ms: float = Field(default=60_000.0, gt=0)


class TableVersion(Document):
    """The operator's number of the whole table."""

    version: ConfigVersion


@dataclass(frozen=True, slots=True)
class RouteTableSource:
    """A whole table as an operator gives it."""

    version: ConfigVersion
    routes: tuple[HostRoute, ...]
    services: tuple[ServiceDocument, ...]
    limits: TrafficLimits

    def documents(self) -> dict[str, str]:
        """Return the table as documents by key."""
        found: dict[str, Document] = {LIMITS_KEY: self.limits}
        found[VERSION_KEY] = TableVersion(version=self.version)
        for route in self.routes:
            found[ROUTE_PREFIX + route.name] = route
        for service in self.services:
            found[SERVICE_PREFIX + service.name] = service
        return {k: d.model_dump_json() for k, d in found.items()}

    def check(self) -> Result[None, Problems]:
        """Check the table as a whole."""
        faults = _find_repeated("routes", [r.name for r in self.routes])
        faults += _find_repeated("services", [s.name for s in self.services])
        known = {s.name for s in self.services}
        for route in self.routes:
            faults += _check_route(route, known)
        return Err(faults) if faults else Ok(None)


def _find_repeated(where: str, names: list[str]) -> Problems:
    repeated = sorted({n for n in names if names.count(n) > 1})
    return [f"{where}: {name} is listed twice" for name in repeated]


def _check_route(route: HostRoute, services: set[str]) -> Problems:
    faults = [
        f"routes.{route.name}: no service {part.service!r}"
        for part in route.split
        if part.service not in services
    ]
    if route.total_weight <= 0:
        faults.append(f"routes.{route.name}: the weights add up to 0")
    return faults


def is_table_key(key: str) -> bool:
    """Tell whether a document belongs to the table."""
    return key.startswith(TABLE_KEYS)


def diff_documents(
    held: Mapping[str, str], wanted: Mapping[str, str]
) -> tuple[DocumentEdit, ...]:
    """Return the edits that turn the held table into the wanted one."""
    written = [
        DocumentEdit(key, body)
        for key, body in wanted.items()
        if held.get(key) != body
    ]
    deleted = [
        DocumentEdit(key, None)
        for key in held
        if is_table_key(key) and key not in wanted
    ]
    return (*written, *deleted)


def get_table_version(documents: Mapping[str, str]) -> ConfigVersion:
    """Return the version of the table, 0 if there is none."""
    raw = documents.get(VERSION_KEY)
    if raw is None:
        return ConfigVersion(0)
    return TableVersion.model_validate_json(raw).version


def read_table_source(documents: Mapping[str, str]) -> RouteTableSource | None:
    """Return the table that documents hold, None if they hold none."""
    if VERSION_KEY not in documents:
        return None
    limits = documents.get(LIMITS_KEY)
    return RouteTableSource(
        get_table_version(documents),
        tuple(_read_all(documents, ROUTE_PREFIX, HostRoute)),
        tuple(_read_all(documents, SERVICE_PREFIX, ServiceDocument)),
        TrafficLimits.model_validate_json(limits)
        if limits
        else TrafficLimits(),
    )


def _read_all(
    documents: Mapping[str, str], prefix: str, kind: type[Document]
) -> Iterable:
    for key, body in documents.items():
        if key.startswith(prefix):
            yield _parse(kind, body)


@lru_cache(maxsize=PARSED_CACHE_SIZE)
def _parse(kind: type[Document], body: str) -> Document:
    return kind.model_validate_json(body)


def parse_table_document(key: str, body: str) -> Result[Document, Problems]:
    """Parse a stored document of the table by its key."""
    if key.startswith(ROUTE_PREFIX):
        return parse_as(HostRoute, key, body)
    if key.startswith(SERVICE_PREFIX):
        return parse_as(ServiceDocument, key, body)
    if key == LIMITS_KEY:
        return parse_as(TrafficLimits, key, body)
    return parse_as(TableVersion, key, body)


class _CompiledRoute:
    """A route with one filled form for each part of its split."""

    def __init__(self, source: HostRoute, phase: float) -> None:
        """Fill the parts; `phase` from 0 to 1 is where the turns begin."""
        self.source = source
        self._turn = phase
        total = source.total_weight
        self._parts: list[tuple[float, Route]] = []
        reached = 0.0
        for part in source.split:
            if part.weight > 0:
                reached += part.weight / total
                self._parts.append((reached, _to_route(source, part)))

    def next_part(self) -> Route:
        """Return the part whose turn it is, by weight."""
        self._turn = (self._turn + _GOLDEN_STEP) % 1.0
        for reached, route in self._parts:
            if self._turn < reached:
                return route
        return self._parts[-1][1]


def _to_route(source: HostRoute, part: SplitPart) -> Route:
    return Route.model_construct(
        name=source.name,
        path=source.path_prefix,
        service=part.service,
        idempotent=source.kind is RequestKind.IDEMPOTENT,
        deadline_ms=source.timeout_ms,
        target_ms=source.target_ms,
        priority=source.priority,
        attempts=source.attempts,
        claimed=False,
    )


class RouteTable:
    """Finds the route of a request by host name and longest prefix."""

    def __init__(self, source: RouteTableSource, phase: float) -> None:
        """Index the routes.

        Args:
            source: a checked table.
            phase: from 0 to 1, where the turns of splits begin.
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
        self.template = RenderedTemplate.model_construct(
            services=dict.fromkeys(names, policy), routes=()
        )

    @property
    def version(self) -> ConfigVersion:
        """The operator's number of the table."""
        return self._version

    @property
    def limits(self) -> TrafficLimits:
        """What callers may send."""
        return self._limits

    def find(self, host: AuthorityName, path: str) -> Route | None:
        """Return the part of the longest matching route, or None."""
        name = host.partition(":")[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.source.path_prefix):
                return route.next_part()
        return None

    def __repr__(self) -> str:
        return f"<RouteTable [{self._version}]>"
