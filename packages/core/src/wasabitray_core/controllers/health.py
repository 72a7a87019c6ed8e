"""Evidence of real work, and ejection of targets that fail grayly."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from functools import singledispatchmethod
from typing import Any, ClassVar

from wasabitray_core.controllers.controller import (
    Context,
    Controller,
    Origin,
)
from wasabitray_core.controllers.detector import (
    ORDINARY_BAD_SHARE,
    CumulativeSum,
    RunningMedian,
)
from wasabitray_core.controllers.targets import NEW_VERSION
from wasabitray_core.ids import (
    ClaimId,
    ClaimKey,
    HostId,
    RegionName,
    Seconds,
    ServiceName,
    TargetId,
)
from wasabitray_core.local import (
    AcquireClaim,
    ClaimDecided,
    ClaimVerdict,
    ControllerName,
    FleetView,
    GetStatus,
    InForce,
    Sample,
    ServiceLimits,
    Tick,
    UsableTargets,
    WithdrawClaim,
)
from wasabitray_core.messages import Ejection, Evidence, TargetSample
from wasabitray_core.rendezvous import choose_owner
from wasabitray_core.states import EjectionPhase, WorkClass

TICK_S = 0.1
# Good attempts are reported this often, bad ones with the next tick.
REPORT_INTERVAL_S = 0.25
SLOW_FACTOR = 3.0
SLOW_FLOOR_S = 0.005
MIN_BASELINE_SAMPLES = 20
WINDOW_S = 3.0
# Odds of about 50 to 1 that a region does not see what another one sees.
PATH_CONFIDENCE = 4.0
WIDESPREAD_SHARE = 0.4
EJECT_FIRST_S = 10.0
EJECT_MAX_S = 300.0
FLAP_MEMORY_S = 900.0
TRIAL_SAMPLES = 8
TRIAL_TIMEOUT_S = 60.0
PERMIT_TTL_S = EJECT_MAX_S + TRIAL_TIMEOUT_S + 60.0
PERMIT_TIMEOUT_S = 1.0


@dataclass(slots=True)
class _Count:
    good: int = 0
    bad: int = 0

    @property
    def total(self) -> int:
        return self.good + self.bad

    @property
    def bad_share(self) -> float:
        return self.bad / self.total if self.total else 0.0


@dataclass(frozen=True, slots=True)
class _Report:
    """One entry's counts for a target, kept for the window."""

    at: Seconds
    reporter: HostId
    region: RegionName
    good: int
    bad: int


@dataclass(slots=True)
class _Judged:
    """A target as the evaluator of its service sees it."""

    sums: CumulativeSum = field(default_factory=CumulativeSum)
    window: deque[_Report] = field(default_factory=deque)
    phase: EjectionPhase = EjectionPhase.RETURNED
    phase_ends: Seconds = Seconds(0.0)
    trial: _Count = field(default_factory=_Count)
    ejections: int = 0
    permit: ClaimKey | None = None
    claim: ClaimId | None = None
    pending: bool = False

    def by_region(self) -> dict[RegionName, _Count]:
        counts: dict[RegionName, _Count] = {}
        for report in self.window:
            count = counts.setdefault(report.region, _Count())
            count.good += report.good
            count.bad += report.bad
        return counts

    def total(self) -> _Count:
        good = sum(r.good for r in self.window)
        return _Count(good, sum(r.bad for r in self.window))

    def blamers(self) -> set[HostId]:
        return {r.reporter for r in self.window if r.bad}


@dataclass(slots=True)
class _Service:
    """A service this host evaluates."""

    targets: dict[TargetId, _Judged] = field(default_factory=dict)
    reporters: dict[HostId, Seconds] = field(default_factory=dict)
    active: tuple[TargetId, ...] = ()
    ejected: tuple[TargetId, ...] = ()
    widespread: bool = False


