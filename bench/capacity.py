"""Measures how cost grows with size, as the input of docs/CAPACITY.md.

Part `fleet` starts real processes at three sizes and reads each entry's
bytes sent, processor time and memory, idle and at one change a second. Part
`state` grows the state of single controllers in this process.
"""

from __future__ import annotations

import argparse
import json
import shutil
import statistics
import sys
import tempfile
import time
import tracemalloc
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path[:0] = [str(ROOT / "examples"), str(ROOT / "tests")]

from fleet import LocalFleet, call, wait_for
from support.fakes import ControllerBed

from wasabitray_core.controllers.configuration import ConfigurationController
from wasabitray_core.controllers.grants import GrantsController
from wasabitray_core.controllers.targets import TargetsController
from wasabitray_core.local_messages import Committed, ConfigurationApplied
from wasabitray_core.messages import (
    Announcement,
    Change,
    ClaimRequest,
    CommittedChange,
    ConfigState,
    DocumentEdit,
    Gossip,
    HostStatus,
)
from wasabitray_core.states import HostFlag, TargetPhase
from wasabitray_wire import encoded_size

TICKS_PER_SECOND = 100
PAGE_BYTES = 4_096
TEMPLATE = {
    "name": "t",
    "services": {"rota": {"floor": 1}},
    "routes": [{"path": "/rota", "service": "rota"}],
}


def read_usage(fleet: LocalFleet, name: str) -> tuple[float, int, int]:
    """Return processor seconds, resident bytes and bytes sent."""
    process_id = fleet.processes[name].child.pid
    stat = Path(f"/proc/{process_id}/stat").read_text().split()
    cpu = (int(stat[13]) + int(stat[14])) / TICKS_PER_SECOND
    pages = int(Path(f"/proc/{process_id}/statm").read_text().split()[1])
    links = fleet.get_status(name)["directory"]
    return (
        cpu,
        pages * PAGE_BYTES,
        sum(v["bytes_sent"] for v in links.values()),
    )


def measure_phase(fleet: LocalFleet, seconds: float, rate: float) -> dict:
    """Return the medians of the entries' usage, at `rate` changes a second."""
    names = fleet.entry_names
    before = {n: read_usage(fleet, n) for n in names}
    start = time.monotonic()
    change_count = 0
    while time.monotonic() < start + seconds:
        if rate and time.monotonic() >= start + change_count / rate:
            commit_change(fleet, change_count)
            change_count += 1
        time.sleep(0.02)
    elapsed = time.monotonic() - start
    after = {n: read_usage(fleet, n) for n in names}
    cpu = [(after[n][0] - before[n][0]) / elapsed for n in names]
    sent_bytes = [(after[n][2] - before[n][2]) / elapsed for n in names]
    return {
        "cpu_percent": round(100 * statistics.median(cpu), 2),
        "bytes_per_s": round(statistics.median(sent_bytes)),
        "bytes_per_s_max": round(max(sent_bytes)),
        "resident_mb": round(
            statistics.median(after[n][1] for n in names) / 1e6, 1
        ),
        "changes": change_count,
    }


def commit_change(fleet: LocalFleet, number: int) -> None:
    """Commit a change to the template `t`."""
    leader = fleet.find_leader()
    revision = fleet.get_status(leader)["consensus"]["revision"]
    body = json.loads(json.dumps(TEMPLATE))
    body["services"]["rota"]["floor"] = number % 7 + 1
    change = {
        "change": f"capacity-{number}-{revision}",
        "expected": revision,
        "author": "bench",
        "wall_time": "",
        "edits": [{"key": "template/t", "body": body}],
    }
    data = json.dumps(change).encode()
    call(fleet.operator_address(leader), "POST", "/v1/changes", data)


def measure_fleet(entries: int, seconds: float) -> dict:
    """Return the median usage of an entry in a fleet of `entries` entries."""
    folder = Path(tempfile.mkdtemp())
    fleet = LocalFleet(folder, entries=entries)
    try:
        fleet.start()
        declarations = folder / "declarations"
        shutil.copytree(ROOT / "examples" / "declarations", declarations)
        (declarations / "fleet.toml").write_text(fleet.fleet_document())
        fleet.run_cli("apply", str(declarations))
        wait_for(
            lambda: all(
                fleet.get_status(n)["configuration"]["revision"] == 1
                for n in fleet.entry_names
            ),
            30,
        )
        time.sleep(5.0)
        return {
            "entries": entries,
            "idle": measure_phase(fleet, seconds, 0.0),
            "one_change_a_second": measure_phase(fleet, seconds, 1.0),
        }
    finally:
        fleet.shut_down()
        shutil.rmtree(folder, ignore_errors=True)


