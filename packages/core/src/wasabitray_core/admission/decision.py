"""Decides whether a request may use the capacity that a service has left.

Load: all that the modules of this package name, together: a shortage known
from the region's targets, several priorities that share a service, and
organisations that send more than their fair share.
"""

from __future__ import annotations

from msgspec import Struct, field

from wasabitray_core.admission.capacity import (
    count_requests_per_slot,
    find_usable,
    has_overflow_room,
    split_by_region,
)
from wasabitray_core.admission.recent_requests import RecentRequests
from wasabitray_core.admission.reservation import (
    LOWEST_BOUND,
    Standing,
    get_bound,
)
from wasabitray_core.ids import (
    OrganisationName,
    RegionName,
    Seconds,
    TargetId,
)
from wasabitray_core.placement import TargetState


class Candidate(Struct, frozen=True):
    """A request that may be admitted, with its standing by its priority."""

    organisation: OrganisationName
    standing: Standing


class ServiceHistory(Struct):
    """The recent requests for a service at this entry.

    An entry is sent a sample of the requests of all organisations, or most of
    those of an organisation that uses few entries.
    """

    by_organisation: RecentRequests[OrganisationName] = field(
        default_factory=RecentRequests
    )
    by_rank: RecentRequests[int] = field(default_factory=RecentRequests)

    def record_asked(self, candidate: Candidate, now: Seconds) -> None:
        """Count a request that arrived."""
        self.by_organisation.record_asked(candidate.organisation, now)
        self.by_rank.record_asked(candidate.standing.rank, now)

    def record_admitted(self, candidate: Candidate, now: Seconds) -> None:
        """Count a request that got a slot."""
        self.by_organisation.record_admitted(candidate.organisation, now)
        self.by_rank.record_admitted(candidate.standing.rank, now)


class Decision(Struct, frozen=True):
    """Whether a request is admitted, and by what.

    Attributes:
        fullness: requests per slot of the region's targets.
        bound: requests per slot up to which the request is admitted.
        exceeds_share: whether its organisation exceeds its fair share.
        excluded: targets that the request may not use.
    """

    is_admitted: bool
    fullness: float
    bound: float
    exceeds_share: bool = False
    excluded: tuple[TargetId, ...] = ()


ADMITTED = Decision(True, 0.0, LOWEST_BOUND)
"""For requests that are admitted without regard to the load."""


def describe_refusal(standing: Standing, decision: Decision) -> str:
    """Return what a refusal was based on, for the log."""
    parts = [
        f"rank {standing.rank} of {standing.ranks}",
        f"{decision.fullness:.2f} requests per slot, bound "
        f"{decision.bound:.2f}",
    ]
    if decision.exceeds_share:
        parts.append("organisation exceeds its fair share")
    return ", ".join(parts)


def decide(
    candidate: Candidate,
    states: list[TargetState],
    region: RegionName,
    region_demand: float,
    history: ServiceHistory,
    now: Seconds,
) -> Decision:
    """Decide about a request by the load of the region's targets.

    Args:
        candidate: the request.
        states: all targets of the service.
        region: region of the entry.
        region_demand: estimate of the slots that the region's entries use.
        history: the recent requests for the service.
        now: monotonic seconds.
    """
    own, others = split_by_region(find_usable(states, now), region)
    if not own:
        own, others = others, []
    fullness = count_requests_per_slot(own, region_demand, now)
    if fullness < LOWEST_BOUND or not own:
        return Decision(True, fullness, LOWEST_BOUND)
    exceeds_share = history.by_organisation.exceeds_fair_share(
        candidate.organisation
    )
    standing = candidate.standing
    relative_service = history.by_rank.get_relative_service(standing.rank)
    bound = get_bound(standing, exceeds_share, relative_service)
    if fullness < bound:
        excluded = tuple([s.target.target for s in others])
        return Decision(True, fullness, bound, exceeds_share, excluded)
    if others and has_overflow_room(others, now):
        excluded = tuple([s.target.target for s in own])
        return Decision(True, fullness, bound, exceeds_share, excluded)
    return Decision(False, fullness, bound, exceeds_share)
