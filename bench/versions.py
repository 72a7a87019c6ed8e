"""Shows what many versions of a route table cost real processes.

Starts three control hosts and two entries, whose links carry 2 Mbit/s, and
puts one version after the other. Then one entry is restarted, another one is
frozen while further versions come, and at last all processes are killed and
started again.
"""

from __future__ import annotations

import argparse
import json
import signal
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "review" / "support-2"))

from deployment import Deployment, Host, Operator, Record, wait_until
from links import NarrowLink
from tables import build_table

LINK_MBIT_PER_S = 2.0
ROUTES_OF_SMALL_CHANGES = 60
FROZEN_S = 3.0
SETTLE_S = 3.0
READY_TIMEOUT_S = 30.0


class Counter:
    """Counts the bytes that the links of entries carry to them."""

    def __init__(self) -> None:
        """Start to count on all links."""
        self.bytes = 0
        wait = NarrowLink._wait

        def count(link: NarrowLink, size: int) -> None:
            self.bytes += size
            wait(link, size)

        NarrowLink._wait = count  # type: ignore[method-assign]


def build(version: int, routes: int) -> dict:
    """Return a version that changes all routes, or one of few."""
    if routes:
        return build_table(version, routes - 1)
    table = build_table(1, ROUTES_OF_SMALL_CHANGES)
    table["version"] = f"r{version}"
    changed = 1 + version % ROUTES_OF_SMALL_CHANGES
    table["routes"][changed]["timeout"] = f"{4_000 + version}ms"
    return table


def get_disk_mb(deployment: Deployment) -> float:
    """Return the largest data folder of a control host."""
    return max(
        sum(
            p.stat().st_size
            for p in deployment.data_folder(h).rglob("*")
            if p.is_file()
        )
        / 1e6
        for h in deployment.cores
    )


def take_peaks(deployment: Deployment) -> dict[str, float]:
    """Return the highest memory since the last call, in MiB."""
    peaks = {}
    for name, hosts in (
        ("control", deployment.cores),
        ("entry", deployment.fronts),
    ):
        peaks[name] = round(max(h.peak_mib for h in hosts))
        for host in hosts:
            host.peak_mib = 0.0
    return peaks


def wait_until_ready(deployment: Deployment, hosts: list[Host]) -> float:
    """Return after how many seconds all entries are ready."""
    began = time.monotonic()
    for host in hosts:
        wait_until(lambda h=host: deployment.is_ready(h), READY_TIMEOUT_S)
    return round(time.monotonic() - began, 1)


def measure(changes: int, routes: int) -> dict:
    """Put a number of versions and return what they cost."""
    counter = Counter()
    record = Record(Path(tempfile.mkdtemp()) / "record")
    deployment = Deployment(record, front_mbit_per_s=LINK_MBIT_PER_S)
    operator = Operator(deployment)
    result: dict = {"changes": changes, "routes": routes}
    try:
        deployment.start_all(bootstrap=True)
        deployment.watch_memory()
        operator.put(build(1, routes), 15.0)
        wait_until_ready(deployment, deployment.fronts)
        began = time.monotonic()
        for version in range(2, changes + 1):
            operator.put(build(version, routes), 10.0)
        result["versions_per_s"] = round(
            changes / (time.monotonic() - began), 1
        )
        result["peaks"] = take_peaks(deployment)
        result["disk_mb"] = round(get_disk_mb(deployment), 1)
        front, other = deployment.fronts
        time.sleep(SETTLE_S)

        deployment.kill(front)
        counter.bytes = 0
        deployment.start(front)
        result["entry_ready_s"] = wait_until_ready(deployment, [front])
        result["entry_start_kb"] = round(counter.bytes / 1e3)
        time.sleep(SETTLE_S)

        assert other.child is not None
        other.child.send_signal(signal.SIGSTOP)
        began = time.monotonic()
        version = changes
        while time.monotonic() - began < FROZEN_S:
            version += 1
            operator.put(build(version, routes), 10.0)
        counter.bytes = 0
        other.child.send_signal(signal.SIGCONT)
        time.sleep(SETTLE_S)
        result["away_versions"] = version - changes
        result["away_kb"] = round(counter.bytes / 1e3)

        for host in deployment.hosts.values():
            deployment.kill(host)
        deployment.start_all()
        began = time.monotonic()
        read = operator.read_version(READY_TIMEOUT_S)
        result["read_s"] = round(time.monotonic() - began, 1)
        result["is_read"] = read == operator.acknowledged
        wait_until_ready(deployment, deployment.fronts)
        result["all_ready_s"] = round(time.monotonic() - began, 1)
        result["peaks_after"] = take_peaks(deployment)
        result["ends"] = sum(
            len(h.memory_ends) for h in deployment.hosts.values()
        )
        return result
    finally:
        deployment.shut_down()


def main() -> None:
    """Print one line of JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--changes", type=int, default=205)
    parser.add_argument(
        "--routes",
        type=int,
        default=701,
        help="routes that each version changes; 0 for one route of 60",
    )
    arguments = parser.parse_args()
    print(json.dumps(measure(arguments.changes, arguments.routes)))


if __name__ == "__main__":
    main()
