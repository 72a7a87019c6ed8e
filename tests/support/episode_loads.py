"""Loads for a simulated fleet whose targets fail in episodes."""

from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class Load:
    """The requests and failures of one simulated run.

    Attributes:
        rate: requests a second.
        work_s: mean seconds that a target works on a request.
        length_s: simulated seconds of the whole run.
        entries: number of entries.
        targets: number of targets.
        slots: number of slots of each target.
        episode_share: share of the time that a target is in an episode.
        episode_s: mean length of an episode.
        episode_fail_share: share of the attempts that fail in an episode.
        error_share: share of all requests that get an error response.
        broken: number of targets that answer each request with an error.
        broken_from: when they begin to do so, in seconds.
        broken_for: how long they do so, in seconds.
        idempotent: share of the requests that may be repeated.
        entry_regions: number of the three regions that have entries.
        domains: number of failure domains in each region.
        streams_in_flight: whether entries learn of each other's in-flight
            attempts all the time, as from a hub, or only when they choose.
    """

    rate: float
    work_s: float
    length_s: float = 32.0
    entries: int = 32
    targets: int = 20
    slots: int = 6
    episode_share: float = 0.3
    episode_s: float = 12.0
    episode_fail_share: float = 0.75
    error_share: float = 0.012
    broken: int = 0
    broken_from: float = 6.0
    broken_for: float = 8.0
    idempotent: float = 0.0
    entry_regions: int = 3
    domains: int = 1
    streams_in_flight: bool = False


FEW_REQUESTS = Load(
    rate=40.0,
    work_s=0.3,
    entries=108,
    targets=53,
    slots=2,
    length_s=24.0,
    streams_in_flight=True,
)


CALM = Load(rate=45.0, work_s=0.38)
LOADS = {
    "calm": CALM,
    "crest": Load(rate=180.0, work_s=0.38),
    "two broken": Load(rate=45.0, work_s=0.38, broken=2),
    "most broken": Load(rate=45.0, work_s=0.38, broken=12),
    "small slots": Load(rate=60.0, work_s=0.14, targets=13, slots=2),
    "120 entries": Load(
        rate=328.0,
        work_s=0.14,
        entries=120,
        targets=96,
        slots=2,
        length_s=16.0,
    ),
}
# Loads with so few requests that a target may get none for two seconds.
SPARSE_LOADS = {
    "few": FEW_REQUESTS,
    "many episodes": replace(FEW_REQUESTS, episode_share=0.45),
    "ten broken": replace(FEW_REQUESTS, broken=10),
    "fewer, ten broken": replace(FEW_REQUESTS, rate=28.0, broken=10),
}
# Loads of which a region's entries are gone while its targets work.
LOST_REGION_LOADS = {
    "many requests": replace(
        LOADS["two broken"], broken=6, entry_regions=2, streams_in_flight=True
    ),
    "few requests": replace(FEW_REQUESTS, entry_regions=2),
    "few requests, ten broken": replace(
        FEW_REQUESTS, broken=10, entry_regions=2
    ),
}
# Loads of regions with several failure domains.
DOMAIN_LOADS = {
    "calm": replace(CALM, domains=2, streams_in_flight=True),
    "two broken": replace(
        LOADS["two broken"], domains=2, streams_in_flight=True
    ),
    "few": replace(FEW_REQUESTS, domains=3),
    "many episodes": replace(FEW_REQUESTS, domains=3, episode_share=0.45),
}