def measure_growth(build, fill, sizes: list[int]) -> list[dict]:
    """Return memory per item and time per message at several state sizes.

    Args:
        build: returns the controller in its test bed.
        fill: fills the state to a size and returns a function that makes
            the controller handle one more message.
        sizes: numbers of items in the state.
    """
    rows = []
    for size in sizes:
        tracemalloc.start()
        bed = build()
        memory_before = tracemalloc.get_traced_memory()[0]
        send_message = fill(bed, size)
        memory = tracemalloc.get_traced_memory()[0] - memory_before
        tracemalloc.stop()
        start = time.perf_counter()
        for number in range(5):
            send_message(number)
        elapsed = (time.perf_counter() - start) / 5
        rows.append(
            {
                "size": size,
                "bytes_each": round(memory / size),
                "ms_per_message": round(elapsed * 1_000, 3),
            }
        )
    return rows


def fill_organisations(bed: ControllerBed, size: int):
    """Give a controller a configuration with many organisations."""
    documents = {"template/t": json.dumps(TEMPLATE)}
    for number in range(size):
        body = {"name": f"o-{number}", "template": "t", "parameters": {}}
        key = f"organisation/o-{number}"
        documents[key] = json.dumps(body, separators=(",", ":"))
    bed.tell(ConfigState(1, documents))

    def change(number: int) -> None:
        edit = DocumentEdit(f"organisation/o-{number}", "{}")
        change = Change(f"c{number}", number + 1, "a", "", (edit,))
        bed.tell(Committed((CommittedChange(number + 2, change),)))

    return change


def make_announcement(number: int, sequence: int) -> Announcement:
    """Return one target's announcement."""
    return Announcement(
        f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:9000",
        f"service-{number // 29}",
        "south",
        "south-a",
        6,
        1,
        sequence,
        TargetPhase.ACTIVE,
        30.0,
    )


def fill_targets(bed: ControllerBed, size: int):
    """Announce many targets, 29 of each service."""
    for number in range(size):
        bed.tell(make_announcement(number, 1))
        bed.outbox.told.clear()
        bed.outbox.events.clear()
    return lambda number: bed.tell(make_announcement(number, 2 + number))


def fill_claims(bed: ControllerBed, size: int):
    """Grant many claims as a member of a claim group."""
    from core.controllers.test_claims import make_fleet

    bed.tell(ConfigurationApplied(1, make_fleet((("e0", "e1", "e2"),))))
    bed.tick(601.0)
    for number in range(size):
        request = ClaimRequest(f"request/o/{number}", f"{number}", 1, 600.0)
        bed.receive("e1", request)
        bed.outbox.sent.clear()
    return lambda number: bed.receive(
        "e1", ClaimRequest(f"request/o/x{number}", f"x{number}", 1, 600.0)
    )


def measure_state() -> dict:
    """Return the growth of single controllers and of messages."""
    statuses = tuple(
        HostStatus(f"e{n}", 1_764_000_000_000 + n, 40_000, HostFlag.SERVING)
        for n in range(400)
    )
    return {
        "organisations": measure_growth(
            lambda: ControllerBed(ConfigurationController, ()),
            fill_organisations,
            [5_000, 20_000, 80_000],
        ),
        "targets": measure_growth(
            lambda: ControllerBed(TargetsController, 0),
            fill_targets,
            [250, 500, 1_000],
        ),
        "claims": measure_growth(
            lambda: ControllerBed(GrantsController, "run", host="e0"),
            fill_claims,
            [2_000, 8_000, 32_000],
        ),
        "gossip_bytes": {
            n: encoded_size(Gossip(statuses[:n])) for n in (36, 100, 400)
        },
        "announcement_bytes": encoded_size(
            Gossip((), (make_announcement(70_000, 9),))
        ),
    }


def main() -> None:
    """Run the chosen parts and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--parts", nargs="+", default=["state", "fleet"])
    parser.add_argument("--sizes", type=int, nargs="+", default=[12, 24, 36])
    parser.add_argument("--seconds", type=float, default=15.0)
    arguments = parser.parse_args()
    results = {}
    if "state" in arguments.parts:
        results["state"] = measure_state()
        print(json.dumps(results["state"], indent=1), flush=True)
    if "fleet" in arguments.parts:
        results["fleet"] = []
        for size in arguments.sizes:
            row = measure_fleet(size, arguments.seconds)
            results["fleet"].append(row)
            print(json.dumps(row), flush=True)
    output = ROOT / "bench" / "results" / "capacity.json"
    output.parent.mkdir(exist_ok=True)
    output.write_text(json.dumps(results, indent=2))


if __name__ == "__main__":
    main()
