"""Shows what a fleet's start costs hubs and entries, by number of entries.

Runs the hub and subscriber controllers in simulated time, without sockets.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from support.feed_fleet import FeedFleet


def main() -> None:
    """Print messages, bytes and processor time of each role."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, nargs="+", default=[30, 100])
    parser.add_argument("--seconds", type=float, default=5.0)
    arguments = parser.parse_args()
    for entries in arguments.entries:
        fleet = FeedFleet(entries, targets=entries)
        fleet.start(arguments.seconds)
        for role, traffic in fleet.traffic.items():
            hosts = fleet.hubs if role == "hub" else fleet.entries
            print(
                f"{entries} entries, each {role}:",
                f"{sum(traffic.messages.values()) / len(hosts):.0f} messages,",
                f"{sum(traffic.bytes.values()) / len(hosts) / 1e3:.0f} KB,",
                f"{traffic.seconds / len(hosts):.3f} s,",
                dict(traffic.messages),
            )


if __name__ == "__main__":
    main()
