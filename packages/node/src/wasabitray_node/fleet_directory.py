"""Keeps the addresses that peer links connect to up to date."""

from __future__ import annotations

from typing import Any, ClassVar

from wasabitray_core.controllers.controller import (
    Context,
    Controller,
    Origin,
)
from wasabitray_core.ids import HostId
from wasabitray_core.local_messages import (
    ConfigurationApplied,
    ControllerName,
    GetStatus,
    PeerAddresses,
)
from wasabitray_node.links import PeerLinks


class DirectoryController(Controller):
    """Gives the peer links the addresses of the other hosts.

    The addresses come from the fleet document and from `PeerAddresses`.
    """

    name: ClassVar[ControllerName] = ControllerName.DIRECTORY
    tick_interval_s = 60.0

    def __init__(self, context: Context, links: PeerLinks) -> None:
        """Initialise with the links to the other hosts."""
        super().__init__(context)
        self._links = links

    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message; those without addresses are ignored."""
        if isinstance(message, GetStatus):
            self._reply(origin, self._links.describe())
        if (
            isinstance(message, ConfigurationApplied)
            and message.fleet is not None
        ):
            for entry in message.fleet.entries:
                self._links.set_address(HostId(entry.host), entry.peer_address)
        if isinstance(message, PeerAddresses):
            for address in message.addresses:
                self._links.set_address(address.host, address.address)
