"""The zones of the next plan: first the state of each zone by itself, then adjusted to the spare capacity.

Capacity takes precedence: no zone is evacuated, and no traffic spills over, where this would load the
remaining zones beyond their utilization limit. Traffic for which no zone has capacity is rejected by each
dispatcher's router, by priority weight.
"""

from __future__ import annotations

from collections.abc import Mapping

from dunepulley.control.fleet_view import FleetView, ZoneView
from dunepulley.control.regions import Regions
from dunepulley.control.spare_capacity import Allocation, allocate_spare
from dunepulley.control.traffic_plan import (
    CLOSED_STATES,
    Spillover,
    ZonePlan,
    ZoneState,
)
from dunepulley.control.zone_history import FRACTION_STEP, round_fraction
from dunepulley.control.zone_transitions import Transition, ZoneInputs, next_state, target_spill

# A zone of which less than this fraction works is evacuated even if the others lack capacity for its traffic.
MIN_USEFUL_FRACTION = 0.2
# The demand, in slots, that is assumed for an idle zone.
MIN_DEMAND = 0.5
# The slots that are assumed for each endpoint whose number of slots is unknown: enough for any demand.
ASSUMED_SLOTS = 1e3


class PlanDraft:
    """One evaluation of all zones at one moment; `now` is ms of this host's steady clock."""

    def __init__(
        self, zones: Mapping[str, ZoneInputs], view: FleetView, regions: Regions, now: float
    ) -> None:
        self._inputs = zones
        self._view = view
        self._regions = regions
        limit = regions.utilization_limit
        self._transitions = {name: next_state(zone, now) for name, zone in zones.items()}
        self._targets = {
            name: target_spill(zone, self._transitions[name].state, limit, now)
            for name, zone in zones.items()
        }
        self._requested_slots: dict[str, float] = {}
        self._allocations: dict[str, Allocation] = {}

    def zones(self) -> tuple[ZonePlan, ...]:
        """All zones with their states and their spillover."""
        self._allocate()
        self._keep_partly_working_zones()
        self._allocate()
        return tuple([self._zone_plan(name) for name in self._transitions])

    def _allocate(self) -> None:
        """Compute how many slots each zone requests from the others, and how many it gets."""
        self._requested_slots = {
            name: round_fraction(target) * max(MIN_DEMAND, self._zone_view(name).demand)
            for name, target in self._targets.items()
        }
        spare = {name: self._spare_slots(name) for name in self._transitions if self._accepts_spillover(name)}
        tiers = {name: self._regions.tiers(name, list(spare)) for name in self._requested_slots}
        self._allocations = allocate_spare(self._requested_slots, spare, tiers)

    def _zone_view(self, name: str) -> ZoneView:
        return self._view.get(name, ZoneView(name))

    def _accepts_spillover(self, name: str) -> bool:
        """Whether a zone may take other zones' traffic: it is in state `LOCAL` and reachable from outside."""
        view = self._zone_view(name)
        if self._transitions[name].state != ZoneState.LOCAL or view.outside.looks_lost():
            return False
        return view.combined.endpoints > 0.0

    def _spare_slots(self, name: str) -> float:
        view = self._zone_view(name)
        capacity = view.capacity
        if capacity is None:
            capacity = view.combined.endpoints * ASSUMED_SLOTS
        own_demand = view.demand * (1.0 - self._targets[name])
        return max(0.0, self._regions.utilization_limit * capacity - own_demand)

    def _keep_partly_working_zones(self) -> None:
        """Have a partly working zone spill instead of evacuating it, if the others lack capacity for it."""
        for name, transition in list(self._transitions.items()):
            allocation, requested = self._allocations[name], self._requested_slots[name]
            if self._is_newly_lost(name, transition) and allocation.unplaced > FRACTION_STEP * requested:
                reason = "works in part, and the others cannot bear all of it"
                self._transitions[name] = Transition(ZoneState.SPILLING, reason)
                self._targets[name] = 1.0 - allocation.unplaced / requested

    def _is_newly_lost(self, name: str, transition: Transition) -> bool:
        """Whether a zone that still works in part is about to be evacuated other than by an operator."""
        zone = self._inputs[name]
        if transition.state != ZoneState.EVACUATED or zone.planned.state == ZoneState.EVACUATED:
            return False
        if zone.override is not None or zone.view is None:
            return False
        return zone.view.authoritative().healthy_fraction() > MIN_USEFUL_FRACTION

    def _zone_plan(self, name: str) -> ZonePlan:
        state, reason = self._transitions[name]
        spillover = self._spillover(name, state)
        spills = sum([each.fraction for each in spillover]) > 0.0
        if state == ZoneState.LOCAL and spills:
            return ZonePlan(name, ZoneState.SPILLING, spillover, "its demand is over its limit")
        if state not in CLOSED_STATES and not spills:
            return ZonePlan(name, ZoneState.LOCAL, spillover)
        return ZonePlan(name, state, spillover, reason)

    def _spillover(self, name: str, state: ZoneState) -> tuple[Spillover, ...]:
        """The zones that take over, with fractions of the traffic and of their endpoints."""
        target, allocation = self._targets[name], self._allocations[name]
        placed = sum(allocation.slots.values())
        if round_fraction(target) <= 0.0 or placed <= 0.0:
            return ()
        is_capacity_short = allocation.unplaced > FRACTION_STEP * self._requested_slots[name]
        # Traffic that gets no capacity elsewhere stays in its zone. If the zone is closed, the routers of its
        # dispatchers reject that traffic by priority weight.
        fraction = round_fraction(target)
        if is_capacity_short and state not in CLOSED_STATES:
            fraction = target * placed / (placed + allocation.unplaced)
        spillover = []
        for zone, slots in sorted(allocation.slots.items()):
            capacity = self._view[zone].capacity or 0.0
            grant = min(1.0, slots / capacity) if is_capacity_short and capacity > 0.0 else 1.0
            zone_fraction = round(fraction * slots / placed, 4)
            if zone_fraction > 0.0:
                spillover.append(Spillover(zone, zone_fraction, round(grant, 4)))
        return tuple(spillover)
