"""How a dispatcher applies the traffic plan: which endpoints of discovery's list its router may use.

The router chooses among the endpoints that are passed to it as ready; endpoints that are not selected here
are passed to it as draining. The fraction of a zone's traffic that spills over is controlled by the capacity
of the endpoints that a dispatcher uses in other zones, relative to that in its own. Each dispatcher ranks
endpoints differently (rendezvous hashing), so that all dispatchers together use all of them.

Times are Unix ms by this process's clock, which is not affected by steps of the wall clock.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from enum import StrEnum
from typing import NamedTuple, TypeAlias

from dunepulley.control.traffic_plan import Plan
from dunepulley.routing.events import EndpointEntry
from dunepulley.routing.rendezvous import rank_of

# A dispatcher escapes from the plan, which means that it uses all open zones, if more than this fraction of
# its selected endpoints is ejected. An escape lasts longer than agents take to agree on a new plan.
ESCAPE_FRACTION = 0.5
ESCAPE_MS = 5000.0
MAX_CACHED_RANKS = 4096

# The rank of an endpoint at a dispatcher, by the names of both; the lowest ranks are used first.
Ranking: TypeAlias = Callable[[str, str], float]


class FollowerMode(StrEnum):
    """How a dispatcher selects its endpoints; the values are those of its report."""

    # No plan is in force: all endpoints of the list are used.
    WITHOUT_PLAN = "alone"
    BY_PLAN = "by plan"
    # Most endpoints that the plan selects are ejected: all endpoints of open zones are used.
    ESCAPED = "escaped"
    # The plan selects no endpoint: those of open zones are used, or all if there are none.
    NO_ENDPOINTS = "nobody left"


class Placement(NamedTuple):
    """A dispatcher's name and the zone that it is placed in."""

    dispatcher: str
    home_zone: str


class PlanLease(NamedTuple):
    """A plan, and until when a dispatcher may follow it."""

    plan: Plan = Plan()
    expires_ms: float = 0.0

    def is_renewed_by(self, other: PlanLease) -> bool:
        """Whether `other` may replace this lease: a newer plan, or the same one with no earlier expiry."""
        if other.plan.version == self.plan.version:
            return other.plan == self.plan and other.expires_ms >= self.expires_ms
        return other.plan.version > self.plan.version


class Selection(NamedTuple):
    """The ids of the endpoints that a dispatcher uses, and how they were selected."""

    endpoint_ids: frozenset[str]
    mode: FollowerMode


def apply_plan(
    plan: Plan,
    placement: Placement,
    ready: Iterable[EndpointEntry],
    required_kinds: Collection[str] = (),
    ranking: Ranking = rank_of,
) -> Selection:
    """Return the ready endpoints that a dispatcher uses under a plan.

    At least one endpoint of each required kind is used, if one is ready in a zone that is not closed.
    """
    ready = list(ready)
    closed = plan.closed_zones()
    open_entries = [entry for entry in ready if entry.zone not in closed]
    chosen = _choose_by_zone(plan, placement, open_entries, ranking)
    if not chosen:
        # No endpoint that the plan would use is ready.
        return Selection(_ids(open_entries or ready), FollowerMode.NO_ENDPOINTS)
    for kind in required_kinds:
        if kind and not any([entry.kind == kind for entry in chosen]):
            candidates = [entry for entry in open_entries if entry.kind == kind]
            candidates.sort(
                key=lambda entry: (
                    entry.zone != placement.home_zone,
                    ranking(placement.dispatcher, entry.endpoint_id),
                )
            )
            chosen += candidates[:1]
    return Selection(_ids(chosen), FollowerMode.BY_PLAN)


def _ids(entries: Iterable[EndpointEntry]) -> frozenset[str]:
    return frozenset([entry.endpoint_id for entry in entries])


