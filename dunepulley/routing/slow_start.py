"""The fleet's slow-start budget: what all dispatchers together may send an endpoint that warms up.

An endpoint that is sent too much while it is cold falls over. So each dispatcher keeps to a share of what the
endpoint surely bears within a window, such that the budget holds even if every other does the same.
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

# A turn to send a cold endpoint something lasts so many windows; the first goes by unused, so that no window
# holds the requests of two turns.
_TURN_WINDOWS = 4
# At most so many dispatchers share a turn: parts that grow with the budget hold long requests, too.
_MOST_HOLDERS = 6
# A fifth of the budget is left for chance.
_SHARED_PART = 0.8
# An even share is of use if it holds this part of the smallest request.
_USEFUL_PART = 0.5
# The smallest request, by the guess that is made before any is seen: this part of the shortest deadline.
_GUESS_DEADLINES = 8
# Turns go on by this part of the dispatchers, so that those next to each other are far apart in time; the
# golden ratio spreads them evenly.
_TURN_STRIDE = 0.618
# Spreads the endpoints' turns over time.
_TURN_SPREAD = 7919.0


class SlowStartBudget:
    """This dispatcher's share of each cold endpoint's budget, and what it has sent of it."""

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
        # What this dispatcher sent before it was started is not known: it counts for one window more.
        self._allowed_from_ms = now + self._window_ms
        # What each endpoint was sent within the last window, as (when, load in slot-ms).
        self._sent: dict[Endpoint, deque[tuple[float, float]]] = {}

    def assign(self, owns_budget: bool, now: float) -> None:
        """Take in whether this process, or another of the same dispatcher, may spend the share."""
        self._allowed_from_ms = now + self._window_ms if owns_budget else INFINITY

    def expected_load(self, request: Request, endpoint: Endpoint, now: float) -> float:
        """The slot-ms that a request is expected to take at an endpoint."""
        if self._size_classes.pools:
            return request.slots * request.expected_ms * self._run_times.kind_slowness(endpoint)
        return request.slots * request.expected_ms * self._run_times.slowness(endpoint, now)

    def record_attempt(self, request: Request, endpoint: Endpoint, now: float) -> None:
        """Count what an endpoint is sent; also a warm one, which may turn out to have started anew."""
        load = self.expected_load(request, endpoint, now)
        sent = self._sent.setdefault(endpoint, deque())
        self._forget_before_window(sent, now)
        sent.append((now, load))

    def allows_attempt(self, request: Request, endpoint: Endpoint, now: float) -> bool:
        """Whether an attempt keeps to this dispatcher's share within any window."""
        if not self._warm_up.is_warming_up(endpoint, now):
            return True
        window_ms = self._window_ms
        if now >= endpoint.slow_start_share_until_ms:
            # It grows with age; within a window the start of the window counts.
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
        """This dispatcher's share of what a cold endpoint surely bears in a window, in slot-ms."""
        age_ms = max(0.0, self._warm_up.age_ms(endpoint, now))
        budget = self._budget_of(endpoint, age_ms)
        even = budget / self.dispatcher_count
        smallest = self._classes.shortest_deadline_ms() / _GUESS_DEADLINES
        if even >= _USEFUL_PART * smallest:
            return even
        # Among many dispatchers nobody's even share would hold a request: a few at a time share it.
        windows = int(age_ms / self._window_ms) + int(endpoint.fleet_rank * _TURN_SPREAD) % _TURN_WINDOWS
        if windows % _TURN_WINDOWS == 0:
            return 0.0
        turn = windows // _TURN_WINDOWS * (int(_TURN_STRIDE * self.dispatcher_count) + 1)
        first = int(endpoint.fleet_rank * self.dispatcher_count)
        place = (self._dispatcher_number + turn + first) % self.dispatcher_count
        holders = max(1, min(_MOST_HOLDERS, int(_SHARED_PART * budget / smallest)))
        return _SHARED_PART * budget / holders if place < holders else 0.0

    def _budget_of(self, endpoint: Endpoint, age_ms: float) -> float:
        """What an endpoint of this age surely bears in a window, from all, in slot-ms."""
        least = self._initial_capacity
        part = least + (1.0 - least) * age_ms / self._warm_up.duration_ms
        # A kind that was never seen with slots available is taken for the least of those that were.
        slots = max(endpoint.slots, min(self._endpoints.slots_by_kind.values(), default=1.0))
        return self._overload_multiple * part * slots * self._window_ms
