"""Evidence about a service's targets and what it says."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from wasabitray_core.controllers.detector import (
    ORDINARY_BAD_SHARE,
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

WINDOW_S = 3.0
# Odds of about 50 to 1 that a region does not see what another one sees.
PATH_CONFIDENCE = 4.0
WIDESPREAD_SHARE = 0.4


@dataclass(slots=True)
class Count:
    """Good and bad attempts."""

    good: int = 0
    bad: int = 0

    @property
    def total(self) -> int:
        """All attempts."""
        return self.good + self.bad

    @property
    def bad_share(self) -> float:
        """Share of bad attempts, 0 without any."""
        return self.bad / self.total if self.total else 0.0


@dataclass(frozen=True, slots=True)
class Report:
    """One entry's counts for a target, kept for the window."""

    at: Seconds
    reporter: HostId
    region: RegionName
    good: int
    bad: int


@dataclass(slots=True)
class TargetEvidence:
    """A target as the evaluator of its service sees it.

    Attributes:
        phase_ends: when the phase ends; for a returned target, when it
            returned.
        ejections: in a row, without a long good time between them.
        pending: a permit was asked for and not decided.
    """

    sums: CumulativeSum = field(default_factory=CumulativeSum)
    window: deque[Report] = field(default_factory=deque)
    phase: EjectionPhase = EjectionPhase.RETURNED
    phase_ends: Seconds = Seconds(0.0)
    trial: Count = field(default_factory=Count)
    ejections: int = 0
    permit: ClaimKey | None = None
    claim: ClaimId | None = None
    pending: bool = False

    def add(self, report: Report, ordinary: float) -> None:
        """Add a report; `ordinary` is the peers' share of bad attempts."""
        self.sums.add(report.good, report.bad, ordinary)
        self.window.append(report)
        while self.window[0].at < report.at - WINDOW_S:
            self.window.popleft()

    def forget(self) -> None:
        """Drop the evidence, after a decision about the target."""
        self.sums = CumulativeSum()
        self.window.clear()

    def by_region(self) -> dict[RegionName, Count]:
        """Return the counts in the window by the reporters' region."""
        counts: dict[RegionName, Count] = {}
        for report in self.window:
            count = counts.setdefault(report.region, Count())
            count.good += report.good
            count.bad += report.bad
        return counts

    def total(self) -> Count:
        """Return the counts in the window."""
        good = sum(r.good for r in self.window)
        return Count(good, sum(r.bad for r in self.window))

    def blamers(self) -> set[HostId]:
        """Return the entries that saw bad attempts in the window."""
        return {r.reporter for r in self.window if r.bad}


@dataclass(slots=True)
class ServiceEvidence:
    """A service that this host evaluates."""

    targets: dict[TargetId, TargetEvidence] = field(default_factory=dict)
    reporters: dict[HostId, Seconds] = field(default_factory=dict)
    active: tuple[TargetId, ...] = ()
    ejected: tuple[TargetId, ...] = ()
    warming: frozenset[TargetId] = frozenset()
    widespread: bool = False

    def peers_bad_share(self, target: TargetId) -> float:
        """Return the median bad share of the other targets.

        The median keeps one other bad target from hiding this one.
        """
        shares = sorted(
            judged.total().bad_share
            for name, judged in self.targets.items()
            if name != target and judged.window
        )
        return shares[len(shares) // 2] if shares else 0.0

    def is_widespread(self) -> bool:
        """Tell whether most targets turned bad together."""
        seen = [j for j in self.targets.values() if j.window]
        suspicious = sum(1 for j in seen if j.sums.suspicious)
        gone = sum(
            1
            for j in self.targets.values()
            if j.phase is not EjectionPhase.RETURNED
        )
        known = max(1, len(self.active), len(seen))
        share = (suspicious + gone) / known
        return suspicious > 1 and share >= WIDESPREAD_SHARE

    def is_path_fault(self, judged: TargetEvidence, now: Seconds) -> bool:
        """Tell whether only one entry or some regions see a failure."""
        oldest = now - WINDOW_S
        reporters = [h for h, at in self.reporters.items() if at >= oldest]
        if len(reporters) > 1 and len(judged.blamers()) < 2:
            return True
        counts = judged.by_region()
        worst = max(counts, key=lambda r: counts[r].bad, default=None)
        return worst is not None and any(
            _contradicts(counts[region], counts[worst].bad_share)
            for region in counts
            if region != worst
        )


def _contradicts(count: Count, share: float) -> bool:
    """Tell whether a region sees a target as ordinary, not as bad.

    It is the logarithm of the likelihood ratio of its attempts between the
    given bad share and the ordinary one.
    """
    share = min(0.95, max(2.0 * ORDINARY_BAD_SHARE, share))
    ratio = count.bad * math.log(share / ORDINARY_BAD_SHARE)
    ratio += count.good * math.log((1 - share) / (1 - ORDINARY_BAD_SHARE))
    return ratio <= -PATH_CONFIDENCE
