"""An entry on a narrow link is frozen while the operator changes a table."""

from __future__ import annotations

import http.client
import os
import random
import signal
import string
import sys
import time
import uuid
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "support-2"))

from deployment import (  # noqa: E402
    FRONT,
    Deployment,
    Host,
    Instance,
    Operator,
    Record,
    wait_until,
)
from tables import HOST, PATH, SERVICES, build_table  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
# The link of an entry on the grown sites.
LINK_MBIT_PER_S = 2.0
FROZEN_S = 5.0
# What the largest `big_config` of the pages adds.
ROUTES = 1_400
# What the pages call `contact` and `config`.
CONTACT_S, CONFIG_S = 4.0, 2.5
OBSERVED_S = 12.0


def build(version: int) -> dict:
    """Return a table whose names are drawn, as those of the platform are."""
    drawn = random.Random(1)
    table = build_table(version, ROUTES)
    for route in table["routes"][1:]:
        route["name"] = f"r-{_draw(drawn, 7)}"
        route["host"] = f"{_draw(drawn, 4)}{drawn.randrange(100)}.example"
        route["path_prefix"] = f"/{_draw(drawn, 7)}/{_draw(drawn, 4)}/"
    return table


def _draw(drawn: random.Random, count: int) -> str:
    return "".join(drawn.choices(string.ascii_lowercase + "23456789", k=count))


def send(front: Host, record: Record) -> str:
    """Send one request; return its id."""
    request_id = uuid.uuid4().hex[:16]
    connection = http.client.HTTPConnection(f"{front.ip}:{FRONT}", timeout=4)
    outcome: object
    try:
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": "4000",
        }
        connection.request("GET", PATH, headers=headers)
        response = connection.getresponse()
        response.read()
        outcome = response.status
    except (OSError, http.client.HTTPException) as error:
        outcome = type(error).__name__
    finally:
        connection.close()
    record.write(f"client {request_id} at {front.name}: {outcome}")
    return request_id


def run(record: Record) -> int:
    """Play the case; return the exit code."""
    deployment = Deployment(record, front_mbit_per_s=LINK_MBIT_PER_S)
    instances: list[Instance] = []
    try:
        deployment.start_all(bootstrap=True)
        deployment.watch_memory()
        for number in range(1, 7):
            service = SERVICES[number % 3]
            instances.append(Instance(deployment, number, service))
        operator = Operator(deployment)
        if operator.put(build(1), 15.0) != 200:
            return 2
        for entry in deployment.fronts:
            if not wait_until(lambda h=entry: deployment.is_ready(h), 10.0):
                return 2
        front, other = deployment.fronts
        send(front, record)
        frozen_at = time.monotonic()
        if TROUBLE:
            front.child.send_signal(signal.SIGSTOP)
            record.write(f"{front.name} is frozen")
        version = 1
        while time.monotonic() - frozen_at < FROZEN_S:
            version += 1
            if operator.put(build(version), 10.0) != 200:
                return 2
        if TROUBLE:
            front.child.send_signal(signal.SIGCONT)
            record.write(f"{front.name} wakes")
        woke_at = time.monotonic()
        # The last version moves the first route to another service.
        version += 1
        table = build(version)
        table["routes"][0]["service"] = SERVICES[1]
        if operator.put(table, 10.0) != 200:
            return 2
        acknowledged_at = time.monotonic()
        record.write(f"r{version} moves the route to {SERVICES[1]}")
        bound = max(woke_at + CONTACT_S, acknowledged_at + CONFIG_S)
        time.sleep(bound - time.monotonic() + 0.5)
        sent: dict[str, list[str]] = {front.name: [], other.name: []}
        ends = time.monotonic() + OBSERVED_S
        while time.monotonic() < ends:
            for host in (front, other):
                sent[host.name].append(send(host, record))
            time.sleep(0.25)
        old = {
            request_id
            for instance in instances
            if instance.service == SERVICES[0]
            for request_id in instance.run_ids
        }
        stale = {n: len(old.intersection(ids)) for n, ids in sent.items()}
        counts = {name: len(ids) for name, ids in sent.items()}
        record.write(f"sent after the bound: {counts}")
        record.write(f"of these run by the old service: {stale}")
        is_broken = any(stale.values())
        record.write(f"CONFIG {'broken' if is_broken else 'held'}")
        return int(is_broken)
    finally:
        deployment.shut_down()
        for instance in instances:
            instance.stop()


if __name__ == "__main__":
    record_path = Path(os.environ.get("RECORD", CASE / "record.txt"))
    sys.exit(run(Record(record_path)))
