"""Size classes: in a fleet of many dispatchers, pools of endpoints take parts of the work by request size.

Where each dispatcher sends an endpoint less than a request a second, and no gossip tells what others send,
short requests would queue behind long ones that nobody here knows of. So the endpoints are split into pools
along an order that all dispatchers share, and a request goes to the pool of its size.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import deque
from collections.abc import Sequence
from itertools import accumulate, pairwise

from .endpoints import Endpoint, EndpointTable
from .rng import RandomGenerator
from .settings import RouterSettings
from .subset import EndpointSubset
from .warm_up import WarmUp

POOL_COUNT = 4
# Among so many dispatchers, each sees too little of an endpoint.
_MANY_DISPATCHERS = 8
# Below this rate of requests for each endpoint, news of it is thin.
_THIN_ARRIVALS_PER_S = 1.0
# A pool has so many endpoints at least, so that turns decide among them.
_MIN_POOL_SIZE = 10
# A pool is not cut to fewer endpoints, nor so that an endpoint has fewer dispatchers in the mean.
MIN_SUBSET, _MIN_HOLDERS = 100, 16
# The sizes of so many recent requests decide where the pools' limits lie, once there are a few.
_RECENT_SIZES, _FEWEST_SIZES = 300, 5
# The shorter, the less wait a request bears: the pool of the short ones gets this power of its part.
_POOL_EXPONENT = 0.8
# The pool of a request that may go to any endpoint.
ANY_POOL = -1


class SizeClasses:
    """The pools, and which of them a request goes to."""

    def __init__(
        self,
        settings: RouterSettings,
        endpoints: EndpointTable,
        subset: EndpointSubset,
        warm_up: WarmUp,
        random: RandomGenerator,
    ) -> None:
        self._dispatcher_count = settings.dispatcher_count
        # Gossip tells what others hold, so that requests of all sizes can share the endpoints.
        self._has_gossip = settings.gossip and settings.dispatcher_count > 1.0
        self._endpoints = endpoints
        self._subset = subset
        self._warm_up = warm_up
        self._random = random
        # Of the recent requests the size, as (expected ms, slots), and the work in slot-ms.
        self._recent_sizes: deque[tuple[float, float]] = deque(maxlen=_RECENT_SIZES)
        self._recent_work: deque[float] = deque(maxlen=_RECENT_SIZES)
        # Empty where size classes are of no use.
        self.pools: list[list[Endpoint]] = []

    def assign(self, expected_ms: float, slots: float) -> int:
        """The pool of a request: by the part of the recent work that is in smaller ones."""
        # Wide and short, it waits for all of its slots where all end soon: the duration counts first.
        size = (expected_ms, slots)
        self._recent_sizes.append(size)
        self._recent_work.append(expected_ms * slots)
        if not self.pools or len(self._recent_sizes) < _FEWEST_SIZES:
            return ANY_POOL
        # Among those of the same size it takes a place by chance.
        place = self._random.random()
        recent = zip(self._recent_sizes, self._recent_work, strict=True)
        smaller = sum([work * (place if other == size else other < size) for other, work in recent])
        part = smaller / sum(self._recent_work)
        return int(part**_POOL_EXPONENT * len(self.pools))

    def nearest_pools(self, size_class: int) -> list[list[Endpoint]]:
        """The pool of a size class and the one beside it, the nearest first."""
        pools = self.pools
        return sorted(pools, key=lambda pool: abs(pools.index(pool) - size_class))[:2]

    def rebuild(self, cold: list[Endpoint], now: float) -> None:
        """Split the ready endpoints anew, where pools are of use; `cold` are those that warm up."""
        is_thin = (
            self._dispatcher_count > _MANY_DISPATCHERS
            and not self._has_gossip
            and self._subset.arrivals_per_endpoint_s < _THIN_ARRIVALS_PER_S
        )
        # Ejected endpoints count: the other dispatchers don't know of it.
        if not is_thin or len(self._endpoints.ready) < _MIN_POOL_SIZE * POOL_COUNT:
            self.pools = []
            return
        parts = {endpoint: self._warm_up.capacity_fraction(endpoint, now) for endpoint in cold}
        order = self._endpoints.by_fleet_rank
        capacities = _effective_capacities(order, parts)
        total = sum(_effective_capacities(self._endpoints.by_rank, parts))
        before = list(accumulate(capacities, initial=0.0))

        def pool_at(place: int) -> int:
            """The pool of the endpoint at this place of the order; it never falls along the order."""
            return int((before[place] + 0.5 * capacities[place]) / total * POOL_COUNT)

        places = range(len(order))
        starts = [bisect_left(places, pool, key=pool_at) for pool in range(POOL_COUNT + 1)]
        self.pools = [self._own_part(order[start:end]) for start, end in pairwise(starts)]

    def _own_part(self, pool: list[Endpoint]) -> list[Endpoint]:
        """The part of a large pool that this dispatcher uses, so that it finds its connections open again.

        It is those that it ranks highest: the same over time, whatever comes or goes beside them. Enough to
        have all connections used twice within their idle time, and each endpoint used by several dispatchers.
        """
        shared = _MIN_HOLDERS * len(pool) / self._dispatcher_count
        most = max(MIN_SUBSET, self._subset.target_size / (2 * POOL_COUNT), shared)
        if len(pool) <= most:
            return pool
        # Ranks are spread evenly over [0, 1).
        limit = most / len(pool)
        return [endpoint for endpoint in pool if endpoint.rank < limit]


def _effective_capacities(order: Sequence[Endpoint], parts: dict[Endpoint, float]) -> list[float]:
    """The capacity of each endpoint of an order; of those in `parts`, that part of it."""
    if not parts:
        return [endpoint.capacity for endpoint in order]
    return [
        endpoint.capacity * parts[endpoint] if endpoint in parts else endpoint.capacity for endpoint in order
    ]
