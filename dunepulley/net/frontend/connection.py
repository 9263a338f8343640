"""One incoming connection: its requests, one after the other, and their timeouts."""

from __future__ import annotations

import asyncio
import select
from typing import TYPE_CHECKING

from aiohttp.web_protocol import RequestHandler

from dunepulley.net import callbacks
from dunepulley.net.callbacks import MalformedError
from dunepulley.net.frontend.framing import RequestBuffer
from dunepulley.net.frontend.limits import MAX_BODY_BYTES
from dunepulley.net.tcp_info import last_data_age_ms

if TYPE_CHECKING:
    from dunepulley.net.frontend.connection_table import ConnectionTable

# Time for a request to arrive, from when the connection opened or from the request's first byte: a client
# must get a response within 3 s of connecting. A request that is incomplete by then is given more time only
# while its last bytes arrived less than `MAX_PAUSE_S` ago.
REQUEST_TIMEOUT_S = 2.0
MAX_PAUSE_S = 1.0
# A connection that waits for its next request is closed after this.
KEEP_ALIVE_TIMEOUT_S = 75.0
# Upper limit for the whole request: no working client needs longer to send 64 KB.
MAX_REQUEST_S = 10.0
# The memory that the library needs for a head, as a multiple of its bytes.
PARSED_HEAD_FACTOR = 4
# The library keeps a head until the next request on its connection, which is closed after a longer one.
MAX_KEPT_HEAD_BYTES = 4096
# Upper limit for reading a response of at most 64 KB.
MAX_RESPONSE_S = 10.0
# Limit for the bytes that follow a request before its response.
MAX_EXCESS_BYTES = 16 * MAX_BODY_BYTES
# Time to read the response that rejects a request, for a client that is still sending.
LINGER_S = 0.25
# Poll events of a socket that the client has closed, half-closed or reset.
CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
REQUEST_START = b"POST "
CALLBACK_START = b"POST %s " % callbacks.PATH.encode()
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Connection(asyncio.BufferedProtocol):
    """One incoming connection.

    Bytes are buffered here until a request is complete, and only a complete request is passed to aiohttp. A
    request with an ambiguous length, or one that is too large or too slow, is rejected here: this needs
    neither a task nor a parser, and nothing of it can reach an endpoint. Bytes behind a complete request are
    dropped, and rejected once that request has its response.
    """

    __slots__ = (
        "table",
        "transport",
        "handler",
        "buffer",
        "unread_since_s",
        "is_idle",
        "is_busy",
        "is_kept_open",
        "complete_request",
        "completed_s",
        "excess_bytes",
        "has_sent_request",
        "is_endpoint",
        "started_s",
        "counted_bytes",
        "timer",
    )

    def __init__(self, table: ConnectionTable, unread_since_s: float = 0.0) -> None:
        self.table = table
        # Since when the connection may have waited to be accepted, in s of the loop's clock; 0 if it has not.
        self.unread_since_s = unread_since_s
        self.transport: asyncio.Transport
        self.handler: RequestHandler | None = None
        self.buffer = RequestBuffer()
        self.is_busy = self.is_idle = False
        self.is_kept_open = True  # whether another request may follow the current one
        self.complete_request = b""  # a request that waits for its turn
        self.completed_s = 0.0  # when the current request was complete
        self.excess_bytes = 0  # bytes received behind the current request
        self.has_sent_request = False  # a request or a callback
        self.is_endpoint = False  # it has sent a callback
        self.started_s = 0.0  # when the connection opened, or the incoming request began
        self.counted_bytes = 0  # bytes of the incoming request in `ConnectionTable.partial_bytes`
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
        self.buffer = RequestBuffer()
        self.table.remove(self)
        if self.handler is not None:
            self.handler.connection_lost(exc)

    def pause_writing(self) -> None:
        if self.handler is not None:
            self.handler.pause_writing()

    def resume_writing(self) -> None:
        if self.handler is not None:
            self.handler.resume_writing()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.table.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        self._data_received(self.table.read_buffer[:nbytes])

    def _data_received(self, data: memoryview) -> None:
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
        self._read_request(len(data))

    def _read_request(self, added: int) -> None:
        """Look for the end of the request, `added` bytes of which have just arrived."""
        try:
            is_complete = self.buffer.is_complete(added)
        except MalformedError as problem:
            self.reject(*problem.args)
            return
        if self.buffer.awaits_continue():
            self.transport.write(CONTINUE_RESPONSE)
        if is_complete:
            self._take_request()
            return
        self.table.mark_partial(self)
        if self.buffer.has_undecoded():
            # Read on only when what has arrived is decoded, in a later turn of the event loop.
            self.transport.pause_reading()
            self.table.decoding_queue.add(self)

    def decode_some(self) -> None:
        """Decode some more of a request whose body is in many chunks."""
        if self.transport.is_closing() or not self.buffer.has_undecoded():
            return  # the request was rejected meanwhile
        self.transport.resume_reading()
        self._read_request(0)

    def _take_request(self) -> None:
        """Take the complete request from the buffer; it is processed when its turn comes."""
        raw, excess = self.buffer.take_request()
        head_bytes = self.buffer.head_bytes()
        size = len(raw) + PARSED_HEAD_FACTOR * head_bytes
        if not self.table.mark_busy(self, size, raw.startswith(CALLBACK_START)):
            self.reject(503, "too many bytes of requests in memory")
            return
        self.buffer = RequestBuffer()
        self.is_busy = True
        self.is_kept_open = head_bytes <= MAX_KEPT_HEAD_BYTES
        self.complete_request = raw
        self.completed_s = self.table.loop.time()
        self._stop_timer()
        self.table.request_queue.run_or_add(self)
        if excess:
            self._discard(excess)

    def process_request(self) -> None:
        """Pass the complete request to the library, unless its client has gone."""
        raw, self.complete_request = self.complete_request, b""
        is_callback = raw.startswith(CALLBACK_START)
        if raw.startswith(REQUEST_START) and not is_callback and self.client_closed():
            # Nobody waits for the answer; the rest of the way costs twenty times what has been done so far.
            self.table.counters["left before they were read"] += 1
            return
        if self.handler is None:
            # A response counts as written when all of it is with the operating system.
            self.transport.set_write_buffer_limits(high=0)
            self.handler = self.table()
            self.handler.connection_made(self.transport)
        self.handler.data_received(raw)

    def _discard(self, size: int) -> None:
        """Drop bytes received behind the current request: clients must not pipeline.

        The current request still gets its response. The bytes are read, because a close behind them cannot
        be noticed before. A client that sends more of them than several requests is taken to have gone.
        """
        self.excess_bytes += size
        if self.excess_bytes > MAX_EXCESS_BYTES:
            self._give_up_request()
            self.reject(400, "more came than one request")

    def _give_up_request(self) -> None:
        """End the current request as if its client had gone, without closing the connection."""
        handler, self.handler = self.handler, None
        self.is_busy = False
        self.table.request_queue.discard(self)
        if handler is not None:
            handler.transport = None  # else the handler closes it
            handler.connection_lost(None)

    def client_closed(self) -> bool:
        """Ask the operating system whether the client has closed; if so, close this side and return True.

        The event loop may notice a close only after other work, and by then an attempt could have started for
        a client that is gone.
        """
        if self.transport.is_closing():
            return True
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), CLOSED_EVENTS)
        if not any([events & CLOSED_EVENTS for _, events in poll.poll(0)]):
            return False
        self.transport.close()
        return True

    def take_wait_ms(self) -> float:
        """Return how long in ms the current request has waited for its turn, or may have waited unread.

        The latter applies to the first request of a connection that waited to be accepted.
        """
        now = self.table.loop.time()
        wait_ms = (now - self.completed_s) * 1000.0
        since_s, self.unread_since_s = self.unread_since_s, 0.0
        if not since_s:
            return wait_ms
        # The request may have arrived much later than the connection.
        age_ms = last_data_age_ms(self.transport.get_extra_info("socket"))
        return max(wait_ms, min(age_ms, (now - since_s) * 1000.0))

    def start_response(self, size: int) -> None:
        """Prepare for writing a response of this size, which the client has to read within a limit."""
        if not self.is_busy:
            return  # the request was given up
        self.table.mark_responding(self, size)
        self._stop_timer()
        self.timer = self.table.loop.call_later(MAX_RESPONSE_S, self.transport.abort)

    def finish_request(self) -> None:
        """Wait for the next request, or reject bytes that followed the one that now has its response."""
        if not self.is_busy:
            return  # the request was given up
        self.is_busy = False
        self._stop_timer()
        if self.transport.is_closing():
            return
        if self.excess_bytes:
            self.reject(400, "more came than one request")
        else:
            self.table.mark_idle(self)
            # aiohttp's keep-alive timer is not used: it does not see partial requests and would cut them off.
            self.timer, self.is_idle = (
                self.table.loop.call_later(KEEP_ALIVE_TIMEOUT_S, self._deadline_passed),
                True,
            )

    def abort(self) -> None:
        """Close the connection at once, and free what was received, which the transport does a turn later."""
        self.buffer = RequestBuffer()
        self.transport.abort()

    def reject(self, status: int, reason: str) -> None:
        """Respond with an error status, then close the connection and ignore further bytes."""
        self.table.count_rejection(status, reason)
        text = f"HTTP/1.1 {status} {reason}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        self.transport.write(text.encode())
        self.buffer = RequestBuffer()
        self.table.mark_rejected(self)
        self._stop_timer()
        # A lingering close. Closing at once, while the client still sends, would reset the connection before
        # the client reads the response: half-close, stop reading, and close a little later.
        try:
            self.transport.write_eof()
        except OSError:  # the client has reset the connection, which the loop has not noticed yet
            self.transport.abort()
            return
        self.transport.pause_reading()
        self.timer = self.table.loop.call_later(LINGER_S, self.transport.abort)

    def _deadline_passed(self) -> None:
        self.timer = None
        now = self.table.loop.time()
        left_s = self.table.partial.get(self, 0.0) + MAX_PAUSE_S - now
        if self.buffer.received and left_s > 0.0 and now < self.started_s + MAX_REQUEST_S:
            self.timer = self.table.loop.call_later(left_s, self._deadline_passed)
        elif self.buffer.received:
            self.reject(408, "the request did not come")
        else:
            self.table.counters["silent connections closed"] += 1
            self.transport.close()

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
