"""Reloading the settings while the process runs."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent
from gevent.event import Event
from result import Err

from wasabitray_node.logs import log_event
from wasabitray_node.settings import Settings, load_settings

# The file can change without a signal; it is small and cheap to read.
POLL_INTERVAL_S = 1.0


class SettingsWatch:
    """A task that applies changes of the settings file.

    An invalid file is rejected as a whole, and the current settings are kept.
    """

    def __init__(
        self,
        path: Path,
        settings: Settings,
        apply: Callable[[Settings], None],
    ) -> None:
        """Create the watch; `start` starts its task.

        Args:
            path: the settings file.
            settings: the settings that were read from it.
            apply: called with changed settings.
        """
        self._path = path
        self._settings = settings
        self._apply = apply
        self._text = self._read()
        self._reload_requested = Event()

    def reload(self) -> None:
        """Request a reload (called by a signal handler)."""
        self._reload_requested.set()

    def run(self) -> None:
        """Check for changes until the task is killed."""
        while True:
            is_requested = self._reload_requested.wait(POLL_INTERVAL_S)
            self._reload_requested.clear()
            text = self._read()
            if is_requested or text != self._text:
                self._text = text
                self._load()

    def _read(self) -> str:
        try:
            return self._path.read_text()
        except (OSError, UnicodeDecodeError) as error:
            log_event("settings unreadable", reason=str(error))
            return ""

    def _load(self) -> None:
        loaded = load_settings(self._path)
        if isinstance(loaded, Err):
            log_event("settings refused", faults=loaded.err_value)
            return
        settings = loaded.ok_value
        changed = _changed_keys(self._settings, settings)
        self._settings = settings
        log_event("settings reloaded", changed=changed)
        if changed:
            self._apply(settings)

    def start(self) -> gevent.Greenlet:
        """Start the task."""
        return gevent.spawn(self.run)


def _changed_keys(old: Settings, new: Settings) -> list[str]:
    before: dict[str, Any] = old.model_dump()
    after: dict[str, Any] = new.model_dump()
    return sorted(k for k in after if before[k] != after[k])
