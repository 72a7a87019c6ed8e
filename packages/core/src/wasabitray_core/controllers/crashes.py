"""The fleet's knowledge of a request that crashed targets."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from wasabitray_core.ids import TargetId
from wasabitray_core.messages import Quarantine

# Crashes, without a response in between, that quarantine a request.
MIN_CRASHES = 3
# How long hosts remember a request that crashed targets, but too few for a
# quarantine.
SUSPICION_TTL_S = 600.0
# How long a quarantine lasts if no trial ends it.
QUARANTINE_TTL_S = 3_600.0
# How long hosts remember that a target served the request, so that reports of
# earlier crashes which arrive late are ignored.
CLEARED_TTL_S = 10.0


def is_quarantined(record: Quarantine) -> bool:
    """Return whether a request has crashed too many targets."""
    return len(record.targets) >= MIN_CRASHES


def get_time_to_live(record: Quarantine) -> float:
    """Return for how many seconds a host keeps a record."""
    if is_quarantined(record):
        return QUARANTINE_TTL_S
    return SUSPICION_TTL_S if record.targets else CLEARED_TTL_S


def merge_records(known: Quarantine, other: Quarantine) -> Quarantine:
    """Return what two hosts know together about a request.

    Hosts may merge in any order and repeatedly, and get the same result.
    """
    if known.epoch != other.epoch:
        return max(known, other, key=lambda r: r.epoch)
    # The union of two counters has the larger count of each target.
    crashes = Counter(known.targets) | Counter(other.targets)
    return replace(known, targets=_sort(crashes))


def add_crash(record: Quarantine, target: TargetId) -> Quarantine:
    """Return the record with one more crash of a target."""
    return replace(record, targets=_sort(Counter((*record.targets, target))))


def clear_crashes(record: Quarantine) -> Quarantine:
    """Return the record after a target served the request."""
    return Quarantine(record.fingerprint, (), record.epoch + 1)


def _sort(crashes: Counter[TargetId]) -> tuple[TargetId, ...]:
    return tuple(sorted(crashes.elements()))
