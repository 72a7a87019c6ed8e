"""A large route table, and the changes that the operator makes to it."""

from __future__ import annotations

import time

from deployment import (
    Deployment,
    Operator,
    Record,
    make_config,
    make_route,
    wait_until,
)

# The pages' largest `big_config` adds 1,400 routes.
ROUTES = 700
# A day may contain hundreds of changes.
CHANGES = 205
CHANGES_END_S = 70.0
HOST = "jepu9.example"
PATH = "/lepu270/2f"
SERVICES = [
    "instrument-catalogue-and-price-lists",
    "deposits-and-customer-payments",
    "voicing-recordings-and-blank-orders",
]


def build_table(version: int, routes_count: int = ROUTES) -> dict:
    """Return a configuration; each version states another timeout."""
    routes = [make_route("r-first", HOST, "/lepu270/", service=SERVICES[0])]
    for number in range(routes_count):
        routes.append(
            make_route(
                f"route-of-music-shop-{number:05d}",
                f"orders-{number % 40}.forgotten-flute-division.example",
                f"/shops/mauritius/port-louis/shop-{number:05d}/orders/",
                timeout=f"{4_000 + version}ms",
                traffic_split=[
                    {"service": SERVICES[0], "weight": 80},
                    {"service": SERVICES[1], "weight": 15},
                    {"service": SERVICES[2], "weight": 5},
                ],
            )
        )
    return make_config(version, routes, SERVICES)


def put_versions(
    deployment: Deployment,
    operator: Operator,
    record: Record,
    changes: int = CHANGES,
    routes_count: int = ROUTES,
    pause_s: float = 0.0,
) -> bool:
    """Put one version after the other; return whether that worked.

    Fewer are put if they take too long on this machine.

    Args:
        deployment: the processes.
        operator: puts the versions.
        record: gets what happens.
        changes: number of versions.
        routes_count: routes of the table.
        pause_s: seconds between an ack and the next version.
    """
    began = time.monotonic()
    if operator.put(build_table(1, routes_count), 15.0) != 200:
        return False
    for front in deployment.fronts:
        if not wait_until(lambda h=front: deployment.is_ready(h), 10.0):
            return False
    version = 1
    while version < changes:
        version += 1
        if operator.put(build_table(version, routes_count), 10.0) != 200:
            return False
        time.sleep(pause_s)
        if time.monotonic() - began > CHANGES_END_S:
            break
    record.write(f"{version} versions acknowledged")
    return True
