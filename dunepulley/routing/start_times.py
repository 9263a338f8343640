"""How long an endpoint with an available slot takes to start a request, for each path."""

from __future__ import annotations

from .settings import RetryLimits

# The quickest recent start counts; its value grows by this factor with each start, so that old ones lapse.
_QUICKEST_GROWTH = 1.05
# The allowance for a start: this multiple of the quickest, plus a constant for jitter and the endpoint's
# delay.
_GRACE_RATIO, _GRACE_MS = 1.5, 20.0


class StartTimes:
    """Tracks the quickest recent start for each path: a zone, and whether a connection was open."""

    def __init__(self, limits: RetryLimits) -> None:
        self._unknown_ms = limits.connect_timeout_ms
        self._quickest_ms: dict[tuple[str, bool], float] = {}

    def record(self, path: tuple[str, bool], wait_ms: float) -> float:
        """Record how long a start took; returns by how much that exceeds the quickest, in ms."""
        quickest = min(self._quickest_ms.get(path, wait_ms) * _QUICKEST_GROWTH, wait_ms)
        self._quickest_ms[path] = quickest
        return wait_ms - quickest

    def grace_ms(self, path: tuple[str, bool]) -> float:
        """How long a start may take at an endpoint with an available slot, in ms."""
        return _GRACE_MS + _GRACE_RATIO * self._quickest_ms.get(path, self._unknown_ms)
