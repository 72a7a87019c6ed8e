"""The subcommands."""

from __future__ import annotations

import difflib
import getpass
import json
import time
import uuid
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument, option

from wasabitray_cli.client import FleetClient
from wasabitray_cli.errors import (
    CommandError,
    InputError,
    NotInForceError,
)
from wasabitray_cli.exits import Exit
from wasabitray_cli.folder import (
    Difference,
    Documents,
    compare,
    read_folder,
    to_edits,
)
from wasabitray_cli.settings import DEFAULT_FILE, load_client_settings
from wasabitray_core.documents import FLEET_KEY

POLL_S = 0.2

_COMMON = [
    option(
        "fleet",
        "f",
        "Settings file that says where the fleet is.",
        flag=False,
        default=DEFAULT_FILE,
    ),
    option("json", None, "Print JSON instead of text."),
]


class FleetCommand(Command):
    """A subcommand that talks to the fleet."""

    options: ClassVar[list] = _COMMON

    def handle(self) -> int:
        """Run and turn errors into exit codes."""
        try:
            settings = load_client_settings(Path(self.option("fleet")))
            return self.run_with(FleetClient(settings))
        except CommandError as error:
            self.line_error(f"<error>{_escape(str(error))}</error>")
            return error.exit

    def run_with(self, client: FleetClient) -> int:
        """Do the work."""
        raise NotImplementedError

    def show(self, document: Any, lines: list[str]) -> None:
        """Print a document as JSON or as text."""
        if self.option("json"):
            self.line(_escape(json.dumps(document, indent=2)))
        else:
            for line in lines:
                self.line(_escape(line))

    def show_table(
        self, document: Any, headers: list[str], rows: list[list[str]]
    ) -> None:
        """Print a document as JSON or as a table."""
        if self.option("json"):
            self.show(document, [])
        else:
            self.render_table(headers, [[*map(_escape, r)] for r in rows])


def _escape(text: str) -> str:
    return text.replace("<", "\\<")


def _read_current(client: FleetClient) -> tuple[int, Documents]:
    state = client.newest_documents()
    return state["revision"], state["documents"]


def _describe(difference: Difference) -> list[str]:
    return [
        *(f"+ {key}" for key in difference.added),
        *(f"~ {key}" for key in difference.changed),
        *(f"- {key}" for key in difference.removed),
    ]


class ApplyCommand(FleetCommand):
    """Makes the configuration equal to a folder."""

    name = "apply"
    description = "Make the configuration in force equal to a folder."
    help = (
        "Example: <info>wasabitray apply ./declarations</info>\n"
        "Running it twice is safe. Exit codes: 2 bad input, 3 somebody else "
        "changed the configuration first, 4 not yet in force everywhere."
    )
    arguments: ClassVar[list] = [argument("folder", "Folder to apply.")]
    options: ClassVar[list] = [
        *_COMMON,
        option("author", None, "Name for the history.", flag=False),
        option(
            "expected",
            None,
            "Revision that the folder was made against; default: the newest.",
            flag=False,
        ),
        option(
            "force",
            None,
            "Vouch that entries which can't be reached are stopped.",
        ),
        option("timeout", "t", "Seconds to wait.", flag=False, default="10"),
    ]

    def run_with(self, client: FleetClient) -> int:
        """Compare, propose and wait until it is in force."""
        wanted = read_folder(Path(self.argument("folder")))
        revision, current = _read_current(client)
        difference = compare(current, wanted)
        if difference.empty:
            self.show(
                {"revision": revision, "changed": False},
                [f"nothing to change, revision {revision} is in force"],
            )
            return Exit.OK
        answer = client.propose(self._change(revision, difference, wanted))
        made = answer["revision"]
        missing = _wait(client, made, _seconds(self.option("timeout")))
        answer["waiting"] = missing
        lines = [*_describe(difference), f"revision {made} accepted"]
        self.show(answer, lines)
        if missing:
            raise NotInForceError(
                f"revision {made} is not yet in force on {missing}",
                step="wait",
            )
        return Exit.OK

    def _change(
        self, revision: int, difference: Difference, wanted: Documents
    ) -> dict[str, Any]:
        expected = self.option("expected")
        return {
            "change": str(uuid.uuid4()),
            "expected": revision if expected is None else _whole(expected),
            "author": self.option("author") or getpass.getuser(),
            "wall_time": datetime.now(UTC).isoformat(timespec="seconds"),
            "edits": to_edits(difference, wanted),
            "forced": bool(self.option("force")),
        }


