"""The incoming connections, and which of them to close when there are too many."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from aiohttp import web

from dunepulley.net import log
from dunepulley.net.counters import Counters
from dunepulley.net.frontend.connection import Connection
from dunepulley.net.frontend.decoding_queue import DecodingQueue
from dunepulley.net.frontend.http_handler import HttpHandler
from dunepulley.net.log_events import LogEvent

# Only connections that were idle for longer are evicted: a request may be in transit on the others.
MIN_IDLE_S = 1.0
# A slow client pauses while it sends a request, but not for this long.
MIN_PARTIAL_PAUSE_S = 0.5


class ConnectionTable(web.Server):
    """Tracks incoming connections, limits their number, and limits the bytes of partial requests."""

    def __init__(
        self, handler: Any, limit: int, counters: Counters, request_factory: Any, **handler_options: Any
    ) -> None:
        """`handler_options` are those of the library's handler of each connection."""
        super().__init__(handler, handler_cancellation=True, request_factory=request_factory)
        self._handler_options = handler_options
        self.loop = asyncio.get_running_loop()
        self.limit = self.full_limit = limit
        # The bytes of partial requests in memory, and their limit.
        self.partial_bytes, self.max_partial_bytes = 0, 12 * 1024 * 1024
        self.counters = counters
        self.decoding_queue = DecodingQueue(self.loop)
        # Called when a connection was added, to free a descriptor elsewhere if few are left.
        self.on_accepted: Callable[[], None] = lambda: None
        self.accepted: set[Connection] = set()
        # Connections with no request in progress, and the time of their last change, the oldest first: `new`
        # have sent neither a request nor a callback yet, `partial` have sent part of a request, and `idle`
        # wait for the next request.
        self.new: dict[Connection, float] = {}
        self.partial: dict[Connection, float] = {}
        self.idle: dict[Connection, float] = {}

    def __call__(self) -> HttpHandler:
        """Return the library's handler for a connection; called when its first request is complete."""
        return HttpHandler(self, self.count_rejection, loop=self.loop, **self._handler_options)

    def connection(self, unread_since_s: float) -> Connection:
        """Return the protocol for a new connection."""
        return Connection(self, unread_since_s)

    def add(self, connection: Connection) -> None:
        """Add a connection. At the limit, another one is evicted for it, or else it is closed itself."""
        if len(self.accepted) >= self.limit and not self.evict_connection():
            self.counters["connections without room"] += 1
            connection.transport.abort()
        self.accepted.add(connection)
        self.mark_idle(connection)
        self.on_accepted()

    def count_rejection(self, status: int, reason: str) -> None:
        """Count and log a request that is rejected before it reaches the router."""
        self.counters[f"turned away {status}"] += 1
        log.write(LogEvent.REQUEST_REJECTED, f"{status}, {reason}")

    def mark_idle(self, connection: Connection) -> None:
        """Record that a connection has no request in progress."""
        (self.idle if connection.has_sent_request else self.new)[connection] = self.loop.time()

    def mark_partial(self, connection: Connection) -> None:
        """Record that a connection has received part of a request."""
        self.mark_busy(connection)
        self.partial[connection] = self.loop.time()
        connection.counted_bytes = connection.buffer.size()
        self.partial_bytes += connection.counted_bytes
        while self.partial_bytes > self.max_partial_bytes:
            self._close_first(self.partial)

    def mark_busy(self, connection: Connection) -> None:
        """Record that a connection has received a complete request."""
        self.partial_bytes -= connection.counted_bytes
        connection.counted_bytes = 0
        for connections in (self.new, self.partial, self.idle):
            connections.pop(connection, None)

    def remove(self, connection: Connection) -> None:
        """Remove a connection; nothing else removes one."""
        self.accepted.discard(connection)
        self.mark_busy(connection)

    def evict_connection(self) -> bool:
        """Close the oldest new connection, else a partial one, else the one that was idle the longest.

        Returns whether a connection was closed. Clients send a request as soon as they are connected, and
        received bytes are read before the next connection is accepted: the oldest of many that have sent
        nothing is therefore not about to send. Some clients check the health and then stay connected. Of the
        partial requests, the one that has paused for the longest is the least likely to be completed.
        """
        now = self.loop.time()
        order = (
            (self.new, 0.0),
            (self.partial, MIN_PARTIAL_PAUSE_S),
            (self.idle, MIN_IDLE_S),
            (self.partial, 0.0),
        )
        for connections, min_age_s in order:
            since = next(iter(connections.values()), None)
            if since is not None and now - since >= min_age_s:
                self._close_first(connections)
                return True
        return False

    def _close_first(self, connections: dict[Connection, float]) -> None:
        # Removed at once, although its descriptor is freed a little later: it must not be selected again.
        connection = next(iter(connections))
        self.remove(connection)
        connection.transport.abort()

    def has_unsent_responses(self) -> bool:
        """Return whether a complete or partial request has no response, or a response is still buffered."""
        return any(
            [
                connection.is_busy
                or connection.buffer.received
                or connection.transport.get_write_buffer_size()
                for connection in self.accepted
            ]
        )

    def set_connection_fraction(self, fraction: float) -> None:
        """Limit the connections to a fraction of the maximum, while another process uses the remainder."""
        self.limit = int(self.full_limit * fraction)
        while len(self.accepted) > self.limit and self.evict_connection():
            pass

    def close_idle(self, close_all: bool = False) -> None:
        """Close connections that wait for a request; a client that has just sent one sends it again.

        Endpoints' connections and those with a partial request stay open: a request that is completed after
        the close would be lost. With `close_all` these are closed too, partial requests with a 503 response.
        """
        for connection in [*self.new, *self.idle]:
            if close_all or not connection.is_endpoint:
                connection.transport.close()
        for connection in list(self.partial) if close_all else ():
            if connection.buffer.received:
                connection.reject(503, "ending")
            else:  # it was rejected before
                connection.transport.close()
