"""Divides the spare slots of healthy zones among the zones whose traffic spills over.

The nearest zones are used first. Within a tier, a request is split over the zones in proportion to their
spare slots; if the requests to a zone exceed its spare slots, all of them are scaled down by the same factor.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

# Fewer slots than this count as none, as a division by them would be numerically meaningless.
NEGLIGIBLE_SLOTS = 1e-6


class Allocation(NamedTuple):
    """The slots that one zone's traffic gets in each other zone, and the slots that could not be placed."""

    slots: dict[str, float]
    unplaced: float


def allocate_spare(
    requested: Mapping[str, float], spare: Mapping[str, float], tiers: Mapping[str, list[list[str]]]
) -> dict[str, Allocation]:
    """Divide spare slots among the zones that request some.

    `requested` and `spare` are slots by zone; `tiers` has, for each requesting zone, the other zones in the
    order in which they take over.
    """
    remaining_spare = dict(spare)
    unplaced = dict(requested)
    placed: dict[str, dict[str, float]] = {source: {} for source in requested}
    for tier in range(max([len(zones) for zones in tiers.values()], default=0)):
        requests = _tier_requests(unplaced, remaining_spare, tiers, tier)
        for zone, slots_by_source in requests.items():
            requested_slots = sum(slots_by_source.values())
            scale = min(1.0, remaining_spare[zone] / requested_slots)
            for source, slots in slots_by_source.items():
                placed[source][zone] = placed[source].get(zone, 0.0) + slots * scale
                unplaced[source] = max(0.0, unplaced[source] - slots * scale)
            remaining_spare[zone] = max(0.0, remaining_spare[zone] - requested_slots * scale)
    return {source: Allocation(placed[source], unplaced[source]) for source in requested}


def _tier_requests(
    unplaced: Mapping[str, float],
    spare: Mapping[str, float],
    tiers: Mapping[str, list[list[str]]],
    tier: int,
) -> dict[str, dict[str, float]]:
    """The slots that are requested from each zone of one tier, by zone and then by requesting zone."""
    requests: dict[str, dict[str, float]] = {}
    for source, needed in unplaced.items():
        zones = tiers[source][tier] if tier < len(tiers[source]) else []
        tier_spare = sum([spare.get(zone, 0.0) for zone in zones])
        for zone in zones:
            if needed > NEGLIGIBLE_SLOTS and spare.get(zone, 0.0) > NEGLIGIBLE_SLOTS:
                portion = min(needed, tier_spare) * spare[zone] / tier_spare
                requests.setdefault(zone, {})[source] = portion
    return requests
