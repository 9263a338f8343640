"""Cancels an attempt at its endpoint, and retries the call until the endpoint has confirmed it."""

from __future__ import annotations

import asyncio
import errno

import aiohttp

from dunepulley.net.counters import Counters
from dunepulley.net.messages import UpstreamAttempt
from dunepulley.net.system_errors import is_local_error
from dunepulley.net.tracebacks import drop_tracebacks
from dunepulley.net.upstream.responses import endpoint_url, read_response_body

# Ten times the longest round trip: an endpoint that does not respond within this time is down or unreachable.
RESPONSE_TIMEOUT_S = 1.0
# Without hedging, the call is retried at this interval, and up to this time in all. It covers an endpoint
# whose new connections take up to 1.5 s, after a reused connection that did not respond.
CONFIRMATION_TIMEOUT_S, RETRY_INTERVAL_S = 2.2, 0.1
# With hedging, the call is sent at most this many times.
_MAX_HEDGED_TRIES = 2
# An endpoint that closed the connection and then refuses this many connections in a row is taken to be dead.
# A single refusal may come from a live process, for example while it reopens its listening socket.
_DEAD_AFTER_REFUSALS = 3
# The callers limit the time with `asyncio.timeout` instead.
_NO_TIMEOUT = aiohttp.ClientTimeout()


class Cancellation:
    """The DELETE request for one attempt, retried while the endpoint may not have received it.

    Guards against an attempt that keeps running beside the attempt that replaces it.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        counters: Counters,
        attempt: UpstreamAttempt,
        ended_by_endpoint: bool,
        is_hedged: bool,
    ) -> None:
        self._session = session
        self._counters = counters
        self._url = endpoint_url(attempt.address, f"/jobs/{attempt.request.arrived.request_id}")
        self._ended_by_endpoint = ended_by_endpoint
        self._is_hedged = is_hedged
        self._tries = self._refusals = 0
        # Whether the endpoint has responded, or is taken to be dead.
        self.is_confirmed = False

    async def run(self) -> None:
        """Send the DELETE until it is confirmed or the time or the number of tries is used up."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + (RESPONSE_TIMEOUT_S if self._is_hedged else CONFIRMATION_TIMEOUT_S)
        while not self.is_confirmed and loop.time() < end_s and self._may_try():
            timeout_s = end_s - loop.time() if self._tries else RESPONSE_TIMEOUT_S / 2
            self._tries += 1
            try:
                await self._send(timeout_s)
            except (aiohttp.ClientError, OSError) as error:
                drop_tracebacks(error)
                is_local = self._record_failure(error)
                if not self.is_confirmed and (is_local or not self._is_hedged):
                    await asyncio.sleep(RETRY_INTERVAL_S)

    def _may_try(self) -> bool:
        return self._tries < _MAX_HEDGED_TRIES or not self._is_hedged

    async def _send(self, timeout_s: float) -> None:
        async with (
            asyncio.timeout(timeout_s),
            self._session.delete(self._url, allow_redirects=False, timeout=_NO_TIMEOUT) as response,
        ):
            self._counters[f"delete {response.status}"] += 1
            self.is_confirmed = True
            await read_response_body(response)

    def _record_failure(self, error: Exception) -> bool:
        """Count a failed try; return whether the fault was this host's."""
        self._counters["delete unheard"] += 1
        is_local = is_local_error(error)
        # A fault of this host does not count as a try, because the endpoint has not been contacted.
        self._tries -= is_local
        is_refused = getattr(error, "errno", None) == errno.ECONNREFUSED
        self._refusals = self._refusals + 1 if is_refused else 0
        # A process that closed the connection and now refuses new ones has died, and its work with it.
        if self._ended_by_endpoint and self._refusals >= _DEAD_AFTER_REFUSALS:
            self.is_confirmed = True
        return is_local
