"""Applies the configuration's limits to the listeners for callers."""

from __future__ import annotations

from typing import Any, ClassVar

from wasabitray_core.controllers.controller import (
    Context,
    Controller,
    Origin,
)
from wasabitray_core.local_messages import (
    ConfigurationApplied,
    ControllerName,
    GetStatus,
)
from wasabitray_core.route_table import TrafficLimits
from wasabitray_node.http import (
    DEFAULT_IDLE_TIMEOUT_S,
    MAX_HEAD_BYTES,
    MAX_HEAD_LINES,
    MIN_LINE_BYTES,
    NoDelayServer,
)


class CallerListeners:
    """The listeners for callers."""

    def __init__(self) -> None:
        """Start without listeners."""
        self._servers: list[NoDelayServer] = []

    def add(self, server: NoDelayServer) -> None:
        """Add a listener; its own limits apply at first."""
        self._servers.append(server)

    def apply_limits(self, limits: TrafficLimits) -> None:
        """Accept what the limits let callers do.

        The listeners' own limits protect the process and remain the lowest.
        """
        timeout_ms = max(limits.idle_timeout_ms, limits.header_timeout_ms)
        for server in self._servers:
            server.idle_timeout_s = max(
                DEFAULT_IDLE_TIMEOUT_S, timeout_ms / 1_000
            )
            server.max_head_bytes = max(
                MAX_HEAD_BYTES, limits.max_header_bytes
            )
            server.max_head_lines = max(
                MAX_HEAD_LINES, limits.max_header_bytes // MIN_LINE_BYTES
            )


class ListenersController(Controller):
    """Gives the listeners the limits of each configuration."""

    name: ClassVar[ControllerName] = ControllerName.LISTENERS
    tick_interval_s = 60.0

    def __init__(self, context: Context, listeners: CallerListeners) -> None:
        """Initialise with the listeners."""
        super().__init__(context)
        self._listeners = listeners
        self._limits = TrafficLimits()

    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message; those without limits are ignored."""
        if isinstance(message, GetStatus):
            self._reply(origin, self._limits.model_dump())
        if isinstance(message, ConfigurationApplied):
            self._limits = message.limits or TrafficLimits()
            self._listeners.apply_limits(self._limits)
