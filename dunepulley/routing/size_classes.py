"""Size classes: in a fleet of many dispatchers, separate pools of endpoints serve short and long requests.

If a dispatcher sends an endpoint less than one request per second and there is no gossip, it cannot tell
where the requests of others queue, and short requests would queue behind long ones. Therefore the endpoints
are split into pools along an order that all dispatchers share, and a request goes to the pool of its size.
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
# With more dispatchers than this, each sees too little of an endpoint's load.
_MANY_DISPATCHERS = 8
# Below this rate of requests to an endpoint, a dispatcher learns too little about it.
_SPARSE_ARRIVALS_PER_S = 1.0
# The minimum number of endpoints in a pool, so that turns can spread requests among them.
_MIN_POOL_SIZE = 10
# Limits on the subset of a large pool that a dispatcher uses: the minimum number of endpoints, and the
# minimum mean number of dispatchers that use an endpoint.
MIN_SUBSET, _MIN_HOLDERS = 100, 16
# The limits between pools follow from the sizes of this many recent requests. Until there are as many as the
# minimum, requests may go to any pool.
_RECENT_SIZES, _MIN_SIZES = 300, 5
# The exponent on the fraction of smaller work. Below 1 the pools of short requests, which tolerate the least
# waiting, receive less work.
_POOL_EXPONENT = 0.8
# The size class of a request that may go to any pool.
ANY_POOL = -1


class SizeClasses:
    """Splits the endpoints into pools and assigns requests to them."""

    def __init__(
        self,
        settings: RouterSettings,
        endpoints: EndpointTable,
        subset: EndpointSubset,
        warm_up: WarmUp,
        random: RandomGenerator,
    ) -> None:
        self._dispatcher_count = settings.dispatcher_count
        # With gossip the load by other dispatchers is known, so requests of all sizes can share endpoints.
        self._has_gossip = settings.gossip and settings.dispatcher_count > 1.0
        self._endpoints = endpoints
        self._subset = subset
        self._warm_up = warm_up
        self._random = random
        # The sizes of recent requests, as (expected ms, slots), and their work in slot-ms.
        self._recent_sizes: deque[tuple[float, float]] = deque(maxlen=_RECENT_SIZES)
        self._recent_work: deque[float] = deque(maxlen=_RECENT_SIZES)
        # Empty if size classes are off.
        self.pools: list[list[Endpoint]] = []

    def assign(self, expected_ms: float, slots: float) -> int:
        """The size class of a request: by the fraction of the recent work that is in smaller requests."""
        # The duration counts before the slots: a short request of several slots waits for all of them, which
        # takes least time among short requests.
        size = (expected_ms, slots)
        self._recent_sizes.append(size)
        self._recent_work.append(expected_ms * slots)
        if not self.pools or len(self._recent_sizes) < _MIN_SIZES:
            return ANY_POOL
        # Requests of the same size are spread at random over the range that they cover.
        position = self._random.random()
        recent = zip(self._recent_sizes, self._recent_work, strict=True)
        smaller = sum([work * (position if other == size else other < size) for other, work in recent])
        fraction = smaller / sum(self._recent_work)
        return int(fraction**_POOL_EXPONENT * len(self.pools))

    def nearest_pools(self, size_class: int) -> list[list[Endpoint]]:
        """The pool of a size class and a neighbouring one, the nearest first."""
        pools = self.pools
        return sorted(pools, key=lambda pool: abs(pools.index(pool) - size_class))[:2]

    def rebuild(self, warming: list[Endpoint], now: float) -> None:
        """Rebuild the pools from the ready endpoints, or turn size classes off.

        `warming` holds the endpoints that are warming up.
        """
        is_sparse = (
            self._dispatcher_count > _MANY_DISPATCHERS
            and not self._has_gossip
            and self._subset.arrivals_per_endpoint_s < _SPARSE_ARRIVALS_PER_S
        )
        # Ejected endpoints are included: other dispatchers may not have ejected them, and all have to agree.
        if not is_sparse or len(self._endpoints.ready) < _MIN_POOL_SIZE * POOL_COUNT:
            self.pools = []
            return
        fractions = {endpoint: self._warm_up.capacity_fraction(endpoint, now) for endpoint in warming}
        order = self._endpoints.by_fleet_rank
        capacities = _effective_capacities(order, fractions)
        total = sum(_effective_capacities(self._endpoints.by_rank, fractions))
        before = list(accumulate(capacities, initial=0.0))

        def pool_at(position: int) -> int:
            """The pool of the endpoint at this position of the order; it never decreases along the order."""
            return int((before[position] + 0.5 * capacities[position]) / total * POOL_COUNT)

        positions = range(len(order))
        starts = [bisect_left(positions, pool, key=pool_at) for pool in range(POOL_COUNT + 1)]
        self.pools = [self._own_subset(order[start:end]) for start, end in pairwise(starts)]

    def _own_subset(self, pool: list[Endpoint]) -> list[Endpoint]:
        """The subset of a large pool that this dispatcher uses, so that it can reuse open connections.

        It holds the endpoints with the best ranks, and so stays the same when others are added or removed. It
        is sized such that each connection is used twice within its idle time, and that each endpoint is used
        by several dispatchers.
        """
        shared = _MIN_HOLDERS * len(pool) / self._dispatcher_count
        max_size = max(MIN_SUBSET, self._subset.target_size / (2 * POOL_COUNT), shared)
        if len(pool) <= max_size:
            return pool
        # Ranks are spread evenly over [0, 1).
        limit = max_size / len(pool)
        return [endpoint for endpoint in pool if endpoint.rank < limit]


def _effective_capacities(order: Sequence[Endpoint], fractions: dict[Endpoint, float]) -> list[float]:
    """The capacity of each endpoint in `order`, multiplied by its fraction if `fractions` holds one."""
    if not fractions:
        return [endpoint.capacity for endpoint in order]
    return [
        endpoint.capacity * fractions[endpoint] if endpoint in fractions else endpoint.capacity
        for endpoint in order
    ]
