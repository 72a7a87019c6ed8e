"""All processes are killed at once after many changes of a large table."""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "support-2"))

from clients import Clients  # noqa: E402
from deployment import Deployment, Instance, Operator, Record  # noqa: E402
from tables import HOST, PATH, SERVICES, put_versions  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
# Lets a member of the group that lags behind catch up in between.
PAUSE_S = 0.05
DOWN_S = 0.8
RECOVERY_S = 15.0
OBSERVED_S = 6.0
# The operator reads for `contact` at least.
READ_BACK_S = 6.0
# The rule: a quarter was served before, and less than that afterwards.
SERVED_SHARE = 0.25


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
        if not put_versions(deployment, operator, record, pause_s=PAUSE_S):
            return 2
        clients.start(6, 0.2)
        time.sleep(4.0)
        now = time.monotonic()
        before = clients.get_share(now - 3.0, now - 0.5)
        if TROUBLE:
            for host in deployment.hosts.values():
                deployment.kill(host)
            time.sleep(DOWN_S)
            deployment.start_all()
        back = time.monotonic()
        time.sleep(RECOVERY_S + OBSERVED_S)
        after = clients.get_share(back + RECOVERY_S, time.monotonic() - 1.0)
        read = operator.read_version(READ_BACK_S)
        ends = {h.name: len(h.memory_ends) for h in deployment.hosts.values()}
        peaks = {h.name: round(h.peak_mib) for h in deployment.hosts.values()}
        record.write(f"sent, share served before: {before}")
        record.write(f"sent, share served after the recovery: {after}")
        record.write(f"acknowledged r{operator.acknowledged}, read {read}")
        record.write(f"ends for memory {ends}, peaks in MiB {peaks}")
        if before[0] < 20 or before[1] < SERVED_SHARE:
            return 2
        is_recovered = after[0] > 0 and after[1] >= SERVED_SHARE
        is_kept = read == operator.acknowledged
        record.write(f"RECOVER {'held' if is_recovered else 'broken'}")
        record.write(f"LOST {'held' if is_kept else 'broken'}")
        return 0 if is_recovered and is_kept else 1
    finally:
        clients.stop()
        deployment.shut_down()
        for instance in instances:
            instance.stop()


if __name__ == "__main__":
    record_path = Path(os.environ.get("RECORD", CASE / "record.txt"))
    sys.exit(run(Record(record_path)))
