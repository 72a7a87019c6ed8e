"""Decides which requests a stopping entry still sends to a target.

Answers the load of a planned stop: callers that keep their connections or
their list of addresses send requests until the process ends. A request that
is sent to a target and cut off is lost to its caller, who may not repeat it;
one that is refused can be sent to another entry at once.
"""

from __future__ import annotations

from msgspec import Struct

from wasabitray_core.ids import Seconds

# Shares of the time for a planned stop: connections are accepted until the
# first one, and the process waits for open requests until the second.
ACCEPT_TIME_SHARE = 0.5
FINISH_TIME_SHARE = 0.88
# Between the last response of a target and the end of the wait, for the way
# back to the caller.
RESPONSE_MARGIN_S = 0.3
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


def plan_stop(began_at: Seconds, grace_s: float) -> StopSchedule:
    """Return the schedule of a stop.

    Args:
        began_at: when the stop began.
        grace_s: seconds after which the process is killed.
    """
    finish_until = began_at + FINISH_TIME_SHARE * grace_s
    return StopSchedule(
        Seconds(began_at + ACCEPT_TIME_SHARE * grace_s),
        Seconds(finish_until - RESPONSE_MARGIN_S),
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
    earlier deadline always ends in time. Any other request starts only if the
    longest recent one would end in time, and gets the end of the schedule as
    its deadline.

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
    if longest_time is None:
        return None
    if now + LONGEST_TIME_FACTOR * longest_time > schedule.respond_until:
        return None
    return schedule.respond_until