def _seconds(value: str) -> float:
    try:
        return float(value)
    except ValueError:
        raise InputError(
            f"{value!r} is not a number", step="read --timeout"
        ) from None


def _whole(value: str) -> int:
    if not value.isdigit():
        raise InputError(f"{value!r} is not a revision", step="read revision")
    return int(value)


def _missing_entries(client: FleetClient, revision: int) -> list[str]:
    """Return the entries that have not reported a revision in force."""
    _, documents = _read_current(client)
    entries = [e["host"] for e in documents.get(FLEET_KEY, {})["entries"]]
    status = client.get_any(client.settings.control, "/v1/status")
    have = {
        host["host"]
        for host in status["membership"]["hosts"]
        if host["fresh"] and host["revision"] >= revision
    }
    return [e for e in entries if e not in have]


def _wait(client: FleetClient, revision: int, timeout: float) -> list[str]:
    deadline = time.monotonic() + timeout
    while True:
        missing = _missing_entries(client, revision)
        if not missing or time.monotonic() >= deadline:
            return missing
        time.sleep(POLL_S)


class DiffCommand(FleetCommand):
    """Shows what apply would change."""

    name = "diff"
    description = "Show what `apply` would change."
    arguments: ClassVar[list] = [argument("folder", "Folder to compare.")]

    def run_with(self, client: FleetClient) -> int:
        """Compare a folder with the configuration in force."""
        wanted = read_folder(Path(self.argument("folder")))
        revision, current = _read_current(client)
        difference = compare(current, wanted)
        document = {
            "revision": revision,
            "added": difference.added,
            "changed": difference.changed,
            "removed": difference.removed,
        }
        lines = _describe(difference)
        for key in difference.changed:
            lines += _text_diff(key, current[key], wanted[key])
        self.show(document, lines or ["no difference"])
        return Exit.OK


def _text_diff(key: str, old: Any, new: Any) -> list[str]:
    texts = [
        json.dumps(d, indent=2, sort_keys=True).splitlines()
        for d in (old, new)
    ]
    return [*difflib.unified_diff(*texts, key, key, lineterm="", n=1)]


class GetCommand(FleetCommand):
    """Prints documents in force."""

    name = "get"
    description = "Print a document in force, or the names of all."
    arguments: ClassVar[list] = [
        argument("key", "Such as template/rota.", optional=True)
    ]

    def run_with(self, client: FleetClient) -> int:
        """Print one document or the list."""
        revision, documents = _read_current(client)
        key = self.argument("key")
        if key is None:
            self.show(
                {"revision": revision, "keys": sorted(documents)},
                [f"revision {revision}", *sorted(documents)],
            )
            return Exit.OK
        if key not in documents:
            raise InputError(f"no document {key!r}", step="get")
        body = documents[key]
        self.show(body, json.dumps(body, indent=2).splitlines())
        return Exit.OK


class HistoryCommand(FleetCommand):
    """Shows who changed what and when."""

    name = "history"
    description = "Show who changed what and when."
    options: ClassVar[list] = [
        *_COMMON,
        option("limit", "l", "Newest changes.", flag=False, default="20"),
    ]

    def run_with(self, client: FleetClient) -> int:
        """Print the newest changes."""
        limit = _whole(self.option("limit"))
        found = client.get_any(
            client.settings.control, f"/v1/changes?limit={limit}"
        )
        rows = [
            [
                str(c["revision"]),
                c["wall_time"],
                c["author"],
                " ".join(c["written"] + [f"-{k}" for k in c["deleted"]]),
            ]
            for c in found["changes"]
        ]
        self.show_table(found, ["revision", "time", "author", "keys"], rows)
        return Exit.OK


class StatusCommand(FleetCommand):
    """Shows the fleet at a glance."""

    name = "status"
    description = "Show leader, control members, entries and targets' faults."

    def run_with(self, client: FleetClient) -> int:
        """Print the state of the fleet."""
        control = _collect(client, client.settings.control)
        entries = _collect(client, client.settings.entries)
        rows = [_control_row(a, s) for a, s in control.items()]
        rows += [_entry_row(a, s) for a, s in entries.items()]
        headers = ["host", "role", "revision", "state", "not heard"]
        self.show_table({**control, **entries}, headers, rows)
        if not self.option("json"):
            for line in _target_lines(entries):
                self.line(_escape(line))
        return Exit.OK


