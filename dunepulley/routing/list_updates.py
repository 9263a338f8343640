"""Applies updates of the endpoint list: endpoints that are new, have restarted, are draining or removed."""

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

# A listed capacity that is not positive or reaches this limit is invalid and replaced by the default.
_MAX_CAPACITY, _DEFAULT_CAPACITY = 1e9, 1.0


class ListUpdates:
    """Applies updates of the list to the endpoint table and notifies the parts that depend on it."""

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
        """Apply an update; a report that polling the list failed changes nothing."""
        if update.kind == ListUpdateKind.FAILED:
            return
        is_full_list = update.kind != ListUpdateKind.CHANGES
        if is_full_list:
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
        if started or is_full_list or self._endpoints.ready != before:
            self._affinity.refresh()
            self.choose_subset(now)
        self._queue.mark_capacity_changed()

    def choose_subset(self, now: float) -> None:
        """Choose the endpoints in use, and rebuild the pools of the size classes."""
        warming = self._subset.choose(now)
        self._size_classes.rebuild(warming, now)

    def _remove_unlisted(self, update: EndpointListUpdate) -> None:
        listed = {entry.endpoint_id for entry in update.entries}
        for endpoint_id, endpoint in self._endpoints.by_id.items():
            if endpoint_id not in listed:
                self._set_state(endpoint, EndpointState.REMOVED)

    def _join_rotation(self, started: list[Endpoint]) -> None:
        """Add new endpoints to the rotation, with the share of their capacity and at a random position."""
        capacity = total_capacity(self._endpoints.ready)
        for endpoint in started:
            share = endpoint.capacity / max(capacity, endpoint.capacity)
            self._rotation.join(endpoint, share, self._random.random())

    def _apply_entry(self, entry: EndpointEntry, now: float) -> Endpoint | None:
        """Apply one entry; returns the endpoint if it is new or has restarted, else None."""
        endpoint, is_current = self._find_or_add(entry, now)
        self._endpoints.set_location_and_kind(endpoint, entry)
        self._run_times.add_kind(entry.kind)
        self._set_state(endpoint, entry.state)
        capacity = entry.capacity if 0.0 < entry.capacity < _MAX_CAPACITY else _DEFAULT_CAPACITY
        if self._capacity_is_live:
            capacity = self._full_capacity(endpoint, capacity, is_current, now)
        if capacity != endpoint.capacity:
            self._affinity.record_endpoint_change(endpoint)
        self._endpoints.set_capacity(endpoint, capacity, entry.started_ms)
        self._warm_up.track(endpoint, now)
        return None if is_current else endpoint

    def _find_or_add(self, entry: EndpointEntry, now: float) -> tuple[Endpoint, bool]:
        """The endpoint of an entry, and whether its learned state is still valid."""
        endpoint = self._endpoints.find(entry.endpoint_id)
        if endpoint is None:
            return self._endpoints.add(entry.endpoint_id, now), False
        has_returned = endpoint.state == EndpointState.REMOVED and entry.state == EndpointState.READY
        if entry.started_ms > endpoint.started_ms or has_returned:
            endpoint.reset(now)
            return endpoint, False
        return endpoint, True

    def _full_capacity(self, endpoint: Endpoint, listed: float, is_current: bool, now: float) -> float:
        """The full capacity of an endpoint whose listed capacity falls with its load."""
        # The maximum that was ever listed for a kind is its full capacity.
        by_kind = self._endpoints.capacity_by_kind
        full = by_kind[endpoint.kind] = max(listed, by_kind.get(endpoint.kind, 0.0))
        self._load.record_live_capacity(endpoint, full / listed, is_current, now)
        return full

    def _set_state(self, endpoint: Endpoint, state: str) -> None:
        if not self._endpoints.set_state(endpoint, state):
            return
        if state == EndpointState.READY:
            self._health_checks.add(endpoint)
        self._affinity.record_endpoint_change(endpoint)
