"""Running times of requests at endpoints, as a multiple of the expected ones (slowness)."""

from __future__ import annotations

from dataclasses import dataclass

from .endpoints import Endpoint
from .size_classes import SizeClasses
from .warm_up import WarmUp

# The fraction of the old sums that each new running time keeps: about the last ten of an endpoint count, and
# the last fifty of a kind.
_ENDPOINT_RETENTION, _KIND_RETENTION = 0.9, 0.98
# The sums start as if an endpoint had run for this long at the speed of its kind.
_INITIAL_RUN_MS = 1000.0


@dataclass(slots=True)
class KindRunTime:
    """Decaying sums of observed and expected running times at the endpoints of one kind."""

    observed_ms: float = _INITIAL_RUN_MS
    expected_ms: float = _INITIAL_RUN_MS


class RunTimes:
    """Estimates the slowness of endpoints and of their kinds."""

    def __init__(self, warm_up: WarmUp, size_classes: SizeClasses) -> None:
        self._warm_up = warm_up
        self._size_classes = size_classes
        self.by_kind: dict[str, KindRunTime] = {}

    def add_kind(self, kind: str) -> None:
        """Add a kind of endpoint, if it is new."""
        if kind not in self.by_kind:
            self.by_kind[kind] = KindRunTime()

    def kind_slowness(self, endpoint: Endpoint) -> float:
        """The slowness of an endpoint's kind."""
        kind = self.by_kind[endpoint.kind]
        return kind.observed_ms / kind.expected_ms

    def slow_kinds(self, expected_ms: float, limit_ms: float) -> frozenset[str]:
        """The kinds whose warm endpoints need longer than a limit for a request."""
        return frozenset(
            [
                kind
                for kind, runs in self.by_kind.items()
                if expected_ms * (runs.observed_ms / runs.expected_ms) > limit_ms
            ]
        )

    def slowness(self, endpoint: Endpoint, now: float) -> float:
        """An endpoint's slowness.

        With size classes a dispatcher sees too few runs of each endpoint, so its kind and its warm-up count.
        """
        if self._size_classes.pools:
            slowness = self.kind_slowness(endpoint)
            if endpoint in self._warm_up.candidates:
                return slowness / self._warm_up.capacity_fraction(endpoint, now)
            return slowness
        if endpoint.expected_run_ms:
            return endpoint.observed_run_ms / endpoint.expected_run_ms
        return self.kind_slowness(endpoint)

    def record(self, endpoint: Endpoint, run_ms: float, expected_ms: float) -> None:
        """Add one observed running time and the one that was expected."""
        kind = self.by_kind[endpoint.kind]
        if not endpoint.expected_run_ms:
            # An initial weight, so that the first running time does not determine the slowness alone.
            endpoint.observed_run_ms = _INITIAL_RUN_MS * kind.observed_ms / kind.expected_ms
            endpoint.expected_run_ms = _INITIAL_RUN_MS
        endpoint.observed_run_ms = endpoint.observed_run_ms * _ENDPOINT_RETENTION + run_ms
        endpoint.expected_run_ms = endpoint.expected_run_ms * _ENDPOINT_RETENTION + expected_ms
        kind.observed_ms = kind.observed_ms * _KIND_RETENTION + run_ms
        kind.expected_ms = kind.expected_ms * _KIND_RETENTION + expected_ms