def _choose_by_zone(
    plan: Plan, placement: Placement, entries: list[EndpointEntry], ranking: Ranking
) -> list[EndpointEntry]:
    """The endpoints of each zone that this dispatcher uses, in the proportions of the plan."""
    by_zone: dict[str, list[EndpointEntry]] = {}
    for entry in entries:
        by_zone.setdefault(entry.zone, []).append(entry)
    dispatcher, home_zone = placement
    zone = plan.zone(home_zone)
    fractions = {each.zone: each.fraction for each in zone.spillover}
    grants = {each.zone: each.grant for each in zone.spillover}
    fractions[home_zone], grants[home_zone] = zone.local_fraction(), 1.0
    used_fractions = {
        name: fraction for name, fraction in fractions.items() if fraction > 0.0 and name in by_zone
    }
    if not used_fractions:
        return []
    capacities = {name: sum([entry.capacity for entry in by_zone[name]]) for name in used_fractions}
    # The largest capacity that is possible in these proportions, so that few endpoints stay unused.
    total = min([capacities[name] / fraction for name, fraction in used_fractions.items()])
    chosen: list[EndpointEntry] = []
    for name, fraction in used_fractions.items():
        target_capacity = min(total * fraction, grants[name] * capacities[name])
        chosen += _choose(dispatcher, by_zone[name], target_capacity, ranking)
    return chosen


def _choose(
    dispatcher: str, entries: list[EndpointEntry], capacity: float, ranking: Ranking
) -> list[EndpointEntry]:
    """The first endpoints by rank whose total capacity is closest to `capacity`; at least one."""
    chosen: list[EndpointEntry] = []
    chosen_capacity = 0.0
    for entry in sorted(
        entries, key=lambda entry: (ranking(dispatcher, entry.endpoint_id), entry.endpoint_id)
    ):
        # Stop where the next endpoint would exceed the target by more than half of its own capacity.
        if chosen and chosen_capacity + 0.5 * entry.capacity > capacity:
            break
        chosen.append(entry)
        chosen_capacity += entry.capacity
    return chosen


class Follower:
    """Follows the traffic plan at one dispatcher while its lease lasts.

    If most of the endpoints that the plan selects are ejected, the dispatcher escapes from the plan for
    `ESCAPE_MS`: it uses all endpoints of open zones.
    """

    def __init__(self, dispatcher: str, home_zone: str, ranking: Ranking = rank_of) -> None:
        self.placement = Placement(dispatcher, home_zone)
        self.ranking = ranking
        self.lease = PlanLease()
        self.escape_ends_ms = 0.0
        self.mode = FollowerMode.WITHOUT_PLAN
        # The number of escapes, for the dispatcher's report.
        self.escapes = 0
        self._ranks: dict[str, float] = {}

    def accept(self, lease: PlanLease) -> bool:
        """Replace the lease, unless `lease` is older; returns whether it was replaced."""
        if not self.lease.is_renewed_by(lease):
            return False
        if lease.plan.version != self.lease.plan.version:
            self.escape_ends_ms = 0.0
        self.lease = lease
        return True

    def has_valid_plan(self, now: float) -> bool:
        """Whether the lease of the plan has not expired."""
        return now < self.lease.expires_ms

    def select(
        self,
        now: float,
        ready: Iterable[EndpointEntry],
        ejected: Collection[str],
        required_kinds: Collection[str] = (),
    ) -> frozenset[str]:
        """Return the ids of the endpoints to use now; `ejected` are those that the router has ejected."""
        ready = list(ready)
        if not self.has_valid_plan(now):
            # Without agents, or once the lease has expired, all ready endpoints are used.
            self.mode = FollowerMode.WITHOUT_PLAN
            return _ids(ready)
        selection = apply_plan(self.lease.plan, self.placement, ready, required_kinds, self._rank)
        self._escape_if_failing(now, selection, ejected)
        if now < self.escape_ends_ms:
            closed = self.lease.plan.closed_zones()
            self.mode = FollowerMode.ESCAPED
            return _ids([entry for entry in ready if entry.zone not in closed]) or _ids(ready)
        self.mode = selection.mode
        return selection.endpoint_ids

    def _escape_if_failing(self, now: float, selection: Selection, ejected: Collection[str]) -> None:
        failing = len(selection.endpoint_ids & set(ejected))
        if now >= self.escape_ends_ms and failing > ESCAPE_FRACTION * len(selection.endpoint_ids):
            self.escape_ends_ms = now + ESCAPE_MS
            self.escapes += 1

    def _rank(self, dispatcher: str, endpoint_id: str) -> float:
        """The rank of an endpoint by `ranking`, cached."""
        rank = self._ranks.get(endpoint_id)
        if rank is None:
            if len(self._ranks) >= MAX_CACHED_RANKS:
                self._ranks.clear()
            rank = self._ranks[endpoint_id] = self.ranking(dispatcher, endpoint_id)
        return rank
