"""Sequences of troubles of the control group, as close as is allowed.

A sample runs by default. Set WASABITRAY_LENGTH to run all sequences up to
that length instead, and WASABITRAY_SEEDS to run each with other seeds, for
example 100-200.
"""

import itertools
import os
import random

import pytest
from core.controllers.consensus.schedules import (
    FIVE,
    NINE,
    SIX,
    Schedule,
    Trouble,
)

SAMPLE = 24
SAMPLE_LENGTHS = (4, 5)
EVENTS = tuple(t for t in Trouble if t is not Trouble.PAUSE)


def seeds():
    first, _, last = os.environ.get("WASABITRAY_SEEDS", "1").partition("-")
    return range(int(first), int(last or first) + 1)


def schedules():
    length = os.environ.get("WASABITRAY_LENGTH")
    if length is None:
        chance = random.Random("sample of schedules")
        for number in range(SAMPLE):
            site = (FIVE, SIX, FIVE, NINE)[number % 4]
            count = chance.choice(SAMPLE_LENGTHS)
            yield site, tuple(chance.choices(EVENTS, k=count))
        return
    for site in (FIVE, SIX, NINE):
        for count in range(1, int(length) + 1):
            for troubles in itertools.product(Trouble, repeat=count):
                if Trouble.PAUSE not in (troubles[0], troubles[-1]):
                    yield site, troubles


def describe(site, troubles):
    return f"{site.size}: {', '.join(t.value for t in troubles)}"


def check(site, troubles, seed):
    schedule = Schedule(site, f"{describe(site, troubles)} {seed}")
    for trouble in troubles:
        schedule.apply(trouble)
        schedule.send_order()
    schedule.check()


@pytest.mark.parametrize(
    ("site", "troubles"),
    [pytest.param(s, t, id=describe(s, t)) for s, t in schedules()],
)
def test_configuration_is_read_back_after_troubles(site, troubles):
    for seed in seeds():
        check(site, troubles, seed)


# Guards against a group that is made smaller while it is split.
@pytest.mark.parametrize(
    ("troubles", "seed"),
    (
        ("split, pause, remove follower, remove follower", 1),
        ("split, pause, stop leader, remove follower", 1),
        ("split, pause, stop follower, remove leader", 3),
        ("stop leader, split, pause, wipe", 5),
    ),
)
def test_majority_survives_losses_after_a_split(troubles, seed):
    check(FIVE, tuple(Trouble(t) for t in troubles.split(", ")), seed)


# Guards against a successor whose log is too old when the lead is handed over.
def test_majority_survives_planned_stops_of_one_leader_after_another():
    troubles = (
        Trouble.STOP_LEADER,
        Trouble.STOP_LEADER,
        Trouble.REMOVE_LEADER,
    )
    check(FIVE, troubles, seed=1)
