"""Sequences of faults of the control group, as close as is allowed.

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
    Fault,
    Schedule,
)

SAMPLE = 24
SAMPLE_LENGTHS = (4, 5)
EVENTS = tuple(t for t in Fault if t is not Fault.PAUSE)


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
            for faults in itertools.product(Fault, repeat=count):
                if Fault.PAUSE not in (faults[0], faults[-1]):
                    yield site, faults


def describe(site, faults):
    return f"{site.size}: {', '.join(t.value for t in faults)}"


def check(site, faults, seed):
    schedule = Schedule(site, f"{describe(site, faults)} {seed}")
    for fault in faults:
        schedule.apply(fault)
        schedule.send_order()
    schedule.check()


@pytest.mark.parametrize(
    ("site", "faults"),
    [pytest.param(s, t, id=describe(s, t)) for s, t in schedules()],
)
def test_configuration_is_read_back_after_faults(site, faults):
    for seed in seeds():
        check(site, faults, seed)


# Guards against a group that is made smaller while it is split.
@pytest.mark.parametrize(
    ("faults", "seed"),
    (
        ("split, pause, remove follower, remove follower", 1),
        ("split, pause, stop leader, remove follower", 1),
        ("split, pause, stop follower, remove leader", 3),
        ("stop leader, split, pause, wipe", 5),
    ),
)
def test_majority_survives_losses_after_a_split(faults, seed):
    check(FIVE, tuple(Fault(t) for t in faults.split(", ")), seed)


# Guards against a successor whose log is too old when the lead is handed over.
def test_majority_survives_planned_stops_of_one_leader_after_another():
    faults = (
        Fault.STOP_LEADER,
        Fault.STOP_LEADER,
        Fault.REMOVE_LEADER,
    )
    check(FIVE, faults, seed=1)
