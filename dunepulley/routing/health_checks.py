"""Health checks: ask endpoints for load reports if responses do not carry them often enough."""

from __future__ import annotations

from heapq import heappop, heappush, heapreplace

from .commands import CheckHealth
from .endpoints import Endpoint, EndpointTable
from .events import EndpointState
from .outbox import Outbox
from .settings import ReportSettings

# If reports come only from health checks, each request pays for part of a check: this fraction of its value.
_CHECK_BUDGET_FRACTION = 0.005
# The number of checks available at the start, so that most kinds of endpoint are known soon.
_INITIAL_CHECKS = 6.0


class HealthChecks:
    """Sends health checks to the endpoint without a report or check for the longest time."""

    def __init__(self, settings: ReportSettings, endpoints: EndpointTable, outbox: Outbox) -> None:
        checks_only = settings.can_check_health and settings.source == "probe"
        self._earned = (
            checks_only * _CHECK_BUDGET_FRACTION / max(_CHECK_BUDGET_FRACTION, settings.health_check_price)
        )
        self._balance = _INITIAL_CHECKS * checks_only
        self._endpoints = endpoints
        self._outbox = outbox
        # A heap of (time of the latest report or check, rank, index), and the indexes that it contains.
        self._order: list[tuple[float, float, int]] = []
        self._in_order: set[int] = set()

    def add(self, endpoint: Endpoint) -> None:
        """Include an endpoint that has become ready."""
        if self._earned and endpoint.index not in self._in_order:
            self._in_order.add(endpoint.index)
            heappush(self._order, (_last_seen_ms(endpoint), endpoint.rank, endpoint.index))

    def record_arrival(self, now: float) -> None:
        """Credit the budget for a request, and send a health check if the budget allows one."""
        self._balance += self._earned
        if self._balance >= 1.0 and self._endpoints.ready:
            self._balance -= 1.0
            self.send_check(self._least_recently_seen(), now)

    def send_check(self, endpoint: Endpoint, now: float) -> None:
        """Send a health check to an endpoint."""
        endpoint.checked_ms = now
        self._outbox.send(CheckHealth(endpoint.endpoint_id))

    def _least_recently_seen(self) -> Endpoint:
        """The ready endpoint whose latest report or check is the oldest; there must be a ready one."""
        order = self._order
        while True:
            entry_ms, rank, index = order[0]
            endpoint = self._endpoints.all[index]
            last_ms = _last_seen_ms(endpoint)
            if endpoint.state != EndpointState.READY:
                heappop(order)
                self._in_order.discard(index)
            elif entry_ms != last_ms:
                # These times only grow, so an outdated entry is too early in the heap, never too late.
                heapreplace(order, (last_ms, rank, index))
            else:
                return endpoint


def _last_seen_ms(endpoint: Endpoint) -> float:
    """The time of an endpoint's latest report or health check."""
    return max(endpoint.reported_ms, endpoint.checked_ms)
