"""Control hosts of the platform that are replaced, and its operator."""

from __future__ import annotations

import itertools
import random
import signal
import time

import gevent

from support.platform_fleet import CALL_TIMEOUT_S, PlatformFleet

# The users' bounds for a control host that is removed for good.
GRACE_S = 6.0
CATCH_UP_S = 4.0
# An operator finds a control host that serves it within this time.
CONTACT_S = 4.0
CONTACT_SLACK_S = 1.0
# Everybody learns the list of control hosts this late.
LIST_LAG_S = 3.0
CONTACTS = 3
# An even one, since the zone is that of the number modulo 2.
SUCCESSOR_OFFSET = 10
BACKOFF_S = (0.1, 0.2, 0.4, 0.8)
SHOWN_CALLS = 12


class Replacements:
    """Removes control hosts for good and starts others in their place.

    Attributes:
        known: the control hosts as everybody knows them by now.
        overdue: hosts that did not exit within the grace time.
    """

    def __init__(self, fleet: PlatformFleet, seed: str) -> None:
        self.known = list(fleet.controls)
        self.overdue: list[str] = []
        self._fleet = fleet
        self._random = random.Random(seed)

    def remove(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a host; kill it once its grace time is over."""
        self._fleet.controls.remove(name)
        self._announce()
        self._fleet.processes[name].signal(number)
        gevent.spawn_later(GRACE_S, self._end, name)

    def _end(self, name: str) -> None:
        process = self._fleet.processes[name]
        if process.child.poll() is None:
            self.overdue.append(name)
            process.kill()

    def add_successor(self, name: str) -> str:
        """Start a host with an empty disk at a new address.

        Returns:
            Its name.
        """
        successor = f"c{int(name[1:]) + SUCCESSOR_OFFSET}"
        self._fleet.controls.append(successor)
        self._announce()
        self._fleet.start_host(successor)
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
    """

    def __init__(
        self, fleet: PlatformFleet, replacements: Replacements, seed: str
    ) -> None:
        self.acknowledged = 0
        self._calls: list[str] = []
        self._fleet, self._replacements = fleet, replacements
        self._random = random.Random(seed)

    def put(self, config: dict, timeout_s: float) -> bool:
        """Put a configuration; return whether it is acknowledged."""
        if self._call("PUT", config, timeout_s) is None:
            return False
        self.acknowledged = max(self.acknowledged, parse_version(config))
        return True

    def read_back(self, timeout_s: float) -> str | None:
        """Read the configuration; return what is wrong with it, if anything.

        It must be as new as the newest one that was acknowledged before.
        """
        expected = self.acknowledged
        response = self._call("GET", None, timeout_s)
        if response is None:
            calls = ", ".join(self._calls[-SHOWN_CALLS:])
            return f"no configuration read within {timeout_s:.1f} s: {calls}"
        version = parse_version(response.json())
        if version < expected:
            return f"read version {version}, acknowledged was {expected}"
        return None

    def _call(self, method: str, config: dict | None, timeout_s: float):
        with gevent.Timeout(timeout_s, False):
            for pause_s in itertools.chain(
                BACKOFF_S, itertools.repeat(BACKOFF_S[-1])
            ):
                host = self._random.choice(self._replacements.known)
                started = time.monotonic()
                response = self._fleet.follow(
                    host, method, config, CALL_TIMEOUT_S
                )
                status = response.status if response else "none"
                elapsed_s = time.monotonic() - started
                self._calls.append(f"{host} {status} in {elapsed_s:.3f} s")
                if status == 200:
                    return response
                gevent.sleep(pause_s)
        return None


def parse_version(config: dict) -> int:
    """Return the number of a configuration."""
    return int(config["version"][1:])
