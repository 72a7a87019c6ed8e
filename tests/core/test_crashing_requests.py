"""How many targets a request can crash, over all entries and a long time.

The bound is the promise to the users: once a request has crashed three
targets, it is sent at most three more times after the fleet had CONTACT_S to
pass that on.
"""

import random

import pytest
from support.clock import Clock

from wasabitray_core.controllers.controller import Context, Origin, ReplyToken
from wasabitray_core.controllers.crashes import (
    MIN_CRASHES,
    must_be_stored,
)
from wasabitray_core.controllers.quarantine import QuarantineController
from wasabitray_core.controllers.trials import TrialsController
from wasabitray_core.local_messages import (
    AdmitAttempt,
    Broadcast,
    CheckQuarantine,
    GroupContact,
    ReportBrokenConnection,
    ReportResponse,
    RestoredQuarantine,
    SendToLeader,
    StoreQuarantines,
    Suspicion,
    Tick,
)

CONTACT_S = 4.0
MAX_RETRIES = 3
LENGTH_S = 120.0
TICK_S = 1.0
ATTEMPT_S = 0.15
TARGETS = ("t1", "t2")
SEEDS = (1, 2, 3)


class Host:
    """A host with one controller, and its links to the others."""

    def __init__(self, fleet, name, build, *args):
        self.fleet, self.name = fleet, name
        self.waiting = {}
        self.tokens = 0
        context = Context(name, fleet.clock, fleet.random, self)
        self.controller = build(context, *args)

    def ask(self, message, resume):
        """Ask the controller; it may reply later."""
        self.tokens += 1
        self.waiting[self.tokens] = resume
        token = ReplyToken(self.tokens)
        self.controller.receive(message, Origin(reply_token=token))

    def receive_from_peer(self, peer, message):
        self.controller.receive(message, Origin(peer=peer))

    # Outbox

    def reply(self, token, value):
        self.waiting.pop(token)(value)

    def send(self, host, message):
        self.fleet.send(self.name, host, message)

    def tell(self, controller, message):
        if isinstance(message, Broadcast):
            for name in self.fleet.entries:
                if name != self.name:
                    self.fleet.send(self.name, name, message.item)
            self.fleet.store(message.item)
        elif isinstance(message, SendToLeader):
            self.fleet.send(self.name, "c1", message.message)

    def persist(self, item):
        self.fleet.disk[item.fingerprint] = (self.fleet.clock(), item)

    def log_event(self, event, **fields):
        pass


class Fleet:
    """Entries that receive one request again and again."""

    def __init__(self, seed, entries, rate):
        self.clock = Clock(0.0)
        self.random = random.Random(seed)
        self.rate = rate
        self.is_crashing = True
        self.attempts = []
        self.outcomes = []
        self.disk = {}
        self.entries = [f"e{n}" for n in range(entries)]
        self.hosts = {}
        self.start_hosts()
        self.tick()
        self.submit()

    def start_hosts(self):
        """Start all hosts; those that ran before lose their memory."""
        self.hosts = {
            name: Host(self, name, QuarantineController)
            for name in self.entries
        }
        restored = tuple(
            RestoredQuarantine(record, self.clock() - stored_at)
            for stored_at, record in self.disk.values()
        )
        self.hosts["c1"] = Host(self, "c1", TrialsController, restored)
        self.hosts["c1"].controller.receive(
            GroupContact(True, "c1", ("c1",)), Origin()
        )
        for name in self.entries:
            for item in restored:
                self.hosts[name].receive_from_peer("c1", item.record)

    def store(self, record):
        """Pass a record to the control host, as its hub does."""
        if not must_be_stored(record):
            return
        store = StoreQuarantines((record,))
        self.hosts["c1"].controller.receive(store, Origin())

    def send(self, sender, receiver, message):
        delay = self.random.uniform(0.01, 0.3)
        host = self.hosts[receiver]
        self.clock.call_later(delay, host.receive_from_peer, sender, message)

    def tick(self):
        for host in self.hosts.values():
            host.controller.receive(Tick(), Origin())
        self.clock.call_later(TICK_S, self.tick)

    def submit(self):
        gap = self.random.expovariate(self.rate)
        self.clock.call_later(gap, self.submit)
        host = self.hosts[self.random.choice(self.entries)]

        def admit(suspicion):
            if suspicion is Suspicion.QUARANTINED:
                self.outcomes.append((self.clock(), False))
            else:
                host.ask(AdmitAttempt("f"), make_attempt)

        def make_attempt(suspicion):
            if suspicion is Suspicion.QUARANTINED:
                self.outcomes.append((self.clock(), False))
                return
            self.attempts.append(self.clock())
            self.clock.call_later(ATTEMPT_S, end_attempt)

        def end_attempt():
            self.outcomes.append((self.clock(), not self.is_crashing))
            report = ReportResponse("f")
            if self.is_crashing:
                target = self.random.choice(TARGETS)
                report = ReportBrokenConnection("f", target, ATTEMPT_S)
            host.controller.receive(report, Origin())

        host.ask(CheckQuarantine("f"), admit)

    def count_retries(self):
        """Return the attempts later than CONTACT_S after the third crash."""
        crashes = [start + ATTEMPT_S for start in self.attempts]
        known_at = crashes[MIN_CRASHES - 1] + CONTACT_S
        return sum(start > known_at for start in self.attempts)


@pytest.mark.parametrize("rate", [0.2, 2.0, 60.0])
@pytest.mark.parametrize("served_before_s", [0.0, 40.0])
def test_request_that_crashes_targets_is_stopped_by_the_whole_fleet(
    rate, served_before_s
):
    for seed in SEEDS:
        fleet = Fleet(seed, 32, rate)
        fleet.is_crashing = False
        fleet.clock.run_until(served_before_s)
        fleet.attempts.clear()
        fleet.is_crashing = True
        fleet.clock.run_until(served_before_s + LENGTH_S)
        assert fleet.count_retries() <= MAX_RETRIES, seed


# Guards against quarantines and counts of trials that are lost when all
# processes end.
@pytest.mark.parametrize("rate", [0.2, 2.0, 60.0])
@pytest.mark.parametrize("restarts", [(8.0,), (30.0,), (30.0, 45.0, 60.0)])
def test_restart_of_all_hosts_allows_no_more_attempts(rate, restarts):
    for seed in SEEDS:
        fleet = Fleet(seed, 32, rate)
        for at in restarts:
            fleet.clock.run_until(at)
            fleet.start_hosts()
        fleet.clock.run_until(LENGTH_S)
        assert fleet.count_retries() <= MAX_RETRIES, seed


def test_request_is_served_again_after_its_targets_were_repaired():
    for seed in SEEDS:
        fleet = Fleet(seed, 32, 2.0)
        fleet.clock.run_until(5.0)
        fleet.is_crashing = False
        fleet.clock.run_until(25.0)
        assert all(served for at, served in fleet.outcomes if at > 20.0)
