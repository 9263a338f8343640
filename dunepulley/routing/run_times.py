"""How long endpoints run requests, as a multiple of what was expected of these."""

from __future__ import annotations

from dataclasses import dataclass

from .endpoints import Endpoint
from .size_classes import SizeClasses
from .warm_up import WarmUp

# About the last ten running times of an endpoint count, and the last fifty of a kind.
_ENDPOINT_KEPT, _KIND_KEPT = 0.9, 0.98
# Where nothing is known, an endpoint has run this much, at the speed of its kind.
_FIRST_RUN_MS = 1000.0


@dataclass(slots=True)
class KindRunTime:
    """Running times seen at the endpoints of one kind, and those expected for the same requests."""

    observed_ms: float = _FIRST_RUN_MS
    expected_ms: float = _FIRST_RUN_MS


class RunTimes:
    """The slowness of endpoints and of their kinds."""

    def __init__(self, warm_up: WarmUp, size_classes: SizeClasses) -> None:
        self._warm_up = warm_up
        self._size_classes = size_classes
        self.by_kind: dict[str, KindRunTime] = {}

    def add_kind(self, kind: str) -> None:
        """Take in that there are endpoints of a kind."""
        if kind not in self.by_kind:
            self.by_kind[kind] = KindRunTime()

    def kind_slowness(self, endpoint: Endpoint) -> float:
        """The slowness of endpoints of the same kind."""
        kind = self.by_kind[endpoint.kind]
        return kind.observed_ms / kind.expected_ms

    def slow_kinds(self, expected_ms: float, limit_ms: float) -> frozenset[str]:
        """The kinds of which a warm endpoint runs a request for longer than a limit."""
        return frozenset(
            [
                kind
                for kind, runs in self.by_kind.items()
                if expected_ms * (runs.observed_ms / runs.expected_ms) > limit_ms
            ]
        )

    def slowness(self, endpoint: Endpoint, now: float) -> float:
        """An endpoint's slowness; with size classes news of each is thin, and its kind and age decide."""
        if self._size_classes.pools:
            slowness = self.kind_slowness(endpoint)
            if endpoint in self._warm_up.candidates:
                return slowness / self._warm_up.capacity_fraction(endpoint, now)
            return slowness
        if endpoint.expected_run_ms:
            return endpoint.observed_run_ms / endpoint.expected_run_ms
        return self.kind_slowness(endpoint)

    def record(self, endpoint: Endpoint, run_ms: float, expected_ms: float) -> None:
        """Learn from one running time."""
        kind = self.by_kind[endpoint.kind]
        if not endpoint.expected_run_ms:
            # So that the first running time does not decide alone.
            endpoint.observed_run_ms = _FIRST_RUN_MS * kind.observed_ms / kind.expected_ms
            endpoint.expected_run_ms = _FIRST_RUN_MS
        endpoint.observed_run_ms = endpoint.observed_run_ms * _ENDPOINT_KEPT + run_ms
        endpoint.expected_run_ms = endpoint.expected_run_ms * _ENDPOINT_KEPT + expected_ms
        kind.observed_ms = kind.observed_ms * _KIND_KEPT + run_ms
        kind.expected_ms = kind.expected_ms * _KIND_KEPT + expected_ms
