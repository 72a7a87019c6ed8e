"""A control host is killed, and instances of its zone leave when it is back.

They send their DELETE to that host, get the acknowledgement, and go on
serving for some seconds. Clients send requests all the while.
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
    call,
    connect,
    make_config,
    run_case,
)

DRAIN_S = 2.5
CONTACT_S = 4.0
JUDGED_S = 6.0
RESTART_DELAY_S = 0.5
LEAVE_TIMEOUT_S = 1.0
LEAVE_GAP_S = 0.1
ROUNDS, LEAVING_A_ROUND = 3, 2
OK = 200


class LeavingInstance(Instance):
    """Leaves without a word before its DELETE, as some instances do.

    Attributes:
        ran_at: when each request began to run.
        left_at: when its DELETE was acknowledged, or sent; 0 before.
        is_acknowledged: whether a control host acknowledged its DELETE.
    """

    def __init__(self, *args, **options) -> None:
        """Start to listen and to register."""
        self.ran_at: list[float] = []
        self.left_at = 0.0
        self.is_acknowledged = False
        super().__init__(*args, **options)

    def start_run(self, method, target, headers) -> str:
        """Record that a request begins to run."""
        self.ran_at.append(time.monotonic())
        return super().start_run(method, target, headers)

    def register(self) -> bool:
        """Check in, unless it has left."""
        return not self.left_at and super().register()

    def leave(self, first: str) -> None:
        """Send the DELETE to one host, and to others until one confirms."""
        self.left_at = time.monotonic()
        others = [r for r in self._registries if r != first]
        for address in (first, *others):
            status = 0
            with contextlib.suppress(OSError, EOFError):
                path = f"/-/instances/{self.name}"
                status = call(
                    address, "DELETE", path, timeout=LEAVE_TIMEOUT_S
                ).status
            self.record.write(
                "leave", at=self.name, control=address, status=status
            )
            if status == OK:
                self.left_at = time.monotonic()
                self.is_acknowledged = True
                return


class Load:
    """Sends requests to all entries until it is stopped."""

    def __init__(self, fleet: Fleet, record: Record) -> None:
        """Start to send."""
        self._fleet, self._record = fleet, record
        self._ends = threading.Event()
        for name in fleet.entries:
            threading.Thread(
                target=self._run, args=(name,), daemon=True
            ).start()

    def stop(self) -> None:
        """Stop to send."""
        self._ends.set()

    def _run(self, entry: str) -> None:
        while not self._ends.wait(0.05):
            request_id = os.urandom(8).hex()
            status = 0
            with contextlib.suppress(OSError, EOFError):
                status = self._fleet.get(entry, "/rota/x", request_id).status
            self._record.write(
                "answer", id=request_id, entry=entry, status=status
            )


def run(fleet: Fleet, record: Record, trouble: bool) -> bool:
    """Run the case; return whether the rule held."""
    route = {"service": "rota-board"}
    fleet.start(make_config(1, {"/rota/": route}, ["rota-board"]))
    # With 13 others, at most a share of 0.14 leaves at a time.
    for number in range(13):
        fleet.add_instance(f"i{2 * number + 1}", "rota-board")
    # The instances with even numbers are in the zone of c2.
    leaving = [
        fleet.add_instance(f"i{2 * n + 2}", "rota-board", LeavingInstance)
        for n in range(ROUNDS * LEAVING_A_ROUND)
    ]
    fleet.wait_served("/rota/warm")
    load = Load(fleet, record)
    late = 0
    for number in range(ROUNDS):
        time.sleep(CONTACT_S + 1.0)
        first = number * LEAVING_A_ROUND
        group = leaving[first : first + LEAVING_A_ROUND]
        late += run_round(fleet, record, group, trouble)
    load.stop()
    if not any(i.is_acknowledged for i in leaving):
        raise NotRunError("no DELETE was acknowledged")
    return not late


def run_round(
    fleet: Fleet, record: Record, group: list[LeavingInstance], trouble: bool
) -> int:
    """Kill c2, let a group leave, return the number of late requests."""
    if trouble:
        fleet.signal("c2", signal.SIGKILL)
        fleet.processes["c2"].wait()
        time.sleep(RESTART_DELAY_S)
        fleet.start_host("c2")
    wait_listening(fleet.control("c2"))
    back_at = time.monotonic()
    threads = [
        threading.Thread(target=i.leave, args=(fleet.control("c2"),))
        for i in group
    ]
    for thread in threads:
        thread.start()
        time.sleep(LEAVE_GAP_S)
    for thread in threads:
        thread.join()
    # The core is stable, and so the entries are in touch, `contact` after the
    # start of the control host.
    judged_from = max(
        back_at + CONTACT_S + 0.5, *(i.left_at + DRAIN_S for i in group)
    )
    time.sleep(max(0.0, judged_from + JUDGED_S - time.monotonic()))
    late = {
        i.name: sum(t > judged_from for t in i.ran_at)
        for i in group
        if i.is_acknowledged
    }
    record.write("judged", late=late)
    for instance in group:
        instance.stop()
    return sum(late.values())


def wait_listening(address: str) -> None:
    """Wait until a control host accepts connections."""
    until = time.monotonic() + 15.0
    while time.monotonic() < until:
        with contextlib.suppress(OSError):
            connect(address, 0.5).close()
            return
        time.sleep(0.02)
    raise NotRunError("the control host did not come back")


if __name__ == "__main__":
    sys.exit(run_case(run, controls=3, entries=2))
