"""Subcommands that show or stop hosts and targets."""

from __future__ import annotations

from typing import Any, ClassVar

from cleo.helpers import argument, option

from wasabitray_cli.client import FleetClient
from wasabitray_cli.commands.base import (
    COMMON_OPTIONS,
    FleetCommand,
    escape_markup,
)
from wasabitray_cli.errors import CommandError
from wasabitray_cli.exits import ExitCode


class StatusCommand(FleetCommand):
    """Shows the state of hosts and of failing targets."""

    name = "status"
    description = "Show leader, control hosts, entries and failing targets."

    def run_with(self, client: FleetClient) -> int:
        """Print the state of the fleet."""
        control = _collect_statuses(client, client.settings.control)
        entries = _collect_statuses(client, client.settings.entries)
        rows = [_build_control_row(a, s) for a, s in control.items()]
        rows += [_build_entry_row(a, s) for a, s in entries.items()]
        headers = ["host", "role", "revision", "state", "unresponsive"]
        self.show_table({**control, **entries}, headers, rows)
        if not self.option("json"):
            for line in _describe_targets(entries):
                self.line(escape_markup(line))
        return ExitCode.OK


def _collect_statuses(
    client: FleetClient, addresses: tuple[str, ...]
) -> dict[str, dict[str, Any]]:
    statuses = {}
    for address in addresses:
        try:
            statuses[address] = client.get(address, "/v1/status")
        except CommandError as error:
            statuses[address] = {"unreachable": str(error)}
    return statuses


def _list_unresponsive_hosts(status: dict[str, Any]) -> str:
    hosts = status["membership"]["hosts"]
    return " ".join(h["host"] for h in hosts if not h["fresh"])


def _build_control_row(address: str, status: dict[str, Any]) -> list[str]:
    if "unreachable" in status:
        return [address, "control", "", "unreachable", ""]
    consensus = status["consensus"]
    lag = " ".join(f"{m}:{n}" for m, n in consensus["lag"].items())
    state = f"{consensus['role']} of term {consensus['term']}"
    if lag:
        state += f", lag {lag}"
    revision = str(consensus["revision"])
    return [
        status["host"],
        "control",
        revision,
        state,
        _list_unresponsive_hosts(status),
    ]


def _build_entry_row(address: str, status: dict[str, Any]) -> list[str]:
    if "unreachable" in status:
        return [address, "entry", "", "unreachable", ""]
    membership = status["membership"]
    own_status = membership["hosts"][0]
    state = (
        "cut off" if membership["isolated"] else " ".join(own_status["flags"])
    )
    revision = str(membership["revision"])
    return [
        status["host"],
        "entry",
        revision,
        state,
        _list_unresponsive_hosts(status),
    ]


def _describe_targets(entries: dict[str, dict[str, Any]]) -> list[str]:
    lines = []
    for target in _collect_targets(entries).values():
        if target["ejection"] not in (None, "returned"):
            lines.append(
                f"{target['target']} {target['ejection']}: "
                f"{target['evidence']}"
            )
        if target["phase"] != "active" or target["quiet"]:
            state = "quiet" if target["quiet"] else target["phase"]
            lines.append(f"{target['target']} {state}")
    for status in entries.values():
        for service, health in status.get("health", {}).items():
            if health["widespread_failure"]:
                lines.append(f"service {service}: widespread failure")
    return sorted(set(lines))


def _collect_targets(entries: dict[str, dict[str, Any]]) -> dict[str, dict]:
    return {
        target["target"]: target
        for status in entries.values()
        for target in status.get("targets", ())
    }


class TargetsCommand(FleetCommand):
    """Lists the targets."""

    name = "targets"
    description = "List the targets that have announced themselves."

    def run_with(self, client: FleetClient) -> int:
        """Print the targets that at least one entry knows."""
        targets = _collect_targets(
            _collect_statuses(client, client.settings.entries)
        )
        rows = [
            [
                t["target"],
                t["service"],
                t["region"],
                t["failure_domain"],
                str(t["slots"]),
                "quiet" if t["quiet"] else t["phase"],
                t["ejection"] or "",
            ]
            for _, t in sorted(targets.items())
        ]
        headers = ["target", "service", "region", "domain", "slots", "state"]
        self.show_table(list(targets.values()), [*headers, "ejection"], rows)
        return ExitCode.OK


class AddressesCommand(FleetCommand):
    """Shows which entries a caller should use."""

    name = "addresses"
    description = "Show which entries a caller should use."
    options: ClassVar[list] = [
        *COMMON_OPTIONS,
        option("region", "r", "Region of the caller.", flag=False),
    ]

    def run_with(self, client: FleetClient) -> int:
        """Print the addresses and how long they are valid."""
        path = "/.well-known/wasabitray/addresses"
        region = self.option("region")
        if region:
            path += f"?region={region}"
        response = client.get_from_any(client.settings.callers, path)
        self.show(
            response, [f"for {response['ttl_s']} s:", *response["addresses"]]
        )
        return ExitCode.OK


class DrainCommand(FleetCommand):
    """Stops a host gracefully."""

    name = "drain"
    description = "Stop a host gracefully; its process then ends."
    arguments: ClassVar[list] = [
        argument("address", "Operator address of the host, IP:PORT.")
    ]

    def run_with(self, client: FleetClient) -> int:
        """Ask the host to stop."""
        address = self.argument("address")
        response = client.post(address, "/v1/drain")
        self.show(response, [f"{address} is draining"])
        return ExitCode.OK