def _collect(
    client: FleetClient, addresses: tuple[str, ...]
) -> dict[str, dict[str, Any]]:
    found = {}
    for address in addresses:
        try:
            found[address] = client.get(address, "/v1/status")
        except CommandError as error:
            found[address] = {"unreachable": str(error)}
    return found


def _unheard(status: dict[str, Any]) -> str:
    hosts = status["membership"]["hosts"]
    return " ".join(h["host"] for h in hosts if not h["fresh"])


def _control_row(address: str, status: dict[str, Any]) -> list[str]:
    if "unreachable" in status:
        return [address, "control", "", "unreachable", ""]
    consensus = status["consensus"]
    lag = " ".join(f"{m}:{n}" for m, n in consensus["lag"].items())
    state = f"{consensus['role']} of term {consensus['term']}"
    if lag:
        state += f", lag {lag}"
    revision = str(consensus["revision"])
    return [status["host"], "control", revision, state, _unheard(status)]


def _entry_row(address: str, status: dict[str, Any]) -> list[str]:
    if "unreachable" in status:
        return [address, "entry", "", "unreachable", ""]
    membership = status["membership"]
    own = membership["hosts"][0]
    state = "cut off" if membership["isolated"] else " ".join(own["flags"])
    revision = str(membership["revision"])
    return [status["host"], "entry", revision, state, _unheard(status)]


def _target_lines(entries: dict[str, dict[str, Any]]) -> list[str]:
    lines = []
    for target in _targets_seen(entries).values():
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


def _targets_seen(entries: dict[str, dict[str, Any]]) -> dict[str, dict]:
    return {
        target["target"]: target
        for status in entries.values()
        for target in status.get("targets", ())
    }


class TargetsCommand(FleetCommand):
    """Lists the targets."""

    name = "targets"
    description = "List the targets that announced themselves."

    def run_with(self, client: FleetClient) -> int:
        """Print every target that any entry knows."""
        seen = _targets_seen(_collect(client, client.settings.entries))
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
            for _, t in sorted(seen.items())
        ]
        headers = ["target", "service", "region", "domain", "slots", "state"]
        self.show_table(list(seen.values()), [*headers, "ejection"], rows)
        return Exit.OK


class AddressesCommand(FleetCommand):
    """Asks which entries to use."""

    name = "addresses"
    description = "Ask which entries a caller should use."
    options: ClassVar[list] = [
        *_COMMON,
        option("region", "r", "Region of the caller.", flag=False),
    ]

    def run_with(self, client: FleetClient) -> int:
        """Print an address answer."""
        path = "/.well-known/wasabitray/addresses"
        region = self.option("region")
        if region:
            path += f"?region={region}"
        found = client.get_any(client.settings.callers, path)
        self.show(found, [f"for {found['ttl_s']} s:", *found["addresses"]])
        return Exit.OK


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
        found = client.post(address, "/v1/drain")
        self.show(found, [f"{address} drains"])
        return Exit.OK


class WaitCommand(FleetCommand):
    """Waits until a revision is in force."""

    name = "wait"
    description = "Wait until a revision is in force on every entry."
    arguments: ClassVar[list] = [argument("revision", "Revision to wait for.")]
    options: ClassVar[list] = [
        *_COMMON,
        option("timeout", "t", "Seconds to wait.", flag=False, default="10"),
    ]

    def run_with(self, client: FleetClient) -> int:
        """Wait and say who is missing if it takes too long."""
        revision = _whole(self.argument("revision"))
        missing = _wait(client, revision, _seconds(self.option("timeout")))
        if missing:
            raise NotInForceError(
                f"revision {revision} is not in force on {missing}",
                step="wait",
            )
        self.show({"revision": revision}, [f"revision {revision} in force"])
        return Exit.OK


COMMANDS = (
    ApplyCommand,
    DiffCommand,
    GetCommand,
    HistoryCommand,
    StatusCommand,
    TargetsCommand,
    AddressesCommand,
    DrainCommand,
    WaitCommand,
)
