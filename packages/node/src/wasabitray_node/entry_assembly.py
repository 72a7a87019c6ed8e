"""The assembly of an entry in a fleet with hubs."""

from __future__ import annotations

from wasabitray_core.access.lease import get_lease_s
from wasabitray_core.controllers.configuration import ConfigurationController
from wasabitray_core.controllers.lease import LeaseController
from wasabitray_core.controllers.subscriber import (
    EntryProfile,
    SubscriberController,
)
from wasabitray_core.ids import FailureDomainName, RegionName
from wasabitray_core.local_messages import ControllerName
from wasabitray_core.quotas.client import QuotaClientController
from wasabitray_node.assembly import Assembly, boottime
from wasabitray_node.listeners import ListenersController


class EntryAssembly(Assembly):
    """The controllers of an entry."""

    def _build_controllers(self) -> None:
        settings = self._settings
        profile = EntryProfile(
            RegionName(settings.region),
            FailureDomainName(settings.failure_domain),
            settings.listen.callers or "",
        )
        self._add(SubscriberController, profile, self._first_counter)
        self._add(
            ConfigurationController,
            (ControllerName.TARGETS, ControllerName.LISTENERS),
            0,
            settings.when_isolated,
            settings.startup_wait_s,
        )
        self._add_lease()
        self._add_dispatch()
        self._add_quotas(QuotaClientController, settings.startup_wait_s)
        self._add(ListenersController, self.listeners)
        if settings.listen.directory is not None:
            self._add_addresses()

    def _add_lease(self) -> None:
        revocation_s = self._settings.access.revocation_s
        if revocation_s is not None:
            self._add(
                LeaseController,
                boottime,
                get_lease_s(revocation_s),
                self._settings.startup_wait_s,
            )
