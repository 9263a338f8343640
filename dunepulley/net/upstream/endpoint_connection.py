"""One connection to an endpoint, which accepts one response of limited size for each request."""

from __future__ import annotations

import asyncio
import select

import aiohttp
from aiohttp.client_proto import ResponseHandler

from dunepulley.net.counters import EXCESSIVE_RESPONSES, UNSOLICITED_DATA, Counters

# The limit for what comes with the body of a response: heads, interim responses, and the framing of chunks.
MAX_FRAMING_BYTES = 16 * 1024
# Responses that may have been received and not been read, interim ones included.
MAX_UNREAD_RESPONSES = 8
# Bytes that are parsed before it is known what is in them.
PARSING_STEP_BYTES = 4096


class EndpointConnection(ResponseHandler):
    """A connection to an endpoint.

    It is closed as soon as the endpoint sends bytes between two exchanges: a response names no request, and
    what arrives there would be taken for the response to the next request. It is also closed when a response
    comes with many others or in very many chunks, before more of it is parsed.
    """

    def __init__(self, counters: Counters, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._counters = counters
        self._is_idle = False
        # The bytes that were parsed since the current exchange started.
        self._parsed = 0

    def start_exchange(self) -> None:
        """Expect a response from now on."""
        self._is_idle = False
        self._parsed = 0

    def end_exchange(self) -> None:
        """Expect nothing until the next exchange."""
        self._is_idle = True

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, or close the connection if they are more than an endpoint may send."""
        if self._is_idle:
            self._refuse(UNSOLICITED_DATA)
            return
        # Without bytes, the library goes on with what it has.
        for start in range(0, len(data) or 1, PARSING_STEP_BYTES):
            step = data[start : start + PARSING_STEP_BYTES]
            super().data_received(step)
            self._parsed += len(step)
            if self._is_excessive():
                self._refuse(EXCESSIVE_RESPONSES)
            if not self.is_connected():
                return

    def _is_excessive(self) -> bool:
        """Whether more has come than one response may be, whatever follows."""
        body_bytes = 0 if self._payload is None else self._payload.total_bytes
        is_mostly_framing = self._parsed - body_bytes > MAX_FRAMING_BYTES
        return is_mostly_framing or len(self._buffer) > MAX_UNREAD_RESPONSES

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Go on reading if that was paused; the library calls this for each chunk that is taken."""
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def _refuse(self, counter: str) -> None:
        """Close the connection because of what the endpoint has sent."""
        if not self.is_connected():
            return
        self._counters[counter] += 1
        self.force_close()
        if not self._is_idle:
            self.set_exception(aiohttp.ClientPayloadError("the endpoint sent more than one response may be"))
        self.transport.abort()

    def may_send_request(self) -> bool:
        """Whether the next bytes that arrive can only answer a request that is sent now.

        Asks the operating system, too: the event loop may not have read yet what has arrived, or a close.
        """
        if not self.is_connected() or self.should_close:
            return False
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return not poll.poll(0)
