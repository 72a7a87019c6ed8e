"""When a target that does not respond is evidence against it."""

from wasabitray_core.silence import get_silence_limits


def test_silence_that_may_be_a_queue_is_no_evidence():
    assert get_silence_limits(0.2, load=3.0, slots=3) is None
    assert get_silence_limits(0.2, load=2.0, slots=3) is not None


def test_silence_of_a_service_of_unknown_time_is_no_evidence():
    assert get_silence_limits(None, load=0.0, slots=3) is None


def test_limits_follow_the_usual_time():
    limits = get_silence_limits(0.4, load=0.0, slots=3)
    # The longest requests of the platform take ten times the mean, or about
    # eight times the average that includes them.
    assert 8 * 0.4 < limits.conclude_after < 10 * 0.4
    assert limits.suspect_after < limits.conclude_after / 2


def test_limits_of_fast_services_allow_for_delays_in_the_network():
    limits = get_silence_limits(0.001, load=0.0, slots=3)
    assert (limits.suspect_after, limits.conclude_after) == (0.5, 1.0)
