"""Starts fleets of real processes on loopback addresses.

Each host has its own IP address: 127.B.1.N for control hosts, 127.B.2.N for
entries and 127.B.3.N for targets, where B is the fleet's number.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from geventhttpclient import HTTPClient

PEER_PORT, OPERATOR_PORT, TARGET_PORT, CALLER_PORT = 7000, 7001, 7002, 8080
ADVERTISED_PEER_PORT = 7100
BINARIES = Path(sys.executable).parent
TARGET_SCRIPT = Path(__file__).with_name("target.py")
REGIONS = ("south", "north", "northwest")


class Response:
    """A complete HTTP response."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes):
        """Store the parts of the response."""
        self.status = status
        self.headers = headers
        self.body = body

    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)


def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout: float = 10.0,
) -> Response:
    """Send one request on a connection of its own."""
    host, _, port = address.rpartition(":")
    client = HTTPClient(
        host, int(port), connection_timeout=2, network_timeout=timeout
    )
    try:
        response = client.request(method, path, body, headers or {})
        content = response.read()
        response_headers = {k.lower(): v for k, v in response.items()}
        return Response(response.status_code, response_headers, bytes(content))
    finally:
        client.close()


def wait_for(
    condition: Callable[[], Any], timeout: float, what: str = ""
) -> Any:
    """Poll until a condition holds and return its value.

    Raises:
        AssertionError: the condition does not hold before the timeout.
    """
    deadline = time.monotonic() + timeout
    while True:
        try:
            value = condition()
        except OSError:
            value = None
        if value:
            return value
        if time.monotonic() >= deadline:
            raise AssertionError(f"timed out after {timeout} s: {what}")
        time.sleep(0.05)


