"""The assemblies of the hosts of a fleet without hubs."""

from __future__ import annotations

import secrets

from wasabitray_core.controllers.claims import ClaimsController
from wasabitray_core.controllers.configuration import ConfigurationController
from wasabitray_core.controllers.grants import GrantsController
from wasabitray_core.controllers.health import HealthController
from wasabitray_core.controllers.long_slots import LongSlotsController
from wasabitray_core.controllers.membership import MembershipController
from wasabitray_core.controllers.trials import TrialsController
from wasabitray_core.ids import Incarnation, RegionName
from wasabitray_core.local_messages import ControllerName
from wasabitray_core.states import HostFlag
from wasabitray_node.assembly import Assembly
from wasabitray_node.control_assembly import ControlAssembly
from wasabitray_node.listeners import ListenersController
from wasabitray_node.storage import Storage


class _Mesh(Assembly):
    """A host that hears of the others by gossip."""

    def _add_membership(
        self, flags: HostFlag, audience: tuple[ControllerName, ...]
    ) -> None:
        self._add(
            MembershipController,
            tuple(self._settings.get_peer_seeds()),
            flags,
            audience,
            self._first_counter,
        )


class MeshControlAssembly(ControlAssembly, _Mesh):
    """The controllers of a control host in a mesh, and its file."""

    def _build_controllers(self) -> None:
        self._add_membership(
            HostFlag.CONTROL,
            (ControllerName.CONFIGURATION, ControllerName.CONSENSUS),
        )
        self._add(ConfigurationController, (ControllerName.DIRECTORY,))
        self._add(TrialsController)
        storage = Storage(self._data_folder)
        self._add_consensus(storage, self._load_consensus(storage))


class MeshEntryAssembly(_Mesh):
    """The controllers of an entry in a mesh."""

    def _build_controllers(self) -> None:
        self._add_membership(
            HostFlag.NONE,
            (
                ControllerName.CONFIGURATION,
                ControllerName.ADDRESSES,
                ControllerName.HEALTH,
                ControllerName.LONG_SLOTS,
            ),
        )
        audience = (
            ControllerName.DIRECTORY,
            ControllerName.LISTENERS,
            ControllerName.ADDRESSES,
            ControllerName.TARGETS,
            ControllerName.HEALTH,
            ControllerName.CLAIMS,
            ControllerName.GRANTS,
        )
        self._add(ConfigurationController, audience)
        self._add_addresses()
        self._add_dispatch()
        self._add(HealthController, RegionName(self._settings.region))
        self._add(ClaimsController)
        self._add(GrantsController, Incarnation(secrets.token_hex(12)))
        self._add(LongSlotsController)
        self._add(ListenersController, self.listeners)
