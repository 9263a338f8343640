"""The next state of one zone by itself, and the fraction of its traffic that is to spill over.

Changes are slow enough that the effect of the previous one is visible, except after a loss, when the zone is
evacuated in one step. Whether other zones have capacity for the spillover is decided later (`plan_draft`).
Times are ms of one host's steady clock.
"""

from __future__ import annotations

from typing import NamedTuple

from dunepulley.control.fleet_view import MIN_ATTEMPTS, WINDOW_MS, Observation, ZoneView
from dunepulley.control.traffic_plan import CLOSED_STATES, OverrideAction, ZonePlan, ZoneState
from dunepulley.control.zone_history import FRACTION_STEP, ZoneHistory

# How long a zone has to appear lost before it is evacuated: two heartbeats of agents. Until then each
# dispatcher that finds its endpoints ejected escapes from the plan by itself.
LOST_BEFORE_EVACUATION_MS = 1000.0
# An evacuated zone returns after this delay, doubled with each failed return up to the maximum.
RETURN_DELAY_MS = 5000.0
MAX_RETURN_DELAY_MS = 120_000.0
MAX_RETURN_DOUBLINGS = 10
# How long demand has to exceed the limit before traffic spills over; bursts are shorter.
OVERLOADED_BEFORE_SPILL_MS = 2000.0
# The spilled fraction changes by at most this much in each interval, so that the effect of a change is
# visible before the next one.
MAX_FRACTION_CHANGE = 0.2
FRACTION_CHANGE_INTERVAL_MS = 2000.0
# A spilling zone stops spilling once its demand is below this fraction of its limit.
STOP_SPILL_FRACTION = 0.9
# By this time after an evacuation all dispatchers have received the plan: later attempts at the zone come
# from dispatchers that are cut off from the fleet.
EVACUATION_SETTLED_MS = WINDOW_MS + 2000.0


class ZoneInputs(NamedTuple):
    """The inputs for the decision on one zone; `view` is None if no dispatcher reports the zone."""

    planned: ZonePlan
    history: ZoneHistory
    view: ZoneView | None
    override: OverrideAction | None

    @property
    def has_endpoints(self) -> bool:
        """Whether any dispatcher sees an endpoint of the zone."""
        return self.view is not None and self.view.combined.endpoints > 0.0


class Transition(NamedTuple):
    """The next state of a zone, and the reason for it."""

    state: ZoneState
    reason: str


def next_state(zone: ZoneInputs, now: float) -> Transition:
    """The next state of a zone, provided that the other zones have capacity for its traffic."""
    if zone.override == OverrideAction.BAR:
        return Transition(ZoneState.BARRED, "barred by an operator")
    if zone.override is not None:
        return Transition(ZoneState.EVACUATED, "left by an operator")
    if zone.planned.state == ZoneState.BARRED:
        return _after_bar(zone)
    if zone.planned.state == ZoneState.EVACUATED:
        return _after_evacuation(zone, now)
    if _is_lost(zone, now) and _is_loss_confirmed(zone):
        return Transition(ZoneState.EVACUATED, _loss_reason(zone))
    return Transition(zone.planned.state, zone.planned.reason)


def _after_bar(zone: ZoneInputs) -> Transition:
    if zone.has_endpoints:
        return Transition(ZoneState.RETURNING, "no longer barred")
    return Transition(ZoneState.EVACUATED, _loss_reason(zone))


def _after_evacuation(zone: ZoneInputs, now: float) -> Transition:
    evacuated_for_ms = now - zone.history.state_since_ms
    if zone.has_endpoints and evacuated_for_ms > EVACUATION_SETTLED_MS and _works_from_inside(zone):
        # Its own dispatchers were cut off from the fleet, and their requests to the zone succeed.
        return Transition(ZoneState.LOCAL, "")
    delay_ms = _return_delay(zone.history.failed_returns)
    if zone.has_endpoints and not _is_lost(zone, now) and evacuated_for_ms >= delay_ms:
        return Transition(ZoneState.RETURNING, f"tried again after {delay_ms / 1000.0:g} s")
    return Transition(ZoneState.EVACUATED, zone.planned.reason)


