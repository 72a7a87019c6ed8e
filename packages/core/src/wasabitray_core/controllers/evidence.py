"""Evidence about a service's targets, and what follows from it."""

from __future__ import annotations

import math
from collections import deque

from msgspec import Struct, field

from wasabitray_core.controllers.detector import (
    NORMAL_FAILURE_SHARE,
    CumulativeSum,
)
from wasabitray_core.ids import (
    ClaimId,
    ClaimKey,
    HostId,
    RegionName,
    Seconds,
    TargetId,
)
from wasabitray_core.states import EjectionPhase

# Time for which reports of entries are kept.
WINDOW_S = 3.0
# Logarithm of the likelihood ratio, odds of about 50 to 1, at which a region
# is taken not to see a failure that another region sees.
PATH_CONFIDENCE = 4.0
# Share of failing and ejected targets that makes a failure widespread.
WIDESPREAD_SHARE = 0.4


class AttemptCount(Struct):
    """Numbers of successful attempts and of failed or slow ones."""

    successes: int = 0
    failures: int = 0

    @property
    def total(self) -> int:
        """All attempts."""
        return self.successes + self.failures

    @property
    def failure_share(self) -> float:
        """Share of failed attempts; 0 without any attempt."""
        return self.failures / self.total if self.total else 0.0


class EntryReport(Struct, frozen=True):
    """One entry's counts for a target, kept for the window."""

    at: Seconds
    reporter: HostId
    region: RegionName
    successes: int
    failures: int


class TargetEvidence(Struct):
    """A target as the evaluator of its service sees it.

    Attributes:
        phase_ends_at: when the phase ends; for a returned target, when it
            returned.
        probation: attempts since the probation began.
        consecutive_ejections: ejections without a long time in service
            between them.
        permit: key of the permit to eject the target, if one was requested.
        claim: the claim to the permit.
        is_permit_pending: whether a permit was requested and the request is
            not decided yet.
    """

    cumulative_sum: CumulativeSum = field(default_factory=CumulativeSum)
    window: deque[EntryReport] = field(default_factory=deque)
    phase: EjectionPhase = EjectionPhase.RETURNED
    phase_ends_at: Seconds = Seconds(0.0)
    probation: AttemptCount = field(default_factory=AttemptCount)
    consecutive_ejections: int = 0
    permit: ClaimKey | None = None
    claim: ClaimId | None = None
    is_permit_pending: bool = False

    def add(self, report: EntryReport, peers_failure_share: float) -> None:
        """Add an entry's report.

        Args:
            report: counts of an entry.
            peers_failure_share: share of failed attempts at other targets.
        """
        self.cumulative_sum.add(
            report.successes, report.failures, peers_failure_share
        )
        self.window.append(report)
        while self.window[0].at < report.at - WINDOW_S:
            self.window.popleft()

    def reset_evidence(self) -> None:
        """Discard the evidence after a decision about the target."""
        self.cumulative_sum = CumulativeSum()
        self.window.clear()

    def count_by_region(self) -> dict[RegionName, AttemptCount]:
        """Return the counts in the window by region of the reporter."""
        counts: dict[RegionName, AttemptCount] = {}
        for report in self.window:
            count = counts.setdefault(report.region, AttemptCount())
            count.successes += report.successes
            count.failures += report.failures
        return counts

    def count_total(self) -> AttemptCount:
        """Return the counts in the window from all reporters."""
        successes = sum(r.successes for r in self.window)
        return AttemptCount(successes, sum(r.failures for r in self.window))

    def find_failure_reporters(self) -> set[HostId]:
        """Return the entries that reported failures in the window."""
        return {r.reporter for r in self.window if r.failures}


class ServiceEvidence(Struct):
    """A service that this host evaluates.

    Attributes:
        reporters: entries that report, with the times of their last reports.
        active: all active targets.
        ejected: those of them that are ejected or on probation.
        warming: those of them that started a short while ago.
    """

    targets: dict[TargetId, TargetEvidence] = field(default_factory=dict)
    reporters: dict[HostId, Seconds] = field(default_factory=dict)
    active: tuple[TargetId, ...] = ()
    ejected: tuple[TargetId, ...] = ()
    warming: frozenset[TargetId] = frozenset()
    has_widespread_failure: bool = False

    def get_peers_failure_share(self, target: TargetId) -> float:
        """Return the median failure share of the other targets.

        With a median, one other failing target can't hide that this one fails.
        """
        shares = sorted(
            evidence.count_total().failure_share
            for name, evidence in self.targets.items()
            if name != target and evidence.window
        )
        return shares[len(shares) // 2] if shares else 0.0

    def detect_widespread_failure(self) -> bool:
        """Return whether many targets began to fail together."""
        observed = [t for t in self.targets.values() if t.window]
        suspicious_count = sum(
            1 for t in observed if t.cumulative_sum.is_suspicious
        )
        ejected_count = sum(
            1
            for t in self.targets.values()
            if t.phase is not EjectionPhase.RETURNED
        )
        known_count = max(1, len(self.active), len(observed))
        failing_share = (suspicious_count + ejected_count) / known_count
        return suspicious_count > 1 and failing_share >= WIDESPREAD_SHARE

    def is_path_failure(self, evidence: TargetEvidence, now: Seconds) -> bool:
        """Return whether only one entry or only some regions see a failure.

        The cause is then the path to the target and not the target.
        """
        window_start = now - WINDOW_S
        reporters = [
            h for h, at in self.reporters.items() if at >= window_start
        ]
        if len(reporters) > 1 and len(evidence.find_failure_reporters()) < 2:
            return True
        counts = evidence.count_by_region()
        worst_region = max(
            counts, key=lambda r: counts[r].failures, default=None
        )
        return worst_region is not None and any(
            _sees_normal_share(
                counts[region], counts[worst_region].failure_share
            )
            for region in counts
            if region != worst_region
        )


def _sees_normal_share(count: AttemptCount, share: float) -> bool:
    """Return whether a region sees a normal share of failures at a target.

    The region's attempts are tested by the logarithm of their likelihood
    ratio: their likelihood if the given share of attempts fails, over their
    likelihood if the normal share does.

    Args:
        count: the region's attempts at the target.
        share: share of failures that another region sees.
    """
    share = min(0.95, max(2.0 * NORMAL_FAILURE_SHARE, share))
    ratio = count.failures * math.log(share / NORMAL_FAILURE_SHARE)
    ratio += count.successes * math.log(
        (1 - share) / (1 - NORMAL_FAILURE_SHARE)
    )
    return ratio <= -PATH_CONFIDENCE
