"""A request that crashes instances comes again after all processes ended.

It comes again every second, at any entry. Each instance that begins to run
it breaks the connection and is back after two seconds.
"""

from __future__ import annotations

import contextlib
import os
import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "support"))

from harness import (
    Fleet,
    Instance,
    NotRunError,
    Record,
    make_config,
    reset,
    run_case,
)

POISON = "/rota/poison"
INSTANCES = 6
BACK_AFTER_S = 2.0
# "retries, sent by machines in touch later than `contact` after it has
# crashed the third"
CONTACT_S = 4.0
MAX_RETRIES = 3
CRASHES = 3
GAP_S = 1.0
FIRST_PART_S = 14.0
SECOND_PART_S = 18.0
RESTART_DELAY_S = 0.9
OK = 200


class CrashingInstance(Instance):
    """Crashes on one path.

    Attributes:
        crashes: when each instance of this class crashed, and on which
            request, in order.
    """

    crashes: list[tuple[float, str]] = []
    down_until = 0.0

    def serve_one(self, sock, reader, method, target, headers) -> bool:
        """Serve one request."""
        if time.monotonic() < self.down_until:
            reset(sock)
            return False
        if target != POISON:
            return super().serve_one(sock, reader, method, target, headers)
        if self.is_mistaken(sock, headers):
            return True
        request_id = self.start_run(method, target, headers)
        self.record.write("crash", at=self.name)
        self.crashes.append((time.monotonic(), request_id))
        self.down_until = time.monotonic() + BACK_AFTER_S
        self.born = int((time.time() + BACK_AFTER_S) * 1_000)
        reset(sock)
        return False

    def register(self) -> bool:
        """Check in, unless it is down."""
        return time.monotonic() >= self.down_until and super().register()


class OrdinaryLoad:
    """Sends ordinary requests, so that the fleet is not idle."""

    def __init__(self, fleet: Fleet, record: Record) -> None:
        """Start to send."""
        self._fleet, self._record = fleet, record
        self._ends = threading.Event()
        threading.Thread(target=self._run, daemon=True).start()

    def stop(self) -> None:
        """Stop to send."""
        self._ends.set()

    def _run(self) -> None:
        while not self._ends.wait(0.2):
            for entry in self._fleet.entries:
                request_id, status = os.urandom(4).hex(), 0
                with contextlib.suppress(OSError, EOFError):
                    status = self._fleet.get(
                        entry, "/rota/x", request_id
                    ).status
                self._record.write("answer", id=request_id, status=status)


def send_poison(fleet: Fleet, record: Record, duration: float) -> None:
    """Send the request again and again, to one entry after the other."""
    until = time.monotonic() + duration
    number = 0
    while time.monotonic() < until:
        entry = fleet.entries[number % len(fleet.entries)]
        number += 1
        request_id = f"poison-{os.urandom(4).hex()}"
        status = 0
        with contextlib.suppress(OSError, EOFError):
            status = fleet.get(entry, POISON, request_id).status
        record.write("answer", id=request_id, entry=entry, status=status)
        time.sleep(GAP_S)


def run(fleet: Fleet, record: Record, trouble: bool) -> bool:
    """Run the case; return whether the rule held."""
    route = {"service": "rota-board", "attempts": 2}
    fleet.start(make_config(1, {"/rota/": route}, ["rota-board"]))
    for number in range(INSTANCES):
        fleet.add_instance(f"i{number + 1}", "rota-board", CrashingInstance)
    fleet.wait_served("/rota/warm")
    time.sleep(CONTACT_S + 1.0)
    load = OrdinaryLoad(fleet, record)
    crashes = CrashingInstance.crashes
    send_poison(fleet, record, FIRST_PART_S)
    if len(crashes) < CRASHES:
        raise NotRunError("the request crashed too few instances")
    # The fault strikes right after a change was acknowledged.
    change = make_config(2, {"/rota/": route}, ["rota-board"])
    if fleet.put_config(change) != OK:
        raise NotRunError("the change was not acknowledged")
    if trouble:
        restart_all(fleet)
    for name in fleet.entries:
        fleet.wait_ready(name)
    # All machines are in touch again after this time.
    time.sleep(2 * CONTACT_S)
    in_touch_from = time.monotonic()
    send_poison(fleet, record, SECOND_PART_S)
    load.stop()
    third_at = crashes[CRASHES - 1][0]
    # A request that reached two instances is one retry.
    retries = {
        request_id
        for at, request_id in crashes[CRASHES:]
        if at > third_at + CONTACT_S
    }
    record.write(
        "judged",
        crashes=len(crashes),
        retries=len(retries),
        after_restart=len({r for at, r in crashes if at > in_touch_from}),
    )
    return len(retries) <= MAX_RETRIES


def restart_all(fleet: Fleet) -> None:
    """Kill all processes at the same moment and start them again."""
    names = (*fleet.controls, *fleet.entries)
    for name in names:
        fleet.signal(name, signal.SIGKILL)
    for name in names:
        fleet.processes[name].wait()
    time.sleep(RESTART_DELAY_S)
    for name in names:
        fleet.start_host(name)


if __name__ == "__main__":
    sys.exit(run_case(run, controls=3, entries=2))