def _return_delay(failed_returns: int) -> float:
    doublings = min(failed_returns, MAX_RETURN_DOUBLINGS)
    return min(MAX_RETURN_DELAY_MS, RETURN_DELAY_MS * 2.0**doublings)


def _works_from_inside(zone: ZoneInputs) -> bool:
    inside = zone.view.inside if zone.view is not None else Observation()
    return inside.attempts >= MIN_ATTEMPTS and not inside.looks_lost()


def _is_lost(zone: ZoneInputs, now: float) -> bool:
    return now - zone.history.lost_since_ms >= LOST_BEFORE_EVACUATION_MS


def _is_loss_confirmed(zone: ZoneInputs) -> bool:
    """Whether some dispatcher can tell that the zone is lost, or the zone has no endpoints at all."""
    if zone.view is None or not zone.has_endpoints:
        return True
    return zone.view.dispatchers > 0.0 or zone.view.outside.observers > 0.0


def _loss_reason(zone: ZoneInputs) -> str:
    return "most that is sent there is lost" if zone.has_endpoints else "no worker is listed"


def target_spill(zone: ZoneInputs, state: ZoneState, utilization_limit: float, now: float) -> float:
    """The fraction of a zone's traffic to spill over in `state`, provided that other zones have capacity."""
    if state in CLOSED_STATES:
        return 1.0
    was_closed = zone.planned.state in CLOSED_STATES
    current = 1.0 if was_closed else zone.planned.spilled_fraction()
    if zone.view is None or not zone.has_endpoints:
        return current if zone.view is None else 1.0
    if was_closed:
        # A returning zone starts with a few requests that show whether it works. A zone that is known to
        # work gets all the traffic that its capacity allows.
        is_returning = state == ZoneState.RETURNING
        return 1.0 - MAX_FRACTION_CHANGE / 2.0 if is_returning else _overload(zone.view, utilization_limit)
    if now - zone.history.spillover_changed_ms < FRACTION_CHANGE_INTERVAL_MS:
        return current
    if state == ZoneState.RETURNING:
        return _returning_spill(zone.view, current, utilization_limit)
    overloaded_for_ms = now - zone.history.overloaded_since_ms
    return _adjusted_spill(zone.view, current, utilization_limit, overloaded_for_ms)


def _overload(view: ZoneView, utilization_limit: float) -> float:
    """The fraction of the demand that exceeds the limit; 0 if the number of slots is unknown."""
    capacity = view.capacity
    if capacity is None or view.demand <= 0.0:
        return 0.0
    return max(0.0, 1.0 - utilization_limit * capacity / view.demand)


def _returning_spill(view: ZoneView, current: float, utilization_limit: float) -> float:
    """The spilled fraction of a returning zone; it does not shrink while most attempts there fail."""
    if view.authoritative().loses_attempts():
        return current
    return max(_overload(view, utilization_limit), current - MAX_FRACTION_CHANGE)


def _adjusted_spill(
    view: ZoneView, current: float, utilization_limit: float, overloaded_for_ms: float
) -> float:
    """The spilled fraction of an open zone, one step closer to the fraction that its load requires."""
    needed = _overload(view, utilization_limit)
    if needed > current + FRACTION_STEP and overloaded_for_ms >= OVERLOADED_BEFORE_SPILL_MS:
        return min(needed, current + MAX_FRACTION_CHANGE)
    capacity = view.capacity
    has_headroom = capacity is None or view.demand < STOP_SPILL_FRACTION * utilization_limit * capacity
    if current > 0.0 and (needed < current - 2.0 * FRACTION_STEP or (has_headroom and needed <= 0.0)):
        return max(needed, current - MAX_FRACTION_CHANGE)
    return current
