"""The body of an attempt, which records how much of the request has left the process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from aiohttp.payload import BytesPayload

from dunepulley.net.counters import Counters
from dunepulley.net.messages import UpstreamAttempt

# The header with the time left is computed one turn of the event loop before the first byte is written. If it
# is older than this, which is longer than any callback of a busy loop takes, the attempt is refused and the
# router starts another with a new value. This leaves time for one more pause of the process afterwards.
MAX_TIMEOUT_AGE_S = 0.025


class AttemptBody(BytesPayload):
    """An attempt's body, which records when writing starts and when the last byte has left the process.

    If the connection breaks in between, the attempt was certainly never executed.
    """

    def __init__(
        self, attempt: UpstreamAttempt, counters: Counters, may_begin: Callable[[UpstreamAttempt], bool]
    ) -> None:
        self.data = attempt.request.body
        super().__init__(self.data)
        self.attempt = attempt
        self.counters = counters
        self.may_begin = may_begin
        self.transport: asyncio.Transport | None = None
        self.abandoned = False

    def abandon(self) -> bool:
        """Abort the connection if it still buffers part of the request.

        Returns whether it did: the last byte is then never sent. Closing the transport would not be enough,
        because a closed transport still writes what it has buffered.
        """
        # After the last byte or a response, another exchange may already use the connection.
        if self.transport is None or self.attempt.fully_written or self.attempt.response_started:
            return False
        if not self.transport.get_write_buffer_size():
            return False
        self.abandoned = True
        self.transport.abort()
        return True

    async def write_with_length(self, writer: Any, content_length: int | None) -> None:
        """Write the body. Raises ConnectionAbortedError if the attempt must not start any more."""
        # aiohttp holds the head back until the body is written, and writes in a task of its own: no byte has
        # been sent yet, and no other callback runs between this check and the first byte.
        timeout_age_s = asyncio.get_running_loop().time() - self.attempt.timeout_sent_s
        is_stale = self.attempt.cancelled or timeout_age_s > MAX_TIMEOUT_AGE_S
        if is_stale or not writer.protocol.may_send_request() or not self.may_begin(self.attempt):
            self.attempt.start_refused = True
            self.counters["ho barred"] += 1
            raise ConnectionAbortedError("the attempt was cancelled or must not start any more")
        transport = self.transport = writer.transport
        if transport is not None:
            # Makes drain() wait until the last byte is written, not only until the buffer has space.
            transport.set_write_buffer_limits(high=0)
        self.attempt.write_started = True
        await writer.write(self.data, drain=False)
        if transport.get_write_buffer_size():
            # Returns once the last byte is written, even if the endpoint has closed its side; else it raises.
            await writer.drain()
            self.attempt.fully_written = not self.abandoned
        else:
            # A transport that was closed while it wrote has dropped the buffered bytes.
            self.attempt.fully_written = not transport.is_closing()
        if self.attempt.fully_written:
            self.counters["sends"] += 1
