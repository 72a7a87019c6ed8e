"""A key is granted to at most one claim, whatever happens to the group."""

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
GRANT_MESSAGES = (
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


class ClaimEntry:
    """One incarnation of an entry, with its claims and its grants."""

    def __init__(self, world, host, incarnation_number):
        self.world, self.host = world, host
        self.outbox = FakeOutbox()
        context = Context(host, world.clock, world.random, self.outbox)
        self.claims = ClaimsController(context)
        incarnation = Incarnation(f"{host}#{incarnation_number}")
        self.grants = GrantsController(context, incarnation)

    def receive(self, message, origin):
        grants = isinstance(message, GRANT_MESSAGES)
        self.deliver_to(
            self.grants if grants else self.claims, message, origin
        )

    def deliver_to(self, controller, message, origin=None):
        controller.receive(message, origin or Origin())
        for host, sent in self.outbox.sent:
            self.world.send(self.host, host, sent)
        for token, verdict in self.outbox.replies.items():
            self.world.decide(token, verdict)
        self.outbox.sent.clear()
        self.outbox.replies.clear()

    def apply_configuration(self, fleet):
        for controller in (self.claims, self.grants):
            self.deliver_to(
                controller, ConfigurationApplied(fleet.claim_epoch, fleet)
            )


class World:
    """Entries that restart without state, with unreliable links.

    Links lose, duplicate, delay and reorder messages, and are cut.
    """

    def __init__(self, seed, group, loss=0.1):
        self.random = random.Random(seed)
        self.clock = FakeClock()
        self.loss = loss
        self.hosts = [HostId(f"e{n}") for n in range(7)]
        self.fleets = [make_fleet((group,))]
        self.entries, self.applied = {}, {}
        self.queue, self.cuts = [], set()
        self.incarnation_count = self.claim_count = 0
        self.requested, self.granted, self.verdicts = {}, {}, []
        for host in self.hosts:
            self.restart(host)
        self.clock.advance(RETENTION_S)

    def restart(self, host):
        self.incarnation_count += 1
        self.entries[host] = ClaimEntry(self, host, self.incarnation_count)
        self.applied[host] = self.applied.get(host, 0)
        self.entries[host].apply_configuration(self.fleets[self.applied[host]])

    def send(self, sender, host, message):
        if (sender, host) in self.cuts or self.random.random() < self.loss:
            return
        self.queue.append((sender, host, message))
        if self.random.random() < self.loss:
            self.queue.append((sender, host, message))

    def deliver_next(self):
        if self.queue:
            position = self.random.randrange(len(self.queue))
            sender, host, message = self.queue.pop(position)
            entry = self.entries[host]
            entry.receive(message, Origin(peer=sender))

    def tick(self, host):
        entry = self.entries[host]
        entry.deliver_to(entry.claims, Tick())
        entry.deliver_to(entry.grants, Tick())

    def claim(self, host, key):
        self.claim_count += 1
        token = ReplyToken(self.claim_count)
        claim = ClaimId(f"claim-{self.claim_count}")
        self.requested[token] = (host, key, claim)
        message = AcquireClaim(ClaimKey(key), claim, 1e6, 1.0)
        entry = self.entries[host]
        entry.deliver_to(entry.claims, message, Origin(reply_token=token))
        return token

    def decide(self, token, verdict):
        host, key, claim = self.requested[token]
        self.verdicts.append(verdict)
        if verdict is not ClaimVerdict.GRANTED:
            return
        now = self.clock.now
        granted_at, other = self.granted.get(key, (now - RETENTION_S, None))
        assert now - granted_at >= RETENTION_S - 1.0, (
            f"{key} granted to {other} and {claim}"
        )
        self.granted[key] = (now, claim)

    def withdraw(self, key):
        """Withdraw the granted claim: its request did not run."""
        _, claim = self.granted.pop(key)
        host = next(h for h, k, c in self.requested.values() if c == claim)
        entry = self.entries[host]
        entry.deliver_to(entry.claims, WithdrawClaim(ClaimKey(key), claim))

    def settle(self, seconds=3.0):
        for _ in range(round(seconds / 0.1)):
            self.clock.advance(0.1)
            for host in self.hosts:
                self.tick(host)
            for _ in range(len(self.queue)):
                self.deliver_next()


GROUPS = {3: ("e0", "e1", "e2"), 5: ("e0", "e1", "e2", "e3", "e4")}


def seeds():
    first, _, last = os.environ.get("WASABITRAY_SEEDS", "1-25").partition("-")
    return range(int(first), int(last or first) + 1)


@pytest.mark.parametrize("size", GROUPS)
@pytest.mark.parametrize("seed", seeds())
def test_a_key_is_granted_only_once_during_its_retention(seed, size):
    print(f"seed {seed}, group of {size}")
    world = World(seed, GROUPS[size])
    world.settle()
    for _ in range(3_000):
        chance = world.random.random()
        if chance < 0.75:
            world.deliver_next()
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
def test_replacing_a_group_grants_no_key_twice(seed):
    """Entries apply the joint and the new group at different times."""
    print(f"seed {seed}")
    old, new = GROUPS[3], ("e4", "e5", "e6")
    world = World(seed, old)
    world.fleets += [make_fleet((old, new), 2), make_fleet((new,), 3)]
    world.settle()
    newest_fleet, joint_applied_at = 0, 0.0
    for _ in range(4_000):
        chance = world.random.random()
        if chance < 0.75:
            world.deliver_next()
        elif chance < 0.93:
            world.clock.advance(0.05)
            world.tick(world.random.choice(world.hosts))
        elif chance < 0.98:
            key = f"k{world.random.randrange(12)}"
            world.claim(world.random.choice(world.hosts), key)
        elif chance < 0.995:
            host = world.random.choice(world.hosts)
            if world.applied[host] < newest_fleet:
                world.applied[host] += 1
                fleet = world.fleets[world.applied[host]]
                world.entries[host].apply_configuration(fleet)
        elif newest_fleet == 0:
            newest_fleet, joint_applied_at = 1, world.clock.now
        elif newest_fleet == 1:
            waited = world.clock.now - joint_applied_at >= RETENTION_S
            updated_count = sum(world.applied[HostId(h)] >= 1 for h in old)
            newest_fleet = 2 if waited and updated_count >= 2 else 1
    assert ClaimVerdict.GRANTED in world.verdicts


def claim_and_settle(world, host, key):
    token = world.claim(HostId(host), key)
    before = len(world.verdicts)
    world.settle(2.0)
    assert len(world.verdicts) == before + 1, token
    return world.verdicts[-1]


def make_lossless_world():
    world = World(1, GROUPS[3], loss=0.0)
    world.settle()
    return world


def test_claim_of_another_entry_to_the_same_key_is_held():
    world = make_lossless_world()
    assert claim_and_settle(world, "e5", "k") is ClaimVerdict.GRANTED
    assert claim_and_settle(world, "e6", "k") is ClaimVerdict.HELD


def test_key_of_a_withdrawn_claim_can_be_granted_again():
    world = make_lossless_world()
    claim_and_settle(world, "e5", "k")
    world.withdraw("k")
    world.settle(1.0)
    assert claim_and_settle(world, "e6", "k") is ClaimVerdict.GRANTED


def test_restarted_member_recalls_claims_before_it_grants():
    world = make_lossless_world()
    claim_and_settle(world, "e5", "k")
    for host in ("e0", "e1", "e2"):
        world.restart(HostId(host))
        world.settle(2.0)
    assert claim_and_settle(world, "e6", "k") is ClaimVerdict.HELD
    assert claim_and_settle(world, "e6", "other") is ClaimVerdict.GRANTED


def test_group_that_lost_all_grants_waits_for_the_retention():
    world = make_lossless_world()
    claim_and_settle(world, "e5", "k")
    for host in ("e0", "e1", "e2"):
        world.restart(HostId(host))
    assert claim_and_settle(world, "e6", "k") is ClaimVerdict.UNAVAILABLE
    world.clock.advance(RETENTION_S)
    assert claim_and_settle(world, "e6", "k") is ClaimVerdict.GRANTED
