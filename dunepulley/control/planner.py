"""Decides when a new traffic plan is needed and what it contains, from the fleet view, regions and overrides.

Every agent runs `Planner.observe` continuously on its own view of the fleet; only the leader calls `decide`.
`zone_transitions` computes the states of single zones, `plan_draft` divides the capacity among them.

Times are ms of this host's steady clock, except `wall_ms`, which is Unix time for people.
"""

from __future__ import annotations

from dunepulley.control.caspaxos import ChangeRefusedError
from dunepulley.control.fleet_view import FleetView
from dunepulley.control.plan_draft import PlanDraft
from dunepulley.control.regions import MAX_ZONES, Regions
from dunepulley.control.traffic_plan import (
    CLOSED_STATES,
    INFINITY,
    OperatorOverride,
    OverrideAction,
    Plan,
    ZonePlan,
    ZoneState,
)
from dunepulley.control.zone_history import ZoneHistory, round_fraction, with_observation, with_plan
from dunepulley.control.zone_transitions import ZoneInputs

# A plan with overrides that expire is renewed this often, so that a restarted agent knows the remaining time.
OVERRIDE_RENEWAL_MS = 60_000.0


class Planner:
    """The planner of one agent: the plan in force, and the history of each zone."""

    def __init__(self, agent: str, regions: Regions) -> None:
        self.agent = agent
        self.regions = regions
        self.plan = Plan()
        self._plan_learned_ms = 0.0
        self._histories: dict[str, ZoneHistory] = {}

    # ---------------------------------------------------------------- state

    def learn(self, plan: Plan, now: float) -> None:
        """Put an agreed plan in force, if it is newer than the current one."""
        if plan.version <= self.plan.version:
            return
        before = self.plan
        self.plan, self._plan_learned_ms = plan, now
        for zone in plan.zones:
            history = self._history(zone.name, now)
            self._histories[zone.name] = with_plan(history, before.zone(zone.name), zone, now)

    def observe(self, view: FleetView, now: float) -> None:
        """Update the history of each zone."""
        limit = self.regions.utilization_limit
        for name, zone in view.items():
            self._histories[name] = with_observation(self._history(name, now), zone, limit, now)
        for name in self._histories.keys() - view.keys():
            # The zone has no dispatchers, and no dispatcher sees an endpoint of it.
            if self.plan.zone(name).state == ZoneState.LOCAL:
                del self._histories[name]

    def overrides(self, now: float) -> tuple[OperatorOverride, ...]:
        """The operator overrides that have not expired, each with its remaining time at `now`."""
        elapsed_ms = now - self._plan_learned_ms
        overrides = [
            override._replace(remaining_ms=override.remaining_ms - elapsed_ms)
            for override in self.plan.overrides
        ]
        return tuple([override for override in overrides if override.remaining_ms > 0.0])

    def copy_with_plan(self, plan: Plan, now: float) -> Planner:
        """A copy of this planner with another plan in force; this planner is unchanged."""
        copy = Planner(self.agent, self.regions)
        copy.plan, copy._plan_learned_ms = self.plan, self._plan_learned_ms
        copy._histories = dict(self._histories)
        copy.learn(plan, now)
        return copy

    def _history(self, zone: str, now: float) -> ZoneHistory:
        return self._histories.get(zone, ZoneHistory(state_since_ms=now))

    # ---------------------------------------------------------------- the next plan

    def decide(self, view: FleetView, now: float, wall_ms: float) -> Plan | None:
        """The next plan, or None if the plan in force needs no change."""
        overrides = self.overrides(now)
        zones = self._draft(view, overrides, now)
        has_expiring_override = any([override.remaining_ms < INFINITY for override in overrides])
        renewal_is_due = has_expiring_override and now - self._plan_learned_ms > OVERRIDE_RENEWAL_MS
        if self._is_unchanged(zones, overrides) and not renewal_is_due:
            return None
        return self._next_plan(zones, overrides, wall_ms)

    def without_overrides(self, view: FleetView, now: float) -> Plan:
        """The next plan as it would be without operator overrides."""
        return self._next_plan(self._draft(view, (), now), (), 0.0)

    def _next_plan(
        self, zones: tuple[ZonePlan, ...], overrides: tuple[OperatorOverride, ...], wall_ms: float
    ) -> Plan:
        return Plan(self.plan.epoch, self.plan.number + 1, self.agent, wall_ms, zones, overrides)

    def _draft(
        self, view: FleetView, overrides: tuple[OperatorOverride, ...], now: float
    ) -> tuple[ZonePlan, ...]:
        """The zones of the next plan, without those in state `LOCAL` that no dispatcher reports."""
        actions = {override.zone: override.action for override in overrides}
        names = sorted({*view, *[zone.name for zone in self.plan.zones], *actions})
        inputs = {
            name: ZoneInputs(
                self.plan.zone(name), self._history(name, now), view.get(name), actions.get(name)
            )
            for name in names[:MAX_ZONES]
        }
        zones = PlanDraft(inputs, view, self.regions, now).zones()
        return tuple([zone for zone in zones if zone.name in view or zone.state != ZoneState.LOCAL])

    def _is_unchanged(self, zones: tuple[ZonePlan, ...], overrides: tuple[OperatorOverride, ...]) -> bool:
        """Whether zones and overrides equal those in force, ignoring reasons and remaining times."""
        before = self.plan.overrides
        if len(overrides) != len(before):
            return False
        if not all([new.is_same_order(old) for new, old in zip(overrides, before, strict=True)]):
            return False
        changed = [_significant_fields(zone) for zone in zones if zone.state != ZoneState.LOCAL]
        return changed == [
            _significant_fields(zone) for zone in self.plan.zones if zone.state != ZoneState.LOCAL
        ]

    # ---------------------------------------------------------------- operator overrides

    def plan_with_override(
        self, view: FleetView, now: float, wall_ms: float, override: OperatorOverride, force: bool = False
    ) -> Plan:
        """The plan after an operator's override.

        Raises `ChangeRefusedError` where the override would overload the remaining zones or does not apply;
        `force` skips the checks that an operator may overrule.
        """
        active_overrides = self.overrides(now)
        others = tuple([each for each in active_overrides if each.zone != override.zone])
        if override.action == OverrideAction.RETURN:
            if len(others) == len(active_overrides):
                self._check_is_closed(override.zone)
            return self._plan_with_return(view, now, wall_ms, override.zone, others)
        is_listed = override.zone in view or any([zone.name == override.zone for zone in self.plan.zones])
        if not is_listed and not force:
            raise ChangeRefusedError(f"no dispatcher knows zone {override.zone}; --force does it anyway")
        if len(others) >= MAX_ZONES:
            raise ChangeRefusedError(f"{MAX_ZONES} overrides are in force already, which is the maximum")
        overrides = (*others, override)
        plan = self._next_plan(self._draft(view, overrides, now), overrides, wall_ms)
        if not force:
            self._check_remaining_capacity(plan, view, override.zone)
        return plan

    def _plan_with_return(
        self,
        view: FleetView,
        now: float,
        wall_ms: float,
        zone: str,
        others: tuple[OperatorOverride, ...],
    ) -> Plan:
        """The plan after an operator ended a zone's override or evacuation."""
        history = self._histories.get(zone)
        if history is not None:
            # The operator vouches for the zone, so it returns without delay.
            self._histories[zone] = history._replace(state_since_ms=-INFINITY, failed_returns=0)
        return self._next_plan(self._draft(view, others, now), others, wall_ms)

    def _check_is_closed(self, zone: str) -> None:
        """Refuse the return of a zone that has no override and is open."""
        state = self.plan.zone(zone).state
        if state not in CLOSED_STATES:
            raise ChangeRefusedError(f"zone {zone} is in state {state}: neither evacuated nor barred")

    def _check_remaining_capacity(self, plan: Plan, view: FleetView, zone: str) -> None:
        """Refuse a plan that would overload the remaining zones, or leave no zone open."""
        closed = plan.closed_zones()
        remaining = [
            zone_view
            for name, zone_view in view.items()
            if name not in closed and zone_view.combined.endpoints
        ]
        if not remaining:
            raise ChangeRefusedError(f"no open zone would remain without {zone}; --force does it anyway")
        capacities = [zone_view.capacity for zone_view in remaining if zone_view.capacity is not None]
        if len(capacities) < len(remaining):
            # The total capacity is unknown.
            return
        demand = sum([zone_view.demand for zone_view in view.values()])
        limit = self.regions.utilization_limit * sum(capacities)
        if demand > limit:
            raise ChangeRefusedError(
                f"without {zone} the demand would be {demand:.0f} slots, over the limit of {limit:.0f}; "
                "--force does it anyway"
            )


def _significant_fields(zone: ZonePlan) -> tuple[str, ZoneState, dict[str, float]]:
    """The fields of a zone's plan whose change justifies a new plan."""
    fractions = {spillover.zone: round_fraction(spillover.fraction) for spillover in zone.spillover}
    return zone.name, zone.state, fractions
