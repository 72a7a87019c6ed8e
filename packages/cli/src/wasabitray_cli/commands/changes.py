"""Subcommands that change or show the configuration."""

from __future__ import annotations

import difflib
import getpass
import json
import time
import uuid
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, ClassVar

from cleo.helpers import argument, option

from wasabitray_cli.client import FleetClient
from wasabitray_cli.commands.base import (
    COMMON_OPTIONS,
    FleetCommand,
    get_current_documents,
    parse_revision,
    parse_seconds,
)
from wasabitray_cli.errors import InputError, NotAppliedError
from wasabitray_cli.exits import ExitCode
from wasabitray_cli.folder import (
    Difference,
    Documents,
    build_edits,
    compare_documents,
    read_folder,
)
from wasabitray_core.documents import FLEET_KEY

POLL_INTERVAL_S = 0.2


def _describe_difference(difference: Difference) -> list[str]:
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
        *COMMON_OPTIONS,
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
            "Confirm that entries which can't be reached have stopped.",
        ),
        option("timeout", "t", "Seconds to wait.", flag=False, default="10"),
    ]

    def run_with(self, client: FleetClient) -> int:
        """Compare, propose a change and wait until entries have applied it."""
        wanted = read_folder(Path(self.argument("folder")))
        revision, current = get_current_documents(client)
        difference = compare_documents(current, wanted)
        if difference.is_empty:
            self.show(
                {"revision": revision, "changed": False},
                [f"nothing to change, revision {revision} is in force"],
            )
            return ExitCode.OK
        response = client.propose(
            self._build_change(revision, difference, wanted)
        )
        new_revision = response["revision"]
        missing = wait_until_applied(
            client, new_revision, parse_seconds(self.option("timeout"))
        )
        response["waiting"] = missing
        lines = [
            *_describe_difference(difference),
            f"revision {new_revision} accepted",
        ]
        self.show(response, lines)
        if missing:
            raise NotAppliedError(
                f"revision {new_revision} is not yet in force on {missing}",
                step="wait",
            )
        return ExitCode.OK

    def _build_change(
        self, revision: int, difference: Difference, wanted: Documents
    ) -> dict[str, Any]:
        expected = self.option("expected")
        return {
            "change": str(uuid.uuid4()),
            "expected": revision
            if expected is None
            else parse_revision(expected),
            "author": self.option("author") or getpass.getuser(),
            "wall_time": datetime.now(UTC).isoformat(timespec="seconds"),
            "edits": build_edits(difference, wanted),
            "forced": bool(self.option("force")),
        }


def _find_missing_entries(client: FleetClient, revision: int) -> list[str]:
    """Return the entries not known to have applied a revision.

    What an entry reported counts only if the control host has had contact
    with it recently.
    """
    _, documents = get_current_documents(client)
    entries = [e["host"] for e in documents.get(FLEET_KEY, {})["entries"]]
    status = client.get_from_any(client.settings.control, "/v1/status")
    applied = {
        host["host"]
        for host in status["membership"]["hosts"]
        if host["fresh"] and host["revision"] >= revision
    }
    return [e for e in entries if e not in applied]


def wait_until_applied(
    client: FleetClient, revision: int, timeout: float
) -> list[str]:
    """Wait until all entries have applied a revision.

    Returns:
        The entries that have not applied it after `timeout` seconds.
    """
    deadline = time.monotonic() + timeout
    while True:
        missing = _find_missing_entries(client, revision)
        if not missing or time.monotonic() >= deadline:
            return missing
        time.sleep(POLL_INTERVAL_S)


class DiffCommand(FleetCommand):
    """Shows what apply would change."""

    name = "diff"
    description = "Show what `apply` would change."
    arguments: ClassVar[list] = [argument("folder", "Folder to compare.")]

    def run_with(self, client: FleetClient) -> int:
        """Compare a folder with the newest configuration."""
        wanted = read_folder(Path(self.argument("folder")))
        revision, current = get_current_documents(client)
        difference = compare_documents(current, wanted)
        document = {
            "revision": revision,
            "added": difference.added,
            "changed": difference.changed,
            "removed": difference.removed,
        }
        lines = _describe_difference(difference)
        for key in difference.changed:
            lines += _diff_documents(key, current[key], wanted[key])
        self.show(document, lines or ["no difference"])
        return ExitCode.OK


def _diff_documents(key: str, old: Any, new: Any) -> list[str]:
    texts = [
        json.dumps(d, indent=2, sort_keys=True).splitlines()
        for d in (old, new)
    ]
    return [*difflib.unified_diff(*texts, key, key, lineterm="", n=1)]


class GetCommand(FleetCommand):
    """Prints the newest documents."""

    name = "get"
    description = "Print a document in force, or the keys of all."
    arguments: ClassVar[list] = [
        argument("key", "Such as template/rota.", optional=True)
    ]

    def run_with(self, client: FleetClient) -> int:
        """Print one document or the list of keys."""
        revision, documents = get_current_documents(client)
        key = self.argument("key")
        if key is None:
            self.show(
                {"revision": revision, "keys": sorted(documents)},
                [f"revision {revision}", *sorted(documents)],
            )
            return ExitCode.OK
        if key not in documents:
            raise InputError(f"no document {key!r}", step="get")
        body = documents[key]
        self.show(body, json.dumps(body, indent=2).splitlines())
        return ExitCode.OK


class HistoryCommand(FleetCommand):
    """Shows who changed what and when."""

    name = "history"
    description = "Show who changed what and when."
    options: ClassVar[list] = [
        *COMMON_OPTIONS,
        option(
            "limit",
            "l",
            "How many of the newest changes.",
            flag=False,
            default="20",
        ),
    ]

    def run_with(self, client: FleetClient) -> int:
        """Print the newest changes."""
        limit = parse_revision(self.option("limit"))
        response = client.get_from_any(
            client.settings.control, f"/v1/changes?limit={limit}"
        )
        rows = [
            [
                str(c["revision"]),
                c["wall_time"],
                c["author"],
                " ".join(c["written"] + [f"-{k}" for k in c["deleted"]]),
            ]
            for c in response["changes"]
        ]
        self.show_table(response, ["revision", "time", "author", "keys"], rows)
        return ExitCode.OK


class WaitCommand(FleetCommand):
    """Waits until all entries have applied a revision."""

    name = "wait"
    description = "Wait until a revision is in force on every entry."
    arguments: ClassVar[list] = [argument("revision", "Revision to wait for.")]
    options: ClassVar[list] = [
        *COMMON_OPTIONS,
        option("timeout", "t", "Seconds to wait.", flag=False, default="10"),
    ]

    def run_with(self, client: FleetClient) -> int:
        """Wait; after the timeout, raise an error that lists the entries."""
        revision = parse_revision(self.argument("revision"))
        missing = wait_until_applied(
            client, revision, parse_seconds(self.option("timeout"))
        )
        if missing:
            raise NotAppliedError(
                f"revision {revision} is not in force on {missing}",
                step="wait",
            )
        self.show({"revision": revision}, [f"revision {revision} in force"])
        return ExitCode.OK