class HealthController(Controller):
    """Owns the evidence about targets.

    Each entry counts good and bad attempts and sends the counts to the
    service's evaluator, one entry chosen by rendezvous hashing. The
    evaluator ejects a target that does clearly worse than its peers. Each
    ejection needs one of a service's numbered permits, granted like a
    claim by a majority of the claim group, so that ejections by several
    evaluators together never go below the floor.
    """

    name: ClassVar[ControllerName] = ControllerName.HEALTH
    tick_interval_s = TICK_S

    def __init__(self, context: Context, region: RegionName) -> None:
        """Start without evidence."""
        super().__init__(context)
        self._region = region
        self._entries: tuple[HostId, ...] = (context.host,)
        self._counts: dict[ServiceName, dict[TargetId, _Count]] = {}
        self._baselines: dict[ServiceName, RunningMedian] = {}
        self._services: dict[ServiceName, _Service] = {}
        self._floors: dict[ServiceName, int] = {}
        self._claims = 0
        self._reported_at = Seconds(0.0)

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message."""
        raise TypeError(f"{self!r} can't take {message!r}")

    @receive.register
    def _(self, message: FleetView, origin: Origin) -> None:
        self._entries = message.fresh_entries() or (self.host,)

    @receive.register
    def _(self, message: InForce, origin: Origin) -> None:
        """The floors come in their own message."""

    @receive.register
    def _(self, message: ServiceLimits, origin: Origin) -> None:
        self._floors = dict(message.floors)

    @receive.register
    def _(self, message: UsableTargets, origin: Origin) -> None:
        service = self._service(message.service)
        service.active = message.active
        service.ejected = message.ejected
        for target in set(service.targets) - set(message.active):
            self._release_permit(service.targets.pop(target))

    @receive.register
    def _(self, message: Sample, origin: Origin) -> None:
        bad = not message.good or self._is_slow(message)
        targets = self._counts.setdefault(message.service, {})
        count = targets.setdefault(message.target, _Count())
        if bad:
            count.bad += 1
        else:
            count.good += 1

    @receive.register
    def _(self, message: Evidence, origin: Origin) -> None:
        assert origin.peer is not None
        self._judge(message, origin.peer)

    @receive.register
    def _(self, message: ClaimDecided, origin: Origin) -> None:
        self._finish_ejection(message)

    @receive.register
    def _(self, message: Tick, origin: Origin) -> None:
        self._report_evidence()
        for name, service in self._services.items():
            self._advance_phases(name, service)
            self._return_surplus(name, service)

    @receive.register
    def _(self, message: GetStatus, origin: Origin) -> None:
        self._reply(
            origin,
            {
                name: {
                    "evaluator": choose_owner(name, self._entries),
                    "widespread_failure": service.widespread,
                    "scores": {
                        t: round(j.sums.score, 2)
                        for t, j in service.targets.items()
                        if j.sums.score
                    },
                    "medians_ms": self._median_ms(name),
                }
                for name, service in self._services.items()
            },
        )

    def _median_ms(self, name: ServiceName) -> float | None:
        baseline = self._baselines.get(name)
        return round(baseline.value * 1_000, 3) if baseline else None

    def _service(self, name: ServiceName) -> _Service:
        return self._services.setdefault(name, _Service())

    # Collecting

    def _is_slow(self, sample: Sample) -> bool:
        """Compare a good short attempt with the service's median."""
        if not sample.good or sample.work is WorkClass.LONG:
            return False
        baseline = self._baselines.setdefault(sample.service, RunningMedian())
        known = baseline.count >= MIN_BASELINE_SAMPLES
        limit = max(SLOW_FLOOR_S, SLOW_FACTOR * baseline.value)
        baseline.add(sample.elapsed)
        return known and sample.elapsed > limit

    def _report_evidence(self) -> None:
        now = self._now()
        due = now - self._reported_at >= REPORT_INTERVAL_S
        if due:
            self._reported_at = now
        for service, targets in list(self._counts.items()):
            if not due and not any(c.bad for c in targets.values()):
                continue
            del self._counts[service]
            samples = tuple(
                TargetSample(target, count.good, count.bad)
                for target, count in targets.items()
            )
            evidence = Evidence(service, self._region, samples)
            evaluator = choose_owner(service, self._entries)
            if evaluator == self.host:
                self._judge(evidence, self.host)
            else:
                self._outbox.send(evaluator, evidence)

    # Judging

    def _judge(self, evidence: Evidence, reporter: HostId) -> None:
        service = self._service(evidence.service)
        service.reporters[reporter] = self._now()
        for sample in evidence.samples:
            judged = service.targets.setdefault(sample.target, _Judged())
            if judged.phase is EjectionPhase.PROBATION:
                judged.trial.good += sample.good
                judged.trial.bad += sample.bad
                continue
            if judged.phase is EjectionPhase.EJECTED:
                continue  # late reports of work from before the ejection
            ordinary = self._peers_bad_share(service, sample.target)
            judged.sums.add(sample.good, sample.bad, ordinary)
            judged.window.append(
                _Report(
                    self._now(),
                    reporter,
                    evidence.region,
                    sample.good,
                    sample.bad,
                )
            )
            self._trim(judged)
        for sample in evidence.samples:
            self._consider(evidence.service, service, sample.target)

    def _trim(self, judged: _Judged) -> None:
        oldest = self._now() - WINDOW_S
        while judged.window and judged.window[0].at < oldest:
            judged.window.popleft()

    @staticmethod
    def _peers_bad_share(service: _Service, target: TargetId) -> float:
        """Return the median bad share of the other targets.

        The median keeps one other bad target from hiding this one.
        """
        shares = sorted(
            judged.total().bad_share
            for name, judged in service.targets.items()
            if name != target and judged.window
        )
        return shares[len(shares) // 2] if shares else 0.0

    def _consider(
        self, name: ServiceName, service: _Service, target: TargetId
    ) -> None:
        judged = service.targets[target]
        self._note_widespread(name, service)
        if (
            not judged.sums.alarmed
            or judged.pending
            or judged.phase is not EjectionPhase.RETURNED
            or target in service.ejected  # by an earlier evaluator
            or service.widespread
            or self._is_path_fault(service, judged)
        ):
            return
        self._request_permit(name, service, target)

    def _note_widespread(self, name: ServiceName, service: _Service) -> None:
        """Report once when most targets of a service turn bad together."""
        seen = [j for j in service.targets.values() if j.window]
        suspicious = sum(1 for j in seen if j.sums.suspicious)
        gone = sum(
            1
            for j in service.targets.values()
            if j.phase is not EjectionPhase.RETURNED
        )
        share = (suspicious + gone) / max(1, len(service.active), len(seen))
        widespread = suspicious > 1 and share >= WIDESPREAD_SHARE
        if widespread != service.widespread:
            service.widespread = widespread
            self._outbox.report(
                "widespread failure", service=name, present=widespread
            )

    def _is_path_fault(self, service: _Service, judged: _Judged) -> bool:
        """Tell whether only some entries see the failure."""
        oldest = self._now() - WINDOW_S
        reporters = [h for h, at in service.reporters.items() if at >= oldest]
        if len(reporters) > 1 and len(judged.blamers()) < 2:
            return True
        counts = judged.by_region()
        worst = max(counts, key=lambda r: counts[r].bad, default=None)
        return worst is not None and any(
            _contradicts(counts[region], counts[worst].bad_share)
            for region in counts
            if region != worst
        )

    # Ejecting

    def _permits(self, name: ServiceName, service: _Service) -> int:
        """Return how many targets may be out at the same time."""
        return max(0, len(service.active) - self._floors.get(name, 1))

    def _request_permit(
        self, name: ServiceName, service: _Service, target: TargetId
    ) -> None:
        permits = self._permits(name, service)
        if not permits:
            return
        judged = service.targets[target]
        number = self._context.random.randrange(permits)
        self._claims += 1
        judged.permit = ClaimKey(f"eject/{name}/{number}")
        judged.claim = ClaimId(f"{self.host}/{self._now()}/{self._claims}")
        judged.pending = True
        self._outbox.tell(
            ControllerName.CLAIMS,
            AcquireClaim(
                judged.permit, judged.claim, PERMIT_TTL_S, PERMIT_TIMEOUT_S
            ),
        )

    def _finish_ejection(self, decided: ClaimDecided) -> None:
        for name, service in self._services.items():
            for target, judged in service.targets.items():
                if judged.pending and judged.claim == decided.claim:
                    judged.pending = False
                    if decided.verdict is ClaimVerdict.GRANTED:
                        self._eject(name, target, judged)
                    else:
                        judged.permit = judged.claim = None
                    return
        if decided.verdict is ClaimVerdict.GRANTED:
            # The target went away meanwhile.
            withdraw = WithdrawClaim(decided.key, decided.claim)
            self._outbox.tell(ControllerName.CLAIMS, withdraw)

    def _eject(
        self, name: ServiceName, target: TargetId, judged: _Judged
    ) -> None:
        now = self._now()
        if now - judged.phase_ends > FLAP_MEMORY_S:
            judged.ejections = 0
        duration = min(EJECT_MAX_S, EJECT_FIRST_S * 2**judged.ejections)
        judged.ejections += 1
        judged.phase = EjectionPhase.EJECTED
        judged.phase_ends = Seconds(now + duration)
        count = judged.total()
        evidence = (
            f"{count.bad} of {count.total} attempts bad in {WINDOW_S:.0f} s, "
            f"seen by {len(judged.blamers())} entries"
        )
        self._announce(name, target, judged, evidence)

    def _announce(
        self,
        name: ServiceName,
        target: TargetId,
        judged: _Judged,
        evidence: str,
    ) -> None:
        remaining = max(0.0, judged.phase_ends - self._now())
        if judged.phase is EjectionPhase.EJECTED:
            remaining += TRIAL_TIMEOUT_S  # until the news of the trial
        ejection = Ejection(
            target, name, NEW_VERSION, judged.phase, remaining, evidence
        )
        self._outbox.tell(ControllerName.TARGETS, ejection)

    # Returning

    def _advance_phases(self, name: ServiceName, service: _Service) -> None:
        now = self._now()
        for target, judged in service.targets.items():
            if judged.phase is EjectionPhase.EJECTED:
                if now >= judged.phase_ends:
                    self._start_trial(name, target, judged)
            elif judged.phase is EjectionPhase.PROBATION:
                self._check_trial(name, target, judged)

    def _start_trial(
        self, name: ServiceName, target: TargetId, judged: _Judged
    ) -> None:
        judged.phase = EjectionPhase.PROBATION
        judged.phase_ends = Seconds(self._now() + TRIAL_TIMEOUT_S)
        judged.trial = _Count()
        judged.sums = CumulativeSum()
        judged.window.clear()
        self._announce(name, target, judged, "on trial")

    def _check_trial(
        self, name: ServiceName, target: TargetId, judged: _Judged
    ) -> None:
        if judged.trial.bad >= 2:
            self._eject(name, target, judged)
        elif (
            judged.trial.good >= TRIAL_SAMPLES
            or self._now() >= judged.phase_ends
        ):
            self._return(name, target, judged, "trial passed")

    def _return(
        self,
        name: ServiceName,
        target: TargetId,
        judged: _Judged,
        evidence: str,
    ) -> None:
        judged.phase = EjectionPhase.RETURNED
        judged.phase_ends = Seconds(self._now() + 1.0)
        judged.sums = CumulativeSum()
        judged.window.clear()
        self._announce(name, target, judged, evidence)
        self._release_permit(judged)

    def _return_surplus(self, name: ServiceName, service: _Service) -> None:
        """Return ejected targets when leaving ones shrink the service."""
        out = [
            (judged.phase_ends, target)
            for target, judged in service.targets.items()
            if judged.phase is not EjectionPhase.RETURNED
        ]
        surplus = len(out) - self._permits(name, service)
        for _, target in sorted(out)[: max(0, surplus)]:
            judged = service.targets[target]
            self._return(name, target, judged, "needed for the floor")

    def _release_permit(self, judged: _Judged) -> None:
        if judged.permit is not None and judged.claim is not None:
            withdraw = WithdrawClaim(judged.permit, judged.claim)
            self._outbox.tell(ControllerName.CLAIMS, withdraw)
        judged.permit = judged.claim = None


def _contradicts(count: _Count, share: float) -> bool:
    """Tell whether a region sees a target as ordinary, not as bad.

    It is the logarithm of the likelihood ratio of its attempts between the
    given bad share and the ordinary one.
    """
    share = min(0.95, max(2.0 * ORDINARY_BAD_SHARE, share))
    ratio = count.bad * math.log(share / ORDINARY_BAD_SHARE)
    ratio += count.good * math.log((1 - share) / (1 - ORDINARY_BAD_SHARE))
    return ratio <= -PATH_CONFIDENCE
