"""How loaded each endpoint is: from its reports, from gossip, and from what becomes of requests there.

The slots that other dispatchers hold at an endpoint are estimated. A report is some way behind and may be
sampled; between reports the estimate fades to the mean of all endpoints.
"""

from __future__ import annotations

from .endpoints import Endpoint, EndpointTable
from .health_checks import HealthChecks
from .in_flight import InFlight
from .request_queue import RequestQueue
from .settings import RouterSettings
from .size_classes import SizeClasses
from .timers import INFINITY, TimerQueue
from .warm_up import WarmUp

# How often estimates fade: often enough to do so within a report's usual age of a second or two. A large
# fleet is looked over less often, so that it costs what sixteen endpoints do.
_FADE_MS, _FADE_ENDPOINTS = 250.0, 16.0
# What is kept at each fade of the mean of own slots, and of what is believed of others.
_OWN_KEPT, _OTHERS_KEPT = 0.75, 0.9
# Sums of gossip are believed for so long.
AGGREGATE_MAX_AGE_MS = 2000.0
# A busy endpoint frees a slot each fifth of a second.
_FULL_MS = 200.0
# An endpoint that rejects has a whole queue, of which no report need tell: so many times its slots.
_REJECTED_LOAD = 2.0
# Reports beyond these are not believed.
_MOST_RATE, _MOST_SLOTS = 1e6, 1e4
# Three tenths of a single report count, more where the last is older than its half-life, seven tenths where
# it was asked for.
_REPORT_PART, _ASKED_REPORT_PART, _REPORT_HALF_LIFE_MS = 0.3, 0.7, 4000.0
# Half of what a list with live capacities tells counts: it is counted, not sampled, but late.
_LIVE_PART, _MOST_LIVE_MULTIPLE = 0.5, 99.0
# After so long without news all estimates are given up where requests wait and none is out to bring news.
_NO_NEWS_MS = 4000.0
# One that is believed to be full gets nothing, so that no answer says otherwise: it is asked that often.
_ASK_FULL_MS = 1000.0


