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
    """Show the whole path."""
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
    """Ask for addresses, connect to the first and send a request."""
    path = "/.well-known/wasabitray/addresses?region=south"
    asked = fleet.caller_address("e2")
    wait_for(lambda: call(asked, "GET", path).status == 200, 10, "addresses")
    answer = call(asked, "GET", path).json()
    print(f"addresses for callers in south: {answer['addresses']}")
    first = answer["addresses"][0]

    def request():
        found = call(first, "GET", "/rota/hobart", headers=HEADERS)
        return found if found.status == 200 else None

    served = wait_for(request, 10, "a served request")
    entry = served.headers["wasabitray-entry"]
    target = served.headers["wasabitray-target"]
    print(f"GET /rota/hobart: {served.status} {served.body.decode()}")
    print(f"served by entry {entry} and target {target}")


def stop(fleet: LocalFleet) -> None:
    """Stop every process gracefully."""
    print("stopping; entries first leave the address answers ...")
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
