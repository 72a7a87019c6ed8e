"""The interfaces of a process for callers, targets and operators."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from wasabitray_core.states import Role
from wasabitray_node.announcements import build_targets_app
from wasabitray_node.dialects import (
    CallerDialect,
    NativeCallerDialect,
    NativeTargetDialect,
    TargetDialect,
)
from wasabitray_node.http import NoDelayServer, build_server
from wasabitray_node.settings import Settings
from wasabitray_node.tasks import Router


class ServerParts(Struct, frozen=True):
    """The parts that the listeners of an interface are built from.

    Attributes:
        is_ready: returns whether callers may be sent to an entry.
    """

    settings: Settings
    router: Router
    is_ready: Callable[[], bool]


class Interfaces(Struct, frozen=True):
    """The dialects of a process and its additional listeners.

    Attributes:
        callers: the dialect for callers.
        targets: the dialect for targets.
        build_servers: builds the listeners for targets, addresses and so on.
    """

    callers: CallerDialect
    targets: TargetDialect
    build_servers: Callable[[ServerParts], list[NoDelayServer]]


def native_interfaces(settings: Settings) -> Interfaces:
    """Return the project's native interfaces."""
    return Interfaces(
        NativeCallerDialect(settings.host),
        NativeTargetDialect(),
        _build_native_servers,
    )


def _build_native_servers(parts: ServerParts) -> list[NoDelayServer]:
    address = parts.settings.listen.targets
    if parts.settings.role is not Role.ENTRY or address is None:
        return []
    return [build_server(address, build_targets_app(parts.router))]
