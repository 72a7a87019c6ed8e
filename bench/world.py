"""Simulates entries and targets in one process, on a simulated clock.

The entries run the real filter chain and controllers of the core; targets,
network and callers are small fakes. One queue of events drives them all.
"""

from __future__ import annotations

import itertools
import math
import random
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from support.clock import Clock

from wasabitray_core.controllers.claims import ClaimsController
from wasabitray_core.controllers.controller import Context, Origin, ReplyToken
from wasabitray_core.controllers.dispatch import (
    DRAIN_INTERVAL_S,
    DispatchController,
)
from wasabitray_core.controllers.grants import GrantsController
from wasabitray_core.controllers.health import HealthController
from wasabitray_core.controllers.long_slots import LongSlotsController
from wasabitray_core.controllers.quarantine import QuarantineController
from wasabitray_core.controllers.targets import TargetsController
from wasabitray_core.documents import (
    EntryHost,
    Fleet,
    RenderedTemplate,
    Route,
    ServicePolicy,
)
from wasabitray_core.filters import build_chain
from wasabitray_core.filters.chain import (
    AfterResponse,
    AskController,
    Attempt,
    Effect,
    LogDecision,
    TellController,
)
from wasabitray_core.ids import ClaimId, HostId, Revision, Seconds, TargetId
from wasabitray_core.local_messages import (
    Broadcast,
    ConfigurationApplied,
    ControllerName,
    FleetView,
    HostView,
    RouteResolved,
    ServiceLimits,
    Tick,
)
from wasabitray_core.messages import Announcement
from wasabitray_core.requests import (
    AttemptResult,
    Exchange,
    LoadReport,
    Request,
    Response,
    Target,
)
from wasabitray_core.states import (
    AttemptStatus,
    HostFlag,
    TargetPhase,
    WorkClass,
)
from wasabitray_node.tasks import CONTROLLER_OF_MESSAGE

REGIONS = ("south", "north", "northwest")
SERVICE = "rota"
SAME_REGION_LATENCY_S, OTHER_REGION_LATENCY_S = 0.001, 0.030
GOSSIP_INTERVAL_S = 0.5
LEASE_S = 3_600.0
MAX_QUEUED_REQUESTS = 4
SHORT_WORK_S = 0.060
LONG_WORK_FACTOR = 50
WORK_TIME_DEVIATION = 0.3
# The simulated time begins later than the start of any process.
START = Seconds(10_000.0)


@dataclass
class FakeTarget:
    """A simulated target with a few slots and a short queue.

    Attributes:
        fail_share: share of the requests that fail.
        slow_factor: factor by which the work takes longer than normal.
        flap_s: seconds after which it changes between these values and
            normal behaviour, again and again; 0 if it does not.
        busy: number of slots in use.
        waiting: queued requests, each with its work class and callback.
    """

    clock: Clock
    random: random.Random
    target: Target
    fail_share: float = 0.01
    slow_factor: float = 1.0
    flap_s: float = 0.0
    fault: tuple[float, float] = (0.01, 1.0)
    busy: int = 0
    waiting: list[tuple] = field(default_factory=list)

    def receive_request(self, work: WorkClass, done: Callable) -> None:
        """Run, queue or shed a request; `done` is called with the result."""
        if self.busy < self.target.slots:
            self.start(work, done)
        elif len(self.waiting) < MAX_QUEUED_REQUESTS:
            self.waiting.append((work, done))
        else:
            done(AttemptStatus.SHED, self.busy)

    def start(self, work: WorkClass, done: Callable) -> None:
        """Run a request in a slot."""
        self.busy += 1
        median = SHORT_WORK_S * (
            LONG_WORK_FACTOR if work is WorkClass.LONG else 1
        )
        work_s = median * math.exp(self.random.gauss(0.0, WORK_TIME_DEVIATION))
        self.clock.call_later(
            work_s * self.get_condition()[1], self.finish, done
        )

    def get_condition(self) -> tuple[float, float]:
        """Return the share of failures and the slow factor at this time."""
        if self.flap_s and int(self.clock.now / self.flap_s) % 2:
            return 0.01, 1.0
        return self.fail_share, self.slow_factor

    def finish(self, done: Callable) -> None:
        """Finish a request and start the next one that waits."""
        self.busy -= 1
        is_failed = self.random.random() < self.get_condition()[0]
        busy = self.busy
        if self.waiting:
            self.start(*self.waiting.pop(0))
        done(
            AttemptStatus.FAILED if is_failed else AttemptStatus.ANSWERED, busy
        )


