"""Which endpoint a request goes to: the next in turn of its group that has room, or the shortest queue."""

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

# What speaks against an endpoint: half a slot of doubt, likely too slow, a path that costs. The least of the
# sum goes first, and turns decide between equals.
_NO_ROOM_PENALTY, _SLOW_PENALTY, _MOST_PENALTY = 4, 2, 99
# An endpoint is passed over where it lacks more than half a slot.
_LEAST_ROOM = -0.5
# Likely too slow: it takes more than this part of the time that is left.
_SLOW_PART = 0.6
# A cold endpoint is tried first if it takes at most this part of the time that is left.
_COLD_PART = 0.75
_READY = EndpointState.READY


class _Search(NamedTuple):
    """What stays the same while an endpoint is looked for."""

    request: Request
    now: float
    # The endpoint that has the request already.
    excluded: Endpoint | None
    # Where its effect cannot happen twice.
    allowed_group: AllowedGroup
    # Longer than this it would likely take too long.
    limit_ms: float
    # With size classes, the kinds of which warm endpoints are likely, and surely, too slow.
    slow_kinds: frozenset[str] = frozenset()
    late_kinds: frozenset[str] = frozenset()


class EndpointSelector:
    """Chooses endpoints, by turns."""

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
        """The next endpoint in turn, of the first group that has one with room; it takes its turn."""
        search = self._search(request, now, excluded)
        for group in self._groups(request, now):
            endpoint = self._best_of(group, search)
            if endpoint is not None:
                self._rotation.take_turn(endpoint, group)
                return endpoint
        return None

    def shortest_queue(self, request: Request, limit_ms: float, now: float) -> Endpoint | None:
        """Where the wait is expected to be the shortest, if it is below the limit; it takes its turn."""
        best, best_wait = None, limit_ms
        candidates: Sequence[Endpoint] = self._endpoints.ready
        if request.affinity_key or self._size_classes.pools:
            candidates = list(chain.from_iterable(self._groups(request, now)))
        search = self._search(request, now, None)
        mean_slot_ms = self._classes.mean_slot_ms
        for endpoint in self._without_late(candidates, search):
            # A queue that is not told shows in how long the last requests there waited.
            delay = endpoint.start_delay_ms
            if delay >= best_wait:
                continue
            slots = endpoint.slots
            ahead = endpoint.own_slots + endpoint.other_slots + request.slots - slots
            wait = max(delay, ahead / slots * mean_slot_ms * self._run_times.slowness(endpoint, now))
            if wait < best_wait and self._may_serve(endpoint, search):
                best, best_wait = endpoint, wait
        if best is not None:
            self._rotation.take_turn(best, self._subset.in_use)
        return best

    def _search(self, request: Request, now: float, excluded: Endpoint | None) -> _Search:
        left_ms = request.due_ms - now
        limit_ms = _SLOW_PART * left_ms
        allowed_group = self._retry_policy.allowed_group(request, now) if request.attempts else True
        if not self._size_classes.pools:
            return _Search(request, now, excluded, allowed_group, limit_ms)
        slow_kinds = self._run_times.slow_kinds(request.expected_ms, limit_ms)
        late_kinds = self._run_times.slow_kinds(request.expected_ms, left_ms)
        return _Search(request, now, excluded, allowed_group, limit_ms, slow_kinds, late_kinds)

    def _groups(self, request: Request, now: float) -> Iterable[list[Endpoint]]:
        """The groups of endpoints that a request may go to, the first to be preferred if it has room."""
        if request.affinity_key:
            return self._affinity.groups(request.affinity_key, now)
        if request.size_class < 0 or not self._size_classes.pools:
            return [self._subset.in_use, self._subset.standby()]
        # The turn to send a cold endpoint something comes seldom, and if all let it pass, it stays cold.
        # Beyond the pool beside its own a request would stand among others' work, or others behind it.
        left_ms = _COLD_PART * (request.due_ms - now)
        cold = [each for each in self._subset.warming_in_use if self._warm_up.is_warming_up(each, now)]
        cold = [each for each in cold if request.expected_ms * self._run_times.slowness(each, now) <= left_ms]
        return [cold, *self._size_classes.nearest_pools(request.size_class)]

    def _best_of(self, group: list[Endpoint], search: _Search) -> Endpoint | None:
        """The next endpoint in turn that has room for the request, among those with the least penalty."""
        request, now, excluded = search.request, search.now, search.excluded
        best, best_turn, best_penalty = None, INFINITY, _MOST_PENALTY
        # Own zone first unsettles the turns, so only where all are in use: a few hold too little of it.
        near = self._prefers_own_zone and self._subset.includes_all()
        kept, zone, wanted = self._prefers_open, self._zone, request.slots
        least = self._least_penalty(search)
        # Whether none later in turn can beat the best, nor any over a costly path; and none that is both.
        is_least = is_least_costly = False
        for endpoint in self._without_late(group, search):
            turn = endpoint.next_turn
            if is_least and turn >= best_turn:
                continue
            costly = (near and endpoint.zone != zone) or (kept and endpoint.connection_until_ms < now)
            if costly and (is_least or (is_least_costly and turn >= best_turn)):
                continue
            slots = endpoint.slots
            room = slots - endpoint.own_slots - endpoint.other_slots - (wanted if wanted < slots else slots)
            if room < _LEAST_ROOM or now < endpoint.full_until_ms or endpoint is excluded:
                continue
            penalty = self._slow_penalty(endpoint, search) + costly
            if room < 0.0:
                penalty += _NO_ROOM_PENALTY
            is_better = penalty < best_penalty or (penalty == best_penalty and turn < best_turn)
            if is_better and self._may_serve(endpoint, search):
                best, best_turn, best_penalty = endpoint, turn, penalty
                is_least, is_least_costly = penalty <= least, penalty <= least + 1
        return best

    def _slow_penalty(self, endpoint: Endpoint, search: _Search) -> int:
        """What speaks against an endpoint that is likely too slow."""
        # With size classes a warm endpoint is as slow as its kind.
        if self._size_classes.pools and endpoint not in self._warm_up.candidates:
            return _SLOW_PENALTY if endpoint.kind in search.slow_kinds else 0
        run_ms = search.request.expected_ms * self._run_times.slowness(endpoint, search.now)
        return _SLOW_PENALTY if run_ms > search.limit_ms else 0

    def _least_penalty(self, search: _Search) -> int:
        """The least that can speak against a warm endpoint."""
        are_all_slow = bool(search.slow_kinds) and len(search.slow_kinds) == len(self._run_times.by_kind)
        return _SLOW_PENALTY if are_all_slow else 0

    def _without_late(self, group: Sequence[Endpoint], search: _Search) -> Sequence[Endpoint]:
        """Those of a group whose kind can end the request in time, and those that warm up."""
        late_kinds, warming = search.late_kinds, self._warm_up.candidates
        if not late_kinds:
            return group
        if len(late_kinds) == len(self._run_times.by_kind):
            return [each for each in group if each in warming]
        return [each for each in group if each in warming or each.kind not in late_kinds]

    def _may_serve(self, endpoint: Endpoint, search: _Search) -> bool:
        """Whether an endpoint may be sent this request at all."""
        request, now = search.request, search.now
        if self._size_classes.pools and (
            request.expected_ms * self._run_times.slowness(endpoint, now) > request.due_ms - now
        ):
            return False
        if endpoint.state != _READY or now < endpoint.ejected_until_ms:
            return False
        if endpoint.ejection_ms and endpoint.own_slots > 0:
            return False  # after an ejection it gets one request at a time
        required_kind = request.request_class.settings.required_kind
        if required_kind is not None and required_kind != endpoint.kind:
            return False
        if not is_in_group(request, endpoint, search.allowed_group):
            return False
        return endpoint.started_ms <= 0.0 or self._slow_start.allows_attempt(request, endpoint, now)
