"""How a dispatcher applies the traffic plan: which endpoints of discovery's list its router is told of.

The router decides every request among the endpoints that it is told of. How much of a zone's traffic spills
over is set by how many endpoints of the other zones a dispatcher uses beside its own. Each dispatcher ranks
them differently (rendezvous hashing), so that together they use all. Endpoints that are not selected are
told to the router as draining.

Times are Unix ms of this host's clock that is not stepped.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from enum import StrEnum
from typing import NamedTuple, TypeAlias

from dunepulley.control.traffic_plan import Plan
from dunepulley.routing.events import EndpointEntry
from dunepulley.routing.rendezvous import rank_of

# A dispatcher that finds more than this part of its endpoints ejected escapes from the plan for so long,
# which is longer than agents take to agree on a new one.
ESCAPE_FRACTION = 0.5
ESCAPE_MS = 5000.0
MAX_CACHED_RANKS = 4096

# The rank of an endpoint at a dispatcher, by the names of both; the lowest ranks are used first.
Ranking: TypeAlias = Callable[[str, str], float]


class FollowerMode(StrEnum):
    """Why a dispatcher uses the endpoints that it uses; the values are those of its report."""

    # No plan is in force: all endpoints of the list.
    WITHOUT_PLAN = "alone"
    BY_PLAN = "by plan"
    # Most of what the plan leaves it is ejected: all open zones.
    ESCAPED = "escaped"
    # The plan leaves it no endpoint: any open zone, or whatever there is.
    NO_ENDPOINTS = "nobody left"


class Placement(NamedTuple):
    """A dispatcher's name and the zone that it is placed in."""

    dispatcher: str
    home_zone: str


class PlanLease(NamedTuple):
    """A plan, and until when a dispatcher may go by it."""

    plan: Plan = Plan()
    expires_ms: float = 0.0

    def is_renewed_by(self, other: PlanLease) -> bool:
        """Whether another lease may replace this one: no older plan, nor the same one for a shorter time."""
        if other.plan.version == self.plan.version:
            return other.plan == self.plan and other.expires_ms >= self.expires_ms
        return other.plan.version > self.plan.version


class Selection(NamedTuple):
    """The ids of the endpoints that a dispatcher uses, and why."""

    endpoint_ids: frozenset[str]
    mode: FollowerMode


def apply_plan(
    plan: Plan,
    placement: Placement,
    ready: Iterable[EndpointEntry],
    required_kinds: Collection[str] = (),
    ranking: Ranking = rank_of,
) -> Selection:
    """The ready endpoints that a dispatcher uses under a plan.

    Of each required kind at least one endpoint is used, if one is ready in a zone that is not closed.
    """
    ready = list(ready)
    closed = plan.closed_zones()
    open_entries = [entry for entry in ready if entry.zone not in closed]
    chosen = _choose_by_zone(plan, placement, open_entries, ranking)
    if not chosen:
        # All that the plan would use is gone from the list.
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
    """The endpoints of each zone that the plan has this dispatcher use, in the plan's proportions."""
    by_zone: dict[str, list[EndpointEntry]] = {}
    for entry in entries:
        by_zone.setdefault(entry.zone, []).append(entry)
    dispatcher, home_zone = placement
    zone = plan.zone(home_zone)
    fractions = {each.zone: each.fraction for each in zone.spillover}
    grants = {each.zone: each.grant for each in zone.spillover}
    fractions[home_zone], grants[home_zone] = zone.local_fraction(), 1.0
    used = {name: part for name, part in fractions.items() if part > 0.0 and name in by_zone}
    if not used:
        return []
    capacities = {name: sum([entry.capacity for entry in by_zone[name]]) for name in used}
    # As much as there can be in these proportions, so that as few endpoints as possible are left out.
    total = min([capacities[name] / part for name, part in used.items()])
    chosen: list[EndpointEntry] = []
    for name, part in used.items():
        wanted = min(total * part, grants[name] * capacities[name])
        chosen += _choose(dispatcher, by_zone[name], wanted, ranking)
    return chosen


def _choose(
    dispatcher: str, entries: list[EndpointEntry], capacity: float, ranking: Ranking
) -> list[EndpointEntry]:
    """The first endpoints by rank that have about this capacity together; one at least."""
    chosen: list[EndpointEntry] = []
    chosen_capacity = 0.0
    for entry in sorted(
        entries, key=lambda entry: (ranking(dispatcher, entry.endpoint_id), entry.endpoint_id)
    ):
        # Up to where the next would be more than half too much.
        if chosen and chosen_capacity + 0.5 * entry.capacity > capacity:
            break
        chosen.append(entry)
        chosen_capacity += entry.capacity
    return chosen


class Follower:
    """A dispatcher's plan, its lease, and the escape from it where it fails."""

    def __init__(self, dispatcher: str, home_zone: str, ranking: Ranking = rank_of) -> None:
        self.placement = Placement(dispatcher, home_zone)
        self.ranking = ranking
        self.lease = PlanLease()
        self.escape_ends_ms = 0.0
        self.mode = FollowerMode.WITHOUT_PLAN
        # How often it has escaped, for its report.
        self.escapes = 0
        self._ranks: dict[str, float] = {}

    def accept(self, lease: PlanLease) -> bool:
        """Go by another lease, unless it is older than the one in hand; whether it was taken."""
        if not self.lease.is_renewed_by(lease):
            return False
        if lease.plan.version != self.lease.plan.version:
            self.escape_ends_ms = 0.0
        self.lease = lease
        return True

    def has_valid_plan(self, now: float) -> bool:
        """Whether a plan is in force."""
        return now < self.lease.expires_ms

    def select(
        self,
        now: float,
        ready: Iterable[EndpointEntry],
        ejected: Collection[str],
        required_kinds: Collection[str] = (),
    ) -> frozenset[str]:
        """The ids of the endpoints to use now; `ejected` are those that the router has ejected."""
        ready = list(ready)
        if not self.has_valid_plan(now):
            # The standing rule, which needs no agent: by the list alone.
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
        """A cached `ranking`."""
        rank = self._ranks.get(endpoint_id)
        if rank is None:
            if len(self._ranks) >= MAX_CACHED_RANKS:
                self._ranks.clear()
            rank = self._ranks[endpoint_id] = self.ranking(dispatcher, endpoint_id)
        return rank
