"""Which endpoint is asked for its load report, where reports do not come with answers often enough."""

from __future__ import annotations

from heapq import heappop, heappush, heapreplace

from .commands import CheckHealth
from .endpoints import Endpoint, EndpointTable
from .events import EndpointState
from .outbox import Outbox
from .settings import ReportSettings

# Where reports come by health checks alone, a request pays for a part of one: this much of its worth.
_PAID_PART = 0.005
# Checks at the start, so that most kinds of endpoint are known soon.
_FIRST_CHECKS = 6.0


class HealthChecks:
    """Asks the endpoint that was neither heard of nor asked for the longest."""

    def __init__(self, settings: ReportSettings, endpoints: EndpointTable, outbox: Outbox) -> None:
        checks_only = settings.can_check_health and settings.source == "probe"
        self._earned = checks_only * _PAID_PART / max(_PAID_PART, settings.health_check_price)
        self._balance = _FIRST_CHECKS * checks_only
        self._endpoints = endpoints
        self._outbox = outbox
        # A heap of (when last heard of or asked, rank, index), and who is in it.
        self._order: list[tuple[float, float, int]] = []
        self._in_order: set[int] = set()

    def add(self, endpoint: Endpoint) -> None:
        """Take in an endpoint that has become ready."""
        if self._earned and endpoint.index not in self._in_order:
            self._in_order.add(endpoint.index)
            heappush(self._order, (_last_news(endpoint), endpoint.rank, endpoint.index))

    def record_arrival(self, now: float) -> None:
        """Count a request, and ask an endpoint where that is paid for."""
        self._balance += self._earned
        if self._balance >= 1.0 and self._endpoints.ready:
            self._balance -= 1.0
            self.send_check(self._longest_unheard(), now)

    def send_check(self, endpoint: Endpoint, now: float) -> None:
        """Ask one endpoint for its load report."""
        endpoint.checked_ms = now
        self._outbox.send(CheckHealth(endpoint.endpoint_id))

    def _longest_unheard(self) -> Endpoint:
        """The ready endpoint of which there was no news for the longest; there has to be one."""
        order = self._order
        while True:
            when, rank, index = order[0]
            endpoint = self._endpoints.all[index]
            last = _last_news(endpoint)
            if endpoint.state != EndpointState.READY:
                heappop(order)
                self._in_order.discard(index)
            elif when != last:
                # These times only grow: an entry that lags is not too far back in the order, and moves on.
                heapreplace(order, (last, rank, index))
            else:
                return endpoint


def _last_news(endpoint: Endpoint) -> float:
    """When an endpoint was last heard of or asked."""
    return max(endpoint.reported_ms, endpoint.checked_ms)
