"""Ejection of targets with gray failures, by evidence from real requests."""

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
    AttemptCount,
    EntryReport,
    ServiceEvidence,
    TargetEvidence,
)
from wasabitray_core.controllers.targets import UNASSIGNED_VERSION
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
# Successful attempts are reported this often, failed ones at the next tick.
REPORT_INTERVAL_S = 0.25
# An attempt is slow if it takes longer than this many times the median of its
# service, and longer than MIN_SLOW_S.
SLOW_FACTOR = 3.0
MIN_SLOW_S = 0.005
# Attempts needed before the median is used.
MIN_BASELINE_SAMPLES = 20
# The duration of an ejection doubles with each consecutive one.
MIN_EJECTION_S = 10.0
MAX_EJECTION_S = 300.0
# Time in service after which ejections no longer count as consecutive.
EJECTION_RESET_S = 900.0
# Successful attempts that end a probation.
PROBATION_SUCCESSES = 8
PROBATION_TIMEOUT_S = 60.0
PERMIT_TTL_S = MAX_EJECTION_S + PROBATION_TIMEOUT_S + 60.0
PERMIT_TIMEOUT_S = 1.0


class HealthController(Controller):
    """Owns the evidence about targets.

    Each entry counts successful and failed attempts; slow ones count as
    failed. It sends the counts to the service's evaluator, an entry chosen by
    rendezvous hashing. The evaluator ejects a target that fails clearly more
    than its peers. Each ejection needs one of the service's numbered permits,
    which a majority of the claim group grants like a claim. Several
    evaluators together can therefore never eject targets below the floor.
    """

    name: ClassVar[ControllerName] = ControllerName.HEALTH
    tick_interval_s = TICK_S

    def __init__(self, context: Context, region: RegionName) -> None:
        """Start without evidence."""
        super().__init__(context)
        self._region = region
        self._entries: tuple[HostId, ...] = (context.host,)
        self._counts: dict[ServiceName, dict[TargetId, AttemptCount]] = {}
        self._baselines: dict[ServiceName, RunningMedian] = {}
        self._services: dict[ServiceName, ServiceEvidence] = {}
        self._floors: dict[ServiceName, int] = {}
        self._claim_count = 0
        self._last_report_at = Seconds(0.0)

    @singledispatchmethod
    def receive(self, message: Any, origin: Origin) -> None:
        """Handle one message."""
        raise TypeError(f"{self!r} does not handle {message!r}")

    @receive.register
    def _(self, message: FleetView, origin: Origin) -> None:
        self._entries = message.get_recent_entries() or (self.host,)

    @receive.register
    def _(self, message: ConfigurationApplied, origin: Origin) -> None:
        """Ignored: the floors arrive in a ServiceLimits message."""

    @receive.register
    def _(self, message: ServiceLimits, origin: Origin) -> None:
        self._floors = dict(message.floors)

    @receive.register
    def _(self, message: UsableTargets, origin: Origin) -> None:
        service = self._get_service(message.service)
        service.active = message.active
        service.ejected = message.ejected
        service.warming = frozenset(message.warming)
        for target in set(service.targets) - set(message.active):
            self._withdraw_permit(service.targets.pop(target))

    @receive.register
    def _(self, message: AttemptSample, origin: Origin) -> None:
        has_failed = not message.good or self._is_slow(message)
        targets = self._counts.setdefault(message.service, {})
        count = targets.setdefault(message.target, AttemptCount())
        if has_failed:
            count.failures += 1
        else:
            count.successes += 1

    @receive.register
    def _(self, message: Evidence, origin: Origin) -> None:
        assert origin.peer is not None
        self._apply_evidence(message, origin.peer)

    @receive.register
    def _(self, message: ClaimDecided, origin: Origin) -> None:
        self._handle_decision(message)

    @receive.register
    def _(self, message: Tick, origin: Origin) -> None:
        self._report_evidence()
        for name, service in self._services.items():
            self._advance_phases(name, service)
            self._return_excess(name, service)

    @receive.register
    def _(self, message: GetStatus, origin: Origin) -> None:
        self._reply(
            origin,
            {
                name: {
                    "evaluator": choose_owner(name, self._entries),
                    "widespread_failure": service.has_widespread_failure,
                    "scores": {
                        t: round(e.cumulative_sum.score, 2)
                        for t, e in service.targets.items()
                        if e.cumulative_sum.score
                    },
                    "medians_ms": self._get_median_ms(name),
                }
                for name, service in self._services.items()
            },
        )

    def _get_median_ms(self, name: ServiceName) -> float | None:
        baseline = self._baselines.get(name)
        return round(baseline.value * 1_000, 3) if baseline else None

    def _get_service(self, name: ServiceName) -> ServiceEvidence:
        return self._services.setdefault(name, ServiceEvidence())

    # Collection of samples

    def _is_slow(self, sample: AttemptSample) -> bool:
        """Return whether an attempt was slow compared with its service.

        Only successful attempts of short requests at targets that are not
        warming up are compared. Each of them also updates the median.
        """
        if not sample.good or sample.work is WorkClass.LONG:
            return False
        if sample.target in self._get_service(sample.service).warming:
            return False
        baseline = self._baselines.setdefault(sample.service, RunningMedian())
        has_baseline = baseline.count >= MIN_BASELINE_SAMPLES
        limit = max(MIN_SLOW_S, SLOW_FACTOR * baseline.value)
        baseline.add(sample.elapsed)
        return has_baseline and sample.elapsed > limit

    def _report_evidence(self) -> None:
        now = self._now()
        due = now - self._last_report_at >= REPORT_INTERVAL_S
        if due:
            self._last_report_at = now
        for service, targets in list(self._counts.items()):
            if not due and not any(c.failures for c in targets.values()):
                continue
            del self._counts[service]
            samples = tuple(
                TargetSample(target, count.successes, count.failures)
                for target, count in targets.items()
            )
            evidence = Evidence(service, self._region, samples)
            evaluator = choose_owner(service, self._entries)
            if evaluator == self.host:
                self._apply_evidence(evidence, self.host)
            else:
                self._outbox.send(evaluator, evidence)

    # Evaluation

    def _apply_evidence(self, evidence: Evidence, reporter: HostId) -> None:
        service = self._get_service(evidence.service)
        service.reporters[reporter] = self._now()
        for sample in evidence.samples:
            state = service.targets.setdefault(sample.target, TargetEvidence())
            if state.phase is EjectionPhase.PROBATION:
                state.probation.successes += sample.good
                state.probation.failures += sample.bad
                continue
            if state.phase is EjectionPhase.EJECTED:
                continue  # late report of attempts before the ejection
            report = EntryReport(
                self._now(),
                reporter,
                evidence.region,
                sample.good,
                sample.bad,
            )
            state.add(report, service.get_peers_failure_share(sample.target))
        for sample in evidence.samples:
            self._evaluate_target(evidence.service, service, sample.target)

    def _evaluate_target(
        self, name: ServiceName, service: ServiceEvidence, target: TargetId
    ) -> None:
        state = service.targets[target]
        self._update_widespread_failure(name, service)
        if (
            not state.cumulative_sum.is_alarmed
            or state.is_permit_pending
            or state.phase is not EjectionPhase.RETURNED
            or target in service.ejected  # by an earlier evaluator
            or service.has_widespread_failure
            or service.is_path_failure(state, self._now())
        ):
            return
        self._request_permit(name, service, target)

    def _update_widespread_failure(
        self, name: ServiceName, service: ServiceEvidence
    ) -> None:
        """Log the start and the end of a service's widespread failure."""
        is_widespread = service.detect_widespread_failure()
        if is_widespread != service.has_widespread_failure:
            service.has_widespread_failure = is_widespread
            self._outbox.log_event(
                "widespread failure", service=name, present=is_widespread
            )

    # Ejection

    def _count_permits(
        self, name: ServiceName, service: ServiceEvidence
    ) -> int:
        """Return how many targets may be ejected at the same time."""
        return max(0, len(service.active) - self._floors.get(name, 1))

    def _request_permit(
        self, name: ServiceName, service: ServiceEvidence, target: TargetId
    ) -> None:
        permits = self._count_permits(name, service)
        if not permits:
            return
        state = service.targets[target]
        number = self._context.random.randrange(permits)
        self._claim_count += 1
        state.permit = ClaimKey(f"eject/{name}/{number}")
        state.claim = ClaimId(f"{self.host}/{self._now()}/{self._claim_count}")
        state.is_permit_pending = True
        self._outbox.tell(
            ControllerName.CLAIMS,
            AcquireClaim(
                state.permit, state.claim, PERMIT_TTL_S, PERMIT_TIMEOUT_S
            ),
        )

    def _handle_decision(self, decided: ClaimDecided) -> None:
        for name, service in self._services.items():
            for target, state in service.targets.items():
                if state.is_permit_pending and state.claim == decided.claim:
                    state.is_permit_pending = False
                    if decided.verdict is ClaimVerdict.GRANTED:
                        self._eject_target(name, target, state)
                    else:
                        state.permit = state.claim = None
                    return
        if decided.verdict is ClaimVerdict.GRANTED:
            # The target left before the permit was granted.
            withdraw = WithdrawClaim(decided.key, decided.claim)
            self._outbox.tell(ControllerName.CLAIMS, withdraw)

    def _eject_target(
        self, name: ServiceName, target: TargetId, state: TargetEvidence
    ) -> None:
        now = self._now()
        if now - state.phase_ends_at > EJECTION_RESET_S:
            state.consecutive_ejections = 0
        duration = min(
            MAX_EJECTION_S, MIN_EJECTION_S * 2**state.consecutive_ejections
        )
        state.consecutive_ejections += 1
        state.phase = EjectionPhase.EJECTED
        state.phase_ends_at = Seconds(now + duration)
        count = state.count_total()
        evidence = (
            f"{count.failures} of {count.total} attempts bad "
            f"in {WINDOW_S:.0f} s, "
            f"seen by {len(state.find_failure_reporters())} entries"
        )
        self._announce(name, target, state, evidence)

    def _announce(
        self,
        name: ServiceName,
        target: TargetId,
        state: TargetEvidence,
        evidence: str,
    ) -> None:
        remaining = max(0.0, state.phase_ends_at - self._now())
        if state.phase is EjectionPhase.EJECTED:
            # The ejection stays valid until the probation is announced.
            remaining += PROBATION_TIMEOUT_S
        ejection = Ejection(
            target, name, UNASSIGNED_VERSION, state.phase, remaining, evidence
        )
        self._outbox.tell(ControllerName.TARGETS, ejection)

    # Probation and return

    def _advance_phases(
        self, name: ServiceName, service: ServiceEvidence
    ) -> None:
        now = self._now()
        for target, state in service.targets.items():
            if state.phase is EjectionPhase.EJECTED:
                if now >= state.phase_ends_at:
                    self._start_probation(name, target, state)
            elif state.phase is EjectionPhase.PROBATION:
                self._check_probation(name, target, state)

    def _start_probation(
        self, name: ServiceName, target: TargetId, state: TargetEvidence
    ) -> None:
        state.phase = EjectionPhase.PROBATION
        state.phase_ends_at = Seconds(self._now() + PROBATION_TIMEOUT_S)
        state.probation = AttemptCount()
        state.reset_evidence()
        self._announce(name, target, state, "on trial")

    def _check_probation(
        self, name: ServiceName, target: TargetId, state: TargetEvidence
    ) -> None:
        if state.probation.failures >= 2:
            self._eject_target(name, target, state)
        elif (
            state.probation.successes >= PROBATION_SUCCESSES
            or self._now() >= state.phase_ends_at
        ):
            self._return_target(name, target, state, "trial passed")

    def _return_target(
        self,
        name: ServiceName,
        target: TargetId,
        state: TargetEvidence,
        evidence: str,
    ) -> None:
        state.phase = EjectionPhase.RETURNED
        state.phase_ends_at = Seconds(self._now() + 1.0)
        state.reset_evidence()
        self._announce(name, target, state, evidence)
        self._withdraw_permit(state)

    def _return_excess(
        self, name: ServiceName, service: ServiceEvidence
    ) -> None:
        """Return targets to service if more are ejected than permitted.

        Targets that leave shrink the service and with it the number of
        permits. The targets whose phase ends first return first.
        """
        ejected_targets = [
            (state.phase_ends_at, target)
            for target, state in service.targets.items()
            if state.phase is not EjectionPhase.RETURNED
        ]
        excess = len(ejected_targets) - self._count_permits(name, service)
        for _, target in sorted(ejected_targets)[: max(0, excess)]:
            state = service.targets[target]
            self._return_target(name, target, state, "needed for the floor")

    def _withdraw_permit(self, state: TargetEvidence) -> None:
        if state.permit is not None and state.claim is not None:
            withdraw = WithdrawClaim(state.permit, state.claim)
            self._outbox.tell(ControllerName.CLAIMS, withdraw)
        state.permit = state.claim = None
