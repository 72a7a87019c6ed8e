"""Route tables for tests."""

from wasabitray_core.route_table import (
    HostRoute,
    RouteTableSource,
    ServiceDocument,
    SplitPart,
    TrafficLimits,
)
from wasabitray_core.states import RequestKind

SERVICES = tuple(ServiceDocument(name=n) for n in ("s1", "s2"))


def make_route(
    name,
    host="rota.example",
    path="/a/",
    split=(("s1", 1),),
    kind=RequestKind.IDEMPOTENT,
    **fields,
):
    """Return a route; to one service, unless a split is given."""
    values = {
        "timeout_ms": 1_000,
        "target_ms": 500,
        "priority": 1,
        "attempts": 2,
        **fields,
    }
    return HostRoute(
        name=name,
        host=host,
        path_prefix=path,
        kind=kind,
        split=tuple(SplitPart(service=s, weight=w) for s, w in split),
        **values,
    )


def make_table(version, *routes, services=SERVICES):
    """Return the source of a table; with two services by default."""
    return RouteTableSource(version, routes, services, TrafficLimits())
