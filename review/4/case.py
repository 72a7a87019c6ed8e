"""The control hosts are cut into two parts while a change is made.

Clients use a route of the change at entries that reach all control hosts.
"""

from __future__ import annotations

import contextlib
import json
import os
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "support"))

from harness import (
    METRICS_PORT,
    PEER_PORT,
    CutLink,
    Fleet,
    NotRunError,
    Record,
    call,
    make_config,
    run_case,
    wait_for,
)

CONTROLS, ENTRIES, ZONES = 9, 18, 9
VOTERS = 5
MINORITY = 4
CONTACT_S = 4.0
CONFIG_S = 3.0
# The longest cut of this kind in the site file.
CUT_S = 6.9
SETTLE_S = 8.0
ROUNDS = 3
OK, NOT_FOUND = 200, 404


class Cut:
    """A cut between two parts of the control hosts."""

    def __init__(self, fleet: Fleet) -> None:
        """Put a proxy before the peer listener of each control host."""
        self._host_by_ip = {fleet.inner_ip(c): c for c in fleet.controls}
        self.minority: set[str] = set()
        for name in fleet.controls:
            fleet.proxied.add(name)
            CutLink(
                f"{fleet.ip(name)}:{PEER_PORT}",
                f"{fleet.inner_ip(name)}:{PEER_PORT}",
                lambda peer, name=name: self._is_cut(peer, name),
            )

    def _is_cut(self, peer: str, host: str) -> bool:
        """Return whether a peer and a host are in different parts."""
        other = self._host_by_ip.get(peer)
        if other is None or not self.minority:
            return False  # entries reach both parts
        return (other in self.minority) != (host in self.minority)


def get_status(fleet: Fleet, name: str) -> dict:
    """Return the state of a control host's member of the group."""
    address = f"{fleet.ip(name)}:{METRICS_PORT}"
    return json.loads(call(address, "GET", "/v1/status").body)["consensus"]


def find_leader(fleet: Fleet) -> tuple[str, set[str]] | None:
    """Return the leader and the voters, once the group is full."""
    for name in fleet.controls:
        status = get_status(fleet, name)
        if status["role"] == "leader" and len(status["voters"]) == VOTERS:
            by_ip = {fleet.inner_ip(c): c for c in fleet.controls}
            by_ip |= {fleet.ip(c): c for c in fleet.controls}
            hosts = {m.rpartition(".")[0] for m in status["voters"]}
            return name, {by_ip[h] for h in hosts}
    return None


def choose_minority(fleet: Fleet, leader: str, voters: set[str]) -> set[str]:
    """Choose a region and one host more, with the fewest voters."""
    by_region: dict[str, set[str]] = {}
    for name in fleet.controls:
        by_region.setdefault(fleet.region(name), set()).add(name)
    regions = [hosts for hosts in by_region.values() if leader not in hosts]
    region = min(regions, key=lambda hosts: len(hosts & voters))
    others = [c for c in fleet.controls if c not in region and c not in voters]
    minority = {*region, others[0]}
    if len(minority & voters) * 2 >= VOTERS or len(minority) != MINORITY:
        raise NotRunError("no cut leaves a majority of the voters together")
    return minority


class Load:
    """Sends requests for one path to all entries.

    Attributes:
        path: the path.
        answers: for each answer, when its request was sent, the entry and
            the status.
    """

    def __init__(self, fleet: Fleet, record: Record) -> None:
        """Start to send."""
        self._fleet, self._record = fleet, record
        self._ends = threading.Event()
        self.path = "/rota/x"
        self.answers: list[tuple[float, str, int]] = []
        for name in fleet.entries:
            threading.Thread(
                target=self._run, args=(name,), daemon=True
            ).start()

    def stop(self) -> None:
        """Stop to send."""
        self._ends.set()

    def _run(self, entry: str) -> None:
        while not self._ends.wait(0.1):
            sent_at, path, status = time.monotonic(), self.path, 0
            request_id = os.urandom(4).hex()
            with contextlib.suppress(OSError, EOFError):
                status = self._fleet.get(entry, path, request_id).status
            self._record.write(
                "answer", id=request_id, entry=entry, path=path, status=status
            )
            self.answers.append((sent_at, entry, status))


def run(fleet: Fleet, record: Record, trouble: bool) -> bool:
    """Run the case; return whether the rule held."""
    cut = Cut(fleet)
    routes = {"/rota/": {"service": "rota-board"}}
    fleet.start(make_config(1, routes, ["rota-board"]))
    for number in range(ZONES):
        fleet.add_instance(f"i{number + 1}", "rota-board")
    fleet.wait_served("/rota/warm")
    wait_for(lambda: find_leader(fleet), 20.0, "full group")
    load = Load(fleet, record)
    late = 0
    for number in range(ROUNDS):
        time.sleep(SETTLE_S)
        found = find_leader(fleet)
        if found is None:
            raise NotRunError("no leader")
        routes = {**routes, f"/new{number}/": {"service": "rota-board"}}
        config = make_config(number + 2, routes, ["rota-board"])
        minority = choose_minority(fleet, *found)
        record.write("round", leader=found[0], minority=sorted(minority))
        late += run_round(fleet, record, cut, load, minority, config, trouble)
    load.stop()
    return not late


def run_round(
    fleet: Fleet,
    record: Record,
    cut: Cut,
    load: Load,
    minority: set[str],
    config: dict,
    trouble: bool,
) -> int:
    """Make a change during a cut; return the number of late requests."""
    cut_at = time.monotonic()
    if trouble:
        cut.minority = minority
        record.write("cut")
    majority = [c for c in fleet.controls if c not in minority]
    if fleet.put_config(config, CUT_S, majority) != OK:
        raise NotRunError("the change was not acknowledged")
    acknowledged_at = time.monotonic()
    load.path = f"{config['routes'][-1]['path_prefix']}x"
    time.sleep(max(0.0, cut_at + CUT_S - time.monotonic()))
    # The core is stable again, and the entries are in touch, `contact` after
    # the cut, until the two parts are joined.
    judged_from = max(cut_at + CONTACT_S, acknowledged_at + CONFIG_S)
    judged_to = cut_at + CUT_S
    late = [
        (entry, sent_at - cut_at)
        for sent_at, entry, status in load.answers
        if status == NOT_FOUND and judged_from < sent_at < judged_to
    ]
    cut.minority = set()
    record.write(
        "judged",
        acknowledged=f"{acknowledged_at - cut_at:.2f}",
        late=len(late),
        entries=sorted({e for e, _ in late}),
        last=f"{max((t for _, t in late), default=0.0):.2f}",
    )
    load.path = "/rota/x"
    return len(late)


if __name__ == "__main__":
    sys.exit(run_case(run, controls=CONTROLS, entries=ENTRIES, zones=ZONES))