class LoadEstimator:
    """Keeps each endpoint's load, and marks those that are full."""

    def __init__(
        self,
        settings: RouterSettings,
        endpoints: EndpointTable,
        in_flight: InFlight,
        queue: RequestQueue,
        health_checks: HealthChecks,
        size_classes: SizeClasses,
        warm_up: WarmUp,
        timers: TimerQueue,
    ) -> None:
        self._dispatcher_count = settings.dispatcher_count
        self._capacity_is_live = settings.capacity_is_live
        reports = settings.reports
        self._asks_full = reports.can_check_health and reports.source == "answers"
        self._endpoints = endpoints
        self._in_flight = in_flight
        self._queue = queue
        self._health_checks = health_checks
        self._size_classes = size_classes
        self._warm_up = warm_up
        self._timers = timers
        self._aggregates_received_ms = -INFINITY
        self._aggregates: dict[int, int] = {}
        self._announced: list[Endpoint] = []

    # ---------------------------------------------------------------- load reports

    def record_report(self, endpoint_id: str, report: dict[str, float], now: float) -> None:
        """Take in a load report."""
        endpoint = self._endpoints.find(endpoint_id)
        if endpoint is None or report == endpoint.last_report:
            return  # a report is refreshed now and then: the same figures again say nothing new
        endpoint.last_report = report
        rate = report.get("rate")
        if rate is not None and 0.0 <= rate < _MOST_RATE:
            endpoint.rate = rate if endpoint.rate < 0 else 0.5 * (endpoint.rate + rate)
        endpoint.queue_length = report.get("queue", -1.0)
        available = report.get("x0")
        if available is not None and 0.0 <= available < _MOST_SLOTS:
            self._record_available(endpoint, available, now)
            self._queue.mark_capacity_changed()
        endpoint.reported_ms = now

    def _record_available(self, endpoint: Endpoint, available: float, now: float) -> None:
        """Take in how many slots an endpoint has available."""
        if round(available) > self._endpoints.slots_by_kind.get(endpoint.kind, 1.0):
            # Endpoints of a kind are built alike: the most that was ever available is what they have.
            self._endpoints.raise_slots(endpoint.kind, float(round(available)))
        used = max(0.0, endpoint.slots - available) + max(0.0, endpoint.queue_length)
        endpoint.used_slots_mean = 0.5 * (endpoint.used_slots_mean + used)
        if self.has_aggregates(now):
            # What is used beyond what was told belongs to dispatchers that tell nothing.
            told = self.aggregate_of(endpoint.short_id)
            endpoint.unreported_slots += 0.3 * (used - told - endpoint.unreported_slots)
            return
        # It is some way behind: compare it with what was out there lately.
        least = _ASKED_REPORT_PART if endpoint.checked_ms > endpoint.reported_ms else _REPORT_PART
        weight = max(least, 1.0 - 0.5 ** ((now - endpoint.reported_ms) / _REPORT_HALF_LIFE_MS))
        endpoint.other_slots += weight * (used - endpoint.own_slots_mean - endpoint.other_slots)

    def record_live_capacity(self, endpoint: Endpoint, part: float, is_known: bool, now: float) -> None:
        """Take in a list that tells capacity less load: `part` is the full capacity over the listed one."""
        if is_known and not self.has_aggregates(now):
            used = min(_MOST_LIVE_MULTIPLE, part - 1.0) * endpoint.slots
            endpoint.other_slots += _LIVE_PART * (used - endpoint.own_slots_mean - endpoint.other_slots)
        endpoint.reported_ms = now

    # ---------------------------------------------------------------- gossip

    def has_aggregates(self, now: float) -> bool:
        """Whether gossip tells what is held at each endpoint."""
        return now - self._aggregates_received_ms < AGGREGATE_MAX_AGE_MS

    def record_aggregates_received(self, now: float) -> None:
        """Take in that a message with sums has come."""
        self._aggregates_received_ms = now

    def aggregate_of(self, short_id: int) -> int:
        """The slots that all dispatchers together were last told to hold at an endpoint."""
        return self._aggregates.get(short_id, 0)

    def record_aggregate(self, endpoint: Endpoint, held: int) -> None:
        """Take in the slots that all dispatchers together hold at an endpoint."""
        self._aggregates[endpoint.short_id] = held
        others = max(0.0, held - endpoint.announced_slots)
        endpoint.other_slots = others + max(0.0, endpoint.unreported_slots)

    def record_own_slots_announced(self, holders: list[Endpoint]) -> None:
        """Take in that the slots which this dispatcher holds now were told to the aggregators."""
        for endpoint in self._announced:
            endpoint.announced_slots = 0.0
        for endpoint in holders:
            endpoint.announced_slots = endpoint.own_slots
        self._announced = holders

    # ---------------------------------------------------------------- what becomes of requests

    def mark_full(self, endpoint: Endpoint, now: float) -> None:
        """No slot is available there, whatever is reported."""
        endpoint.full_until_ms = now + _FULL_MS

    def record_rejection(self, endpoint: Endpoint, now: float) -> None:
        """An endpoint has answered that it has no room."""
        endpoint.rejections += 1
        self.mark_full(endpoint, now)
        endpoint.other_slots = max(endpoint.other_slots, _REJECTED_LOAD * endpoint.slots)

    def record_end(self, endpoint: Endpoint) -> None:
        """An attempt has ended there: a slot may be available again."""
        endpoint.full_until_ms = 0.0
        self._queue.mark_capacity_changed()

    def record_start_delay(self, endpoint: Endpoint, delay_ms: float) -> None:
        """A request waited there so long before it was started."""
        endpoint.start_delay_ms = delay_ms

    def record_waiting(self, endpoint: Endpoint, waited_ms: float) -> None:
        """A request has waited there so long and is not started yet."""
        endpoint.start_delay_ms = max(endpoint.start_delay_ms, waited_ms)

    # ---------------------------------------------------------------- fading

    def decay(self, now: float) -> None:
        """Believe less of what is old: estimates fade to the mean of all endpoints."""
        ready = self._endpoints.ready
        steps = max(1.0, len(ready) / _FADE_ENDPOINTS)
        self._timers.schedule(now + steps * _FADE_MS, self.decay)
        cold, means = self._mean_loads(ready, now)
        # Not where dispatchers outnumber endpoints: all would crowd the same slot. Nor where news is thin.
        asks = self._asks_full and self._dispatcher_count <= len(ready) and not self._size_classes.pools
        # Where the list tells what is held, what it does not tell anew has not changed.
        fades = not self._capacity_is_live and not self.has_aggregates(now)
        own_part, others_part = 1.0 - _OWN_KEPT**steps, 1.0 - _OTHERS_KEPT**steps
        for endpoint in ready:
            own_slots = endpoint.own_slots
            endpoint.own_slots_mean += own_part * (own_slots - endpoint.own_slots_mean)
            endpoint.start_delay_ms *= 1.0 - others_part
            if asks and not own_slots and endpoint.other_slots > endpoint.slots - 1.0:
                self._ask_full(endpoint, now)
            if fades and now - endpoint.reported_ms > _FADE_MS:
                mean = means[endpoint.index in cold] * endpoint.slots
                endpoint.other_slots += others_part * (mean - endpoint.other_slots)
        self._queue.mark_capacity_changed()

    def _mean_loads(self, ready: list[Endpoint], now: float) -> tuple[set[int], list[float]]:
        """With size classes the cold endpoints, by index; the load of a slot at warm and at cold ones."""
        # The slow-start budget bounds what others hold at a cold endpoint, whatever stands at the warm ones.
        cold: set[int] = set()
        if self._size_classes.pools:
            cold = {endpoint.index for endpoint in ready if self._warm_up.is_warming_up(endpoint, now)}
        if self._is_stuck(ready, now):
            return cold, [0.0, 0.0]
        means = []
        warm_endpoints = [endpoint for endpoint in ready if endpoint.index not in cold]
        warming_endpoints = [self._endpoints.all[index] for index in cold]
        for some in (warm_endpoints, warming_endpoints):
            slots = sum([endpoint.slots for endpoint in some])
            means.append(sum([endpoint.other_slots for endpoint in some]) / (slots or 1.0))
        return cold, means

    def _is_stuck(self, ready: list[Endpoint], now: float) -> bool:
        """Whether all were full once and nothing is out to bring news: requests would wait for ever."""
        if not self._queue.waiting or self._in_flight.endpoints:
            return False
        return all([now - endpoint.reported_ms > _NO_NEWS_MS for endpoint in ready])

    def _ask_full(self, endpoint: Endpoint, now: float) -> None:
        """Ask an endpoint that is believed to be full, now and then."""
        if now - max(endpoint.reported_ms, endpoint.checked_ms) > _ASK_FULL_MS:
            self._health_checks.send_check(endpoint, now)
