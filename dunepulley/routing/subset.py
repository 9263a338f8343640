"""The subset of endpoints that a dispatcher uses: as many as its traffic keeps connections open to."""

from __future__ import annotations

from itertools import islice

from .endpoints import Endpoint, EndpointTable
from .settings import RouterSettings
from .warm_up import WarmUp

# With fewer, one that is ejected or full is too large a part.
_MIN_IN_USE = 8
# Where the idle time of connections is not told, all endpoints are in use.
_NO_IDLE_LIMIT_MS = 1e9
# The subset shrinks by this part of what it could in each control period, as bursts come again.
_SHRINK_PART = 0.1


class EndpointSubset:
    """The endpoints in use, the standby ones, and the traffic that decides how many there are."""

    def __init__(self, settings: RouterSettings, endpoints: EndpointTable, warm_up: WarmUp) -> None:
        idle_ms = settings.connection_idle_ms
        self._idle_ms = _NO_IDLE_LIMIT_MS if idle_ms is None else idle_ms
        self._endpoints = endpoints
        self._warm_up = warm_up
        self.arrivals, self._counted_arrivals = 0, 0
        self.arrivals_per_endpoint_s = 0.0
        # How many endpoints the traffic keeps connected.
        self.target_size = 0.0
        # By index, and those of them that were warming up when chosen.
        self.in_use: list[Endpoint] = []
        self.warming_in_use: list[Endpoint] = []
        # Worked out when asked for.
        self._standby: list[Endpoint] | None = None

    def record_arrival(self) -> None:
        """Count a request."""
        self.arrivals += 1

    def measure_traffic(self, period_ms: float) -> None:
        """Take in the requests of the control period that ends now."""
        arrived = self.arrivals - self._counted_arrivals
        self._counted_arrivals = self.arrivals
        self.arrivals_per_endpoint_s = arrived * 1000.0 / period_ms / max(1, len(self._endpoints.ready))
        # What comes within the idle time of a connection finds it open.
        wanted = arrived * self._idle_ms / period_ms
        self.target_size = max(wanted, self.target_size + _SHRINK_PART * (wanted - self.target_size))

    def choose(self, now: float) -> list[Endpoint]:
        """Choose the endpoints in use; returns the ready ones that are warming up."""
        most = max(_MIN_IN_USE, int(self.target_size))
        # An ejected endpoint does not count: the next in rank stands in.
        available = (each for each in self._endpoints.by_rank if now >= each.ejected_until_ms)
        chosen = set(islice(available, most))
        # A cold endpoint is in use by all dispatchers: its budget goes round among them.
        cold = self._warm_up.warming_endpoints(now)
        chosen.update([each for each in cold if now >= each.ejected_until_ms])
        if len(chosen) == len(self._endpoints.ready):
            self.in_use = self._endpoints.ready.copy()
        else:
            self.in_use = sorted(chosen, key=lambda each: each.index)
        self.warming_in_use = [each for each in cold if each in chosen]
        self._standby = None
        return cold

    def includes_all(self) -> bool:
        """Whether all ready endpoints are in use."""
        return len(self.in_use) == len(self._endpoints.ready)

    def standby(self) -> list[Endpoint]:
        """The ready endpoints that are not in use, by rank."""
        if self._standby is None:
            in_use = set(self.in_use)
            self._standby = [each for each in self._endpoints.by_rank if each not in in_use]
        return self._standby
