"""The endpoints that a traffic plan selects for a dispatcher, recomputed only when an input has changed.

They are queried four times a second, and twice at each change of the list. In most of these calls all inputs
are unchanged, and ranking thousands of endpoints each time would cost more than serving the requests.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from dunepulley.control.drains import DrainSet
from dunepulley.routing.events import EndpointEntry, EndpointState

if TYPE_CHECKING:
    from dunepulley.control.plan_application import Follower
    from dunepulley.control.traffic_plan import Plan


class ReadyEntries(NamedTuple):
    """The endpoints that are ready according to the list and these drains; valid until a Unix time in ms."""

    entries: list[EndpointEntry]
    drains: DrainSet
    valid_until_ms: float


class PlanInputs(NamedTuple):
    """All inputs of `Follower.select`: equal inputs give an equal result."""

    ready: list[EndpointEntry]
    plan: Plan
    in_force: bool
    escaped: bool
    ejected: frozenset[str]
    required_kinds: frozenset[str]


class PlanView:
    """Caches the ready endpoints, and the ids of those that the plan last selected for this dispatcher."""

    def __init__(self) -> None:
        self._ready: ReadyEntries | None = None
        self._inputs: PlanInputs | None = None
        self._usable_ids: frozenset[str] = frozenset()

    def invalidate(self) -> None:
        """Discard the cached ready endpoints, because the list has changed."""
        self._ready = None

    def ready_entries(
        self, now: float, entries: dict[str, EndpointEntry], drains: DrainSet
    ) -> list[EndpointEntry]:
        """Return the ready endpoints; the same list object until the list or the drains in force change."""
        cached = self._ready
        if cached is None or cached.drains is not drains or now >= cached.valid_until_ms:
            ready = [
                entry for entry in entries.values() if drains.state_of(entry, now) == EndpointState.READY
            ]
            cached = self._ready = ReadyEntries(ready, drains, drains.next_expiry_ms(now))
        return cached.entries

    def usable_ids(
        self,
        now: float,
        follower: Follower,
        ready: list[EndpointEntry],
        ejected: set[str],
        required_kinds: set[str],
    ) -> frozenset[str]:
        """Return the ids of the ready endpoints that `follower` uses now."""
        in_force, escaped = follower.has_valid_plan(now), now < follower.escape_ends_ms
        inputs = PlanInputs(
            ready, follower.lease.plan, in_force, escaped, frozenset(ejected), frozenset(required_kinds)
        )
        if inputs != self._inputs:
            self._usable_ids = follower.select(now, ready, ejected, required_kinds)
            self._inputs = inputs
        return self._usable_ids
