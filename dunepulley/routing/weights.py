"""The control period: adjusts endpoint shares to reported consumption rates and reduces them under overload.

Source: the flow control policy of the paper on scalable store-and-forward messaging (docs/design.md). In each
control period, every endpoint's share follows the rate at which it reports to consume requests, and is
multiplied by 9/10 if its reported load is over the limit.
"""

from __future__ import annotations

from .endpoints import Endpoint, EndpointTable, total_capacity
from .round_robin import WeightedRoundRobin
from .size_classes import SizeClasses

# The length of a control period; the initial value in the design.
CONTROL_PERIOD_MS = 2000.0
# The factor on the goal of an overloaded endpoint, as in the design.
_OVERLOAD_CUT = 0.9
# In one period a share moves by the first fraction of the way to its goal, and then by the second towards the
# endpoint's share of the total capacity.
_GOAL_STEP, _EVEN_STEP = 0.5, 0.2
# The minimum of a share, as a fraction of the endpoint's share of the total capacity.
_MIN_SHARE_FRACTION = 0.25
# The weight of a reported rate halves after this many periods.
_RATE_HALF_LIFE_PERIODS = 3.0
# A reported rate is divided by the fraction of the slots in use, but by no less than this.
_MIN_BUSY_FRACTION = 0.25
# An endpoint is overloaded if its queue is longer than this multiple of the others' mean and than this many
# requests; shorter queues occur by chance.
_OVERLOAD_QUEUE_RATIO, _MIN_OVERLOAD_QUEUE = 2.0, 3.0
# Recent errors reduce an endpoint's expected rate by at most this fraction.
_MAX_ERROR_CUT = 0.9


class WeightController:
    """Sets the shares of all endpoints once per control period."""

    def __init__(
        self, endpoints: EndpointTable, rotation: WeightedRoundRobin, size_classes: SizeClasses
    ) -> None:
        self._endpoints = endpoints
        self._rotation = rotation
        self._size_classes = size_classes

    def update(self, now: float) -> None:
        """Update the share of every ready endpoint and reset its count of rejections."""
        ready = self._endpoints.ready
        if not ready:
            return
        expected = self._expected_rates(ready, now)
        total = sum(expected) or 1.0
        all_capacity = total_capacity(ready)
        bases = self._turn_bases()
        position, rescale = self._rotation.position, self._rotation.rescale
        for endpoint, rate, is_overloaded in zip(ready, expected, self._overloaded(ready), strict=True):
            goal = rate / total * (_OVERLOAD_CUT if is_overloaded else 1.0)
            share = endpoint.share + _GOAL_STEP * (goal - endpoint.share)
            even_share = endpoint.capacity / all_capacity
            if not is_overloaded:
                share += _EVEN_STEP * (even_share - share)
            if share < _MIN_SHARE_FRACTION * even_share:
                share = _MIN_SHARE_FRACTION * even_share
            rescale(endpoint, share, bases.get(endpoint, position) if bases else position)
            endpoint.rejections = 0

    def _expected_rates(self, ready: list[Endpoint], now: float) -> list[float]:
        """The rate that each endpoint is expected to serve, in the order of `ready`."""
        rates = _rates_at_full_use(ready)
        known_rates = [
            (rate, endpoint.capacity) for endpoint, rate in zip(ready, rates, strict=True) if rate >= 0.0
        ]
        # The mean rate per unit of capacity: the estimate for endpoints without recent reports.
        mean = (
            sum([rate for rate, _ in known_rates]) / sum([size for _, size in known_rates])
            if known_rates
            else 1.0
        )
        has_pools = bool(self._size_classes.pools)
        expected = []
        for endpoint, rate in zip(ready, rates, strict=True):
            estimate = mean * endpoint.capacity
            if rate >= 0.0:
                # A stale rate decays to the estimate by capacity. With pools, the rate of an idle endpoint
                # counts less, too.
                trust = 0.5 ** ((now - endpoint.reported_ms) / CONTROL_PERIOD_MS / _RATE_HALF_LIFE_PERIODS)
                trust *= min(1.0, endpoint.used_slots_mean / endpoint.slots) if has_pools else 1.0
                estimate += (rate - estimate) * trust
            estimate = estimate if estimate > 0.0 else 0.0
            errors = endpoint.error_score
            expected.append(estimate * (1.0 - min(_MAX_ERROR_CUT, errors)) if errors else estimate)
        return expected

    def _turn_bases(self) -> dict[Endpoint, float]:
        """With pools, the position from which an endpoint's next turn counts: the first turn in its pool."""
        bases: dict[Endpoint, float] = {}
        for pool in self._size_classes.pools:
            bases |= dict.fromkeys(pool, min([endpoint.next_turn for endpoint in pool], default=0.0))
        return bases

    @staticmethod
    def _overloaded(ready: list[Endpoint]) -> list[bool]:
        """Whether each endpoint is overloaded: a long queue or, if it reports no queue, a rejection."""
        queues = [endpoint.queue_length for endpoint in ready if endpoint.queue_length >= 0.0]
        total_queued, others = sum(queues), len(queues) - 1
        overloaded = []
        for endpoint in ready:
            queue = endpoint.queue_length
            if queue < 0.0:
                overloaded.append(endpoint.rejections > 0)
                continue
            mean = (total_queued - queue) / others if others > 0 else 0.0
            overloaded.append(queue > max(_MIN_OVERLOAD_QUEUE, _OVERLOAD_QUEUE_RATIO * mean))
        return overloaded


def _rates_at_full_use(ready: list[Endpoint]) -> list[float]:
    """The rates that endpoints could serve with all slots in use; -1 if an endpoint has reported none.

    At light load a reported rate only reflects how much was sent, so it is divided by the busy fraction.
    """
    rates = []
    for endpoint in ready:
        rate = endpoint.rate
        busy = endpoint.used_slots_mean / endpoint.slots
        rates.append(rate / min(1.0, max(busy, _MIN_BUSY_FRACTION)) if rate >= 0.0 else -1.0)
    return rates
