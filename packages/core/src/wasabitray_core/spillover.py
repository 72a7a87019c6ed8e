"""Requests that leave a region to use another region's targets."""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct

from wasabitray_core.ids import RegionName

# A region whose entries per target are below this share of the average can't
# keep its targets in use.
MIN_DENSITY_SHARE = 0.5


class Spillover(Struct, frozen=True):
    """The part of an entry's requests for targets of other regions.

    Attributes:
        regions: regions with too few entries for their targets.
        share: share of this entry's requests that goes there.
    """

    regions: frozenset[RegionName] = frozenset()
    share: float = 0.0


NO_SPILLOVER = Spillover()


def find_spillover(
    targets: Mapping[RegionName, int],
    entries: Mapping[RegionName, int],
    region: RegionName,
) -> Spillover:
    """Return which requests an entry sends to regions with few entries.

    Entries prefer the targets of their own region, so those of a region
    without entries would stay idle. The other regions' entries together send
    such a region the share of the requests that its targets are of all
    targets; each decides this from the same counts.

    Args:
        targets: number of the service's targets in each region.
        entries: number of entries that serve in each region.
        region: the entry's own region.
    """
    all_targets, all_entries = sum(targets.values()), sum(entries.values())
    if not all_targets or not all_entries:
        return NO_SPILLOVER
    deficits = {}
    for name, count in targets.items():
        due, own = count / all_targets, entries.get(name, 0) / all_entries
        if own < MIN_DENSITY_SHARE * due:
            deficits[name] = due - own
    if not deficits or region in deficits:
        return NO_SPILLOVER
    served = sum(n for r, n in entries.items() if r not in deficits)
    if not served:
        return NO_SPILLOVER
    share = sum(deficits.values()) * all_entries / served
    return Spillover(frozenset(deficits), share)
