"""The measured times of a service's attempts, and what they show.

Handles a slow target among others and a service that is slow as a whole.
"""

from __future__ import annotations

from collections import Counter, deque

from wasabitray_core.ids import Seconds, TargetId

# Attempts that are kept, and for how long.
MAX_ATTEMPTS = 256
MAX_AGE_S = 60.0
# Fewer attempts show no quantile.
MIN_ATTEMPTS = 20
# New attempts after which the delay is determined again.
RENEWAL_ATTEMPTS = 8
# The delay is at most this many medians. A target that is slow for more of
# the requests than the quantile leaves out would otherwise raise the delay to
# its own time. Of exponentially distributed times, the 0.95 quantile is 4.3
# medians.
MAX_MEDIANS = 4.0
# A second attempt takes about a median itself. Before the first one has taken
# two, it can hardly overtake it and uses rights that slower requests need.
MIN_MEDIANS = 2.0
# Timers and queues in the entry take some milliseconds on a busy machine.
MIN_DELAY_S = 0.02

# Requests that are remembered to tell whether the service is slow, and for how
# long. With more of them, those before the service became slow hide it.
REMEMBERED_REQUESTS = 20
REMEMBERED_S = 6.0
# The service is slow if so many of them, and this share, were overdue at
# targets other than the slowest one.
MIN_OVERDUE = 2
MAX_OVERDUE_SHARE = 0.15


class RecentTimes:
    """The times of recent attempts, and the delay that they give."""

    def __init__(self) -> None:
        """Start without attempts."""
        self._times: deque[tuple[Seconds, float]] = deque(maxlen=MAX_ATTEMPTS)
        self._delay: Seconds | None = None
        self._new_attempts = 0

    def record(self, elapsed: float, now: Seconds) -> None:
        """Record an attempt.

        One that was cancelled because another one was faster is recorded
        with its time until then. That is above the delay, so the number of
        attempts above the delay stays right. Without these attempts, the
        delay would fall with each second attempt and cause more of them.
        """
        self._times.append((now, elapsed))
        self._new_attempts += 1

    def get_delay(self, quantile: float, now: Seconds) -> Seconds | None:
        """Return the delay of a second attempt, None if it is not known.

        Args:
            quantile: share of the attempts that take less time.
            now: monotonic seconds.
        """
        while self._times and self._times[0][0] < now - MAX_AGE_S:
            self._times.popleft()
            self._new_attempts += 1
        if len(self._times) < MIN_ATTEMPTS:
            return None
        if self._delay is None or self._new_attempts >= RENEWAL_ATTEMPTS:
            self._new_attempts = 0
            ordered = sorted(elapsed for _, elapsed in self._times)
            median = ordered[len(ordered) // 2]
            at_quantile = ordered[int(quantile * (len(ordered) - 1))]
            delay = min(at_quantile, MAX_MEDIANS * median)
            delay = max(delay, MIN_MEDIANS * median)
            self._delay = Seconds(max(MIN_DELAY_S, delay))
        return self._delay


class OverdueRequests:
    """Tells a service that is slow as a whole from a slow target.

    If requests are overdue at several targets, a second attempt is as slow as
    the first one, and its work adds to what makes the service slow.
    """

    def __init__(self) -> None:
        """Start without requests."""
        self._requests: deque[tuple[Seconds, TargetId, bool]] = deque(
            maxlen=REMEMBERED_REQUESTS
        )

    def record(self, target: TargetId, is_overdue: bool, now: Seconds) -> None:
        """Record a first attempt that ended in time or became overdue."""
        self._requests.append((now, target, is_overdue))

    def is_service_slow(self, now: Seconds) -> bool:
        """Tell whether many requests are overdue at more than one target."""
        while self._requests and self._requests[0][0] < now - REMEMBERED_S:
            self._requests.popleft()
        overdue = Counter(
            t for _, t, is_overdue in self._requests if is_overdue
        )
        if len(overdue) < 2:
            return False
        slowest, _ = overdue.most_common(1)[0]
        others = [o for _, t, o in self._requests if t != slowest]
        count = sum(others)
        return count >= MIN_OVERDUE and count > MAX_OVERDUE_SHARE * len(others)
