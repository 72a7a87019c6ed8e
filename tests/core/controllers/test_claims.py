"""At most one claim wins a key, whatever happens to the group."""

import os
import random

import pytest
from support.fakes import FakeClock, FakeOutbox

from wasabitray_core.controllers.claims import ClaimsController
from wasabitray_core.controllers.controller import Context, Origin, ReplyToken
from wasabitray_core.controllers.grants import GrantsController
from wasabitray_core.documents import EntryHost, Fleet
from wasabitray_core.ids import ClaimId, ClaimKey, HostId, Incarnation
from wasabitray_core.local_messages import (
    AcquireClaim,
    ClaimVerdict,
    ConfigurationApplied,
    Tick,
    WithdrawClaim,
)
from wasabitray_core.messages import (
    ClaimRelease,
    ClaimRequest,
    RecallChallenge,
    RecallConfirm,
    RecallRequest,
    RecallState,
)

RETENTION_S = 30.0
FOR_GRANTS = (
    ClaimRequest,
    ClaimRelease,
    RecallRequest,
    RecallChallenge,
    RecallConfirm,
    RecallState,
)


def make_fleet(groups, epoch=1, hosts=7):
    entries = tuple(
        EntryHost(
            host=f"e{n}",
            region="r",
            failure_domain="d",
            peer_address="p",
            caller_address="c",
        )
        for n in range(hosts)
    )
    return Fleet(
        entries=entries,
        claim_groups=groups,
        claim_epoch=epoch,
        claim_retention_s=RETENTION_S,
    )


class Entry:
    """One run of an entry: its claims and its memory of grants."""

    def __init__(self, world, host, run):
        self.world, self.host = world, host
        self.outbox = FakeOutbox()
        context = Context(host, world.clock, world.random, self.outbox)
        self.claims = ClaimsController(context)
        incarnation = Incarnation(f"{host}#{run}")
        self.grants = GrantsController(context, incarnation)

    def receive(self, message, origin):
        grants = isinstance(message, FOR_GRANTS)
        self.give(self.grants if grants else self.claims, message, origin)

    def give(self, controller, message, origin=None):
        controller.receive(message, origin or Origin())
        for host, sent in self.outbox.sent:
            self.world.post(self.host, host, sent)
        for ask, verdict in self.outbox.replies.items():
            self.world.decide(ask, verdict)
        self.outbox.sent.clear()
        self.outbox.replies.clear()

    def use(self, fleet):
        for controller in (self.claims, self.grants):
            self.give(
                controller, ConfigurationApplied(fleet.claim_epoch, fleet)
            )


class World:
    """Entries with loss, delay, cuts and restarts without memory."""

    def __init__(self, seed, group, loss=0.1):
        self.random = random.Random(seed)
        self.clock = FakeClock()
        self.loss = loss
        self.hosts = [HostId(f"e{n}") for n in range(7)]
        self.fleets = [make_fleet((group,))]
        self.entries, self.known = {}, {}
        self.queue, self.cuts = [], set()
        self.runs = self.asks = 0
        self.asked, self.granted, self.verdicts = {}, {}, []
        for host in self.hosts:
            self.restart(host)
        self.clock.advance(RETENTION_S)

    def restart(self, host):
        self.runs += 1
        self.entries[host] = Entry(self, host, self.runs)
        self.known[host] = self.known.get(host, 0)
        self.entries[host].use(self.fleets[self.known[host]])

    def post(self, sender, host, message):
        if (sender, host) in self.cuts or self.random.random() < self.loss:
            return
        self.queue.append((sender, host, message))
        if self.random.random() < self.loss:
            self.queue.append((sender, host, message))

    def deliver(self):
        if self.queue:
            position = self.random.randrange(len(self.queue))
            sender, host, message = self.queue.pop(position)
            entry = self.entries[host]
            entry.receive(message, Origin(peer=sender))

    def tick(self, host):
        entry = self.entries[host]
        entry.give(entry.claims, Tick())
        entry.give(entry.grants, Tick())

    def claim(self, host, key):
        self.asks += 1
        ask = ReplyToken(self.asks)
        claim = ClaimId(f"claim-{self.asks}")
        self.asked[ask] = (host, key, claim)
        message = AcquireClaim(ClaimKey(key), claim, 1e6, 1.0)
        entry = self.entries[host]
        entry.give(entry.claims, message, Origin(reply_token=ask))
        return ask

    def decide(self, ask, verdict):
        host, key, claim = self.asked[ask]
        self.verdicts.append(verdict)
        if verdict is not ClaimVerdict.GRANTED:
            return
        now = self.clock.now
        since, other = self.granted.get(key, (now - RETENTION_S, None))
        assert now - since >= RETENTION_S - 1.0, (
            f"{key} granted to {other} and {claim}"
        )
        self.granted[key] = (now, claim)

    def withdraw(self, key):
        """The winner gives the key back: its work did not run."""
        _, claim = self.granted.pop(key)
        host = next(h for h, k, c in self.asked.values() if c == claim)
        entry = self.entries[host]
        entry.give(entry.claims, WithdrawClaim(ClaimKey(key), claim))

    def settle(self, seconds=3.0):
        for _ in range(round(seconds / 0.1)):
            self.clock.advance(0.1)
            for host in self.hosts:
                self.tick(host)
            for _ in range(len(self.queue)):
                self.deliver()


