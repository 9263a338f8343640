"""The slow-start budget: how much work all dispatchers together may send to an endpoint that is warming up.

An endpoint that receives too much work while it is warming up becomes overloaded and fails. Dispatchers do
not coordinate, so each keeps to a share of the work that the endpoint can certainly serve within a window,
chosen such that the total stays within the budget if every dispatcher uses its share.
"""

from __future__ import annotations

from collections import deque

from .endpoints import Endpoint, EndpointTable
from .request import Request, RequestClasses
from .run_times import RunTimes
from .settings import RouterSettings
from .size_classes import SizeClasses
from .timers import INFINITY
from .warm_up import WarmUp

# The number of windows in a turn, during which the same few dispatchers may send to a warming endpoint. The
# first window of a turn stays unused, so that no window contains requests of two turns.
_TURN_WINDOWS = 4
# The maximum number of dispatchers that share a turn. With this limit, shares grow with the budget, so that
# they then fit long requests, too.
_MAX_HOLDERS = 6
# The fraction of the budget that is shared out in turns; the rest is a safety margin.
_SHARED_FRACTION = 0.8
# An equal share for each dispatcher is used if it is at least this fraction of the smallest request.
_MIN_USEFUL_FRACTION = 0.5
# The smallest request is estimated as the shortest deadline divided by this.
_SMALLEST_REQUEST_DIVISOR = 8
# The fraction of all dispatchers by which the turn advances. With the golden ratio, the turns of dispatchers
# with neighbouring numbers are spread evenly over time.
_TURN_STRIDE = 0.618
# The endpoint's rank times this is an offset, so that turns at different endpoints begin at different times.
_TURN_OFFSET_RANGE = 7919.0


class SlowStartBudget:
    """This dispatcher's share of each warming endpoint's budget, and how much of it is spent."""

    def __init__(
        self,
        settings: RouterSettings,
        endpoints: EndpointTable,
        classes: RequestClasses,
        warm_up: WarmUp,
        run_times: RunTimes,
        size_classes: SizeClasses,
        now: float,
    ) -> None:
        self.dispatcher_count = settings.dispatcher_count
        self._dispatcher_number = settings.dispatcher_number
        self._window_ms = settings.slow_start.window_ms
        self._initial_capacity = settings.slow_start.initial_capacity
        self._overload_multiple = settings.slow_start.overload_multiple
        self._endpoints = endpoints
        self._classes = classes
        self._warm_up = warm_up
        self._run_times = run_times
        self._size_classes = size_classes
        # What this dispatcher sent before this process started is unknown, so it waits for one window.
        self._allowed_from_ms = now + self._window_ms
        # The attempts sent to each endpoint within the last window, as (time in ms, load in slot-ms).
        self._sent: dict[Endpoint, deque[tuple[float, float]]] = {}

    def assign(self, owns_budget: bool, now: float) -> None:
        """Set whether this process may spend the dispatcher's share; in a hot restart only one of two may."""
        self._allowed_from_ms = now + self._window_ms if owns_budget else INFINITY

    def expected_load(self, request: Request, endpoint: Endpoint, now: float) -> float:
        """The load that a request is expected to cause at an endpoint, in slot-ms."""
        if self._size_classes.pools:
            return request.slots * request.expected_ms * self._run_times.kind_slowness(endpoint)
        return request.slots * request.expected_ms * self._run_times.slowness(endpoint, now)

    def record_attempt(self, request: Request, endpoint: Endpoint, now: float) -> None:
        """Record the load sent to an endpoint, even a warm one: it may turn out to have restarted."""
        load = self.expected_load(request, endpoint, now)
        sent = self._sent.setdefault(endpoint, deque())
        self._forget_before_window(sent, now)
        sent.append((now, load))

    def allows_attempt(self, request: Request, endpoint: Endpoint, now: float) -> bool:
        """Whether an attempt fits this dispatcher's share of the budget within the current window."""
        if not self._warm_up.is_warming_up(endpoint, now):
            return True
        window_ms = self._window_ms
        if now >= endpoint.slow_start_share_until_ms:
            # The share grows with the endpoint's age; it is computed once per window.
            age_ms = max(0.0, self._warm_up.age_ms(endpoint, now))
            endpoint.slow_start_share_until_ms = now + window_ms - age_ms % window_ms
            endpoint.slow_start_share = self.share_of(endpoint, now)
        if endpoint.slow_start_share <= 0.0 or now < self._allowed_from_ms:
            return False
        sent = self._sent.get(endpoint, deque())
        self._forget_before_window(sent, now)
        return sum([load for _, load in sent]) + self.expected_load(request, endpoint, now) <= (
            endpoint.slow_start_share
        )

    def _forget_before_window(self, sent: deque[tuple[float, float]], now: float) -> None:
        while sent and sent[0][0] < now - self._window_ms:
            sent.popleft()

    def share_of(self, endpoint: Endpoint, now: float) -> float:
        """This dispatcher's share of a warming endpoint's budget for one window, in slot-ms."""
        age_ms = max(0.0, self._warm_up.age_ms(endpoint, now))
        budget = self._budget_of(endpoint, age_ms)
        even_share = budget / self.dispatcher_count
        smallest_request = self._classes.shortest_deadline_ms() / _SMALLEST_REQUEST_DIVISOR
        if even_share >= _MIN_USEFUL_FRACTION * smallest_request:
            return even_share
        # With many dispatchers an equal share would not fit any request: a few dispatchers at a time share
        # the budget.
        windows = (
            int(age_ms / self._window_ms) + int(endpoint.fleet_rank * _TURN_OFFSET_RANGE) % _TURN_WINDOWS
        )
        if windows % _TURN_WINDOWS == 0:
            return 0.0
        turn = windows // _TURN_WINDOWS * (int(_TURN_STRIDE * self.dispatcher_count) + 1)
        offset = int(endpoint.fleet_rank * self.dispatcher_count)
        position = (self._dispatcher_number + turn + offset) % self.dispatcher_count
        holders = max(1, min(_MAX_HOLDERS, int(_SHARED_FRACTION * budget / smallest_request)))
        return _SHARED_FRACTION * budget / holders if position < holders else 0.0

    def _budget_of(self, endpoint: Endpoint, age_ms: float) -> float:
        """The load that an endpoint of this age can certainly serve in a window, in slot-ms."""
        initial = self._initial_capacity
        fraction = initial + (1.0 - initial) * age_ms / self._warm_up.duration_ms
        # A kind whose slots are not known yet counts as the smallest known kind.
        slots = max(endpoint.slots, min(self._endpoints.slots_by_kind.values(), default=1.0))
        return self._overload_multiple * fraction * slots * self._window_ms
