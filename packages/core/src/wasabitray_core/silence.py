"""When a target that does not respond is evidence against the target.

Answers failure episodes in which a target accepts requests and never responds,
while its health check passes. A timeout alone shows little: the path may be
cut, the target may be overloaded, and some requests take long.
"""

from __future__ import annotations

from msgspec import Struct

from wasabitray_core.ids import Seconds

# Multiples of the average time of a service's attempts. A few requests in a
# hundred take several times the average.
SUSPECT_FACTOR = 4.0
CONCLUDE_FACTOR = 9.0
# Lower bounds, for services whose requests take less than delays in the
# network.
MIN_SUSPECT_S = 0.5
MIN_CONCLUDE_S = 1.0


class SilenceLimits(Struct, frozen=True):
    """Times without a response, in seconds since the attempt began.

    Attributes:
        suspect_after: an attempt that is given up later adds to the evidence
            against its target.
        conclude_after: a target that is silent for so long has failed.
    """

    suspect_after: Seconds
    conclude_after: Seconds


def get_silence_limits(
    average: float | None, load: float, slots: int
) -> SilenceLimits | None:
    """Return the limits of an attempt.

    Args:
        average: average time of the service's attempts in seconds, None if it
            is not known.
        load: requests at the target before the attempt.
        slots: requests that the target runs at the same time.

    Returns:
        None if silence of the attempt shows nothing: its time is not known,
        or it may wait for a slot.
    """
    if average is None or load >= slots:
        return None
    return SilenceLimits(
        Seconds(max(MIN_SUSPECT_S, SUSPECT_FACTOR * average)),
        Seconds(max(MIN_CONCLUDE_S, CONCLUDE_FACTOR * average)),
    )
