"""The command `wasabitrayd`, which runs one process of the fleet."""

import gc

# Nearly all objects of a start stay alive. The app enables the collector.
gc.disable()

import signal

# A signal to reload ends a process that has no handler for it yet. The
# settings are read after this, so nothing is missed.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import os

# Plugins of these libraries are not used. To find some, they would open the
# metadata of each installed package, half of all system calls of a start.
os.environ["PYDANTIC_DISABLE_PLUGINS"] = "__all__"

import gevent
import gevent.events

gevent.events.notify_and_call_entry_points = gevent.events.notify
gevent.config.libev_backend = "epoll"

from gevent import monkey

monkey.patch_all()

import argparse
import sys
from pathlib import Path

from result import Err

from wasabitray_node.app import App
from wasabitray_node.logs import configure_logs
from wasabitray_node.reload import SettingsWatch
from wasabitray_node.settings import Settings, load_settings

EXIT_BAD_SETTINGS = 2


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="wasabitrayd",
        description="Runs one host of the fleet in the role of its settings.",
        epilog="Exit codes: 0 after a graceful stop, 2 for invalid settings, "
        "3 when a task failed, such as on a disk error.",
    )
    parser.add_argument(
        "--settings", type=Path, required=True, help="settings file in TOML"
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    parser.add_argument(
        "--initialise",
        action="store_true",
        help="only for the first start of a founding control host",
    )
    return parser.parse_args()


def run_until_stopped(app: App, path: Path, settings: Settings) -> None:
    """Run a process; handle signals and watch its settings file."""
    watch = SettingsWatch(path, settings, app.reload)
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, app.stop)
    gevent.signal_handler(signal.SIGHUP, watch.reload)
    watch.start()
    app.run()


def main() -> int:
    """Run until SIGTERM or SIGINT and stop gracefully."""
    arguments = _parse_arguments()
    loaded = load_settings(arguments.settings)
    if isinstance(loaded, Err):
        print("\n".join(loaded.err_value), file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if arguments.check:
        print(f"{arguments.settings}: valid")
        return 0
    settings = loaded.ok_value
    configure_logs(settings.host)
    run_until_stopped(
        App(settings, arguments.initialise), arguments.settings, settings
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
