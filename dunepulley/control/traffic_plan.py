"""The traffic plan that a fleet agrees on: the state of each zone, and where its traffic spills over to.

A plan is identified by its version (epoch, number): agents and dispatchers ignore a plan that is older than
theirs. Its only clock reading, `created_ms`, is for people: an operator override has the time that remained
when the plan was created instead of an expiry.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, TypeAlias

INFINITY = float("inf")
# Epoch and number; the greater of two versions is the newer plan.
PlanVersion: TypeAlias = tuple[int, int]


class ZoneState(StrEnum):
    """How the traffic of a zone's dispatchers is served; the values are those of the wire and of `ctl`."""

    # By the zone's own endpoints only.
    LOCAL = "near"
    # A fraction of it by other zones.
    SPILLING = "spilling"
    # By other zones only: no dispatcher sends requests to this zone.
    EVACUATED = "left"
    # After an evacuation, a growing fraction by the zone's own endpoints again.
    RETURNING = "returning"
    # By other zones only, because of an operator override.
    BARRED = "barred"


CLOSED_STATES = (ZoneState.EVACUATED, ZoneState.BARRED)


class OverrideAction(StrEnum):
    """The action of an operator override of a zone; the values are those of the wire and of `ctl`."""

    EVACUATE = "leave"
    BAR = "bar"
    # Ends an override and lets the zone return; it is not stored in the plan.
    RETURN = "return"


# The actions that are stored in a plan until the override ends.
STANDING_ACTIONS = (OverrideAction.EVACUATE, OverrideAction.BAR)


class Spillover(NamedTuple):
    """A fraction of a zone's traffic that another zone serves.

    `grant` is the fraction of the other zone's endpoints that this traffic may use.
    """

    zone: str
    fraction: float
    grant: float = 1.0


class ZonePlan(NamedTuple):
    """One zone of the plan; the traffic that does not spill over stays with the zone's own endpoints."""

    name: str
    state: ZoneState = ZoneState.LOCAL
    spillover: tuple[Spillover, ...] = ()
    reason: str = ""

    def spilled_fraction(self) -> float:
        """The fraction of its dispatchers' traffic that other zones serve, from 0 to 1."""
        return sum([spillover.fraction for spillover in self.spillover])

    def local_fraction(self) -> float:
        """The fraction of its dispatchers' traffic that its own endpoints serve, from 0 to 1."""
        return 0.0 if self.state in CLOSED_STATES else max(0.0, 1.0 - self.spilled_fraction())


class OperatorOverride(NamedTuple):
    """An operator's override of a zone's state; `remaining_ms` is the time left when the plan was created."""

    zone: str
    action: OverrideAction
    operator: str
    reason: str = ""
    remaining_ms: float = INFINITY

    def is_same_order(self, other: OperatorOverride) -> bool:
        """Whether two overrides are equal except for the remaining time."""
        return self._replace(remaining_ms=other.remaining_ms) == other


class Plan(NamedTuple):
    """All zones at one version; `author` is the agent that created the plan, at Unix time `created_ms`."""

    epoch: int = 0
    number: int = 0
    author: str = ""
    created_ms: float = 0.0
    zones: tuple[ZonePlan, ...] = ()
    overrides: tuple[OperatorOverride, ...] = ()

    @property
    def version(self) -> PlanVersion:
        """Epoch and number; the greater of two versions is the newer plan."""
        return self.epoch, self.number

    def zone(self, name: str) -> ZonePlan:
        """One zone; a zone that the plan does not name is served locally."""
        return next((zone for zone in self.zones if zone.name == name), ZonePlan(name))

    def override(self, zone: str) -> OperatorOverride | None:
        """The operator override of a zone, or None."""
        return next((override for override in self.overrides if override.zone == zone), None)

    def closed_zones(self) -> set[str]:
        """The names of the zones whose endpoints get no traffic."""
        return {zone.name for zone in self.zones if zone.state in CLOSED_STATES}
