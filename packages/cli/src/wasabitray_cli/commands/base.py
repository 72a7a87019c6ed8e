"""Base classes and helpers of the subcommands."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any, ClassVar

from cleo.commands.command import Command
from cleo.helpers import option

from wasabitray_cli.client import FleetClient
from wasabitray_cli.errors import CommandError, InputError
from wasabitray_cli.folder import Documents
from wasabitray_cli.settings import DEFAULT_FILE, load_client_settings

COMMON_OPTIONS = [
    option(
        "fleet",
        "f",
        "Settings file with the addresses of the fleet.",
        flag=False,
        default=DEFAULT_FILE,
    ),
    option("json", None, "Print JSON instead of text."),
]


class OutputCommand(Command):
    """A subcommand that prints text or JSON."""

    def handle(self) -> int:
        """Run and turn errors into exit codes."""
        try:
            return self.run_checked()
        except CommandError as error:
            self.line_error(f"<error>{escape_markup(str(error))}</error>")
            return error.exit_code

    def run_checked(self) -> int:
        """Run the subcommand.

        Raises:
            CommandError: it failed.
        """
        raise NotImplementedError

    def show(self, document: Any, lines: list[str]) -> None:
        """Print a document as JSON or as text."""
        if self.option("json"):
            self.line(escape_markup(json.dumps(document, indent=2)))
        else:
            for line in lines:
                self.line(escape_markup(line))

    def show_table(
        self, document: Any, headers: list[str], rows: list[list[str]]
    ) -> None:
        """Print a document as JSON or as a table."""
        if self.option("json"):
            self.show(document, [])
        else:
            self.render_table(
                headers, [[*map(escape_markup, r)] for r in rows]
            )


class FleetCommand(OutputCommand):
    """A subcommand that talks to the fleet."""

    options: ClassVar[list] = COMMON_OPTIONS

    def run_checked(self) -> int:
        """Read the settings and run with a client."""
        settings = load_client_settings(Path(self.option("fleet")))
        return self.run_with(FleetClient(settings))

    def run_with(self, client: FleetClient) -> int:
        """Run the subcommand with a client."""
        raise NotImplementedError


def escape_markup(text: str) -> str:
    """Return text with its markup characters escaped."""
    return text.replace("<", "\\<")


def get_current_documents(client: FleetClient) -> tuple[int, Documents]:
    """Return the newest revision and its documents."""
    state = client.get_newest_documents()
    return state["revision"], state["documents"]


def parse_seconds(value: str) -> float:
    """Parse a number of seconds from an option."""
    try:
        return float(value)
    except ValueError:
        raise InputError(
            f"{value!r} is not a number", step="read --timeout"
        ) from None


def parse_revision(value: str) -> int:
    """Parse a revision or another number that is not negative."""
    if not value.isdigit():
        raise InputError(f"{value!r} is not a revision", step="read revision")
    return int(value)
