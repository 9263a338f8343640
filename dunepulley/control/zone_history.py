"""For how long a zone has been lost or overloaded, so that the planner does not react to short bursts.

Every agent keeps the history of each zone at all times, so that the next leader has observed the zones for as
long as its predecessor. Times are ms of that host's steady clock.
"""

from __future__ import annotations

from typing import NamedTuple

from dunepulley.control.fleet_view import ZoneView
from dunepulley.control.traffic_plan import CLOSED_STATES, INFINITY, ZonePlan, ZoneState

# A zone that was lost again after its return waits longer each time. The count of such failed returns is
# reset after the zone has been in state `LOCAL` for this long.
FAILED_RETURNS_FORGOTTEN_MS = 120_000.0
# Fractions of traffic are planned in steps of this; smaller changes are noise.
FRACTION_STEP = 0.05


def round_fraction(fraction: float) -> float:
    """A fraction of traffic, rounded to a whole number of steps."""
    return round(round(fraction / FRACTION_STEP) * FRACTION_STEP, 4)


class ZoneHistory(NamedTuple):
    """One agent's record of the state changes and failures of a zone."""

    state: ZoneState = ZoneState.LOCAL
    state_since_ms: float = 0.0
    lost_since_ms: float = INFINITY
    overloaded_since_ms: float = INFINITY
    failed_returns: int = 0
    # When the spilled fraction last changed.
    spillover_changed_ms: float = -INFINITY


def with_plan(history: ZoneHistory, before: ZonePlan, after: ZonePlan, now: float) -> ZoneHistory:
    """The history after a newly agreed plan changed the plan of a zone from `before` to `after`."""
    if after.state != history.state:
        failed = history.state == ZoneState.RETURNING and after.state == ZoneState.EVACUATED
        history = history._replace(
            state=after.state, state_since_ms=now, failed_returns=history.failed_returns + failed
        )
    if abs(after.spilled_fraction() - before.spilled_fraction()) > 0.5 * FRACTION_STEP:
        history = history._replace(spillover_changed_ms=now)
    return history


def with_observation(
    history: ZoneHistory, zone: ZoneView, utilization_limit: float, now: float
) -> ZoneHistory:
    """The history after another observation of a zone."""
    lost = _looks_lost(zone, history.state)
    overloaded = not lost and _is_overloaded(zone, utilization_limit)
    local_for_ms = now - history.state_since_ms if history.state == ZoneState.LOCAL else 0.0
    reset_failures = local_for_ms > FAILED_RETURNS_FORGOTTEN_MS
    return history._replace(
        lost_since_ms=min(history.lost_since_ms, now) if lost else INFINITY,
        overloaded_since_ms=min(history.overloaded_since_ms, now) if overloaded else INFINITY,
        failed_returns=0 if reset_failures else history.failed_returns,
    )


def _looks_lost(zone: ZoneView, state: ZoneState) -> bool:
    if not zone.combined.endpoints:
        return True
    observation = zone.authoritative()
    if state in CLOSED_STATES or state == ZoneState.RETURNING:
        # Its endpoints stay ejected until an attempt succeeds there, so only recent attempts count.
        return observation.loses_attempts()
    return observation.looks_lost()


def _is_overloaded(zone: ZoneView, utilization_limit: float) -> bool:
    capacity = zone.capacity
    return capacity is not None and zone.demand > utilization_limit * capacity
