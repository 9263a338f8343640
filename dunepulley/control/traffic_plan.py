"""The traffic plan that a fleet agrees on: the state of each zone, and how much of its traffic spills where.

A plan is identified by its version (epoch, number): whoever holds a newer plan refuses an older one. It holds
no clock readings but for people to read: an operator override carries the time that remained when the plan
was made.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple, TypeAlias

INFINITY = float("inf")
# What tells an older plan from a newer one: epoch and number.
PlanVersion: TypeAlias = tuple[int, int]


class ZoneState(StrEnum):
    """How the traffic of a zone's dispatchers is served; the values are those of the wire and of the tool."""

    # By the zone's own endpoints alone.
    LOCAL = "near"
    # A part of it by other zones.
    SPILLING = "spilling"
    # By other zones alone: nobody sends to this zone.
    EVACUATED = "left"
    # The zone takes a growing part of its own traffic again.
    RETURNING = "returning"
    # By other zones alone, by an operator's order.
    BARRED = "barred"


CLOSED_STATES = (ZoneState.EVACUATED, ZoneState.BARRED)


class OverrideAction(StrEnum):
    """What an operator orders for a zone; the values are those of the wire and of the tool."""

    EVACUATE = "leave"
    BAR = "bar"
    # Ends an override and lets the zone return; no plan holds it.
    RETURN = "return"


# The actions that stand in a plan until they end.
STANDING_ACTIONS = (OverrideAction.EVACUATE, OverrideAction.BAR)


class Spillover(NamedTuple):
    """A part of a zone's traffic that another zone takes.

    `fraction` is the part of the traffic; `grant` the part of the other zone's endpoints that it may use.
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
        """The part of its dispatchers' traffic that other zones take, from 0 to 1."""
        return sum([spillover.fraction for spillover in self.spillover])

    def local_fraction(self) -> float:
        """The part of its dispatchers' traffic that its own endpoints are to get, from 0 to 1."""
        return 0.0 if self.state in CLOSED_STATES else max(0.0, 1.0 - self.spilled_fraction())


class OperatorOverride(NamedTuple):
    """An operator's order for a zone; `remaining_ms` is how long it had left when the plan was made."""

    zone: str
    action: OverrideAction
    operator: str
    reason: str = ""
    remaining_ms: float = INFINITY

    def is_same_order(self, other: OperatorOverride) -> bool:
        """Whether two overrides differ in the remaining time at most."""
        return self._replace(remaining_ms=other.remaining_ms) == other


class Plan(NamedTuple):
    """All zones at one version; `author` is the agent that made it, `created_ms` its Unix time."""

    epoch: int = 0
    number: int = 0
    author: str = ""
    created_ms: float = 0.0
    zones: tuple[ZonePlan, ...] = ()
    overrides: tuple[OperatorOverride, ...] = ()

    @property
    def version(self) -> PlanVersion:
        """What tells an older plan from a newer one."""
        return self.epoch, self.number

    def zone(self, name: str) -> ZonePlan:
        """One zone; a zone that the plan does not name is served locally."""
        return next((zone for zone in self.zones if zone.name == name), ZonePlan(name))

    def override(self, zone: str) -> OperatorOverride | None:
        """The operator override that stands for a zone, if any."""
        return next((override for override in self.overrides if override.zone == zone), None)

    def closed_zones(self) -> set[str]:
        """The zones whose endpoints get no traffic."""
        return {zone.name for zone in self.zones if zone.state in CLOSED_STATES}
