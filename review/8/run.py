"""One front is restarted, as planned, after many changes."""

from __future__ import annotations

import os
import signal
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "support-2"))

from clients import Clients  # noqa: E402
from deployment import Deployment, Instance, Operator, Record  # noqa: E402
from tables import HOST, PATH, SERVICES, put_versions  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
GRACE_S = 6.0
OBSERVED_S = 34.0
# The rule: processes end by themselves three times in the day, on half of the
# core or on a tenth of the machines, two at least.
ENDS = 3
MIN_MACHINES = 2


def restart(deployment: Deployment, front, record: Record) -> None:
    """Stop a process as the platform does, and start it again."""
    front.child.send_signal(signal.SIGTERM)
    record.write(f"{front.name} gets SIGTERM")
    ends = time.monotonic() + GRACE_S
    while front.is_running and time.monotonic() < ends:
        time.sleep(0.05)
    deployment.kill(front)
    time.sleep(0.5)
    deployment.start(front)


def run(record: Record) -> int:
    """Play the case; return the exit code."""
    deployment = Deployment(record)
    instances: list[Instance] = []
    clients = Clients(deployment, record, HOST, PATH)
    try:
        deployment.start_all(bootstrap=True)
        deployment.watch_memory()
        for number in range(1, 7):
            service = SERVICES[number % 3]
            instances.append(Instance(deployment, number, service))
        operator = Operator(deployment)
        if not put_versions(deployment, operator, record):
            return 2
        clients.start(4, 0.2)
        time.sleep(3.0)
        if TROUBLE:
            restart(deployment, deployment.fronts[0], record)
        began = time.monotonic()
        time.sleep(OBSERVED_S)
        share = clients.get_share(began, time.monotonic() - 1.0)
        ends = {h.name: len(h.memory_ends) for h in deployment.hosts.values()}
        peaks = {h.name: round(h.peak_mib) for h in deployment.hosts.values()}
        record.write(f"sent, share served after the restarts: {share}")
        record.write(f"ends for memory {ends}, peaks in MiB {peaks}")
        failing = [
            host
            for host in deployment.hosts.values()
            if len(host.memory_ends) >= ENDS
        ]
        is_broken = len(failing) >= MIN_MACHINES
        record.write(f"Fault {'broken' if is_broken else 'held'}")
        return int(is_broken)
    finally:
        clients.stop()
        deployment.shut_down()
        for instance in instances:
            instance.stop()


if __name__ == "__main__":
    record_path = Path(os.environ.get("RECORD", CASE / "record.txt"))
    sys.exit(run(Record(record_path)))
