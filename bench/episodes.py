"""Simulates failure episodes and prints the share of requests that is lost.

The simulated fleet is that of the tests. To compare with an earlier version,
pass the folder of its checkout; both then run with the same seeds.
"""

from __future__ import annotations

import argparse
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
DEFAULT_SEEDS = 6


def simulate(name: str, seeds: int) -> str:
    """Simulate a load and return its line of the table."""
    from support.episode_loads import LOADS
    from support.episodes import EpisodeWorld

    worlds = [EpisodeWorld(LOADS[name], n).run() for n in range(seeds)]
    windows = [w for world in worlds for w in world.windows()]
    below = sum(w.is_below_floor for w in windows)
    lost = sum(w.lost_share for w in worlds) / seeds
    time = sum(w.mean_time for w in worlds) / seeds
    return (
        f"{name:14} lost {lost:.3f}  mean time {time:.3f} s  "
        f"windows below the floor {below} of {len(windows)}"
    )


def main() -> int:
    """Simulate this version, and another one if it is given."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=DEFAULT_SEEDS)
    parser.add_argument("--checkout", type=Path, default=ROOT)
    parser.add_argument("--against", type=Path)
    arguments = parser.parse_args()
    packages = arguments.checkout / "packages"
    sys.path[:0] = [
        str(ROOT / "tests"),
        str(packages / "core/src"),
        str(packages / "wire/src"),
    ]
    from support.episode_loads import LOADS

    print(arguments.checkout.resolve().name)
    for name in LOADS:
        print(simulate(name, arguments.seeds), flush=True)
    if arguments.against is None:
        return 0
    other_version = [
        "--checkout",
        str(arguments.against),
        "--seeds",
        str(arguments.seeds),
    ]
    return subprocess.run(
        [sys.executable, __file__, *other_version]
    ).returncode


if __name__ == "__main__":
    sys.exit(main())
