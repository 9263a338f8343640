"""Endpoints and the endpoint table, which keeps sorted orders of the ready endpoints up to date."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from .events import EndpointEntry, EndpointState
from .hashing import fnv1a_64
from .rendezvous import rank_of

# The short id is the low bits of the hash, which differ for ids that differ in their last byte.
_SHORT_ID_MASK = 0xFFFF
# The orders are rebuilt, not updated, if more than one in this many ready endpoints has changed state.
_REBUILD_DIVISOR = 8
# The slots assumed for an endpoint of a kind that has not reported available slots yet.
_DEFAULT_SLOTS = 1.0
_READY = EndpointState.READY


@dataclass(slots=True, eq=False)
class Endpoint:
    """The state of one endpoint. Each group of fields is written only by the module named above it."""

    # endpoints.py: its identity and its entry in the list. Times are in ms; a start of 0 is long ago.
    index: int
    endpoint_id: str
    id_hash: int
    short_id: int
    # Its rank for this dispatcher, and its rank for all dispatchers, in [0, 1); lower values rank higher.
    rank: float
    fleet_rank: float
    zone: str = ""
    cell: str = ""
    kind: str = ""
    state: str = ""
    capacity: float = 0.0
    started_ms: float = 0.0
    # Its concurrency limit: how many requests of one slot it runs at once.
    slots: float = 0.0
    # round_robin.py: its fraction of the requests, and the position of its next turn.
    share: float = 0.0
    next_turn: float = 0.0
    # load_estimates.py: its reported figures (-1 if unknown) and when they arrived, and the estimate of the
    # slots that other dispatchers hold there.
    rate: float = 0.0
    queue_length: float = 0.0
    used_slots_mean: float = 0.0
    reported_ms: float = 0.0
    last_report: dict[str, float] | None = None
    other_slots: float = 0.0
    own_slots_mean: float = 0.0
    full_until_ms: float = 0.0
    # Rejections since the last control period; weights.py resets the count.
    rejections: int = 0
    # How long the latest requests waited there before they were started, decaying over time.
    start_delay_ms: float = 0.0
    # health_checks.py: when the last health check was sent.
    checked_ms: float = 0.0
    # in_flight.py: the slots held by this dispatcher's attempts, and until when an idle connection is open.
    own_slots: float = 0.0
    connection_until_ms: float = 0.0
    # load_estimates.py: `own_slots` as last announced by gossip, and the slots held by dispatchers that send
    # no gossip.
    announced_slots: float = 0.0
    unreported_slots: float = 0.0
    # run_times.py: decaying sums of observed running times, and of those expected for the same requests.
    observed_run_ms: float = 0.0
    expected_run_ms: float = 0.0
    # outliers.py: the recent fraction of errors, until when it is ejected, and the length of that ejection.
    error_score: float = 0.0
    ejected_until_ms: float = 0.0
    ejection_ms: float = 0.0
    # slow_start.py: this dispatcher's share of its slow-start budget, and until when that share is valid.
    slow_start_share: float = 0.0
    slow_start_share_until_ms: float = 0.0

    def reset(self, now: float) -> None:
        """Clear all learned state: the endpoint is new or has restarted."""
        self.rate = self.queue_length = -1.0
        self.reported_ms = now
        self.other_slots = self.used_slots_mean = self.own_slots_mean = self.start_delay_ms = 0.0
        self.observed_run_ms = self.expected_run_ms = 0.0
        self.connection_until_ms = self.slow_start_share_until_ms = self.unreported_slots = 0.0
        self.error_score = self.ejected_until_ms = self.ejection_ms = self.full_until_ms = 0.0
        self.last_report = None


class EndpointTable:
    """All endpoints ever listed, and the ready ones sorted by index, by rank and by fleet rank."""

    def __init__(self, rank_name: str) -> None:
        self._rank_name = rank_name
        self.by_id: dict[str, Endpoint] = {}
        self.all: list[Endpoint] = []
        self.by_short_id: dict[int, Endpoint | None] = {}
        # Hashes and capacities of all endpoints, by index.
        self.id_hashes: list[int] = []
        self.capacities: list[float] = []
        self.ready: list[Endpoint] = []
        self.by_rank: list[Endpoint] = []
        self.by_fleet_rank: list[Endpoint] = []
        # The sort keys of each order.
        self.ready_indexes: list[int] = []
        self._rank_keys: list[tuple[float, int]] = []
        self._fleet_rank_keys: list[tuple[float, float, int]] = []
        self._state_changes: list[Endpoint] = []
        # Endpoints of one kind have the same size: the maximum slots and capacity seen for each kind.
        self.slots_by_kind: dict[str, float] = {}
        self.capacity_by_kind: dict[str, float] = {}

    def find(self, endpoint_id: str) -> Endpoint | None:
        """The endpoint with this id, or None."""
        return self.by_id.get(endpoint_id)

    def add(self, endpoint_id: str, now: float) -> Endpoint:
        """Add a new endpoint."""
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
        # Gossip about a short id that two endpoints share is ignored.
        shared = endpoint.short_id in self.by_short_id
        self.by_short_id[endpoint.short_id] = None if shared else endpoint
        return endpoint

    def set_state(self, endpoint: Endpoint, state: str) -> bool:
        """Set an endpoint's state; returns whether it has become ready or is no longer ready.

        The orders are updated by `refresh_orders`.
        """
        was_ready = endpoint.state == _READY
        endpoint.state = state
        if was_ready == (state == _READY):
            return False
        self._state_changes.append(endpoint)
        return True

    def set_location_and_kind(self, endpoint: Endpoint, entry: EndpointEntry) -> None:
        """Set an endpoint's zone, cell and kind from its list entry, and its slots from the kind."""
        endpoint.zone = entry.zone
        endpoint.cell = entry.cell
        endpoint.kind = entry.kind
        endpoint.slots = self.slots_by_kind.get(entry.kind, _DEFAULT_SLOTS)

    def set_capacity(self, endpoint: Endpoint, capacity: float, started_ms: float) -> None:
        """Set an endpoint's capacity and start time."""
        endpoint.capacity = self.capacities[endpoint.index] = capacity
        endpoint.started_ms = started_ms

    def raise_slots(self, kind: str, slots: float) -> None:
        """Raise the slots of all endpoints of a kind to a new maximum."""
        self.slots_by_kind[kind] = slots
        known_slots = self.slots_by_kind
        for endpoint in self.all:
            endpoint.slots = known_slots.get(endpoint.kind, _DEFAULT_SLOTS)

    def apply_known_slots(self) -> None:
        """Set each endpoint's slots to those of its kind, if known."""
        for endpoint in self.all:
            endpoint.slots = self.slots_by_kind.get(endpoint.kind, endpoint.slots)

    def refresh_orders(self) -> None:
        """Update the orders of the ready endpoints for all state changes since the last call."""
        changed, self._state_changes = self._state_changes, []
        if len(changed) * _REBUILD_DIVISOR > len(self.ready):
            self._rebuild_orders()
            return
        for endpoint in set(changed):
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
    """Insert an endpoint into a sorted order, or remove it."""
    position = bisect_left(keys, key)
    found = position < len(keys) and keys[position] == key
    if is_ready and not found:
        keys.insert(position, key)
        order.insert(position, endpoint)
    elif found and not is_ready:
        del keys[position]
        del order[position]


def total_capacity(endpoints: Sequence[Endpoint]) -> float:
    """The sum of the capacities of some endpoints."""
    return sum([endpoint.capacity for endpoint in endpoints])
