"""The design's control period: shares by reported consumption rates, cut to nine tenths under overload.

Source: the flow control policy of the paper on scalable store-and-forward messaging (docs/design.md). Each
control period every endpoint's share follows the rate at which it reports to consume requests, and is
multiplied by 9/10 where its reported load is over the limit.
"""

from __future__ import annotations

from .endpoints import Endpoint, EndpointTable, total_capacity
from .round_robin import WeightedRoundRobin
from .size_classes import SizeClasses

# The design's starting value.
CONTROL_PERIOD_MS = 2000.0
# The design's cut where an endpoint is over the limit.
_OVERLOAD_CUT = 0.9
# A share goes half the way to its goal in a period, and a fifth of the way to what its size says.
_GOAL_STEP, _EVEN_STEP = 0.5, 0.2
# No share falls below this part of what an endpoint's size says.
_LEAST_OF_EVEN = 0.25
# A reported rate is believed half as much after so many periods.
_RATE_HALF_LIFE_PERIODS = 3.0
# A rate is taken for the busy part of an endpoint, which is taken for no less than this.
_LEAST_BUSY = 0.25
# An endpoint is over the limit with a queue of twice the others' mean, and of at least three: below that a
# queue is chance.
_QUEUE_MULTIPLE, _QUEUE_LEAST = 2.0, 3.0
# Recent errors take at most this part of an endpoint's share.
_MOST_ERROR_CUT = 0.9


class WeightController:
    """Sets the shares, once each control period."""

    def __init__(
        self, endpoints: EndpointTable, rotation: WeightedRoundRobin, size_classes: SizeClasses
    ) -> None:
        self._endpoints = endpoints
        self._rotation = rotation
        self._size_classes = size_classes

    def update(self, now: float) -> None:
        """One control period: every ready endpoint's share, and the count of its rejections starts anew."""
        ready = self._endpoints.ready
        if not ready:
            return
        wanted = self._wanted_rates(ready, now)
        total = sum(wanted) or 1.0
        all_capacity = total_capacity(ready)
        bases = self._turn_bases()
        position, rescale = self._rotation.position, self._rotation.rescale
        for endpoint, rate, is_over in zip(ready, wanted, self._over_limit(ready), strict=True):
            goal = rate / total * (_OVERLOAD_CUT if is_over else 1.0)
            share = endpoint.share + _GOAL_STEP * (goal - endpoint.share)
            even = endpoint.capacity / all_capacity
            if not is_over:
                share += _EVEN_STEP * (even - share)
            if share < _LEAST_OF_EVEN * even:
                share = _LEAST_OF_EVEN * even
            rescale(endpoint, share, bases.get(endpoint, position) if bases else position)
            endpoint.rejections = 0

    def _wanted_rates(self, ready: list[Endpoint], now: float) -> list[float]:
        """The rate that each endpoint is taken to serve."""
        rates = _delivered_rates(ready)
        known = [
            (rate, endpoint.capacity) for endpoint, rate in zip(ready, rates, strict=True) if rate >= 0.0
        ]
        # What a unit of capacity consumes: an endpoint of which little is known is as its size says.
        mean = sum([rate for rate, _ in known]) / sum([size for _, size in known]) if known else 1.0
        has_pools = bool(self._size_classes.pools)
        wanted = []
        for endpoint, rate in zip(ready, rates, strict=True):
            usual = mean * endpoint.capacity
            if rate >= 0.0:
                # A stale rate decays to the usual one; in pools those that are idle tell little.
                trust = 0.5 ** ((now - endpoint.reported_ms) / CONTROL_PERIOD_MS / _RATE_HALF_LIFE_PERIODS)
                trust *= min(1.0, endpoint.used_slots_mean / endpoint.slots) if has_pools else 1.0
                usual += (rate - usual) * trust
            usual = usual if usual > 0.0 else 0.0
            errors = endpoint.error_score
            wanted.append(usual * (1.0 - min(_MOST_ERROR_CUT, errors)) if errors else usual)
        return wanted

    def _turn_bases(self) -> dict[Endpoint, float]:
        """From where each endpoint's next turn counts, where that is not the last turn: its pool's first."""
        bases: dict[Endpoint, float] = {}
        for pool in self._size_classes.pools:
            bases |= dict.fromkeys(pool, min([endpoint.next_turn for endpoint in pool], default=0.0))
        return bases

    @staticmethod
    def _over_limit(ready: list[Endpoint]) -> list[bool]:
        """Whether each is over the limit: a long queue or, where no queue is told, a rejection."""
        queues = [endpoint.queue_length for endpoint in ready if endpoint.queue_length >= 0.0]
        queued, others = sum(queues), len(queues) - 1
        over = []
        for endpoint in ready:
            queue = endpoint.queue_length
            if queue < 0.0:
                over.append(endpoint.rejections > 0)
                continue
            mean = (queued - queue) / others if others > 0 else 0.0
            over.append(queue > max(_QUEUE_LEAST, _QUEUE_MULTIPLE * mean))
        return over


def _delivered_rates(ready: list[Endpoint]) -> list[float]:
    """The reported rates, for the busy part: at light load they echo what was sent. -1 where unknown."""
    rates = []
    for endpoint in ready:
        rate = endpoint.rate
        busy = endpoint.used_slots_mean / endpoint.slots
        rates.append(rate / min(1.0, max(busy, _LEAST_BUSY)) if rate >= 0.0 else -1.0)
    return rates
