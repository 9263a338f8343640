"""How far endpoints have warmed up since they started."""

from __future__ import annotations

from .endpoints import Endpoint
from .events import EndpointState
from .settings import SlowStartSettings
from .timers import INFINITY

# Work warms an endpoint up to this many times as fast as time alone.
_WORK_SPEED_UP = 2.0
_READY = EndpointState.READY


class WarmUp:
    """Which endpoints are warming up, and what part of their capacity they have."""

    def __init__(self, settings: SlowStartSettings) -> None:
        self.initial_capacity = settings.initial_capacity
        self.duration_ms = settings.warm_up_ms
        # Endpoints that may be warming up yet, ready or not.
        self.candidates: set[Endpoint] = set()

    def age_ms(self, endpoint: Endpoint, now: float) -> float:
        """How long ago an endpoint started; `INFINITY` for long ago."""
        return now - endpoint.started_ms if endpoint.started_ms > 0.0 else INFINITY

    def is_warming_up(self, endpoint: Endpoint, now: float) -> bool:
        """Whether an endpoint has not all of its capacity yet."""
        return self.age_ms(endpoint, now) < self.duration_ms

    def track(self, endpoint: Endpoint, now: float) -> None:
        """Take in an endpoint that is new or was listed with another start."""
        if self.is_warming_up(endpoint, now):
            self.candidates.add(endpoint)

    def warming_endpoints(self, now: float) -> list[Endpoint]:
        """The ready endpoints that are warming up, by index; forgets those that have done so."""
        self.candidates = {each for each in self.candidates if self.is_warming_up(each, now)}
        ready = [each for each in self.candidates if each.state == _READY]
        return sorted(ready, key=lambda each: each.index)

    def capacity_fraction(self, endpoint: Endpoint, now: float) -> float:
        """The part of its capacity that an endpoint likely has."""
        age_ms = max(0.0, self.age_ms(endpoint, now))
        if age_ms >= self.duration_ms:
            return 1.0
        least = self.initial_capacity
        return min(1.0, least + (1.0 - least) * _WORK_SPEED_UP * age_ms / self.duration_ms)
