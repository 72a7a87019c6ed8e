"""Entry point of the command."""

from __future__ import annotations

from cleo.application import Application

from wasabitray_cli.commands import COMMANDS

VERSION = "0.1.0"


def build_application() -> Application:
    """Return the application with all subcommands."""
    application = Application("wasabitray", VERSION)
    for command in COMMANDS:
        application.add(command())
    return application


def main() -> int:
    """Run the command."""
    return build_application().run()
