"""Tasks that own a controller each and talk by messages."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any, cast

import gevent
from gevent.event import AsyncResult
from gevent.queue import Empty, SimpleQueue

from wasabitray_core import messages as m
from wasabitray_core.controllers.controller import (
    NO_ORIGIN,
    Controller,
    Origin,
    ReplyToken,
)
from wasabitray_core.ids import HostId, Seconds
from wasabitray_core.local_messages import ControllerName, Tick
from wasabitray_node.logs import log_error, log_event

ASK_TIMEOUT_S = 30.0

# Who takes a message of a peer. Gossip's items reach their controllers from
# the membership controller.
CONTROLLER_OF_MESSAGE: dict[type, ControllerName] = {
    m.Gossip: ControllerName.MEMBERSHIP,
    m.Presence: ControllerName.MEMBERSHIP,
    m.Unsubscribe: ControllerName.MEMBERSHIP,
    m.Feed: ControllerName.MEMBERSHIP,
    m.News: ControllerName.MEMBERSHIP,
    m.ConfigPull: ControllerName.CONFIGURATION,
    m.ConfigPush: ControllerName.CONFIGURATION,
    m.ConfigState: ControllerName.CONFIGURATION,
    m.VoteRequest: ControllerName.CONSENSUS,
    m.VoteReply: ControllerName.CONSENSUS,
    m.AppendRequest: ControllerName.CONSENSUS,
    m.AppendReply: ControllerName.CONSENSUS,
    m.InstallSnapshot: ControllerName.CONSENSUS,
    m.CampaignNow: ControllerName.CONSENSUS,
    m.JoinRequest: ControllerName.CONSENSUS,
    m.ClaimRequest: ControllerName.GRANTS,
    m.ClaimReply: ControllerName.CLAIMS,
    m.ClaimRelease: ControllerName.GRANTS,
    m.RecallRequest: ControllerName.GRANTS,
    m.RecallChallenge: ControllerName.GRANTS,
    m.RecallConfirm: ControllerName.GRANTS,
    m.RecallState: ControllerName.GRANTS,
    m.Evidence: ControllerName.HEALTH,
    m.LongSlotRequest: ControllerName.LONG_SLOTS,
    m.LongSlotReply: ControllerName.LONG_SLOTS,
    m.LongSlotRelease: ControllerName.LONG_SLOTS,
    m.LongOccupancy: ControllerName.DISPATCH,
    m.EntryWork: ControllerName.SHARED_WORK,
    m.OthersWork: ControllerName.DISPATCH,
}


@dataclass(frozen=True, slots=True)
class _ToPeer:
    host: HostId
    message: Any


@dataclass(frozen=True, slots=True)
class _ToController:
    controller: ControllerName
    message: Any


@dataclass(frozen=True, slots=True)
class _ToAsk:
    ask: ReplyToken
    value: Any


@dataclass(frozen=True, slots=True)
class _ToLog:
    event: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class _Item:
    message: Any
    origin: Origin


class TaskOutbox:
    """Holds what a controller sends until the batch is durable."""

    def __init__(self) -> None:
        """Start empty."""
        self.deliveries: list[Any] = []
        self.persists: list[Any] = []

    def send(self, host: HostId, message: Any) -> None:
        """Send a message to a peer."""
        self.deliveries.append(_ToPeer(host, message))

    def tell(self, controller: ControllerName, message: Any) -> None:
        """Put a message into another controller's mailbox."""
        self.deliveries.append(_ToController(controller, message))

    def reply(self, token: ReplyToken, value: Any) -> None:
        """Reply to a local ask."""
        self.deliveries.append(_ToAsk(token, value))

    def persist(self, item: Any) -> None:
        """Make an item durable before the batch's deliveries."""
        self.persists.append(item)

    def log_event(self, event: str, **fields: Any) -> None:
        """Log a change of state."""
        self.deliveries.append(_ToLog(event, fields))

    def take(self) -> tuple[list[Any], list[Any]]:
        """Return and forget the persists and the deliveries."""
        taken = self.persists, self.deliveries
        self.persists, self.deliveries = [], []
        return taken