class BenchOutbox:
    """Delivers a controller's messages within the simulation."""

    def __init__(self, entry: Entry) -> None:
        """Create the outbox of an entry's controllers."""
        self._entry = entry

    def send(self, host: HostId, message: Any) -> None:
        """Deliver a message to a peer after the link's latency."""
        self._entry.world.send_to_peer(self._entry, host, message)

    def tell(self, controller: ControllerName, message: Any) -> None:
        """Tell a controller of this entry, or broadcast an update."""
        self._entry.tell(controller, message)

    def reply(self, token: ReplyToken, value: Any) -> None:
        """Resume the request that asked."""
        self._entry.world.clock.call_later(0.0, token, value)

    def persist(self, item: Any) -> None:
        """Ignore the item: nothing is stored in the simulation."""

    def log_event(self, event: str, **fields: Any) -> None:
        """Record the event for the measurement."""
        now = self._entry.world.clock.now
        self._entry.world.events.append((now, self._entry.host, event, fields))


class Entry:
    """An entry: the core's filter chain and controllers on one host."""

    def __init__(self, world: World, number: int) -> None:
        """Build the controllers."""
        self.world = world
        self.host = HostId(f"e{number}")
        self.region = REGIONS[number % len(REGIONS)]
        context = Context(
            self.host, world.clock, world.random, BenchOutbox(self)
        )
        first_version = 1
        self.controllers = {
            c.name: c
            for c in (
                TargetsController(context, first_version),
                DispatchController(context, self.region),
                HealthController(context, self.region),
                QuarantineController(context),
                ClaimsController(context),
                GrantsController(context, f"{self.host}-run"),
                LongSlotsController(context),
            )
        }
        self.chain = build_chain(world.clock, self.new_claim)
        self.claims = itertools.count()

    def start(self) -> None:
        """Start each controller's ticks at a random time within 1 s."""
        for controller in self.controllers.values():
            self.world.clock.call_later(
                self.world.random.random(), self.tick, controller
            )

    def new_claim(self) -> ClaimId:
        """Return a new claim id."""
        return ClaimId(f"{self.host}/{next(self.claims)}")

    def tick(self, controller: Any) -> None:
        """Tick a controller at its own interval."""
        controller.receive(Tick(), Origin())
        interval = controller.tick_interval_s
        if controller.name is ControllerName.DISPATCH:
            interval = DRAIN_INTERVAL_S  # its interval changes between ticks
        self.world.clock.call_later(interval, self.tick, controller)

    def tell(self, name: ControllerName, message: Any) -> None:
        """Deliver a local message, or broadcast its update by gossip."""
        if isinstance(message, Broadcast):
            self.world.broadcast(self, message.item)
        elif name in self.controllers:
            self.world.clock.call_later(
                0.0, self.controllers[name].receive, message, Origin()
            )

    def submit(self, exchange: Exchange, done: Callable) -> None:
        """Run an exchange through the chain."""
        effects = self.chain.run(exchange)
        self.run_effects(effects, None, exchange, done)

    def run_effects(
        self, effects: Any, result: Any, exchange: Exchange, done: Callable
    ) -> None:
        """Run the chain's effects until one has to be waited for."""
        while True:
            try:
                effect: Effect = effects.send(result)
            except StopIteration as stop:
                done(stop.value)
                return
            result = None

            def resume(value: Any = None) -> None:
                self.run_effects(effects, value, exchange, done)

            if isinstance(effect, AskController):
                if effect.controller is ControllerName.CONFIGURATION:
                    result = self.world.resolve(exchange)
                    continue
                controller = self.controllers[effect.controller]
                controller.receive(effect.message, Origin(reply_token=resume))
                return
            if isinstance(effect, TellController | AfterResponse):
                tell = (
                    effect.tell
                    if isinstance(effect, AfterResponse)
                    else effect
                )
                self.tell(tell.controller, tell.message)
                continue
            if isinstance(effect, LogDecision):
                continue  # only logged
            assert isinstance(effect, Attempt)
            self.world.attempt(self, effect, exchange, resume)
            return


