"""The slots that this dispatcher's own attempts hold at each endpoint."""

from __future__ import annotations

from .endpoints import Endpoint
from .settings import RouterSettings


class InFlight:
    """Counts the slots held at each endpoint and tracks open connections."""

    def __init__(self, settings: RouterSettings) -> None:
        self._idle_ms = settings.connection_idle_ms or 0.0
        # The endpoints at which this dispatcher holds slots.
        self.endpoints: set[Endpoint] = set()

    def start(self, endpoint: Endpoint, slots: float) -> None:
        """Count the slots of a new attempt; it uses the idle connection, if one is open."""
        endpoint.connection_until_ms = 0.0
        self._hold(endpoint, slots)

    def end(self, endpoint: Endpoint, slots: float, now: float) -> None:
        """Release the slots of an ended attempt; its connection stays open for the idle timeout."""
        self._hold(endpoint, -slots)
        endpoint.connection_until_ms = now + self._idle_ms

    def _hold(self, endpoint: Endpoint, slots: float) -> None:
        endpoint.own_slots += slots
        if endpoint.own_slots:
            self.endpoints.add(endpoint)
        else:
            self.endpoints.discard(endpoint)