class Process:
    """A process of a host or a target."""

    def __init__(self, name: str, command: list[str], log: Path):
        """Store the command line and the file for the output."""
        self.name = name
        self.command = command
        self.log = log
        self.environment: dict[str, str] | None = None
        self.child: subprocess.Popen | None = None

    def start(self, *extra: str) -> None:
        """Start the process, with extra arguments if given."""
        with self.log.open("ab") as output:
            self.child = subprocess.Popen(
                [*self.command, *extra],
                stdout=output,
                stderr=output,
                env=self.environment,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.child is not None
        self.child.send_signal(number)

    def kill(self) -> None:
        """Kill the process, also if it is suspended."""
        if self.child is not None and self.child.poll() is None:
            self.signal(signal.SIGCONT)
            self.child.kill()
            self.child.wait()

    def stop(self, timeout: float = 30.0) -> int:
        """Stop the process with SIGTERM and return its exit code."""
        assert self.child is not None
        self.signal(signal.SIGTERM)
        return self.child.wait(timeout)


class LocalFleet:
    """Control hosts, entries and targets on this machine."""

    def __init__(
        self,
        folder: Path,
        number: int = 0,
        controls: int = 3,
        entries: int = 3,
        proxied: bool = False,
        retention_s: float = 2.0,
        entry_settings: str = "",
    ):
        """Write the settings of every host.

        Args:
            folder: folder for settings, data and logs.
            number: the fleet's number B in its addresses; 0 for one that
                depends on this process's id.
            controls: number of control hosts.
            entries: number of entries.
            proxied: peers reach each other through ADVERTISED_PEER_PORT.
            retention_s: retention time of claims in seconds.
            entry_settings: further sections of the entries' settings.
        """
        self.folder = folder
        self.number = number or 1 + os.getpid() % 250
        self.proxied = proxied
        self.retention_s = retention_s
        self.entry_settings = entry_settings
        self.control_names = [f"c{n + 1}" for n in range(controls)]
        self.entry_names = [f"e{n + 1}" for n in range(entries)]
        self.processes: dict[str, Process] = {}
        self.targets: dict[str, Process] = {}
        folder.mkdir(parents=True, exist_ok=True)
        for name in (*self.control_names, *self.entry_names):
            self._write_settings(name)
        self._write_client_settings()

    # Addresses

    def ip(self, name: str) -> str:
        """Return a host's IP address."""
        kind = {"c": 1, "e": 2, "t": 3}[name[0]]
        return f"127.{self.number}.{kind}.{name[1:]}"

    def get_location(self, name: str) -> tuple[str, str]:
        """Return a host's region and failure domain."""
        number = int(name[1:]) - 1
        region = REGIONS[number % len(REGIONS)]
        domain = "ab"[number // len(REGIONS) % 2]
        return region, f"{region}-{domain}"

    def peer_address(self, name: str) -> str:
        """Return the address at which peers reach a host."""
        port = ADVERTISED_PEER_PORT if self.proxied else PEER_PORT
        return f"{self.ip(name)}:{port}"

    def operator_address(self, name: str) -> str:
        """Return a host's address for operators."""
        return f"{self.ip(name)}:{OPERATOR_PORT}"

    def caller_address(self, name: str) -> str:
        """Return an entry's address for callers."""
        return f"{self.ip(name)}:{CALLER_PORT}"

    # Settings

    def settings_file(self, name: str) -> Path:
        """Return a host's settings file."""
        return self.folder / f"{name}.toml"

    def _write_settings(self, name: str) -> None:
        region, domain = self.get_location(name)
        is_control = name in self.control_names
        ip = self.ip(name)
        lines = [
            f'host = "{name}"',
            f'role = "{"control" if is_control else "entry"}"',
            f'region = "{region}"',
            f'failure_domain = "{domain}"',
        ]
        if is_control:
            lines.append(f"initial_control = {self.control_names}")
            lines.append(f'data_folder = "{self.data_folder(name)}"')
        if self.proxied:
            lines.append(f'advertised_peers = "{self.peer_address(name)}"')
        lines += [
            "[listen]",
            f'peers = "{ip}:{PEER_PORT}"',
            f'operators = "{ip}:{OPERATOR_PORT}"',
        ]
        if not is_control:
            lines.append(f'callers = "{ip}:{CALLER_PORT}"')
            lines.append(f'targets = "{ip}:{TARGET_PORT}"')
        lines.append("[seeds]")
        seeds = [*self.control_names, *self.entry_names[:3]]
        lines += [f'{s} = "{self.peer_address(s)}"' for s in seeds]
        if not is_control:
            lines.append(self.entry_settings)
        self.settings_file(name).write_text("\n".join(lines) + "\n")

    def data_folder(self, name: str) -> Path:
        """Return a control host's data folder."""
        return self.folder / f"{name}-data"

    def _write_client_settings(self) -> None:
        control = [self.operator_address(n) for n in self.control_names]
        entries = [self.operator_address(n) for n in self.entry_names]
        callers = [self.caller_address(n) for n in self.entry_names]
        (self.folder / "client.toml").write_text(
            f"control = {control}\nentries = {entries}\ncallers = {callers}\n"
        )

    def fleet_document(self, group: list[str] | None = None) -> str:
        """Return the text of fleet.toml for the declarations folder."""
        group = group or self.entry_names[:5]
        lines = [
            f"claim_groups = [{group}]",
            f"claim_retention_s = {self.retention_s}",
        ]
        for name in self.entry_names:
            region, domain = self.get_location(name)
            lines += [
                "[[entries]]",
                f'host = "{name}"',
                f'region = "{region}"',
                f'failure_domain = "{domain}"',
                f'peer_address = "{self.peer_address(name)}"',
                f'caller_address = "{self.caller_address(name)}"',
            ]
        return "\n".join(lines) + "\n"

    # Processes

    def start_host(self, name: str, *extra: str) -> None:
        """Start one host."""
        command = [
            str(BINARIES / "wasabitrayd"),
            "--settings",
            str(self.settings_file(name)),
        ]
        process = Process(name, command, self.folder / f"{name}.log")
        self.processes[name] = process
        process.start(*extra)

    def start(self) -> None:
        """Start all hosts as a new fleet and wait for a leader."""
        for name in self.control_names:
            self.start_host(name, "--initialise")
        for name in self.entry_names:
            self.start_host(name)
        wait_for(self.find_leader, 15, "a leader")
        for name in self.entry_names:
            wait_for(lambda n=name: self.get_status(n), 15, f"{name} up")

    def start_target(
        self,
        name: str,
        service: str,
        slots: int = 2,
        entries: int = 2,
        cold_s: float = 0.0,
    ) -> None:
        """Start a target that announces itself to some entries."""
        region, domain = self.get_location(name)
        command = [sys.executable, str(TARGET_SCRIPT)]
        command += ["--address", f"{self.ip(name)}:9000"]
        command += ["--service", service, "--region", region]
        command += ["--domain", domain, "--slots", str(slots)]
        command += ["--cold-s", str(cold_s)]
        for entry in self.entry_names[:entries]:
            command += ["--entry", f"{self.ip(entry)}:{TARGET_PORT}"]
        process = Process(name, command, self.folder / f"{name}.log")
        self.targets[name] = process
        process.start()

    def configure_target(self, name: str, **fields: Any) -> dict[str, Any]:
        """Return a target's state, after changing its behaviour if asked."""
        method = "POST" if fields else "GET"
        body = json.dumps(fields).encode() if fields else b""
        return call(f"{self.ip(name)}:9000", method, "/_control", body).json()

    def shut_down(self) -> None:
        """Kill all processes that still run."""
        for process in (*self.targets.values(), *self.processes.values()):
            process.kill()

    # Requests to hosts

    def get_status(self, name: str) -> dict[str, Any]:
        """Return a host's status document."""
        return call(self.operator_address(name), "GET", "/v1/status").json()

    def find_leader(self) -> str | None:
        """Return the control host that leads, or None."""
        for name in self.control_names:
            try:
                state = self.get_status(name)["consensus"]
            except OSError:
                continue
            if state["role"] == "leader" and state["commit"]:
                return name
        return None

    def run_cli(self, *arguments: str) -> subprocess.CompletedProcess:
        """Run the operators' command."""
        settings = ["--fleet", str(self.folder / "client.toml")]
        return subprocess.run(
            [str(BINARIES / "wasabitray"), *arguments, *settings],
            capture_output=True,
            text=True,
            timeout=60,
        )
