"""How the times of attempts are measured."""

from wasabitray_core.controllers.attempt_times import (
    MIN_ATTEMPTS,
    WINDOW_S,
    AttemptTimes,
)


def make_times(*elapsed, now=0.0):
    times = AttemptTimes()
    for seconds in elapsed:
        times.record(seconds, True, now)
    return times


def test_longest_time_needs_enough_attempts():
    times = make_times(*[0.1] * (MIN_ATTEMPTS - 1))
    assert times.get_longest(0.0) is None
    times.record(0.7, True, 0.0)
    assert times.get_longest(0.0) == 0.7


def test_longest_time_is_forgotten_after_two_windows():
    times = make_times(2.5, *[0.1] * MIN_ATTEMPTS)
    times.record(0.2, True, WINDOW_S + 1.0)
    assert times.get_longest(WINDOW_S + 1.0) == 2.5
    for _ in range(MIN_ATTEMPTS):
        times.record(0.2, True, 2 * WINDOW_S + 2.0)
    assert times.get_longest(2 * WINDOW_S + 2.0) == 0.2
    assert times.get_longest(9 * WINDOW_S) is None


def test_attempt_without_a_response_counts_for_the_longest_time_only():
    times = make_times(*[0.1] * MIN_ATTEMPTS)
    times.record(4.0, False, 1.0)
    assert times.get_longest(1.0) == 4.0
    assert times.average is not None
    assert abs(times.average - 0.1) < 1e-9
