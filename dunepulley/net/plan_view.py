"""The endpoints that a traffic plan leaves to a dispatcher, computed anew only when an input changed.

They are asked for four times a second, and twice at each change of the list; most of these calls find all
inputs as they were, and ranking thousands of endpoints for them would cost more than the requests do.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dunepulley.control.drains import DrainSet
from dunepulley.routing.events import EndpointEntry, EndpointState

if TYPE_CHECKING:
    from dunepulley.control.plan_application import Follower
    from dunepulley.control.traffic_plan import Plan


class ReadyEntries(NamedTuple):
    """The endpoints that are ready by the list and these drains, valid until a time in Unix ms."""

    entries: list[EndpointEntry]
    drains: DrainSet
    valid_until_ms: float


class PlanInputs(NamedTuple):
    """All that `Follower.select` depends on: while these are equal, so is its result."""

    ready: list[EndpointEntry]
    plan: Plan
    holds: bool
    escaped: bool
    ejected: frozenset[str]
    required_kinds: frozenset[str]


class PlanView:
    """Caches which endpoints are ready, and which of these the plan last left to this dispatcher."""

    def __init__(self) -> None:
        self._ready: ReadyEntries | None = None
        self._inputs: PlanInputs | None = None
        self._visible: frozenset[str] = frozenset()

    def list_changed(self) -> None:
        """Forget which endpoints are ready: the list has changed."""
        self._ready = None

    def ready(self, now: float, entries: dict[str, EndpointEntry], drains: DrainSet) -> list[EndpointEntry]:
        """The ready endpoints; the same object until the list or what is drained changes."""
        known = self._ready
        if known is None or known.drains is not drains or now >= known.valid_until_ms:
            ready = [
                entry for entry in entries.values() if drains.state_of(entry, now) == EndpointState.READY
            ]
            known = self._ready = ReadyEntries(ready, drains, drains.next_expiry_ms(now))
        return known.entries

    def visible(
        self,
        now: float,
        follower: Follower,
        ready: list[EndpointEntry],
        ejected: set[str],
        required_kinds: set[str],
    ) -> frozenset[str]:
        """The ids of the ready endpoints that `follower` uses now."""
        holds, escaped = follower.has_valid_plan(now), now < follower.escape_ends_ms
        inputs = PlanInputs(
            ready, follower.lease.plan, holds, escaped, frozenset(ejected), frozenset(required_kinds)
        )
        if inputs != self._inputs:
            self._visible = follower.select(now, ready, ejected, required_kinds)
            self._inputs = inputs
        return self._visible
