"""The pool of connections to endpoints: which connections are reused, and how many stay open."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from time import monotonic
from typing import Any

import aiohttp

from dunepulley.net.counters import Counters
from dunepulley.net.upstream.endpoint_connection import EndpointConnection

# After a response, a connection is not reused for this time: an endpoint, or a middlebox, may send the
# response a second time some milliseconds later.
REST_S = 0.05


class EndpointConnector(aiohttp.TCPConnector):
    """A connection pool that reuses only connections on which no stale response can arrive.

    Args:
        counters: counts connections that are closed because of unsolicited bytes.
        max_connections: the limit for the connections in the pool and those of `other_connections` together;
            the longest idle ones are closed beyond it.
        limit: the limit for the connections in use.
        limit_per_host: the limit for the connections in use to one endpoint.
        keepalive_s: the time in s after which an idle connection is not reused.
    """

    def __init__(
        self,
        counters: Counters,
        max_connections: int,
        limit: int,
        limit_per_host: int,
        keepalive_s: float,
    ) -> None:
        super().__init__(limit=limit, limit_per_host=limit_per_host, keepalive_timeout=keepalive_s)
        self._factory = partial(EndpointConnection, counters, loop=asyncio.get_running_loop())
        self.max_connections = self._full_limit = max_connections
        # There are no more idle connections than this; counted anew when it matters.
        self._max_idle_count = 0
        # The number of connections outside this pool that use the same descriptors.
        self.other_connections: Callable[[], int] = lambda: 0

    async def _get(self, key: Any, traces: Any) -> Any:
        """Return an idle connection that may be reused, or None."""
        idle = self._conns.get(key)
        while idle and not idle[0][0].may_send_request():
            protocol, _ = idle.popleft()
            protocol.close()
        if idle is not None and not idle:
            del self._conns[key]
        if not idle or monotonic() - idle[0][1] < REST_S:
            # They are ordered by the time of their last response: none has rested for long enough.
            self.close_excess_idle(new_connections=1)
            return None
        connection = await super()._get(key, traces)
        if connection is not None:
            connection.protocol.start_exchange()
        return connection

    def _release(self, key: Any, protocol: Any, *, should_close: bool = False) -> None:
        super()._release(key, protocol, should_close=should_close)
        protocol.end_exchange()
        self._max_idle_count += 1
        self.close_excess_idle()

    def set_limit_fraction(self, fraction: float) -> None:
        """Keep a fraction of the connections that are kept otherwise."""
        self.max_connections = int(self._full_limit * fraction)
        self.close_excess_idle()

    def close_excess_idle(self, new_connections: int = 0) -> None:
        """Close the longest idle connections, if there are too many, or would be with `new_connections`."""
        max_idle = self.max_connections - len(self._acquired) - self.other_connections() - new_connections
        if self._max_idle_count <= max_idle:
            return  # counting them for each connection from a client would take too long
        self._max_idle_count = sum([len(idle) for idle in self._conns.values()])
        while self._max_idle_count > max(0, max_idle):
            self._close_longest_idle()
            self._max_idle_count -= 1

    def _close_longest_idle(self) -> None:
        key = min(self._conns, key=lambda key: self._conns[key][0][1])
        protocol, _ = self._conns[key].popleft()
        if not self._conns[key]:
            del self._conns[key]
        protocol.close()
