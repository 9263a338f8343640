"""Cache affinity: requests with one key go to the same few endpoints, by weighted rendezvous hashing.

The endpoints rank alike for all dispatchers, weighted by capacity, so that what a request needs stays where
it is. The head of each key's order is kept; it takes in changes of the list when the key is next asked for.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice

from .endpoints import Endpoint, EndpointTable
from .events import EndpointState
from .rendezvous import KeyOrder

# Two at a time, so that turns decide between them; and two more than a key's part, for a busy spell.
_GROUP_SIZE = 2
# Of a key's order so many more are kept than are asked for, up to so many times as many.
_KEPT_MORE, _KEPT_MULTIPLE = 32, 4
# So many changes of the list are kept for the orders to take in; more only while no key is asked for.
_MOST_CHANGES, _MOST_UNASKED_CHANGES = 1000, 20_000
# About the last two hundred requests count; a key that is seldom asked for is forgotten.
_RECENT_REQUESTS, _RECENT_KEPT, _FORGET_BELOW = 300.0, 0.5, 0.5


class CacheAffinity:
    """The endpoints for each affinity key, and how much of the traffic the key has."""

    def __init__(self, endpoints: EndpointTable) -> None:
        self._endpoints = endpoints
        self._count_of_key: dict[str, float] = {}
        self._count = 1.0
        self._orders: dict[str, KeyOrder] = {}
        # What changed since, as (index, capacity before); and how often the orders were to take it in.
        self._changes: list[tuple[int, float]] = []
        self._epoch = 0

    def record(self, key: str) -> None:
        """Count a request with a key."""
        self._count += 1.0
        self._count_of_key[key] = self._count_of_key.get(key, 0.0) + 1.0
        if self._count > _RECENT_REQUESTS:
            self._count *= _RECENT_KEPT
            counts = self._count_of_key.items()
            self._count_of_key = {
                each: _RECENT_KEPT * count for each, count in counts if count > _FORGET_BELOW
            }
            self._orders = {each: order for each, order in self._orders.items() if each in self._count_of_key}
            self.refresh()

    def groups(self, key: str, now: float) -> Iterator[list[Endpoint]]:
        """The endpoints for a key, a group after the other, as most requests go to the first."""
        endpoints = self._endpoints_for(key, now)
        return iter(lambda: list(islice(endpoints, _GROUP_SIZE)), [])

    def record_endpoint_change(self, endpoint: Endpoint) -> None:
        """Take in that an endpoint has come or gone, or is about to have another capacity."""
        if not self._orders:
            return
        self._changes.append((endpoint.index, endpoint.capacity))
        if len(self._changes) > _MOST_UNASKED_CHANGES:
            # No key was asked for in all this time, or they would have been taken in.
            self._forget_orders()

    def refresh(self) -> None:
        """Let the orders of all keys take in what has changed, each when it is next asked for."""
        self._epoch += 1
        if len(self._changes) > _MOST_CHANGES:
            self._forget_orders()

    def _forget_orders(self) -> None:
        self._orders.clear()
        self._changes.clear()

    def _endpoints_for(self, key: str, now: float) -> Iterator[Endpoint]:
        """The endpoints for a key in their order: as many as its traffic asks for."""
        part = self._count_of_key.get(key, 0.0) / self._count
        ready = len(self._endpoints.ready)
        most = int(part * ready) + _GROUP_SIZE
        # Most requests go to the first few: the order is worked out as far as it is looked at.
        looked, last = 0, min(2 * most, ready)
        while looked < last:
            order = self._order_of(key, min(last, 4 * looked + _GROUP_SIZE), 2 * most)
            head = order.entries[looked:last]
            looked += len(head)
            for _, index in head:
                endpoint = self._endpoints.all[index]
                if now >= endpoint.ejected_until_ms:
                    yield endpoint
                    most -= 1
                    if not most:
                        return

    def _order_of(self, key: str, least: int, most: int) -> KeyOrder:
        """The order of the ready endpoints for a key: at least so many of its head, few beyond `most`."""
        order = self._orders.get(key)
        if order is None:
            order = self._orders[key] = KeyOrder(key)
        # What changed since, with the capacity before that: until the next refresh it counts as it was.
        before = dict(reversed(self._changes[order.journal_position :]))
        if order.epoch != self._epoch:
            if order.epoch >= 0:
                self._apply_changes(order, before)
            order.epoch, order.journal_position = self._epoch, len(self._changes)
            before = {}
        order.trim(_KEPT_MULTIPLE * (most + _KEPT_MORE))
        if len(order.entries) < least:
            table = self._endpoints
            count = min(least + _KEPT_MORE, len(table.ready))
            order.build(count, table.ready_indexes, table.id_hashes, self._capacities(before))
        return order

    def _apply_changes(self, order: KeyOrder, before: dict[int, float]) -> None:
        table = self._endpoints
        is_ready = {index: table.all[index].state == EndpointState.READY for index in before}
        order.apply_changes(before, table.id_hashes, table.capacities, is_ready)

    def _capacities(self, before: dict[int, float]) -> list[float]:
        """The capacity of every endpoint, by index; of some as it was before."""
        if not before:
            return self._endpoints.capacities
        capacities = self._endpoints.capacities.copy()
        for index, capacity in before.items():
            capacities[index] = capacity
        return capacities