GROUPS = {3: ("e0", "e1", "e2"), 5: ("e0", "e1", "e2", "e3", "e4")}


def seeds():
    first, _, last = os.environ.get("WASABITRAY_SEEDS", "1-25").partition("-")
    return range(int(first), int(last or first) + 1)


@pytest.mark.parametrize("size", GROUPS)
@pytest.mark.parametrize("seed", seeds())
def test_a_key_is_granted_once_in_its_retention(seed, size):
    print(f"seed {seed}, group of {size}")
    world = World(seed, GROUPS[size])
    world.settle()
    for _ in range(3_000):
        chance = world.random.random()
        if chance < 0.75:
            world.deliver()
        elif chance < 0.93:
            world.clock.advance(0.02)
            world.tick(world.random.choice(world.hosts))
        elif chance < 0.97:
            key = f"k{world.random.randrange(12)}"
            world.claim(world.random.choice(world.hosts), key)
        elif chance < 0.98:
            world.restart(world.random.choice(world.hosts))
        elif chance < 0.99:
            if world.granted:
                world.withdraw(world.random.choice(list(world.granted)))
        else:
            pair = tuple(world.random.sample(world.hosts, 2))
            world.cuts ^= {pair}
    assert ClaimVerdict.GRANTED in world.verdicts


@pytest.mark.parametrize("seed", seeds())
def test_a_group_is_replaced_without_a_second_run(seed):
    """Entries learn of the joint and the new group at different times."""
    print(f"seed {seed}")
    old, new = GROUPS[3], ("e4", "e5", "e6")
    world = World(seed, old)
    world.fleets += [make_fleet((old, new), 2), make_fleet((new,), 3)]
    world.settle()
    newest, joint_since = 0, 0.0
    for _ in range(4_000):
        chance = world.random.random()
        if chance < 0.75:
            world.deliver()
        elif chance < 0.93:
            world.clock.advance(0.05)
            world.tick(world.random.choice(world.hosts))
        elif chance < 0.98:
            key = f"k{world.random.randrange(12)}"
            world.claim(world.random.choice(world.hosts), key)
        elif chance < 0.995:
            host = world.random.choice(world.hosts)
            if world.known[host] < newest:
                world.known[host] += 1
                fleet = world.fleets[world.known[host]]
                world.entries[host].use(fleet)
        elif newest == 0:
            newest, joint_since = 1, world.clock.now
        elif newest == 1:
            waited = world.clock.now - joint_since >= RETENTION_S
            informed = sum(world.known[HostId(h)] >= 1 for h in old)
            newest = 2 if waited and informed >= 2 else 1
    assert ClaimVerdict.GRANTED in world.verdicts


def claim_now(world, host, key):
    ask = world.claim(HostId(host), key)
    before = len(world.verdicts)
    world.settle(2.0)
    assert len(world.verdicts) == before + 1, ask
    return world.verdicts[-1]


def quiet_world():
    world = World(1, GROUPS[3], loss=0.0)
    world.settle()
    return world


def test_resend_to_another_entry_is_held():
    world = quiet_world()
    assert claim_now(world, "e5", "k") is ClaimVerdict.GRANTED
    assert claim_now(world, "e6", "k") is ClaimVerdict.HELD


def test_withdrawn_key_is_free_again():
    world = quiet_world()
    claim_now(world, "e5", "k")
    world.withdraw("k")
    world.settle(1.0)
    assert claim_now(world, "e6", "k") is ClaimVerdict.GRANTED


def test_restarted_member_recalls_claims_before_it_grants():
    world = quiet_world()
    claim_now(world, "e5", "k")
    for host in ("e0", "e1", "e2"):
        world.restart(HostId(host))
        world.settle(2.0)
    assert claim_now(world, "e6", "k") is ClaimVerdict.HELD
    assert claim_now(world, "e6", "other") is ClaimVerdict.GRANTED


def test_group_that_forgot_everything_grants_nothing_for_the_retention():
    world = quiet_world()
    claim_now(world, "e5", "k")
    for host in ("e0", "e1", "e2"):
        world.restart(HostId(host))
    assert claim_now(world, "e6", "k") is ClaimVerdict.UNAVAILABLE
    world.clock.advance(RETENTION_S)
    assert claim_now(world, "e6", "k") is ClaimVerdict.GRANTED
