"""Updates of the endpoint list: who is new, has started again, drains, or has gone."""

from __future__ import annotations

from .affinity import CacheAffinity
from .endpoints import Endpoint, EndpointTable, total_capacity
from .events import EndpointEntry, EndpointListUpdate, EndpointState, ListUpdateKind
from .health_checks import HealthChecks
from .load_estimates import LoadEstimator
from .request_queue import RequestQueue
from .rng import RandomGenerator
from .round_robin import WeightedRoundRobin
from .run_times import RunTimes
from .settings import RouterSettings
from .size_classes import SizeClasses
from .subset import EndpointSubset
from .warm_up import WarmUp

# A listed capacity beyond this is not believed; it counts as 1.
_MOST_CAPACITY, _USUAL_CAPACITY = 1e9, 1.0


class ListUpdates:
    """Takes updates of the list into the table, and tells the parts that go by it."""

    def __init__(
        self,
        settings: RouterSettings,
        endpoints: EndpointTable,
        rotation: WeightedRoundRobin,
        subset: EndpointSubset,
        size_classes: SizeClasses,
        affinity: CacheAffinity,
        warm_up: WarmUp,
        run_times: RunTimes,
        load: LoadEstimator,
        health_checks: HealthChecks,
        queue: RequestQueue,
        random: RandomGenerator,
    ) -> None:
        self._capacity_is_live = settings.capacity_is_live
        self._endpoints = endpoints
        self._rotation = rotation
        self._subset = subset
        self._size_classes = size_classes
        self._affinity = affinity
        self._warm_up = warm_up
        self._run_times = run_times
        self._load = load
        self._health_checks = health_checks
        self._queue = queue
        self._random = random

    def apply(self, update: EndpointListUpdate, now: float) -> None:
        """Take in an update; one that says that asking failed changes nothing."""
        if update.kind == ListUpdateKind.FAILED:
            return
        is_whole = update.kind != ListUpdateKind.CHANGES
        if is_whole:
            self._remove_unlisted(update)
        before = self._endpoints.ready.copy()
        started = [
            endpoint
            for endpoint in [self._apply_entry(entry, now) for entry in update.entries]
            if endpoint is not None
        ]
        self._endpoints.refresh_orders()
        if started:
            self._join_rotation(started)
        if started or is_whole or self._endpoints.ready != before:
            self._affinity.refresh()
            self.choose_subset(now)
        self._queue.mark_capacity_changed()

    def choose_subset(self, now: float) -> None:
        """Choose anew which endpoints are in use, and which pools they are in."""
        cold = self._subset.choose(now)
        self._size_classes.rebuild(cold, now)

    def _remove_unlisted(self, update: EndpointListUpdate) -> None:
        listed = {entry.endpoint_id for entry in update.entries}
        for endpoint_id, endpoint in self._endpoints.by_id.items():
            if endpoint_id not in listed:
                self._set_state(endpoint, EndpointState.REMOVED)

    def _join_rotation(self, started: list[Endpoint]) -> None:
        """An endpoint of which nothing is known starts at the share of its size, at a random turn."""
        capacity = total_capacity(self._endpoints.ready)
        for endpoint in started:
            share = endpoint.capacity / max(capacity, endpoint.capacity)
            self._rotation.join(endpoint, share, self._random.random())

    def _apply_entry(self, entry: EndpointEntry, now: float) -> Endpoint | None:
        """Take in one entry; returns the endpoint if it is new or has started again."""
        endpoint, is_known = self._find_or_add(entry, now)
        self._endpoints.set_location_and_kind(endpoint, entry)
        self._run_times.add_kind(entry.kind)
        self._set_state(endpoint, entry.state)
        capacity = entry.capacity if 0.0 < entry.capacity < _MOST_CAPACITY else _USUAL_CAPACITY
        if self._capacity_is_live:
            capacity = self._full_capacity(endpoint, capacity, is_known, now)
        if capacity != endpoint.capacity:
            self._affinity.record_endpoint_change(endpoint)
        self._endpoints.set_capacity(endpoint, capacity, entry.started_ms)
        self._warm_up.track(endpoint, now)
        return None if is_known else endpoint

    def _find_or_add(self, entry: EndpointEntry, now: float) -> tuple[Endpoint, bool]:
        """The endpoint of an entry, and whether what is known of it still holds."""
        endpoint = self._endpoints.find(entry.endpoint_id)
        if endpoint is None:
            return self._endpoints.add(entry.endpoint_id, now), False
        has_returned = endpoint.state == EndpointState.REMOVED and entry.state == EndpointState.READY
        if entry.started_ms > endpoint.started_ms or has_returned:
            endpoint.reset(now)
            return endpoint, False
        return endpoint, True

    def _full_capacity(self, endpoint: Endpoint, listed: float, is_known: bool, now: float) -> float:
        """The capacity of an endpoint of which the list tells less the more it holds."""
        # The most that a kind was listed with is its capacity.
        by_kind = self._endpoints.capacity_by_kind
        full = by_kind[endpoint.kind] = max(listed, by_kind.get(endpoint.kind, 0.0))
        self._load.record_live_capacity(endpoint, full / listed, is_known, now)
        return full

    def _set_state(self, endpoint: Endpoint, state: str) -> None:
        if not self._endpoints.set_state(endpoint, state):
            return
        if state == EndpointState.READY:
            self._health_checks.add(endpoint)
        self._affinity.record_endpoint_change(endpoint)
