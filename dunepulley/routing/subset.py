"""The subset of endpoints that a dispatcher uses: as many as its traffic can keep connections open to."""

from __future__ import annotations

from itertools import islice

from .endpoints import Endpoint, EndpointTable
from .settings import RouterSettings
from .warm_up import WarmUp

# The minimum size: with fewer endpoints, one that is ejected or full would be too large a fraction.
_MIN_IN_USE = 8
# The idle timeout that is assumed if it is unknown: all endpoints are in use.
_NO_IDLE_LIMIT_MS = 1e9
# The fraction of the surplus by which the subset shrinks in each control period; slowly, as bursts recur.
_SHRINK_STEP = 0.1


class EndpointSubset:
    """Chooses the endpoints in use; the others are on standby. The traffic determines how many are in use."""

    def __init__(self, settings: RouterSettings, endpoints: EndpointTable, warm_up: WarmUp) -> None:
        idle_ms = settings.connection_idle_ms
        self._idle_ms = _NO_IDLE_LIMIT_MS if idle_ms is None else idle_ms
        self._endpoints = endpoints
        self._warm_up = warm_up
        self.arrivals, self._counted_arrivals = 0, 0
        self.arrivals_per_endpoint_s = 0.0
        # The number of endpoints that the traffic can keep connected.
        self.target_size = 0.0
        # The endpoints in use, by index, and those of them that were warming up when chosen.
        self.in_use: list[Endpoint] = []
        self.warming_in_use: list[Endpoint] = []
        # Computed on demand.
        self._standby: list[Endpoint] | None = None

    def record_arrival(self) -> None:
        """Count a request."""
        self.arrivals += 1

    def measure_traffic(self, period_ms: float) -> None:
        """Update the target size from the requests of the control period that ends now."""
        arrived = self.arrivals - self._counted_arrivals
        self._counted_arrivals = self.arrivals
        self.arrivals_per_endpoint_s = arrived * 1000.0 / period_ms / max(1, len(self._endpoints.ready))
        # A connection stays open if a request uses it within the idle timeout.
        target = arrived * self._idle_ms / period_ms
        self.target_size = max(target, self.target_size + _SHRINK_STEP * (target - self.target_size))

    def choose(self, now: float) -> list[Endpoint]:
        """Choose the endpoints in use; returns the ready ones that are warming up."""
        max_count = max(_MIN_IN_USE, int(self.target_size))
        # An ejected endpoint is replaced by the next in rank.
        available = (each for each in self._endpoints.by_rank if now >= each.ejected_until_ms)
        chosen = set(islice(available, max_count))
        # All dispatchers use every warming endpoint, because they take turns with its slow-start budget.
        warming = self._warm_up.warming_endpoints(now)
        chosen.update([each for each in warming if now >= each.ejected_until_ms])
        if len(chosen) == len(self._endpoints.ready):
            self.in_use = self._endpoints.ready.copy()
        else:
            self.in_use = sorted(chosen, key=lambda each: each.index)
        self.warming_in_use = [each for each in warming if each in chosen]
        self._standby = None
        return warming

    def includes_all(self) -> bool:
        """Whether all ready endpoints are in use."""
        return len(self.in_use) == len(self._endpoints.ready)

    def standby(self) -> list[Endpoint]:
        """The ready endpoints that are not in use, by rank."""
        if self._standby is None:
            in_use = set(self.in_use)
            self._standby = [each for each in self._endpoints.by_rank if each not in in_use]
        return self._standby