class World:
    """All entries, targets and the network between them."""

    def __init__(
        self,
        seed: int,
        entries: int = 36,
        targets: int = 12,
        slots: int = 2,
        floor: int = 8,
        build: Callable = Entry,
    ) -> None:
        """Create a fleet in which every entry knows all targets as healthy."""
        self.clock = Clock(START)
        self.random = random.Random(seed)
        self.events: list[tuple] = []
        self.policy = ServicePolicy(floor=floor, retry_share=0.1)
        self.routes = {
            work: Route(
                path="/",
                service=SERVICE,
                work=work,
                deadline_ms=2_000 if work is WorkClass.SHORT else 60_000,
            )
            for work in WorkClass
        }
        self.targets = {
            t.target.target: t
            for t in (self._make_target(n, slots) for n in range(targets))
        }
        self.entries = {
            e.host: e for e in (build(self, n) for n in range(entries))
        }
        # Members of the claim group have run for longer than the retention.
        self.clock.now += 601.0
        self._set_up_entries(floor)

    def _make_target(self, number: int, slots: int) -> FakeTarget:
        region = REGIONS[number % len(REGIONS)]
        name = TargetId(f"127.0.0.{number + 1}:9000")
        target = Target(name, SERVICE, region, f"{region}-a", slots)
        return FakeTarget(self.clock, self.random, target)

    def _set_up_entries(self, floor: int) -> None:
        hosts = list(self.entries)
        fleet = Fleet(
            entries=tuple(
                EntryHost(
                    host=host,
                    region=entry.region,
                    failure_domain="d",
                    peer_address="-",
                    caller_address="-",
                )
                for host, entry in self.entries.items()
            ),
            claim_groups=(tuple(hosts[:5]),),
            claim_retention_s=600.0,
        )
        views = tuple(
            HostView(h, Revision(1), HostFlag.SERVING, True) for h in hosts
        )
        for entry in self.entries.values():
            if not hasattr(entry, "controllers"):
                continue
            for controller in entry.controllers.values():
                name = controller.name
                if name in (ControllerName.CLAIMS, ControllerName.GRANTS):
                    entry.tell(name, ConfigurationApplied(Revision(1), fleet))
                if name is ControllerName.TARGETS:
                    entry.tell(name, ServiceLimits({SERVICE: floor}))
                if name is ControllerName.HEALTH:
                    entry.tell(name, ServiceLimits({SERVICE: floor}))
                if name in (ControllerName.HEALTH, ControllerName.LONG_SLOTS):
                    entry.tell(name, FleetView(views))
            for target in self.targets.values():
                entry.tell(ControllerName.TARGETS, _announce(target.target))
            entry.start()
        self.clock.run_until(self.clock.now + 10.0)

    # Network

    def get_latency(self, one: str, other: str) -> float:
        """Return the one-way latency between two regions in seconds."""
        return (
            SAME_REGION_LATENCY_S if one == other else OTHER_REGION_LATENCY_S
        )

    def send_to_peer(self, sender: Entry, host: HostId, message: Any) -> None:
        """Deliver a message to a peer after the latency between regions."""
        entry = self.entries[host]
        name = CONTROLLER_OF_MESSAGE[type(message)]
        controller = entry.controllers[name]
        delay = self.get_latency(sender.region, entry.region)
        origin = Origin(peer=sender.host)
        self.clock.call_later(delay, controller.receive, message, origin)

    def broadcast(self, sender: Entry, update: Any) -> None:
        """Deliver an update to the other entries, as some gossip rounds do.

        Only the first broadcast of an update is delivered, since entries
        ignore an update that they know already.
        """
        key = (type(update), repr(update))
        if key in self._broadcast_keys:
            return
        self._broadcast_keys.add(key)
        for entry in self.entries.values():
            if entry is not sender:
                delay = self.random.uniform(0.0, 2 * GOSSIP_INTERVAL_S)
                self.clock.call_later(
                    delay, entry.tell, _get_controller(update), update
                )

    @property
    def _broadcast_keys(self) -> set:
        return self.__dict__.setdefault("_delivered_broadcasts", set())

    def resolve(self, exchange: Exchange) -> RouteResolved:
        """Return the route for the work class of an exchange."""
        work = WorkClass(exchange.request.path.strip("/"))
        template = RenderedTemplate(
            services={SERVICE: self.policy}, routes=(self.routes[work],)
        )
        return RouteResolved(Revision(1), template, self.routes[work], 600.0)

    def attempt(
        self, entry: Any, attempt: Attempt, exchange: Exchange, resume: Any
    ) -> None:
        """Send a request to a fake target."""
        target = self.targets[attempt.target.target]
        latency = self.get_latency(entry.region, target.target.region)
        started = self.clock.now
        is_finished = [False]

        def finish(result: AttemptResult) -> None:
            if not is_finished[0]:
                is_finished[0] = True
                resume(result)

        def done(status: AttemptStatus, busy: int) -> None:
            response = None
            if status is AttemptStatus.ANSWERED:
                response = Response(200)
            load = LoadReport(busy, target.target.slots)
            elapsed = Seconds(self.clock.now + latency - started)
            result = AttemptResult(status, response, load, elapsed)
            self.clock.call_later(latency, finish, result)

        work = exchange.matched_route.work
        self.clock.call_later(latency, target.receive_request, work, done)
        expired = AttemptResult(
            AttemptStatus.TIMED_OUT, elapsed=attempt.timeout
        )
        self.clock.call_later(attempt.timeout, finish, expired)


def _announce(target: Target) -> Announcement:
    return Announcement(
        target.target,
        target.service,
        target.region,
        target.failure_domain,
        target.slots,
        1,
        1,
        TargetPhase.ACTIVE,
        LEASE_S,
    )


def _get_controller(update: Any) -> ControllerName:
    is_quarantine = type(update).__name__ == "Quarantine"
    return (
        ControllerName.QUARANTINE if is_quarantine else ControllerName.TARGETS
    )


def make_exchange(world: World, work: WorkClass) -> Exchange:
    """Return the exchange of a new request of a work class."""
    request = Request("hobart", "GET", f"/{work.value}")
    now = world.clock()
    return Exchange(request, now, now)
