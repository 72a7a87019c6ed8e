"""Tasks that each own a controller and communicate by messages."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import singledispatchmethod
from typing import Any, cast

import gevent
from gevent.event import AsyncResult
from gevent.queue import Empty, SimpleQueue
from msgspec import Struct

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

# The controller that handles each kind of peer message. The membership
# controller forwards the items of gossip to their controllers.
CONTROLLER_OF_MESSAGE: dict[type, ControllerName] = {
    m.Gossip: ControllerName.MEMBERSHIP,
    m.Presence: ControllerName.MEMBERSHIP,
    m.Unsubscribe: ControllerName.MEMBERSHIP,
    m.Feed: ControllerName.MEMBERSHIP,
    m.News: ControllerName.MEMBERSHIP,
    m.ConfigPull: ControllerName.CONFIGURATION,
    m.ConfigPush: ControllerName.CONFIGURATION,
    m.ConfigDelta: ControllerName.CONFIGURATION,
    m.ConfigState: ControllerName.CONFIGURATION,
    m.VoteRequest: ControllerName.CONSENSUS,
    m.VoteReply: ControllerName.CONSENSUS,
    m.AppendRequest: ControllerName.CONSENSUS,
    m.AppendReply: ControllerName.CONSENSUS,
    m.InstallSnapshot: ControllerName.CONSENSUS,
    m.CampaignNow: ControllerName.CONSENSUS,
    m.JoinRequest: ControllerName.CONSENSUS,
    m.LeaveRequest: ControllerName.CONSENSUS,
    m.LeaveReply: ControllerName.CONSENSUS,
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
    m.TrialRequest: ControllerName.TRIALS,
    m.TrialReply: ControllerName.QUARANTINE,
    m.LeaseRequest: ControllerName.LEASE,
    m.LeaseReply: ControllerName.LEASE,
    m.RevisionQuery: ControllerName.CONSENSUS,
    m.RevisionAnswer: ControllerName.LEASE,
    m.QuotaRequest: ControllerName.QUOTAS,
    m.QuotaReply: ControllerName.QUOTAS,
    m.BorrowRequest: ControllerName.QUOTAS,
    m.BorrowReply: ControllerName.QUOTAS,
}


class _PeerDelivery(Struct, frozen=True):
    host: HostId
    message: Any


class _ControllerDelivery(Struct, frozen=True):
    controller: ControllerName
    messages: list[Any]


class _ReplyDelivery(Struct, frozen=True):
    token: ReplyToken
    value: Any


class _LogDelivery(Struct, frozen=True):
    event: str
    fields: dict[str, Any]


class _Envelope(Struct, frozen=True):
    message: Any
    origin: Origin


class TaskOutbox:
    """Holds what a controller sends until its batch is durable."""

    def __init__(self) -> None:
        """Create an empty outbox."""
        self.deliveries: list[Any] = []
        self.items_to_persist: list[Any] = []

    def send(self, host: HostId, message: Any) -> None:
        """Send a message to a peer."""
        self.deliveries.append(_PeerDelivery(host, message))

    def tell(self, controller: ControllerName, message: Any) -> None:
        """Put a message into another controller's mailbox.

        Those that follow each other, such as the items of a feed, are
        delivered together.
        """
        last = self.deliveries[-1] if self.deliveries else None
        if (
            isinstance(last, _ControllerDelivery)
            and last.controller is controller
        ):
            last.messages.append(message)
        else:
            self.deliveries.append(_ControllerDelivery(controller, [message]))

    def reply(self, token: ReplyToken, value: Any) -> None:
        """Reply to a local ask."""
        self.deliveries.append(_ReplyDelivery(token, value))

    def persist(self, item: Any) -> None:
        """Make an item durable before the batch's deliveries."""
        self.items_to_persist.append(item)

    def log_event(self, event: str, **fields: Any) -> None:
        """Log a change of state."""
        self.deliveries.append(_LogDelivery(event, fields))

    def drain(self) -> tuple[list[Any], list[Any]]:
        """Remove and return the items to persist and the deliveries."""
        drained = self.items_to_persist, self.deliveries
        self.items_to_persist, self.deliveries = [], []
        return drained


