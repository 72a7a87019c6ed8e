"""Which requests a stopping entry still sends to a target."""

import itertools

import pytest

from wasabitray_core.stopping import (
    LONGEST_TIME_FACTOR,
    find_latest_end,
    plan_stop,
)

BEGAN_AT = 100.0
GRACES_S = (2.0, 6.0, 10.0, 60.0)


@pytest.mark.parametrize("grace_s", GRACES_S)
def test_everything_ends_within_the_grace_time(grace_s):
    schedule = plan_stop(BEGAN_AT, grace_s)
    assert BEGAN_AT < schedule.accept_until < schedule.respond_until
    assert schedule.respond_until < schedule.finish_until
    assert schedule.finish_until < BEGAN_AT + grace_s


def test_request_with_an_early_deadline_is_sent_whatever_it_takes():
    schedule = plan_stop(BEGAN_AT, 6.0)
    deadline = schedule.respond_until
    for longest in (None, 0.1, 100.0):
        assert find_latest_end(schedule, deadline, longest, 101.0) == deadline


def test_request_of_unknown_time_is_not_sent_if_it_may_end_too_late():
    schedule = plan_stop(BEGAN_AT, 6.0)
    deadline = schedule.respond_until + 0.1
    assert find_latest_end(schedule, deadline, None, 100.1) is None


def test_request_of_a_fast_service_is_sent_with_an_earlier_deadline():
    schedule = plan_stop(BEGAN_AT, 6.0)
    latest_end = find_latest_end(schedule, 108.0, 0.5, 102.0)
    assert latest_end == schedule.respond_until
    too_late = schedule.respond_until - 0.5
    assert find_latest_end(schedule, 108.0, 0.5, too_late) is None


@pytest.mark.parametrize(
    ("grace_s", "within", "longest", "offset"),
    list(
        itertools.product(
            GRACES_S, (0.1, 4.0, 12.0), (None, 0.0, 0.3, 3.0), (0.0, 1.0, 5.0)
        )
    ),
)
def test_no_request_is_sent_that_may_outlive_the_stop(
    grace_s, within, longest, offset
):
    schedule = plan_stop(BEGAN_AT, grace_s)
    now = BEGAN_AT + offset
    latest_end = find_latest_end(schedule, now + within, longest, now)
    if latest_end is None:
        assert now + within > schedule.respond_until
        needed = 0.0 if longest is None else LONGEST_TIME_FACTOR * longest
        assert longest is None or now + needed > schedule.respond_until
    else:
        assert latest_end <= min(now + within, schedule.respond_until)
