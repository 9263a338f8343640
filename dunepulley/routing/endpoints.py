"""Endpoints and the table that holds them, with the orders of the ready ones kept up to date by change."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from .events import EndpointEntry, EndpointState
from .hashing import fnv1a_64
from .rendezvous import rank_of

# The low bits of the hash: ids that differ in their last byte differ there.
_SHORT_ID_MASK = 0xFFFF
# Where more than this part of the ready endpoints has turned, the orders are sorted anew.
_REBUILD_PART = 8
# A kind of endpoint that was never seen with slots available is taken to have so many.
_UNKNOWN_SLOTS = 1.0
_READY = EndpointState.READY


@dataclass(slots=True, eq=False)
class Endpoint:
    """One endpoint. Each group of fields is changed by the module that is named, and read by all."""

    # endpoints.py: who it is and what the list says of it; moments in ms, 0 for a start that is long past.
    index: int
    endpoint_id: str
    id_hash: int
    short_id: int
    # Where this dispatcher ranks it, and where all rank it alike; in [0, 1), the lower the higher.
    rank: float
    fleet_rank: float
    zone: str = ""
    cell: str = ""
    kind: str = ""
    state: str = ""
    capacity: float = 0.0
    started_ms: float = 0.0
    # Requests that it runs at once: the concurrency limit.
    slots: float = 0.0
    # round_robin.py: its part of the requests, and when its next turn comes.
    share: float = 0.0
    next_turn: float = 0.0
    # load_estimates.py: what it reported (-1 where unknown) and when, and what others seem to hold there.
    rate: float = 0.0
    queue_length: float = 0.0
    used_slots_mean: float = 0.0
    reported_ms: float = 0.0
    last_report: dict[str, float] | None = None
    other_slots: float = 0.0
    own_slots_mean: float = 0.0
    full_until_ms: float = 0.0
    # Since the last control period; weights.py starts the count anew.
    rejections: int = 0
    # How long requests waited there before they were started.
    start_delay_ms: float = 0.0
    # health_checks.py: when it was last asked for a report.
    checked_ms: float = 0.0
    # in_flight.py: slots that this dispatcher's attempts hold, and until when a connection is open.
    own_slots: float = 0.0
    connection_until_ms: float = 0.0
    # load_estimates.py: what gossip told of `own_slots`, and what dispatchers hold that tell nothing.
    announced_slots: float = 0.0
    unreported_slots: float = 0.0
    # run_times.py: running times seen, and those expected for the same requests.
    observed_run_ms: float = 0.0
    expected_run_ms: float = 0.0
    # outliers.py: the recent part of errors, and until when and for how long it is ejected.
    error_score: float = 0.0
    ejected_until_ms: float = 0.0
    ejection_ms: float = 0.0
    # slow_start.py: this dispatcher's share of its slow-start budget, and until when that is right.
    slow_start_share: float = 0.0
    slow_start_share_until_ms: float = 0.0

    def reset(self, now: float) -> None:
        """Forget what was learned: it is new, or another process has started in its place."""
        self.rate = self.queue_length = -1.0
        self.reported_ms = now
        self.other_slots = self.used_slots_mean = self.own_slots_mean = self.start_delay_ms = 0.0
        self.observed_run_ms = self.expected_run_ms = 0.0
        self.connection_until_ms = self.slow_start_share_until_ms = self.unreported_slots = 0.0
        self.error_score = self.ejected_until_ms = self.ejection_ms = self.full_until_ms = 0.0
        self.last_report = None


class EndpointTable:
    """All endpoints that were ever listed, and the ready ones by index, by rank and by the rank in common."""

    def __init__(self, rank_name: str) -> None:
        self._rank_name = rank_name
        self.by_id: dict[str, Endpoint] = {}
        self.all: list[Endpoint] = []
        self.by_short_id: dict[int, Endpoint | None] = {}
        # By index, of all endpoints.
        self.id_hashes: list[int] = []
        self.capacities: list[float] = []
        self.ready: list[Endpoint] = []
        self.by_rank: list[Endpoint] = []
        self.by_fleet_rank: list[Endpoint] = []
        # Beside each order the keys that it is sorted by.
        self.ready_indexes: list[int] = []
        self._rank_keys: list[tuple[float, int]] = []
        self._fleet_rank_keys: list[tuple[float, float, int]] = []
        self._state_changes: list[Endpoint] = []
        # Endpoints of a kind are built alike: the most slots and the most capacity that one was seen with.
        self.slots_by_kind: dict[str, float] = {}
        self.capacity_by_kind: dict[str, float] = {}

    def find(self, endpoint_id: str) -> Endpoint | None:
        """The endpoint of this id."""
        return self.by_id.get(endpoint_id)

    def add(self, endpoint_id: str, now: float) -> Endpoint:
        """A new endpoint, of which nothing is known."""
        id_hash = fnv1a_64(endpoint_id)
        endpoint = Endpoint(
            len(self.all),
            endpoint_id,
            id_hash,
            id_hash & _SHORT_ID_MASK,
            rank_of(self._rank_name, endpoint_id),
            rank_of("", endpoint_id),
        )
        endpoint.reset(now)
        self.all.append(endpoint)
        self.id_hashes.append(id_hash)
        self.capacities.append(endpoint.capacity)
        self.by_id[endpoint_id] = endpoint
        # Of two that share a short id gossip tells nothing.
        shared = endpoint.short_id in self.by_short_id
        self.by_short_id[endpoint.short_id] = None if shared else endpoint
        return endpoint

    def set_state(self, endpoint: Endpoint, state: str) -> bool:
        """Take in an endpoint's state; whether it has become ready or is ready no more.

        The orders change only with `refresh_orders`.
        """
        was_ready = endpoint.state == _READY
        endpoint.state = state
        if was_ready == (state == _READY):
            return False
        self._state_changes.append(endpoint)
        return True

    def set_location_and_kind(self, endpoint: Endpoint, entry: EndpointEntry) -> None:
        """Take in what the list says of an endpoint's place and kind."""
        endpoint.zone = entry.zone
        endpoint.cell = entry.cell
        endpoint.kind = entry.kind
        endpoint.slots = self.slots_by_kind.get(entry.kind, _UNKNOWN_SLOTS)

    def set_capacity(self, endpoint: Endpoint, capacity: float, started_ms: float) -> None:
        """Take in an endpoint's capacity and start."""
        endpoint.capacity = self.capacities[endpoint.index] = capacity
        endpoint.started_ms = started_ms

    def raise_slots(self, kind: str, slots: float) -> None:
        """Take in that an endpoint of a kind was seen with more slots than any before."""
        self.slots_by_kind[kind] = slots
        known = self.slots_by_kind
        for endpoint in self.all:
            endpoint.slots = known.get(endpoint.kind, _UNKNOWN_SLOTS)

    def apply_known_slots(self) -> None:
        """Give each endpoint the slots of its kind, where these are known."""
        for endpoint in self.all:
            endpoint.slots = self.slots_by_kind.get(endpoint.kind, endpoint.slots)

    def refresh_orders(self) -> None:
        """Bring the orders of the ready endpoints up to date with those whose state has turned."""
        turned, self._state_changes = self._state_changes, []
        if len(turned) * _REBUILD_PART > len(self.ready):
            self._rebuild_orders()
            return
        for endpoint in set(turned):
            is_ready = endpoint.state == _READY
            rank, index = endpoint.rank, endpoint.index
            fleet_key = (endpoint.fleet_rank, rank, index)
            _update(self.ready_indexes, index, self.ready, endpoint, is_ready)
            _update(self._rank_keys, (rank, index), self.by_rank, endpoint, is_ready)
            _update(self._fleet_rank_keys, fleet_key, self.by_fleet_rank, endpoint, is_ready)

    def _rebuild_orders(self) -> None:
        self.ready = [endpoint for endpoint in self.all if endpoint.state == _READY]
        self.ready_indexes = [endpoint.index for endpoint in self.ready]
        self._rank_keys = sorted([(endpoint.rank, endpoint.index) for endpoint in self.ready])
        self._fleet_rank_keys = sorted(
            [(endpoint.fleet_rank, endpoint.rank, endpoint.index) for endpoint in self.ready]
        )
        self.by_rank = [self.all[key[-1]] for key in self._rank_keys]
        self.by_fleet_rank = [self.all[key[-1]] for key in self._fleet_rank_keys]


def _update(keys: list[Any], key: Any, order: list[Endpoint], endpoint: Endpoint, is_ready: bool) -> None:
    """Put an endpoint into one sorted order, or take it out."""
    place = bisect_left(keys, key)
    found = place < len(keys) and keys[place] == key
    if is_ready and not found:
        keys.insert(place, key)
        order.insert(place, endpoint)
    elif found and not is_ready:
        del keys[place]
        del order[place]


def total_capacity(endpoints: Sequence[Endpoint]) -> float:
    """The capacity of some endpoints together."""
    return sum([endpoint.capacity for endpoint in endpoints])
