"""Control hosts of the platform that are replaced, and its operator."""

from __future__ import annotations

import random
import signal
import time

import gevent

from support.platform_fleet import PlatformFleet

# The users' bounds for a control host that is removed for good.
GRACE_S = 6.0
CATCHUP_S = 4.0
# An operator finds a control host that answers within this time.
CONTACT_S = 4.0
CONTACT_SLACK_S = 1.0
# Everybody learns the list of control hosts this late.
LIST_LAG_S = 3.0
CONTACTS = 3
# Successors keep the zone, which is that of the number modulo 2.
SUCCESSOR_OFFSET = 10
CALL_TIMEOUT_S = 1.0
BACKOFF_S = (0.1, 0.2, 0.4, 0.8)


class Replacements:
    """Removes control hosts for good and starts others in their place.

    Attributes:
        known: the control hosts as everybody knows them by now.
        changed_at: when a successor was started last.
    """

    def __init__(self, fleet: PlatformFleet, seed: str) -> None:
        self.known = list(fleet.controls)
        self.changed_at = 0.0
        self._fleet = fleet
        self._random = random.Random(seed)

    def remove(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a host; kill it once its grace time is over."""
        self._fleet.controls.remove(name)
        self._announce()
        process = self._fleet.processes[name]
        process.signal(number)
        gevent.spawn_later(GRACE_S, process.kill)

    def add_successor(self, name: str) -> str:
        """Start a host with an empty disk at a new address."""
        successor = f"c{int(name[1:]) + SUCCESSOR_OFFSET}"
        self._fleet.controls.append(successor)
        self._announce()
        self._fleet.start_host(successor)
        self.changed_at = time.monotonic()
        return successor

    def _announce(self) -> None:
        hosts = list(self._fleet.controls)
        gevent.spawn_later(LIST_LAG_S, self._publish, hosts)

    def _publish(self, hosts: list[str]) -> None:
        self.known = hosts
        self._fleet.contacts = self._random.sample(hosts, CONTACTS)
        addresses = [self._fleet.registry_address(h) for h in hosts]
        for instance in self._fleet.instances.values():
            instance.registries[:] = addresses


class Operator:
    """Puts and reads configurations by the platform's protocol.

    Attributes:
        acknowledged: the newest version that was acknowledged.
        outcomes: which host was called last, when, and with what status.
    """

    def __init__(
        self, fleet: PlatformFleet, replacements: Replacements, seed: str
    ) -> None:
        self.acknowledged = 0
        self.outcomes: list[tuple[float, str, int | None]] = []
        self._fleet, self._replacements = fleet, replacements
        self._random = random.Random(seed)

    def put(self, config: dict, timeout_s: float) -> bool:
        """Put a configuration; return whether it is acknowledged."""
        if self._call("PUT", config, timeout_s) is None:
            return False
        self.acknowledged = max(self.acknowledged, parse_version(config))
        return True

    def read_version(self, timeout_s: float) -> int | None:
        """Return the version that is read, None without a response."""
        response = self._call("GET", None, timeout_s)
        return parse_version(response.json()) if response else None

    def _call(self, method: str, config: dict | None, timeout_s: float):
        with gevent.Timeout(timeout_s, False):
            for attempt in range(1_000):
                host = self._random.choice(self._replacements.known)
                response = self._fleet.follow(
                    host, method, config, CALL_TIMEOUT_S
                )
                status = response.status if response else None
                self.outcomes.append((time.monotonic(), host, status))
                if status == 200:
                    return response
                gevent.sleep(BACKOFF_S[min(attempt, len(BACKOFF_S) - 1)])
        return None


def parse_version(config: dict) -> int:
    """Return the number of a configuration."""
    return int(config["version"][1:])
