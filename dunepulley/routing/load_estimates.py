"""Estimates the load of each endpoint from its load reports, from gossip and from the results of attempts.

How many slots other dispatchers hold at an endpoint is an estimate, because a load report arrives late and
may be based on samples. Between reports the estimate decays towards the mean of all endpoints.
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

# The interval between decay steps, short against the usual age of a report, one to two seconds. It grows with
# the number of endpoints, so that a large fleet costs no more CPU time per second than sixteen endpoints.
_DECAY_INTERVAL_MS, _ENDPOINTS_PER_INTERVAL = 250.0, 16.0
# The fraction of the old value that each decay step keeps: in the mean of this dispatcher's own slots, and in
# the estimate of other dispatchers' slots.
_OWN_SLOTS_RETENTION, _OTHER_SLOTS_RETENTION = 0.75, 0.9
# Aggregates received by gossip are used for this long.
AGGREGATE_MAX_AGE_MS = 2000.0
# How long an endpoint counts as full: a busy endpoint frees a slot about this often.
_FULL_DURATION_MS = 200.0
# An endpoint that rejects a request has a full queue, even if its reports do not show one. It is assumed to
# be loaded with this multiple of its slots.
_REJECTION_LOAD_RATIO = 2.0
# Reported values that reach these limits are ignored as invalid.
_MAX_RATE, _MAX_SLOTS = 1e6, 1e4
# The minimum weight of a new report against the current estimate, and that of the answer to a health check.
# The weight grows with the age of the previous report, whose own weight halves in the half-life.
_REPORT_WEIGHT, _CHECK_REPORT_WEIGHT, _REPORT_HALF_LIFE_MS = 0.3, 0.7, 4000.0
# The weight of the load that follows from a listed live capacity, which is exact but late; and the maximum of
# that load, as a multiple of the endpoint's slots.
_LIVE_CAPACITY_WEIGHT, _MAX_LIVE_CAPACITY_RATIO = 0.5, 99.0
# If requests are queued, no attempt is in flight, and no endpoint has reported for this long, the estimates
# decay towards zero.
_STALE_REPORT_MS = 4000.0
# An endpoint that is estimated to be full receives no requests, so no response can correct the estimate. A
# health check is sent to it at this interval instead.
_FULL_CHECK_INTERVAL_MS = 1000.0


class LoadEstimator:
    """Estimates each endpoint's load and marks full endpoints."""

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
        self._checks_full = reports.can_check_health and reports.source == "answers"
        self._endpoints = endpoints
        self._in_flight = in_flight
        self._queue = queue
        self._health_checks = health_checks
        self._size_classes = size_classes
        self._warm_up = warm_up
        self._timers = timers
        self._aggregates_received_ms = -INFINITY
        self._aggregates: dict[int, int] = {}
        self._announced_endpoints: list[Endpoint] = []

    # ---------------------------------------------------------------- load reports

    def record_report(self, endpoint_id: str, report: dict[str, float], now: float) -> None:
        """Update the estimates from a load report, unless it repeats the previous one."""
        endpoint = self._endpoints.find(endpoint_id)
        if endpoint is None or report == endpoint.last_report:
            return  # endpoints repeat an unchanged report from time to time: no new information
        endpoint.last_report = report
        rate = report.get("rate")
        if rate is not None and 0.0 <= rate < _MAX_RATE:
            endpoint.rate = rate if endpoint.rate < 0 else 0.5 * (endpoint.rate + rate)
        endpoint.queue_length = report.get("queue", -1.0)
        available = report.get("x0")
        if available is not None and 0.0 <= available < _MAX_SLOTS:
            self._record_available(endpoint, available, now)
            self._queue.mark_capacity_changed()
        endpoint.reported_ms = now

    def _record_available(self, endpoint: Endpoint, available: float, now: float) -> None:
        """Update the estimate of other dispatchers' slots from the number of available slots."""
        if round(available) > self._endpoints.slots_by_kind.get(endpoint.kind, 1.0):
            # Endpoints of one kind have the same number of slots: the maximum that was ever available.
            self._endpoints.raise_slots(endpoint.kind, float(round(available)))
        used = max(0.0, endpoint.slots - available) + max(0.0, endpoint.queue_length)
        endpoint.used_slots_mean = 0.5 * (endpoint.used_slots_mean + used)
        if self.has_aggregates(now):
            # Slots in use that are missing from the aggregate belong to dispatchers that send no gossip.
            aggregate = self.aggregate_of(endpoint.short_id)
            endpoint.unreported_slots += 0.3 * (used - aggregate - endpoint.unreported_slots)
            return
        # The report is late: compare it with the recent mean of own slots rather than their current number.
        min_weight = _CHECK_REPORT_WEIGHT if endpoint.checked_ms > endpoint.reported_ms else _REPORT_WEIGHT
        weight = max(min_weight, 1.0 - 0.5 ** ((now - endpoint.reported_ms) / _REPORT_HALF_LIFE_MS))
        endpoint.other_slots += weight * (used - endpoint.own_slots_mean - endpoint.other_slots)

    def record_live_capacity(
        self, endpoint: Endpoint, capacity_ratio: float, is_current: bool, now: float
    ) -> None:
        """Update the estimate from a list whose capacities fall with the load.

        `capacity_ratio` is the full capacity over the listed one; `is_current` is false for an endpoint that
        is new or has restarted.
        """
        if is_current and not self.has_aggregates(now):
            used = min(_MAX_LIVE_CAPACITY_RATIO, capacity_ratio - 1.0) * endpoint.slots
            endpoint.other_slots += _LIVE_CAPACITY_WEIGHT * (
                used - endpoint.own_slots_mean - endpoint.other_slots
            )
        endpoint.reported_ms = now

    # ---------------------------------------------------------------- gossip

    def has_aggregates(self, now: float) -> bool:
        """Whether recent gossip states how many slots are held at each endpoint."""
        return now - self._aggregates_received_ms < AGGREGATE_MAX_AGE_MS

    def record_aggregates_received(self, now: float) -> None:
        """Note that a gossip message with aggregates has arrived."""
        self._aggregates_received_ms = now

    def aggregate_of(self, short_id: int) -> int:
        """The slots that all dispatchers hold at an endpoint by the latest aggregate; 0 if there is none."""
        return self._aggregates.get(short_id, 0)

    def record_aggregate(self, endpoint: Endpoint, slots_held: int) -> None:
        """Store how many slots all dispatchers together hold at an endpoint."""
        self._aggregates[endpoint.short_id] = slots_held
        others = max(0.0, slots_held - endpoint.announced_slots)
        endpoint.other_slots = others + max(0.0, endpoint.unreported_slots)

    def record_own_slots_announced(self, holders: list[Endpoint]) -> None:
        """Note that the slots this dispatcher holds now were announced to the aggregators."""
        for endpoint in self._announced_endpoints:
            endpoint.announced_slots = 0.0
        for endpoint in holders:
            endpoint.announced_slots = endpoint.own_slots
        self._announced_endpoints = holders

    # ---------------------------------------------------------------- results of attempts

    def mark_full(self, endpoint: Endpoint, now: float) -> None:
        """Treat an endpoint as full for a while, whatever it reports."""
        endpoint.full_until_ms = now + _FULL_DURATION_MS

    def record_rejection(self, endpoint: Endpoint, now: float) -> None:
        """Count a rejection by an endpoint without an available slot, and raise its estimated load."""
        endpoint.rejections += 1
        self.mark_full(endpoint, now)
        endpoint.other_slots = max(endpoint.other_slots, _REJECTION_LOAD_RATIO * endpoint.slots)

    def record_end(self, endpoint: Endpoint) -> None:
        """End the full mark: an attempt has ended at the endpoint, so a slot may be available."""
        endpoint.full_until_ms = 0.0
        self._queue.mark_capacity_changed()

    def record_start_delay(self, endpoint: Endpoint, delay_ms: float) -> None:
        """Store how long a request waited at the endpoint before it was started."""
        endpoint.start_delay_ms = delay_ms

    def record_waiting(self, endpoint: Endpoint, waited_ms: float) -> None:
        """Raise the start delay to how long a request has waited there without being started."""
        endpoint.start_delay_ms = max(endpoint.start_delay_ms, waited_ms)

    # ---------------------------------------------------------------- decay

    def decay(self, now: float) -> None:
        """Decay the estimates towards the mean of all endpoints, and schedule the next step."""
        ready = self._endpoints.ready
        steps = max(1.0, len(ready) / _ENDPOINTS_PER_INTERVAL)
        self._timers.schedule(now + steps * _DECAY_INTERVAL_MS, self.decay)
        warming, means = self._mean_loads(ready, now)
        # No checks with more dispatchers than endpoints, because all of them would send to the one slot that
        # they find available. None with size classes: a report would be stale by the next attempt there.
        checks = self._checks_full and self._dispatcher_count <= len(ready) and not self._size_classes.pools
        # If the list or gossip states the load, an endpoint without an update has not changed.
        decays = not self._capacity_is_live and not self.has_aggregates(now)
        own_fraction, others_fraction = 1.0 - _OWN_SLOTS_RETENTION**steps, 1.0 - _OTHER_SLOTS_RETENTION**steps
        for endpoint in ready:
            own_slots = endpoint.own_slots
            endpoint.own_slots_mean += own_fraction * (own_slots - endpoint.own_slots_mean)
            endpoint.start_delay_ms *= 1.0 - others_fraction
            if checks and not own_slots and endpoint.other_slots > endpoint.slots - 1.0:
                self._check_if_full(endpoint, now)
            if decays and now - endpoint.reported_ms > _DECAY_INTERVAL_MS:
                mean = means[endpoint.index in warming] * endpoint.slots
                endpoint.other_slots += others_fraction * (mean - endpoint.other_slots)
        self._queue.mark_capacity_changed()

    def _mean_loads(self, ready: list[Endpoint], now: float) -> tuple[set[int], list[float]]:
        """The indexes of warming endpoints, and the mean loads per slot of warm and of warming endpoints.

        Without size classes all endpoints count as warm.
        """
        # The slow-start budget limits the load of a warming endpoint, whatever the load of the warm ones.
        warming: set[int] = set()
        if self._size_classes.pools:
            warming = {endpoint.index for endpoint in ready if self._warm_up.is_warming_up(endpoint, now)}
        if self._is_stuck(ready, now):
            return warming, [0.0, 0.0]
        means = []
        warm_endpoints = [endpoint for endpoint in ready if endpoint.index not in warming]
        warming_endpoints = [self._endpoints.all[index] for index in warming]
        for endpoints in (warm_endpoints, warming_endpoints):
            slots = sum([endpoint.slots for endpoint in endpoints])
            means.append(sum([endpoint.other_slots for endpoint in endpoints]) / (slots or 1.0))
        return warming, means

    def _is_stuck(self, ready: list[Endpoint], now: float) -> bool:
        """Whether requests are queued while no attempt and no recent report can correct the estimates.

        Without a correction, endpoints that were all full once would count as full for ever.
        """
        if not self._queue.waiting or self._in_flight.endpoints:
            return False
        return all([now - endpoint.reported_ms > _STALE_REPORT_MS for endpoint in ready])

    def _check_if_full(self, endpoint: Endpoint, now: float) -> None:
        """Send a health check to an endpoint that is estimated to be full, once per interval."""
        if now - max(endpoint.reported_ms, endpoint.checked_ms) > _FULL_CHECK_INTERVAL_MS:
            self._health_checks.send_check(endpoint, now)
