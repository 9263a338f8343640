"""The incoming connections, and which of them to close when there are too many."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from aiohttp import web

from dunepulley.net import log
from dunepulley.net.counters import Counters
from dunepulley.net.frontend.connection import Connection
from dunepulley.net.frontend.http_handler import HttpHandler
from dunepulley.net.frontend.turn_queue import TurnQueue
from dunepulley.net.log_events import LogEvent

# Only connections that were idle for longer are evicted: a request may be in transit on the others.
MIN_IDLE_S = 1.0
# A slow client pauses while it sends a request, but not for this long.
MIN_PARTIAL_PAUSE_S = 0.5
# A client that reads its response needs less than this.
MIN_UNREAD_S = 0.5
# Complete requests that are passed on in one turn of the event loop. Each takes some ten turns until it is
# answered, and in each turn others have to wait for all of them.
REQUESTS_PER_TURN = 8
# The size of the buffer that all connections read into, one after the other.
READ_BUFFER_BYTES = 65536
# The limits that hold until the service has set its own.
_DEFAULT_PARTIAL_BYTES, _DEFAULT_REQUEST_BYTES = 12 * 1024 * 1024, 24 * 1024 * 1024
# Requests of up to this many bytes, and callbacks, may use all of the memory for requests. Larger requests
# may use a fraction of it: clients that send large ones leave room for all others.
SMALL_REQUEST_BYTES = 8192
LARGE_REQUESTS_FRACTION = 0.75


class ConnectionTable(web.Server):
    """Tracks incoming connections, and limits their number and the memory that their requests take.

    The bytes of a connection (`Connection.counted_bytes`) are those of the request in progress, and those of
    its response until the client has read it.
    """

    def __init__(
        self, handler: Any, limit: int, counters: Counters, request_factory: Any, **handler_options: Any
    ) -> None:
        """`handler_options` are those of the library's handler of each connection."""
        super().__init__(handler, handler_cancellation=True, request_factory=request_factory)
        self._handler_options = handler_options
        self.loop = asyncio.get_running_loop()
        self.limit = self.full_limit = limit
        # The bytes of partial requests in memory, those of complete ones with their responses, the limit for
        # partial ones, and the limit for both together.
        self.partial_bytes = self.complete_bytes = 0
        self.max_partial_bytes = _DEFAULT_PARTIAL_BYTES
        self.max_request_bytes = _DEFAULT_REQUEST_BYTES
        # The fraction of the limits that this process may use.
        self._fraction = 1.0
        # Each connection copies what it has read before the next one reads.
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self.counters = counters
        # A connection whose step fails is closed: else its client would wait, and its bytes stay counted.
        self.decoding_queue = TurnQueue(self.loop, Connection.decode_some, Connection.abort)
        self.request_queue = TurnQueue(
            self.loop, Connection.process_request, Connection.abort, REQUESTS_PER_TURN
        )
        # Called when a connection was added, to free a descriptor elsewhere if few are left.
        self.on_accepted: Callable[[], None] = lambda: None
        self.accepted: set[Connection] = set()
        # Connections with no request in progress, and the time of their last change, the oldest first: `new`
        # have sent neither a request nor a callback yet, `partial` have sent part of a request, and `idle`
        # wait for the next request. Those in `unread` have a response that their client has not read yet, and
        # those in `rejected` are closed soon, once their client has read why.
        self.new: dict[Connection, float] = {}
        self.partial: dict[Connection, float] = {}
        self.idle: dict[Connection, float] = {}
        self.unread: dict[Connection, float] = {}
        self.rejected: dict[Connection, float] = {}

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
        self._clear(connection)
        (self.idle if connection.has_sent_request else self.new)[connection] = self.loop.time()

    def mark_partial(self, connection: Connection) -> None:
        """Record that a connection has received part of a request."""
        self._clear(connection)
        self.partial[connection] = self.loop.time()
        connection.counted_bytes = connection.buffer.size()
        self.partial_bytes += connection.counted_bytes
        self._free_memory(0)

    def mark_busy(self, connection: Connection, size: int, is_callback: bool) -> bool:
        """Record that a connection has received a complete request of this size.

        Returns whether there is memory for it, for which others may be closed.
        """
        self._clear(connection)
        limit = self.max_request_bytes * self._fraction
        if size > SMALL_REQUEST_BYTES and not is_callback:
            limit *= LARGE_REQUESTS_FRACTION
        self._free_memory(size)
        if self.complete_bytes + size > limit:
            return False
        connection.counted_bytes = size
        self.complete_bytes += size
        return True

    def mark_rejected(self, connection: Connection) -> None:
        """Record that a connection was sent an error and will be closed."""
        self._clear(connection)
        if connection in self.accepted:
            self.rejected[connection] = self.loop.time()

    def mark_responding(self, connection: Connection, size: int) -> None:
        """Record that a response of this size is written to a connection; its client may be slow to read."""
        if connection not in self.accepted:
            return
        self._free_memory(size)
        connection.counted_bytes += size
        self.complete_bytes += size
        self.unread[connection] = self.loop.time()

    def _free_memory(self, size: int) -> None:
        """Make room for a number of bytes: partial requests go first, then responses that are not read."""
        while self.partial_bytes > self.max_partial_bytes * self._fraction:
            self._close_first(self.partial)
        while self.partial and self._excess_bytes(size) > 0:
            self._close_first(self.partial)
        latest_s = self.loop.time() - MIN_UNREAD_S
        while self.unread and next(iter(self.unread.values())) <= latest_s and self._excess_bytes(size) > 0:
            self.counters["unread responses dropped"] += 1
            self._close_first(self.unread)

    def _excess_bytes(self, size: int) -> float:
        """Return by how much the memory in use, with `size` bytes more, exceeds the limit; or less than 0."""
        return self.partial_bytes + self.complete_bytes + size - self.max_request_bytes * self._fraction

    def _clear(self, connection: Connection) -> None:
        """Forget the state of a connection and the bytes that it holds."""
        if connection in self.partial:
            self.partial_bytes -= connection.counted_bytes
        else:
            self.complete_bytes -= connection.counted_bytes
        connection.counted_bytes = 0
        for connections in (self.new, self.partial, self.idle, self.unread, self.rejected):
            connections.pop(connection, None)

    def remove(self, connection: Connection) -> None:
        """Remove a connection; nothing else removes one."""
        self.accepted.discard(connection)
        self.decoding_queue.discard(connection)
        self.request_queue.discard(connection)
        self._clear(connection)

    def evict_connection(self) -> bool:
        """Close a rejected connection, else the oldest new one, a partial one, or the longest idle one.

        Returns whether a connection was closed. Clients send a request as soon as they are connected, and
        received bytes are read before the next connection is accepted: the oldest of many that have sent
        nothing is therefore not about to send. Some clients check the health and then stay connected. Of the
        partial requests, the one that has paused for the longest is the least likely to be completed.
        """
        now = self.loop.time()
        order = (
            (self.rejected, 0.0),
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
        connection.abort()

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

    def set_limit_fraction(self, fraction: float) -> None:
        """Use a fraction of the connections and of the memory, while another process uses the remainder."""
        self._fraction = fraction
        self.limit = int(self.full_limit * fraction)
        while len(self.accepted) > self.limit and self.evict_connection():
            pass
        self._free_memory(0)

    def close_idle(self, close_all: bool = False, min_age_s: float = 0.0) -> None:
        """Close connections that wait for a request; a client that has just sent one sends it again.

        Endpoints' connections and those with a partial request stay open: a request that is completed after
        the close would be lost. With `close_all` these are closed too, partial requests with a 503 response.
        Connections that have sent nothing yet are closed only `min_age_s` after they were accepted.
        """
        latest_s = self.loop.time() - min_age_s
        silent = [connection for connection, accepted_s in self.new.items() if accepted_s <= latest_s]
        for connection in [*silent, *self.idle]:
            if close_all or not connection.is_endpoint:
                connection.transport.close()
        if not close_all:
            return
        for connection in list(self.rejected):
            connection.transport.close()
        for connection in list(self.partial):
            if connection.buffer.received:
                connection.reject(503, "ending")
            else:  # only empty lines have come
                connection.transport.close()
