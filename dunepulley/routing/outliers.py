"""Outlier detection: ejects failing endpoints for a while, then sends them one request at a time."""

from __future__ import annotations

from .endpoints import Endpoint
from .rng import RandomGenerator
from .size_classes import SizeClasses
from .subset import EndpointSubset

# The fraction of the error score that remains after each result: about the last three results count.
_SCORE_RETENTION = 0.65
# Two errors in a row, or most of the recent ones, eject an endpoint.
_EJECTION_SCORE = 0.5
# The length of an ejection, which grows by this factor each time until a request completes there.
_MIN_EJECTION_MS, _MAX_EJECTION_MS, _EJECTION_GROWTH = 500.0, 8000.0, 2.0
# With size classes an ejection lasts at least two of the endpoint's turns at the recent rate of requests. If
# it were shorter, every turn would go to an endpoint on probation.
_EJECTED_TURNS_MS, _MIN_TURNS_PER_S = 2000.0, 0.1


class OutlierDetector:
    """Keeps the error scores of endpoints and ejects those that fail."""

    def __init__(self, subset: EndpointSubset, size_classes: SizeClasses, random: RandomGenerator) -> None:
        self._subset = subset
        self._size_classes = size_classes
        self._random = random

    def record_success(self, endpoint: Endpoint) -> None:
        """Lower the error score and end the probation: a request has completed at the endpoint."""
        endpoint.error_score *= _SCORE_RETENTION
        endpoint.ejection_ms = 0.0

    def record_error(self, endpoint: Endpoint, now: float) -> None:
        """Raise the error score: a request has ended at the endpoint with an error or a timeout."""
        endpoint.error_score = _SCORE_RETENTION * endpoint.error_score + (1.0 - _SCORE_RETENTION)
        if endpoint.error_score > _EJECTION_SCORE:
            self.eject(endpoint, now)

    def eject(self, endpoint: Endpoint, now: float) -> None:
        """Eject an endpoint for a while; afterwards it is on probation until a request completes."""
        if now < endpoint.ejected_until_ms:
            return
        min_ms = _MIN_EJECTION_MS
        if self._size_classes.pools:
            min_ms = _EJECTED_TURNS_MS / max(_MIN_TURNS_PER_S, self._subset.arrivals_per_endpoint_s)
        next_ms = max(min_ms, endpoint.ejection_ms * _EJECTION_GROWTH)
        endpoint.ejection_ms = min(_MAX_EJECTION_MS, next_ms)
        # Randomized, so that dispatchers do not all retry the endpoint at once.
        endpoint.ejected_until_ms = now + endpoint.ejection_ms * (0.75 + 0.5 * self._random.random())
