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
            yield site, tuple(chance.choices(tuple(Trouble), k=count))
        return
    for site in (FIVE, SIX, NINE):
        for count in range(1, int(length) + 1):
            for troubles in itertools.product(Trouble, repeat=count):
                yield site, troubles


def describe(site, troubles):
    return f"{site.size}: {', '.join(t.value for t in troubles)}"


@pytest.mark.parametrize(
    ("site", "troubles"),
    [pytest.param(s, t, id=describe(s, t)) for s, t in schedules()],
)
def test_configuration_is_read_back_after_troubles(site, troubles):
    for seed in seeds():
        schedule = Schedule(site, f"{describe(site, troubles)} {seed}")
        for trouble in troubles:
            schedule.apply(trouble)
            schedule.send_order()
        schedule.check()
