"""The connections that come in, and which of them is closed when there are too many."""

from __future__ import annotations

import asyncio
from typing import Any

from aiohttp import web

from dunepulley.net import log
from dunepulley.net.counters import Counters
from dunepulley.net.frontend.connection import Connection
from dunepulley.net.log_events import LogEvent

# Only a connection idle for longer may be closed for room: a request may be on its way over a newer one.
MIN_IDLE_S = 1.0
# Who writes slowly pauses, but not for so long.
MIN_PARTIAL_PAUSE_S = 0.5


class ConnectionTable(web.Server):
    """The connections that come in, and which of them is closed when there are too many."""

    def __init__(self, handler: Any, limit: int, counters: Counters, **more: Any) -> None:
        super().__init__(handler, **more)
        self.loop = asyncio.get_running_loop()
        self.limit = self.full_limit = limit
        # What incomplete requests hold, and how much they may.
        self.partial_bytes, self.max_partial_bytes = 0, 12 * 1024 * 1024
        self.counters = counters
        self.accepted: set[Connection] = set()
        # Without a request in hand, and since when, the longest first: those that have sent neither a request
        # nor a callback yet, those of which a part of a request has come, and those that wait for the next.
        self.new: dict[Connection, float] = {}
        self.partial: dict[Connection, float] = {}
        self.idle: dict[Connection, float] = {}

    def connection(self, unread_since_s: float) -> Connection:
        """What reads a new connection."""
        return Connection(self, unread_since_s)

    def add(self, connection: Connection) -> None:
        """A connection is there; over the limit another one is closed for it, or it is closed itself."""
        if len(self.accepted) >= self.limit and not self.evict_connection():
            self.counters["connections without room"] += 1
            connection.transport.abort()
        self.accepted.add(connection)
        self.mark_idle(connection)

    def count_rejection(self, status: int, reason: str) -> None:
        """Count and log a request that is rejected before the router hears of it."""
        self.counters[f"turned away {status}"] += 1
        log.write(LogEvent.REQUEST_REJECTED, f"{status}, {reason}")

    def mark_idle(self, connection: Connection) -> None:
        """A connection has no request in hand."""
        (self.idle if connection.has_sent_request else self.new)[connection] = self.loop.time()

    def mark_partial(self, connection: Connection) -> None:
        """A part of a request has come over a connection."""
        self.mark_busy(connection)
        self.partial[connection] = self.loop.time()
        connection.counted_bytes = len(connection.buffer.received)
        self.partial_bytes += connection.counted_bytes
        while self.partial_bytes > self.max_partial_bytes:
            self._close_first(self.partial)

    def mark_busy(self, connection: Connection) -> None:
        """A whole request has come over a connection."""
        self.partial_bytes -= connection.counted_bytes
        connection.counted_bytes = 0
        for some in (self.new, self.partial, self.idle):
            some.pop(connection, None)

    def remove(self, connection: Connection) -> None:
        """The one place where a connection is forgotten."""
        self.accepted.discard(connection)
        self.mark_busy(connection)

    def evict_connection(self) -> bool:
        """Close the new one that is silent the longest, else an incomplete one, else the longest idle one.

        Clients send with connecting, and what has come is read before the next connection is accepted: the
        oldest of many that have sent nothing has nothing to send. Some check our health and stay. Of those
        that have sent a part, the one that has paused the longest is the least likely to send the rest.
        """
        now = self.loop.time()
        order = (
            (self.new, 0.0),
            (self.partial, MIN_PARTIAL_PAUSE_S),
            (self.idle, MIN_IDLE_S),
            (self.partial, 0.0),
        )
        for some, least in order:
            since = next(iter(some.values()), None)
            if since is not None and now - since >= least:
                self._close_first(some)
                return True
        return False

    def _close_first(self, some: dict[Connection, float]) -> None:
        # Its descriptor is free in a moment; it must not be found here again until then.
        connection = next(iter(some))
        self.remove(connection)
        connection.transport.abort()

    def has_unsent_responses(self) -> bool:
        """Whether a request is here, also in part, that has no whole answer, or an answer is not out yet."""
        return any(
            [
                one.is_busy or one.buffer.received or one.transport.get_write_buffer_size()
                for one in self.accepted
            ]
        )

    def set_connection_fraction(self, part: float) -> None:
        """Hold this part of the connections allowed: another process of this dispatcher holds the rest."""
        self.limit = int(self.full_limit * part)
        while len(self.accepted) > self.limit and self.evict_connection():
            pass

    def close_idle(self, close_all: bool = False) -> None:
        """Close all that wait for a next request; a client whose request crosses this sends it again.

        Not those of which a part of a request has come: it would be lost once the rest is written. Where all
        have to go, these are told so.
        """
        for connection in [*self.new, *self.idle]:
            if close_all or not connection.is_endpoint:
                connection.transport.close()
        for connection in list(self.partial) if close_all else ():
            if connection.buffer.received:
                connection.reject(503, "ending")
            else:  # it has been refused before
                connection.transport.close()