class ControllerTask:
    """A greenlet that owns a controller and its mailbox.

    It takes all waiting messages as one batch: one sync for all that they
    persist, then the deliveries. Messages that come during a sync form the
    next batch.

    A message to an idle task is handled on the sender's turn instead of
    being queued, which saves two greenlet switches. Nothing else runs
    meanwhile, since a controller never waits. Where items are synced the
    task does wait, so all messages take the queue there.
    """

    def __init__(
        self,
        controller: Controller,
        outbox: TaskOutbox,
        router: Router,
        clock: Callable[[], Seconds],
        sync: Callable[[list[Any]], None] | None = None,
    ) -> None:
        """Take a controller and, if it persists, a way to sync items."""
        self._controller = controller
        # Each access to a dispatching method builds it anew; one will do.
        self._receive = controller.receive
        self._deliver = router.deliver
        self._outbox = outbox
        self._clock = clock
        self._sync = sync
        self._mailbox: SimpleQueue = SimpleQueue()
        self._running = False
        self._busy = False
        self._next_tick = 0.0

    @property
    def name(self) -> ControllerName:
        """The controller's name."""
        return self._controller.name

    def put(self, message: Any, origin: Origin) -> None:
        """Take a message: at once when idle, else in turn."""
        waits = self._sync is not None or not self._running
        if waits or self._busy or self._mailbox.qsize():
            self._mailbox.put(_Item(message, origin))
            return
        self._busy = True
        try:
            self._handle(message, origin)
            self._flush()
        finally:
            self._busy = False
        if self._clock() + self._controller.tick_interval_s < self._next_tick:
            self._mailbox.put(None)  # ticks are wanted sooner now

    def run(self) -> None:
        """Handle messages until the task is killed.

        The first tick is due at once: a host that starts has others to find.
        """
        self._next_tick = self._clock()
        self._running = True
        self._run_batch(None)
        while True:
            first = self._wait(max(0.0, self._next_tick - self._clock()))
            self._run_batch(first)

    def _run_batch(self, first: _Item | None) -> None:
        self._busy = True
        try:
            if first is not None:
                self._handle(first.message, first.origin)
            for _ in range(self._mailbox.qsize()):
                item = self._mailbox.get_nowait()
                if item is not None:
                    self._handle(item.message, item.origin)
            self._tick_if_due()
            self._flush()
        finally:
            self._busy = False

    def _tick_if_due(self) -> None:
        now = self._clock()
        if now >= self._next_tick:
            self._handle(Tick(), NO_ORIGIN)
            self._next_tick = now + self._controller.tick_interval_s
        else:
            soon = now + self._controller.tick_interval_s
            self._next_tick = min(self._next_tick, soon)

    def _wait(self, timeout: float) -> _Item | None:
        try:
            return self._mailbox.get(timeout=timeout)
        except Empty:
            return None

    def _handle(self, message: Any, origin: Origin) -> None:
        try:
            self._receive(message, origin)
        except Exception as error:  # one bad message must not end the task
            log_error("message failed", error, controller=self.name.value)

    def _flush(self) -> None:
        persists, deliveries = self._outbox.take()
        if persists and self._sync is not None:
            self._sync(persists)
        for delivery in deliveries:
            self._deliver(delivery)

    def __repr__(self) -> str:
        return f"<ControllerTask [{self.name.value}]>"


class Router:
    """Knows the tasks of this process and the way to peers."""

    def __init__(self, host: HostId) -> None:
        """Start without tasks."""
        self._host = host
        self._tasks: dict[ControllerName, ControllerTask] = {}
        self._send_to_peer: Callable[[HostId, Any], None] | None = None

    def add(self, task: ControllerTask) -> None:
        """Add a task."""
        self._tasks[task.name] = task

    def connect_peers(self, send: Callable[[HostId, Any], None]) -> None:
        """Set the way to peers."""
        self._send_to_peer = send

    def start(self) -> list[gevent.Greenlet]:
        """Start every task."""
        return [gevent.spawn(task.run) for task in self._tasks.values()]

    def tell(self, controller: ControllerName, message: Any) -> None:
        """Put a message into a controller's mailbox, if it runs here."""
        task = self._tasks.get(controller)
        if task is not None:
            task.put(message, NO_ORIGIN)

    def ask(
        self,
        controller: ControllerName,
        message: Any,
        timeout: float | None = ASK_TIMEOUT_S,
    ) -> Any:
        """Send a message and wait for its reply, for ever if None.

        Raises:
            gevent.Timeout: no reply came in time.
        """
        result = AsyncResult()
        origin = Origin(reply_token=ReplyToken(result))
        self._tasks[controller].put(message, origin)
        return result.get(timeout=timeout)

    def receive(self, peer: HostId, message: Any) -> None:
        """Put a peer's message into its controller's mailbox."""
        task = self._tasks.get(CONTROLLER_OF_MESSAGE[type(message)])
        if task is not None:
            task.put(message, Origin(peer=peer))

    def controllers(self) -> tuple[ControllerName, ...]:
        """Return the controllers that run here."""
        return tuple(self._tasks)

    @singledispatchmethod
    def deliver(self, delivery: Any) -> None:
        """Bring a controller's delivery to where it goes."""
        raise TypeError(f"can't deliver {delivery!r}")

    @deliver.register
    def _(self, delivery: _ToPeer) -> None:
        if delivery.host == self._host:
            self.receive(delivery.host, delivery.message)
        elif self._send_to_peer is not None:
            self._send_to_peer(delivery.host, delivery.message)

    @deliver.register
    def _(self, delivery: _ToController) -> None:
        self.tell(delivery.controller, delivery.message)

    @deliver.register
    def _(self, delivery: _ToAsk) -> None:
        # An ask of this process is the AsyncResult that waits for it.
        cast(AsyncResult, delivery.ask).set(delivery.value)

    @deliver.register
    def _(self, delivery: _ToLog) -> None:
        log_event(delivery.event, **delivery.fields)

    def __repr__(self) -> str:
        return f"<Router [{len(self._tasks)} tasks]>"
