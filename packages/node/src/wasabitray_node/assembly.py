"""What the assemblies of all roles share: the links and the tasks.

An assembly creates the controllers of a process and a task for each. Every
kind of process has a module of its own for its assembly, so that it loads only
the controllers that it runs.
"""

from __future__ import annotations

import os
import random
import secrets
import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from functools import singledispatch
from typing import Any, Protocol

import gevent

from wasabitray_core.controllers.addresses import AddressesController
from wasabitray_core.controllers.controller import Context, Controller
from wasabitray_core.controllers.dispatch import DispatchController
from wasabitray_core.controllers.quarantine import QuarantineController
from wasabitray_core.controllers.targets import TargetsController
from wasabitray_core.ids import (
    FailureDomainName,
    HostId,
    RegionName,
    Seconds,
)
from wasabitray_core.local_messages import ControllerName, SeedsChanged
from wasabitray_core.messages import Hello
from wasabitray_core.quotas.times import derive_times
from wasabitray_core.states import Topology
from wasabitray_node.fleet_directory import DirectoryController
from wasabitray_node.links import PeerLinks
from wasabitray_node.listeners import CallerListeners
from wasabitray_node.logs import flush_logs, log_error
from wasabitray_node.settings import Settings, split_address
from wasabitray_node.tasks import ControllerTask, Router, TaskOutbox

EXIT_TASK_FAILED = 3


class DiskFile(Protocol):
    """A file that makes what a controller persists durable."""

    def sync(self, items: list[Any]) -> None:
        """Write items and wait until they are on disk."""

    def close(self) -> None:
        """Close the file; nothing is written later."""


def monotonic() -> Seconds:
    """Return the time of the process's clock."""
    return Seconds(time.monotonic())


def boottime() -> Seconds:
    """Return the seconds since the host's boot.

    This clock runs on while the process or its host is suspended.
    """
    return Seconds(time.clock_gettime(time.CLOCK_BOOTTIME))


class Assembly(ABC):
    """The controllers of one process and the links between hosts."""

    def __init__(self, settings: Settings) -> None:
        """Create the controllers.

        Args:
            settings: the validated settings.
        """
        self._settings = settings
        self._host = HostId(settings.host)
        self._random = random.Random(secrets.randbits(64))
        # Milliseconds since 1970: counters of a restarted host continue above
        # those of its previous incarnation.
        self._first_counter = time.time_ns() // 1_000_000
        self._secret = settings.read_secret().unwrap_or("")
        self.router = Router(self._host)
        self.links = PeerLinks(
            self._build_hello(),
            settings.get_peer_seeds(),
            split_address(settings.listen.peers)[0],
        )
        self.router.connect_peers(self.links.send)
        self.listeners = CallerListeners()
        self._files: list[DiskFile] = []
        self._build_controllers()
        self._add(DirectoryController, self.links)

    @property
    def secret(self) -> str:
        """The shared secret, empty if none is set."""
        return self._secret

    @abstractmethod
    def _build_controllers(self) -> None:
        """Create the controllers that the role and the topology need."""

    def close_files(self) -> None:
        """Close the files of the data folder; nothing is written later."""
        for file in self._files:
            file.close()

    def update_seeds(self, settings: Settings) -> None:
        """Apply the hosts to contact first that the settings list."""
        seeds = settings.get_peer_seeds()
        for host, address in seeds.items():
            self.links.set_address(host, address)
        if settings.topology is Topology.HUBS:
            update = SeedsChanged(tuple(seeds))
            self.router.tell(ControllerName.MEMBERSHIP, update)

    def _build_hello(self) -> Hello:
        listen = self._settings.listen.peers
        advertised = self._settings.advertised_peers or listen
        return Hello(self._host, advertised, self._secret)

    def _add_addresses(self) -> None:
        address_settings = self._settings.addresses
        self._add(
            AddressesController,
            address_settings.limit,
            address_settings.ttl_s,
            address_settings.spread,
        )

    def _add_quotas(self, controller_class: Any, *args: Any) -> None:
        """Create the controller of quotas, if the settings have quotas."""
        quotas = self._settings.quotas
        if quotas is not None:
            self._add(
                controller_class,
                derive_times(quotas.window_s, quotas.excess),
                self._first_counter,
                *args,
                clock=boottime,
            )

    def _add_dispatch(self) -> None:
        settings = self._settings
        second = settings.second_attempts
        self._add(TargetsController, self._first_counter)
        self._add(
            DispatchController,
            RegionName(settings.region),
            settings.retries.to_limits(),
            settings.pauses,
            settings.startup_wait_s,
            settings.topology is Topology.HUBS,
            FailureDomainName(settings.failure_domain),
            *([second.to_limits()] if second else []),
        )
        self._add(QuarantineController)

    def _add(
        self,
        controller_class: Any,
        *args: Any,
        storage: DiskFile | None = None,
        clock: Callable[[], Seconds] = monotonic,
    ) -> Controller:
        """Create a controller and its task.

        Args:
            controller_class: the controller's class.
            args: its arguments after the context.
            storage: makes what it persists durable, if it persists.
            clock: the controller's clock.
        """
        outbox = TaskOutbox()
        context = Context(self._host, clock, self._random, outbox)
        controller = controller_class(context, *args)
        sync = None
        if storage is not None:
            self._files.append(storage)
            pool = gevent.get_hub().threadpool

            def sync(items: list[Any]) -> None:
                error = pool.apply(_try_sync, (storage, items))
                if error is not None:
                    handle_sync_error(storage, error)

        task = ControllerTask(controller, outbox, self.router, monotonic, sync)
        self.router.add(task)
        return controller


def _try_sync(storage: DiskFile, items: list[Any]) -> Exception | None:
    """Sync in a worker thread and return the error, if there is one.

    The thread pool would print an error that is raised there.
    """
    try:
        storage.sync(items)
    except Exception as error:
        return error
    return None


@singledispatch
def handle_sync_error(file: DiskFile, error: Exception) -> None:
    """Handle items that could not be made durable."""
    exit_immediately(error)


def exit_immediately(error: BaseException) -> None:
    """End the process after a task failed, such as on a disk error.

    A member that can't sync must no longer vote or acknowledge.
    """
    log_error("task failed", error)
    flush_logs()
    os._exit(EXIT_TASK_FAILED)
