"""Evidence of real work, and ejection of targets that fail grayly."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import Any, ClassVar

from wasabitray_core.controllers.controller import (
    Context,
    Controller,
    Origin,
)
from wasabitray_core.controllers.detector import (
    RunningMedian,
)
from wasabitray_core.controllers.evidence import (
    WINDOW_S,
    Count,
    Report,
    ServiceEvidence,
    TargetEvidence,
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
from wasabitray_core.local_messages import (
    AcquireClaim,
    AttemptSample,
    ClaimDecided,
    ClaimVerdict,
    ConfigurationApplied,
    ControllerName,
    FleetView,
    GetStatus,
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
EJECT_FIRST_S = 10.0
EJECT_MAX_S = 300.0
FLAP_MEMORY_S = 900.0
TRIAL_SAMPLES = 8
TRIAL_TIMEOUT_S = 60.0
PERMIT_TTL_S = EJECT_MAX_S + TRIAL_TIMEOUT_S + 60.0
PERMIT_TIMEOUT_S = 1.0


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
        self._counts: dict[ServiceName, dict[TargetId, Count]] = {}
        self._baselines: dict[ServiceName, RunningMedian] = {}
        self._services: dict[ServiceName, ServiceEvidence] = {}
        self._floors: dict[ServiceName, int] = {}
        self._claims = 0
        self._reported_at = Seconds(0.0)

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message."""
        raise TypeError(f"{self!r} can't take {message!r}")

    @receive.register
    def _(self, message: FleetView, origin: Origin) -> None:
        self._entries = message.get_recent_entries() or (self.host,)

    @receive.register
    def _(self, message: ConfigurationApplied, origin: Origin) -> None:
        """The floors come in their own message."""

    @receive.register
    def _(self, message: ServiceLimits, origin: Origin) -> None:
        self._floors = dict(message.floors)

    @receive.register
    def _(self, message: UsableTargets, origin: Origin) -> None:
        service = self._service(message.service)
        service.active = message.active
        service.ejected = message.ejected
        service.warming = frozenset(message.warming)
        for target in set(service.targets) - set(message.active):
            self._release_permit(service.targets.pop(target))

    @receive.register
    def _(self, message: AttemptSample, origin: Origin) -> None:
        bad = not message.good or self._is_slow(message)
        targets = self._counts.setdefault(message.service, {})
        count = targets.setdefault(message.target, Count())
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

    def _service(self, name: ServiceName) -> ServiceEvidence:
        return self._services.setdefault(name, ServiceEvidence())

    # Collecting

    def _is_slow(self, sample: AttemptSample) -> bool:
        """Compare a good short attempt with the service's median."""
        if not sample.good or sample.work is WorkClass.LONG:
            return False
        if sample.target in self._service(sample.service).warming:
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
            judged = service.targets.setdefault(
                sample.target, TargetEvidence()
            )
            if judged.phase is EjectionPhase.PROBATION:
                judged.trial.good += sample.good
                judged.trial.bad += sample.bad
                continue
            if judged.phase is EjectionPhase.EJECTED:
                continue  # late reports of work from before the ejection
            report = Report(
                self._now(),
                reporter,
                evidence.region,
                sample.good,
                sample.bad,
            )
            judged.add(report, service.peers_bad_share(sample.target))
        for sample in evidence.samples:
            self._consider(evidence.service, service, sample.target)

    def _consider(
        self, name: ServiceName, service: ServiceEvidence, target: TargetId
    ) -> None:
        judged = service.targets[target]
        self._note_widespread(name, service)
        if (
            not judged.sums.alarmed
            or judged.pending
            or judged.phase is not EjectionPhase.RETURNED
            or target in service.ejected  # by an earlier evaluator
            or service.widespread
            or service.is_path_fault(judged, self._now())
        ):
            return
        self._request_permit(name, service, target)

    def _note_widespread(
        self, name: ServiceName, service: ServiceEvidence
    ) -> None:
        """Report once when most targets of a service turn bad together."""
        widespread = service.is_widespread()
        if widespread != service.widespread:
            service.widespread = widespread
            self._outbox.log_event(
                "widespread failure", service=name, present=widespread
            )

    # Ejecting

    def _permits(self, name: ServiceName, service: ServiceEvidence) -> int:
        """Return how many targets may be out at the same time."""
        return max(0, len(service.active) - self._floors.get(name, 1))

    def _request_permit(
        self, name: ServiceName, service: ServiceEvidence, target: TargetId
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
        self, name: ServiceName, target: TargetId, judged: TargetEvidence
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
        judged: TargetEvidence,
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

    def _advance_phases(
        self, name: ServiceName, service: ServiceEvidence
    ) -> None:
        now = self._now()
        for target, judged in service.targets.items():
            if judged.phase is EjectionPhase.EJECTED:
                if now >= judged.phase_ends:
                    self._start_trial(name, target, judged)
            elif judged.phase is EjectionPhase.PROBATION:
                self._check_trial(name, target, judged)

    def _start_trial(
        self, name: ServiceName, target: TargetId, judged: TargetEvidence
    ) -> None:
        judged.phase = EjectionPhase.PROBATION
        judged.phase_ends = Seconds(self._now() + TRIAL_TIMEOUT_S)
        judged.trial = Count()
        judged.forget()
        self._announce(name, target, judged, "on trial")

    def _check_trial(
        self, name: ServiceName, target: TargetId, judged: TargetEvidence
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
        judged: TargetEvidence,
        evidence: str,
    ) -> None:
        judged.phase = EjectionPhase.RETURNED
        judged.phase_ends = Seconds(self._now() + 1.0)
        judged.forget()
        self._announce(name, target, judged, evidence)
        self._release_permit(judged)

    def _return_surplus(
        self, name: ServiceName, service: ServiceEvidence
    ) -> None:
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

    def _release_permit(self, judged: TargetEvidence) -> None:
        if judged.permit is not None and judged.claim is not None:
            withdraw = WithdrawClaim(judged.permit, judged.claim)
            self._outbox.tell(ControllerName.CLAIMS, withdraw)
        judged.permit = judged.claim = None
