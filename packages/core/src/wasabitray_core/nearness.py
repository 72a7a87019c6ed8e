"""How near hosts are to each other; bytes cost more the farther they go."""

from __future__ import annotations

from enum import IntEnum

from wasabitray_core.ids import FailureDomainName, RegionName
from wasabitray_core.messages import HostAddress


class Nearness(IntEnum):
    """How near a host is; a higher value is nearer."""

    ELSEWHERE = 0
    REGION = 1
    FAILURE_DOMAIN = 2


def get_nearness(
    address: HostAddress, region: RegionName, domain: FailureDomainName
) -> Nearness:
    """Return how near a host is to a place.

    Args:
        address: the host.
        region: the region of the place.
        domain: its failure domain.
    """
    if address.region != region:
        return Nearness.ELSEWHERE
    if address.failure_domain == domain:
        return Nearness.FAILURE_DOMAIN
    return Nearness.REGION
