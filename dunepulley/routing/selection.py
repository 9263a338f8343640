"""Selects the endpoint for a request: the next in turn with an available slot, or the shortest queue."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from itertools import chain
from typing import NamedTuple

from .affinity import CacheAffinity
from .endpoints import Endpoint, EndpointTable
from .events import EndpointState
from .request import Request, RequestClasses
from .retries import AllowedGroup, RetryPolicy, is_in_group
from .round_robin import WeightedRoundRobin
from .run_times import RunTimes
from .settings import RouterSettings
from .size_classes import SizeClasses
from .slow_start import SlowStartBudget
from .subset import EndpointSubset
from .timers import INFINITY
from .warm_up import WarmUp

# The penalties of an endpoint that lacks up to half a slot for the request, and of one that is likely too
# slow; a costly path adds 1. The lowest sum is preferred; between equal sums the next in turn. The maximum is
# above any sum.
_NO_SLOT_PENALTY, _SLOW_PENALTY, _MAX_PENALTY = 4, 2, 99
# An endpoint is skipped if it lacks more than half a slot for the request.
_MIN_AVAILABLE_SLOTS = -0.5
# An endpoint is likely too slow if it takes more than this fraction of the time that is left.
_SLOW_FRACTION = 0.6
# A warming endpoint is tried first if it takes at most this fraction of the time that is left.
_WARMING_FRACTION = 0.75
_READY = EndpointState.READY


class _Search(NamedTuple):
    """The parameters of one selection."""

    request: Request
    now: float
    # The endpoint at which an attempt of the request is in flight.
    excluded: Endpoint | None
    # The endpoints at which an attempt cannot make the effect happen twice.
    allowed_group: AllowedGroup
    # An endpoint that needs longer than this is likely too slow.
    limit_ms: float
    # The endpoints that may still report on an earlier attempt of the request.
    reporting_ids: Sequence[str] = ()
    # With size classes: the kinds whose warm endpoints are likely too slow, and those that cannot be in time.
    slow_kinds: frozenset[str] = frozenset()
    too_slow_kinds: frozenset[str] = frozenset()


class EndpointSelector:
    """Selects endpoints in weighted turns."""

    def __init__(
        self,
        settings: RouterSettings,
        endpoints: EndpointTable,
        classes: RequestClasses,
        rotation: WeightedRoundRobin,
        subset: EndpointSubset,
        size_classes: SizeClasses,
        affinity: CacheAffinity,
        warm_up: WarmUp,
        run_times: RunTimes,
        slow_start: SlowStartBudget,
        retry_policy: RetryPolicy,
    ) -> None:
        self._zone = settings.zone
        self._prefers_own_zone = settings.prefers_own_zone
        self._prefers_open = settings.prefers_open_connections
        self._endpoints = endpoints
        self._classes = classes
        self._rotation = rotation
        self._subset = subset
        self._size_classes = size_classes
        self._affinity = affinity
        self._warm_up = warm_up
        self._run_times = run_times
        self._slow_start = slow_start
        self._retry_policy = retry_policy

    def next_in_turn(self, request: Request, now: float, excluded: Endpoint | None = None) -> Endpoint | None:
        """Select the next endpoint in turn, from the first group with one that is available, or None."""
        search = self._search(request, now, excluded)
        for group in self._groups(request, now):
            endpoint = self._best_of(group, search)
            if endpoint is not None:
                self._rotation.take_turn(endpoint, group)
                return endpoint
        return None

    def shortest_queue(self, request: Request, limit_ms: float, now: float) -> Endpoint | None:
        """Select the endpoint with the shortest expected wait; None if no wait is below `limit_ms`."""
        best, best_wait = None, limit_ms
        candidates: Sequence[Endpoint] = self._endpoints.ready
        if request.affinity_key or self._size_classes.pools:
            candidates = list(chain.from_iterable(self._groups(request, now)))
        search = self._search(request, now, None)
        mean_slot_ms = self._classes.mean_slot_ms
        for endpoint in self._without_too_slow(candidates, search):
            # A queue that is not reported shows in how long the latest requests waited there.
            delay = endpoint.start_delay_ms
            if delay >= best_wait:
                continue
            slots = endpoint.slots
            queued_slots = endpoint.own_slots + endpoint.other_slots + request.slots - slots
            wait = max(delay, queued_slots / slots * mean_slot_ms * self._run_times.slowness(endpoint, now))
            if wait < best_wait and self._may_serve(endpoint, search):
                best, best_wait = endpoint, wait
        if best is not None:
            self._rotation.take_turn(best, self._subset.in_use)
        return best

    def _search(self, request: Request, now: float, excluded: Endpoint | None) -> _Search:
        left_ms = request.due_ms - now
        limit_ms = _SLOW_FRACTION * left_ms
        allowed_group = self._retry_policy.allowed_group(request, now) if request.attempts else True
        reporting_ids = request.reporting_endpoint_ids()
        if not self._size_classes.pools:
            return _Search(request, now, excluded, allowed_group, limit_ms, reporting_ids)
        slow_kinds = self._run_times.slow_kinds(request.expected_ms, limit_ms)
        too_slow_kinds = self._run_times.slow_kinds(request.expected_ms, left_ms)
        return _Search(
            request, now, excluded, allowed_group, limit_ms, reporting_ids, slow_kinds, too_slow_kinds
        )

    def _groups(self, request: Request, now: float) -> Iterable[list[Endpoint]]:
        """The groups of endpoints for a request, the most preferred first."""
        if request.affinity_key:
            return self._affinity.groups(request.affinity_key, now)
        if request.size_class < 0 or not self._size_classes.pools:
            return [self._subset.in_use, self._subset.standby()]
        # Warming endpoints come first: a dispatcher may send to one in few windows only, and if none did, it
        # would not warm up by work. Pools beyond the neighbouring one are left out, because long and short
        # requests would delay each other there.
        left_ms = _WARMING_FRACTION * (request.due_ms - now)
        warming = [each for each in self._subset.warming_in_use if self._warm_up.is_warming_up(each, now)]
        warming = [
            each for each in warming if request.expected_ms * self._run_times.slowness(each, now) <= left_ms
        ]
        return [warming, *self._size_classes.nearest_pools(request.size_class)]

    def _best_of(self, group: list[Endpoint], search: _Search) -> Endpoint | None:
        """The next in turn among the endpoints with an available slot and the lowest penalty."""
        request, now, excluded = search.request, search.now, search.excluded
        best, best_turn, best_penalty = None, INFINITY, _MAX_PENALTY
        # Preferring the own zone makes turns uneven. It is done only if all endpoints are in use, because a
        # small subset has too few endpoints in that zone.
        prefers_own_zone = self._prefers_own_zone and self._subset.includes_all()
        prefers_open, zone, requested_slots = self._prefers_open, self._zone, request.slots
        min_penalty = self._min_penalty(search)
        # `is_min`: the best so far has the lowest possible penalty, so that no endpoint later in turn or over
        # a costly path can beat it. `is_min_costly`: no endpoint that is both later in turn and over a costly
        # path can beat it.
        is_min = is_min_costly = False
        for endpoint in self._without_too_slow(group, search):
            turn = endpoint.next_turn
            if is_min and turn >= best_turn:
                continue
            is_costly = (prefers_own_zone and endpoint.zone != zone) or (
                prefers_open and endpoint.connection_until_ms < now
            )
            if is_costly and (is_min or (is_min_costly and turn >= best_turn)):
                continue
            slots = endpoint.slots
            available = (
                slots
                - endpoint.own_slots
                - endpoint.other_slots
                - (requested_slots if requested_slots < slots else slots)
            )
            if available < _MIN_AVAILABLE_SLOTS or now < endpoint.full_until_ms or endpoint is excluded:
                continue
            penalty = self._slow_penalty(endpoint, search) + is_costly
            if available < 0.0:
                penalty += _NO_SLOT_PENALTY
            is_better = penalty < best_penalty or (penalty == best_penalty and turn < best_turn)
            if is_better and self._may_serve(endpoint, search):
                best, best_turn, best_penalty = endpoint, turn, penalty
                is_min, is_min_costly = penalty <= min_penalty, penalty <= min_penalty + 1
        return best

    def _slow_penalty(self, endpoint: Endpoint, search: _Search) -> int:
        """The penalty if the endpoint is likely too slow for the request, else 0."""
        # With size classes a warm endpoint counts as slow as its kind.
        if self._size_classes.pools and endpoint not in self._warm_up.candidates:
            return _SLOW_PENALTY if endpoint.kind in search.slow_kinds else 0
        run_ms = search.request.expected_ms * self._run_times.slowness(endpoint, search.now)
        return _SLOW_PENALTY if run_ms > search.limit_ms else 0

    def _min_penalty(self, search: _Search) -> int:
        """The lowest possible penalty of a warm endpoint."""
        are_all_slow = bool(search.slow_kinds) and len(search.slow_kinds) == len(self._run_times.by_kind)
        return _SLOW_PENALTY if are_all_slow else 0

    def _without_too_slow(self, group: Sequence[Endpoint], search: _Search) -> Sequence[Endpoint]:
        """The endpoints of a group that are warming up or whose kind can complete the request in time."""
        too_slow_kinds, warming = search.too_slow_kinds, self._warm_up.candidates
        if not too_slow_kinds:
            return group
        if len(too_slow_kinds) == len(self._run_times.by_kind):
            return [each for each in group if each in warming]
        return [each for each in group if each in warming or each.kind not in too_slow_kinds]

    def _may_serve(self, endpoint: Endpoint, search: _Search) -> bool:
        """Whether an endpoint is eligible for the request, apart from its available slots."""
        request, now = search.request, search.now
        if self._size_classes.pools and (
            request.expected_ms * self._run_times.slowness(endpoint, now) > request.due_ms - now
        ):
            return False
        if endpoint.state != _READY or now < endpoint.ejected_until_ms:
            return False
        if endpoint.ejection_ms and endpoint.own_slots > 0:
            return False  # on probation after an ejection: one request at a time
        required_kind = request.request_class.settings.required_kind
        if required_kind is not None and required_kind != endpoint.kind:
            return False
        is_reporting = endpoint.endpoint_id in search.reporting_ids
        if is_reporting or not is_in_group(request, endpoint, search.allowed_group):
            return False
        return endpoint.started_ms <= 0.0 or self._slow_start.allows_attempt(request, endpoint, now)
