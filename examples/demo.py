"""Starts a fleet, sends one request through it and stops everything."""

from __future__ import annotations

import shutil
import sys
import tempfile
from pathlib import Path

from fleet import LocalFleet, call, wait_for

DECLARATIONS = Path(__file__).with_name("declarations")
HEADERS = {"Wasabitray-Organisation": "hobart"}


def run(folder: Path) -> None:
    """Start a fleet, apply its declarations and send a request."""
    fleet = LocalFleet(folder)
    try:
        print("starting 3 control hosts, 3 entries and a target ...")
        fleet.start()
        fleet.start_target("t1", "rota")
        apply_declarations(fleet, folder)
        send_request(fleet)
        stop(fleet)
    finally:
        fleet.shut_down()


def apply_declarations(fleet: LocalFleet, folder: Path) -> None:
    """Apply a template and an organisation."""
    declarations = folder / "declarations"
    shutil.copytree(DECLARATIONS, declarations)
    (declarations / "fleet.toml").write_text(fleet.fleet_document())
    applied = fleet.run_cli("apply", str(declarations))
    print(applied.stdout + applied.stderr, end="")
    if applied.returncode:
        raise SystemExit(applied.returncode)


def send_request(fleet: LocalFleet) -> None:
    """Get the entries' addresses and send a request to the first."""
    path = "/.well-known/wasabitray/addresses?region=south"
    queried_entry = fleet.caller_address("e2")
    wait_for(
        lambda: call(queried_entry, "GET", path).status == 200, 10, "addresses"
    )
    document = call(queried_entry, "GET", path).json()
    print(f"addresses for callers in south: {document['addresses']}")
    first = document["addresses"][0]

    def request():
        response = call(first, "GET", "/rota/hobart", headers=HEADERS)
        return response if response.status == 200 else None

    response = wait_for(request, 10, "a served request")
    entry = response.headers["wasabitray-entry"]
    target = response.headers["wasabitray-target"]
    print(f"GET /rota/hobart: {response.status} {response.body.decode()}")
    print(f"served by entry {entry} and target {target}")


def stop(fleet: LocalFleet) -> None:
    """Stop every process gracefully."""
    print("stopping; entries are first left out of address responses ...")
    processes = [*fleet.targets.values(), *fleet.processes.values()]
    for process in processes:
        process.child.terminate()
    codes = [process.child.wait(60) for process in processes]
    if any(codes):
        raise SystemExit(f"exit codes {codes}")
    print("all stopped")


if __name__ == "__main__":
    with tempfile.TemporaryDirectory(prefix="wasabitray-") as temporary:
        run(Path(temporary))
    sys.exit(0)
