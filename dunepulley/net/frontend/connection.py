"""One connection that comes in: its requests one after the other, and the times that they may take."""

from __future__ import annotations

import asyncio
import select
from typing import TYPE_CHECKING

from aiohttp.web_protocol import RequestHandler

from dunepulley.net.callbacks import MalformedError
from dunepulley.net.frontend.framing import MAX_BODY_BYTES, RequestBuffer
from dunepulley.net.tcp_info import last_data_age_ms

if TYPE_CHECKING:
    from dunepulley.net.frontend.connection_table import ConnectionTable

# From the connection's begin, or from the request's first byte: who waits for an answer is owed one within
# 3 s of connecting. A request that is not whole by then has paused for less than a second, or is not coming.
REQUEST_TIMEOUT_S = 2.0
MAX_PAUSE_S = 1.0
# A connection that waits for its next request is closed after this.
KEEP_ALIVE_TIMEOUT_S = 75.0
# Nobody needs longer to send 64 KB.
MAX_REQUEST_S = 10.0
# How long an answer may take to be read by someone who is still sending.
LINGER_S = 0.25
# What the system tells of a socket whose other end is closed, half-closed or reset.
CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Connection(asyncio.Protocol):
    """One connection that comes in.

    Bytes wait here until a request is whole, and only a whole one goes on to the library. What has no plain
    length, is too large or does not come in time is rejected here, which costs neither a task nor a
    parser, and nothing of it can reach an endpoint. What follows a whole request is dropped, and rejected
    once that request has its response.
    """

    __slots__ = (
        "table",
        "transport",
        "handler",
        "buffer",
        "unread_since_s",
        "is_idle",
        "is_busy",
        "excess_bytes",
        "has_sent_request",
        "is_endpoint",
        "started_s",
        "counted_bytes",
        "timer",
    )

    def __init__(self, table: ConnectionTable, unread_since_s: float = 0.0) -> None:
        self.table = table
        # Since when it may have waited to be accepted, with its first request; 0 if it has not.
        self.unread_since_s = unread_since_s
        self.transport: asyncio.Transport
        self.handler: RequestHandler | None = None
        self.buffer = RequestBuffer()
        self.is_busy = self.is_idle = False
        self.excess_bytes = 0  # how many bytes came behind the request in hand
        self.has_sent_request = False  # or a callback
        self.is_endpoint = False  # it has sent a callback
        self.started_s = 0.0  # when the connection, or the request that is coming, began
        self.counted_bytes = 0  # the bytes of it that `ConnectionTable` counts
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self._start_request()
        self.table.add(self)

    def _start_request(self) -> None:
        self.is_idle = False
        self.started_s = self.table.loop.time()
        self.timer = self.table.loop.call_later(REQUEST_TIMEOUT_S, self._deadline_passed)

    def connection_lost(self, exc: BaseException | None) -> None:
        self._stop_timer()
        self.table.remove(self)
        if self.handler is not None:
            self.handler.connection_lost(exc)

    def pause_writing(self) -> None:
        if self.handler is not None:
            self.handler.pause_writing()

    def resume_writing(self) -> None:
        if self.handler is not None:
            self.handler.resume_writing()

    def data_received(self, data: bytes) -> None:
        if self.transport.is_closing():
            return
        if self.is_busy:
            self._discard(len(data))
            return
        if self.is_idle:
            self._stop_timer()
        if self.timer is None:
            self._start_request()
        self.buffer.add(data)
        try:
            whole = self.buffer.is_complete(len(data))
        except MalformedError as problem:
            self.reject(*problem.args)
            return
        if self.buffer.awaits_continue():
            self.transport.write(CONTINUE_RESPONSE)
        if whole:
            self._hand_to_parser()
        else:
            self.table.mark_partial(self)

    def _hand_to_parser(self) -> None:
        raw, excess = self.buffer.take_request()
        self.buffer = RequestBuffer()
        self.is_busy = True
        self._stop_timer()
        self.table.mark_busy(self)
        if self.handler is None:
            self.handler = self.table()
            self.handler.connection_made(self.transport)
        self.handler.data_received(raw)
        if excess:
            self._discard(excess)

    def _discard(self, size: int) -> None:
        """Bytes came behind the request in hand: clients send one at a time, so they belong to none.

        The request in hand is owed its answer all the same. They are read so that a close behind them is
        seen; behind more than any request has nothing is read, and the system is asked for a close.
        """
        self.excess_bytes += size
        if self.excess_bytes > MAX_BODY_BYTES:
            self.transport.pause_reading()
            self._watch_unread()

    def _watch_unread(self) -> None:
        self.timer = None
        if not self.client_closed():
            self.timer = self.table.loop.call_later(MAX_PAUSE_S, self._watch_unread)

    def client_closed(self) -> bool:
        """Whether the client has closed, by the system's word; this side is then closed, too.

        The loop may read a close only after what it has in hand, which may take longer than an attempt may
        start after it.
        """
        if self.transport.is_closing():
            return True
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), CLOSED_EVENTS)
        if not any([events & CLOSED_EVENTS for _, events in poll.poll(0)]):
            return False
        self.transport.close()
        return True

    def take_unread_ms(self) -> float:
        """How long the first request of this connection may have waited unread; asked once."""
        since_s, self.unread_since_s = self.unread_since_s, 0.0
        if not since_s:
            return 0.0
        # A connection may have waited for long and its request have come just now.
        age = last_data_age_ms(self.transport.get_extra_info("socket"))
        return min(age, (self.table.loop.time() - since_s) * 1000.0)

    def finish_request(self) -> None:
        """The request in hand has its answer."""
        self.is_busy = False
        if self.transport.is_closing():
            return
        if self.excess_bytes:
            self.reject(400, "more came than one request")
        else:
            self.table.mark_idle(self)
            # Not the library's timer: it sees no half of a request, and would close the connection under one.
            self._stop_timer()
            self.timer, self.is_idle = (
                self.table.loop.call_later(KEEP_ALIVE_TIMEOUT_S, self._deadline_passed),
                True,
            )

    def reject(self, status: int, reason: str) -> None:
        """Reject what came, and whatever else comes over this connection."""
        self.table.count_rejection(status, reason)
        text = f"HTTP/1.1 {status} {reason}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        self.transport.write(text.encode())
        self.buffer = RequestBuffer()
        self._stop_timer()
        # A lingering close. To close at once, with more on its way in, would break the connection before the
        # answer is read: end our side, read no more, and close a moment later.
        try:
            self.transport.write_eof()
        except OSError:  # the client has reset it, which is not read yet
            self.transport.abort()
            return
        self.transport.pause_reading()
        self.timer = self.table.loop.call_later(LINGER_S, self.transport.abort)

    def _deadline_passed(self) -> None:
        self.timer = None
        now = self.table.loop.time()
        still = self.table.partial.get(self, 0.0) + MAX_PAUSE_S - now
        if self.buffer.received and still > 0.0 and now < self.started_s + MAX_REQUEST_S:
            self.timer = self.table.loop.call_later(still, self._deadline_passed)
        elif self.buffer.received:
            self.reject(408, "the request did not come")
        else:
            self.table.counters["silent connections closed"] += 1
            self.transport.close()

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
