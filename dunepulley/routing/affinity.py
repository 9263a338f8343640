"""Cache affinity: requests with the same key go to the same few endpoints, by weighted rendezvous hashing.

All dispatchers rank the endpoints in the same order, weighted by capacity, so that the data cached for a key
stays useful. The first endpoints of each key's order are cached; changes of the endpoint list are applied to
a cached order when its key is next used.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice

from .endpoints import Endpoint, EndpointTable
from .events import EndpointState
from .rendezvous import KeyOrder

# The number of endpoints in a group, among which turns decide. A key also has this many endpoints more than
# its fraction of the traffic requires, for bursts.
_GROUP_SIZE = 2
# How many more endpoints of a key's order are cached than are needed, and the factor on their number above
# which the order is trimmed.
_EXTRA_CACHED, _MAX_CACHED_RATIO = 32, 4
# The maximum number of changes of the list that are kept for the cached orders: checked at each refresh, and
# the larger one between refreshes.
_MAX_CHANGES, _MAX_UNAPPLIED_CHANGES = 1000, 20_000
# When the request count reaches the maximum, all counts are multiplied by the decay, so that about the last
# two hundred requests count; keys below the minimum count are dropped.
_MAX_REQUEST_COUNT, _COUNT_DECAY, _MIN_KEY_COUNT = 300.0, 0.5, 0.5


class CacheAffinity:
    """Ranks the endpoints for each affinity key, and tracks the key's fraction of the traffic."""

    def __init__(self, endpoints: EndpointTable) -> None:
        self._endpoints = endpoints
        self._count_of_key: dict[str, float] = {}
        self._count = 1.0
        self._orders: dict[str, KeyOrder] = {}
        # A journal of changes, as (endpoint index, previous capacity), and the number of refreshes so far.
        self._changes: list[tuple[int, float]] = []
        self._epoch = 0

    def record(self, key: str) -> None:
        """Count a request with a key."""
        self._count += 1.0
        self._count_of_key[key] = self._count_of_key.get(key, 0.0) + 1.0
        if self._count > _MAX_REQUEST_COUNT:
            self._count *= _COUNT_DECAY
            counts = self._count_of_key.items()
            self._count_of_key = {
                each: _COUNT_DECAY * count for each, count in counts if count > _MIN_KEY_COUNT
            }
            self._orders = {each: order for each, order in self._orders.items() if each in self._count_of_key}
            self.refresh()

    def groups(self, key: str, now: float) -> Iterator[list[Endpoint]]:
        """The endpoints for a key, group by group; computed lazily, as most requests use the first group."""
        endpoints = self._endpoints_for(key, now)
        return iter(lambda: list(islice(endpoints, _GROUP_SIZE)), [])

    def record_endpoint_change(self, endpoint: Endpoint) -> None:
        """Record that an endpoint was added or removed, or that its capacity is about to change."""
        if not self._orders:
            return
        self._changes.append((endpoint.index, endpoint.capacity))
        if len(self._changes) > _MAX_UNAPPLIED_CHANGES:
            # No key was used for a long time, else the changes would have been applied.
            self._forget_orders()

    def refresh(self) -> None:
        """Have the recorded changes applied to each key's order when it is next used."""
        self._epoch += 1
        if len(self._changes) > _MAX_CHANGES:
            self._forget_orders()

    def _forget_orders(self) -> None:
        self._orders.clear()
        self._changes.clear()

    def _endpoints_for(self, key: str, now: float) -> Iterator[Endpoint]:
        """The endpoints for a key in order, without ejected ones: as many as its traffic needs."""
        fraction = self._count_of_key.get(key, 0.0) / self._count
        ready = len(self._endpoints.ready)
        max_count = int(fraction * ready) + _GROUP_SIZE
        # Most requests use only the first few endpoints: compute the order only as far as it is used.
        examined, end = 0, min(2 * max_count, ready)
        while examined < end:
            order = self._order_of(key, min(end, 4 * examined + _GROUP_SIZE), 2 * max_count)
            head = order.entries[examined:end]
            examined += len(head)
            for _, index in head:
                endpoint = self._endpoints.all[index]
                if now >= endpoint.ejected_until_ms:
                    yield endpoint
                    max_count -= 1
                    if not max_count:
                        return

    def _order_of(self, key: str, min_count: int, max_count: int) -> KeyOrder:
        """The cached order of the ready endpoints for a key, with at least `min_count` entries.

        It is trimmed to a small multiple of `max_count`.
        """
        order = self._orders.get(key)
        if order is None:
            order = self._orders[key] = KeyOrder(key)
        # The endpoints changed since, with their previous capacity, which is used until the next refresh.
        old_capacities = dict(reversed(self._changes[order.journal_position :]))
        if order.epoch != self._epoch:
            if order.epoch >= 0:
                self._apply_changes(order, old_capacities)
            order.epoch, order.journal_position = self._epoch, len(self._changes)
            old_capacities = {}
        order.trim(_MAX_CACHED_RATIO * (max_count + _EXTRA_CACHED))
        if len(order.entries) < min_count:
            table = self._endpoints
            count = min(min_count + _EXTRA_CACHED, len(table.ready))
            order.build(count, table.ready_indexes, table.id_hashes, self._capacities(old_capacities))
        return order

    def _apply_changes(self, order: KeyOrder, old_capacities: dict[int, float]) -> None:
        table = self._endpoints
        is_ready = {index: table.all[index].state == EndpointState.READY for index in old_capacities}
        order.apply_changes(old_capacities, table.id_hashes, table.capacities, is_ready)

    def _capacities(self, old_capacities: dict[int, float]) -> list[float]:
        """The capacity of every endpoint by index, with the given old capacities in place of current ones."""
        if not old_capacities:
            return self._endpoints.capacities
        capacities = self._endpoints.capacities.copy()
        for index, capacity in old_capacities.items():
            capacities[index] = capacity
        return capacities