class ControllerTask:
    """A greenlet that owns a controller and its mailbox.

    It handles all waiting messages as one batch: one sync for all items that
    they persist, then the deliveries. Messages that arrive during a sync form
    the next batch.

    A message to an idle task is handled in the sender's greenlet instead of
    being queued, which saves two greenlet switches. Nothing else runs in the
    meantime, since a controller never blocks. A task that syncs items does
    block, so there every message is queued.
    """

    def __init__(
        self,
        controller: Controller,
        outbox: TaskOutbox,
        router: Router,
        clock: Callable[[], Seconds],
        sync: Callable[[list[Any]], None] | None = None,
    ) -> None:
        """Create the task; `run` starts it.

        Args:
            controller: the controller that the task owns.
            outbox: the controller's outbox.
            router: delivers what the controller sends.
            clock: returns monotonic seconds.
            sync: makes items durable; None if the controller has none.
        """
        self._controller = controller
        # Each access to a singledispatch method creates a new object, so
        # these two methods are looked up once.
        self._receive = controller.receive
        self._deliver = router.deliver
        self._outbox = outbox
        self._clock = clock
        self._sync = sync
        self._mailbox: SimpleQueue = SimpleQueue()
        self._is_running = False
        self._is_handling = False
        self._next_tick = 0.0

    @property
    def name(self) -> ControllerName:
        """The controller's name."""
        return self._controller.name

    def put(self, message: Any, origin: Origin) -> None:
        """Handle a message immediately if the task is idle, else queue it."""
        self.put_all((message,), origin)

    def put_all(self, messages: Sequence[Any], origin: Origin) -> None:
        """Handle several messages as one batch, or queue them."""
        must_queue = self._sync is not None or not self._is_running
        if must_queue or self._is_handling or self._mailbox.qsize():
            for message in messages:
                self._mailbox.put(_Envelope(message, origin))
            return
        self._is_handling = True
        try:
            for message in messages:
                self._handle(message, origin)
            self._flush()
        finally:
            self._is_handling = False
        if self._clock() + self._controller.tick_interval_s < self._next_tick:
            self._mailbox.put(None)  # wakes the task for an earlier tick

    def run(self) -> None:
        """Handle messages until the task is killed.

        The first tick is due immediately: a host that starts has to find the
        other hosts.
        """
        self._next_tick = self._clock()
        self._is_running = True
        self._run_batch(None)
        while True:
            first = self._wait(max(0.0, self._next_tick - self._clock()))
            self._run_batch(first)

    def _run_batch(self, first: _Envelope | None) -> None:
        self._is_handling = True
        try:
            if first is not None:
                self._handle(first.message, first.origin)
            for _ in range(self._mailbox.qsize()):
                envelope = self._mailbox.get_nowait()
                if envelope is not None:
                    self._handle(envelope.message, envelope.origin)
            self._tick_if_due()
            self._flush()
        finally:
            self._is_handling = False

    def _tick_if_due(self) -> None:
        now = self._clock()
        if now >= self._next_tick:
            self._handle(Tick(), NO_ORIGIN)
            self._next_tick = now + self._controller.tick_interval_s
        else:
            next_tick = now + self._controller.tick_interval_s
            self._next_tick = min(self._next_tick, next_tick)

    def _wait(self, timeout: float) -> _Envelope | None:
        try:
            return self._mailbox.get(timeout=timeout)
        except Empty:
            return None

    def _handle(self, message: Any, origin: Origin) -> None:
        try:
            self._receive(message, origin)
        except Exception as error:  # a faulty message must not end the task
            log_error("message failed", error, controller=self.name.value)

    def _flush(self) -> None:
        items_to_persist, deliveries = self._outbox.drain()
        if items_to_persist and self._sync is not None:
            self._sync(items_to_persist)
        for delivery in deliveries:
            self._deliver(delivery)

    def __repr__(self) -> str:
        return f"<ControllerTask [{self.name.value}]>"


class Router:
    """Routes messages to the tasks of this process and to peers."""

    def __init__(self, host: HostId) -> None:
        """Create a router without tasks for this host."""
        self._host = host
        self._tasks: dict[ControllerName, ControllerTask] = {}
        self._send_to_peer: Callable[[HostId, Any], None] | None = None

    def add(self, task: ControllerTask) -> None:
        """Add a task."""
        self._tasks[task.name] = task

    def connect_peers(self, send: Callable[[HostId, Any], None]) -> None:
        """Set the function that sends a message to a peer."""
        self._send_to_peer = send

    def start(self) -> list[gevent.Greenlet]:
        """Start every task."""
        return [gevent.spawn(task.run) for task in self._tasks.values()]

    def tell(self, controller: ControllerName, message: Any) -> None:
        """Send a message to a controller, if it runs in this process."""
        task = self._tasks.get(controller)
        if task is not None:
            task.put(message, NO_ORIGIN)

    def ask(
        self,
        controller: ControllerName,
        message: Any,
        timeout: float | None = ASK_TIMEOUT_S,
    ) -> Any:
        """Send a message to a controller and wait for its reply.

        Args:
            controller: a controller that runs in this process.
            message: the message.
            timeout: seconds to wait; None to wait indefinitely.

        Raises:
            gevent.Timeout: no reply came in time.
        """
        result = AsyncResult()
        origin = Origin(reply_token=ReplyToken(result))
        self._tasks[controller].put(message, origin)
        return result.get(timeout=timeout)

    def receive(self, peer: HostId, message: Any) -> None:
        """Send a peer's message to the controller that handles its kind."""
        task = self._tasks.get(CONTROLLER_OF_MESSAGE[type(message)])
        if task is not None:
            task.put(message, Origin(peer=peer))

    def get_controllers(self) -> tuple[ControllerName, ...]:
        """Return the names of the controllers that run in this process."""
        return tuple(self._tasks)

    @singledispatchmethod
    def deliver(self, delivery: Any) -> None:
        """Deliver what a controller put into its outbox."""
        raise TypeError(f"unsupported delivery: {delivery!r}")

    @deliver.register
    def _(self, delivery: _PeerDelivery) -> None:
        if delivery.host == self._host:
            self.receive(delivery.host, delivery.message)
        elif self._send_to_peer is not None:
            self._send_to_peer(delivery.host, delivery.message)

    @deliver.register
    def _(self, delivery: _ControllerDelivery) -> None:
        task = self._tasks.get(delivery.controller)
        if task is not None:
            task.put_all(delivery.messages, NO_ORIGIN)

    @deliver.register
    def _(self, delivery: _ReplyDelivery) -> None:
        # In this process a reply token is the AsyncResult that `ask` awaits.
        cast(AsyncResult, delivery.token).set(delivery.value)

    @deliver.register
    def _(self, delivery: _LogDelivery) -> None:
        log_event(delivery.event, **delivery.fields)

    def __repr__(self) -> str:
        return f"<Router [{len(self._tasks)} tasks]>"
