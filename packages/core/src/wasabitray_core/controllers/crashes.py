"""The fleet's knowledge of a request that crashed targets."""

from __future__ import annotations

import math
from collections import Counter

from msgspec.structs import replace

from wasabitray_core.ids import TargetId
from wasabitray_core.messages import Quarantine

# Crashes, without a response in between, that quarantine a request.
MIN_CRASHES = 3
# Crashes from which on a record is stored. A single one is common and may be
# forgotten when all processes end: one attempt more is within the promise.
MIN_STORED_CRASHES = MIN_CRASHES - 1
# Waits before the first and before the second trial of a quarantined request.
# Three trials are promised at most; the third is left for entries that do not
# know of the quarantine yet.
TRIAL_WAITS_S = (10.0, 60.0)
# How long hosts remember a request that crashed targets, but too few for a
# quarantine.
SUSPICION_TTL_S = 120.0
# How long a quarantine lasts after the newest crash or trial.
QUARANTINE_TTL_S = 3_600.0
# How long hosts remember that a target served the request, so that reports of
# earlier crashes which arrive late are ignored.
CLEARED_TTL_S = 10.0


def is_quarantined(record: Quarantine) -> bool:
    """Return whether a request has crashed too many targets."""
    return len(record.targets) >= MIN_CRASHES


def must_be_stored(record: Quarantine) -> bool:
    """Return whether a record, or its removal, must outlive a restart."""
    return not record.targets or len(record.targets) >= MIN_STORED_CRASHES


def get_trial_wait(record: Quarantine) -> float:
    """Return the seconds from now to the next trial, infinite if none."""
    used = record.trials - record.unused_trials
    return TRIAL_WAITS_S[used] if used < len(TRIAL_WAITS_S) else math.inf


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
    return replace(
        known,
        targets=_merge_crashes(known.targets, other.targets),
        trials=max(known.trials, other.trials),
        unused_trials=max(known.unused_trials, other.unused_trials),
    )


def add_crash(record: Quarantine, target: TargetId) -> Quarantine:
    """Return the record with one more crash of a target."""
    return replace(record, targets=_sort(Counter((*record.targets, target))))


def clear_crashes(record: Quarantine) -> Quarantine:
    """Return the record after a target served the request."""
    return Quarantine(record.fingerprint, (), record.epoch + 1)


def count_trial(record: Quarantine) -> Quarantine:
    """Return the record with one more trial."""
    return replace(record, trials=record.trials + 1)


def count_unused_trial(record: Quarantine) -> Quarantine:
    """Return the record with one more trial that did not run."""
    return replace(record, unused_trials=record.unused_trials + 1)


def find_new_crashes(
    record: Quarantine, known: Quarantine
) -> frozenset[TargetId]:
    """Return the targets with more crashes than are known of the request."""
    if record.epoch != known.epoch or not known.targets:
        return frozenset(record.targets)
    return frozenset(Counter(record.targets) - Counter(known.targets))


def _merge_crashes(
    known: tuple[TargetId, ...], other: tuple[TargetId, ...]
) -> tuple[TargetId, ...]:
    """Return the larger count of crashes of each target."""
    if not known or not other or known == other:
        return tuple(sorted(known or other))
    return _sort(Counter(known) | Counter(other))


def _sort(crashes: Counter[TargetId]) -> tuple[TargetId, ...]:
    return tuple(sorted(crashes.elements()))
