"""Decides which requests a stopping entry still sends to a target.

Answers the load of a planned stop: callers that keep their connections or
their list of addresses send requests until the process ends. A request that
is sent to a target and cut off is lost to its caller, who may not repeat it;
one that is refused can be sent to another entry at once.
"""

from __future__ import annotations

from msgspec import Struct

from wasabitray_core.ids import Seconds

# Connections are accepted for this share of the time for a planned stop, and
# not for longer than this: callers learn soon which entries are left.
ACCEPT_TIME_SHARE = 0.45
MAX_ACCEPT_TIME_S = 2.75
# What the process needs to end.
EXIT_TIME_SHARE = 0.05
MAX_EXIT_TIME_S = 1.0
# For the way of a target's last response to the entry, and to the caller. On
# a busy machine it takes several tenths of a second.
RESPONSE_TIME_SHARE = 0.08
MAX_RESPONSE_TIME_S = 0.5
# The part of this time in which the entry waits for the response.
WAIT_SHARE = 0.8
# A request may take longer than the longest one of the last minute.
LONGEST_TIME_FACTOR = 1.5


class StopSchedule(Struct, frozen=True):
    """The times of a planned stop, in monotonic seconds.

    Attributes:
        accept_until: when the listener is closed.
        respond_until: when the last target must have responded.
        finish_until: when requests that are still open are cut off.
    """

    accept_until: Seconds
    respond_until: Seconds
    finish_until: Seconds

    @property
    def response_wait(self) -> Seconds:
        """How long the entry waits for a response that is on its way."""
        way_back = self.finish_until - self.respond_until
        return Seconds(WAIT_SHARE * way_back)


def plan_stop(began_at: Seconds, grace_s: float) -> StopSchedule:
    """Return the schedule of a stop.

    Args:
        began_at: when the stop began.
        grace_s: seconds after which the process is killed.
    """
    accept_s = min(ACCEPT_TIME_SHARE * grace_s, MAX_ACCEPT_TIME_S)
    exit_s = min(EXIT_TIME_SHARE * grace_s, MAX_EXIT_TIME_S)
    response_s = min(RESPONSE_TIME_SHARE * grace_s, MAX_RESPONSE_TIME_S)
    finish_until = began_at + grace_s - exit_s
    return StopSchedule(
        Seconds(began_at + accept_s),
        Seconds(finish_until - response_s),
        Seconds(finish_until),
    )


def find_latest_end(
    schedule: StopSchedule,
    deadline: Seconds,
    longest_time: Seconds | None,
    now: Seconds,
) -> Seconds | None:
    """Return when a request that starts now must end.

    A target stops work at the deadline that it is given, so a request with an
    earlier deadline always ends in time. Any other request starts only while
    connections are accepted and if the longest recent one would end in time.
    It gets the end of the schedule as its deadline.

    Args:
        schedule: the stop.
        deadline: when the caller or the route gives the request up.
        longest_time: the longest recent attempt of its kind, if known.
        now: monotonic seconds.

    Returns:
        The request's deadline, None if it should not start.
    """
    if deadline <= schedule.respond_until:
        return deadline
    if longest_time is None or now > schedule.accept_until:
        return None
    if now + LONGEST_TIME_FACTOR * longest_time > schedule.respond_until:
        return None
    return schedule.respond_until
