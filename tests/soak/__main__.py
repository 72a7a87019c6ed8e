"""Runs a soak: `python -m soak --seed 1`, with `tests` on the path."""

from gevent import monkey

monkey.patch_all()

import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
sys.path[:0] = [str(ROOT / "examples"), str(ROOT / "tests")]

import argparse
import json
import random
import shutil
import subprocess
import tempfile
from collections import Counter

import gevent
from support.platform_fleet import PlatformFleet

from soak.changes import Changes
from soak.checks import find_problems, is_answered_by_instance
from soak.traffic import Caller, Sent

BUSY_LOOP = "while True: pass"


def run(options: argparse.Namespace, folder: Path) -> list[str]:
    """Run one soak; return a description of each broken promise."""
    fleet = PlatformFleet(folder, options.controls, options.entries)
    changes = Changes(
        fleet, f"{options.seed}-changes", options.replace_controls
    )
    requests: list[Sent] = []
    busy = [
        subprocess.Popen([sys.executable, "-c", BUSY_LOOP])
        for _ in range(options.busy)
    ]
    jobs, tasks = [], []
    try:
        fleet.start()
        for number in range(options.instances):
            instance = fleet.start_instance(f"i{number + 1}", "rota")
            pace = random.Random(f"{options.seed}-{number}")
            instance.transfer_s = pace.uniform(0.0, options.transfer)
        changes.put_first_configuration()
        tasks = [gevent.spawn(task) for task in changes.get_tasks()]
        for number in range(options.callers):
            caller = Caller(
                fleet,
                f"{options.seed}-{number}",
                requests,
                changes.list_added_paths,
            )
            jobs.append(gevent.spawn(caller.run))
        gevent.sleep(options.seconds)
    finally:
        # A task that is killed while it starts a process would leave it.
        changes.end()
        gevent.joinall(tasks)
        changes.record_ended()
        gevent.killall(jobs)
        fleet.shut_down()
        for process in busy:
            process.kill()
            process.wait()
    gevent.joinall(tasks, raise_error=True)
    report(requests, changes)
    instances = list(fleet.instances.values())
    return find_problems(requests, instances, changes.history)


def report(requests: list[Sent], changes: Changes) -> None:
    """Print how many requests ended how, and how much was changed."""
    ended = [r for r in requests if r.ended_at]
    statuses = Counter(
        str(r.response.status) if r.response else "none" for r in ended
    )
    history = changes.history
    print(
        json.dumps(
            {
                "requests": len(ended),
                "answered": sum(map(is_answered_by_instance, ended)),
                "statuses": dict(statuses),
                "stops": len(history.stops),
                "replacements": len(history.replacements),
                "reloads": len(history.reloads),
                "versions": len(history.route_acks),
                "departures": len(history.departures),
            }
        )
    )


def main() -> int:
    """Run the soak of each seed; return whether any promise was broken."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--controls", type=int, default=3)
    parser.add_argument("--entries", type=int, default=4)
    parser.add_argument("--instances", type=int, default=6)
    parser.add_argument("--callers", type=int, default=24)
    parser.add_argument(
        "--replace-controls",
        action="store_true",
        help="remove control hosts for good, for five or more of them",
    )
    parser.add_argument("--busy", type=int, default=0, help="busy loops")
    parser.add_argument(
        "--transfer",
        type=float,
        default=0.0,
        help="seconds that a response takes at most to reach its entry",
    )
    options = parser.parse_args()
    broken = 0
    last = options.seed + options.seeds
    for seed in range(options.seed, last):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        options.seed = seed
        problems = run(options, folder)
        broken += bool(problems)
        for problem in problems:
            print(f"seed {seed}: {problem}")
        if problems:
            print(f"seed {seed}: logs are in {folder}", flush=True)
        else:
            shutil.rmtree(folder, ignore_errors=True)
            print(f"seed {seed}: passed", flush=True)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
