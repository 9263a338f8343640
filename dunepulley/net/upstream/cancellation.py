"""Telling an endpoint that an attempt is given up, until it has heard of it."""

from __future__ import annotations

import asyncio
import errno

import aiohttp

from dunepulley.net.counters import Counters
from dunepulley.net.messages import UpstreamAttempt
from dunepulley.net.system_errors import is_local_error
from dunepulley.net.upstream.responses import endpoint_url, read_response_body

# Ten times the longest way there and back: an endpoint that leaves a request unanswered for this long is down
# or cut off.
RESPONSE_TIMEOUT_S = 1.0
# Where requests may not be hedged, an endpoint whose connections come up late is waited for: up to 1.5 s
# late, after a kept connection that was silent. One that breaks connections is asked again each tenth of a
# second.
CONFIRMATION_TIMEOUT_S, RETRY_INTERVAL_S = 2.2, 0.1
# Where they may, an endpoint is asked so often.
_HEDGED_TRIES = 2
# An endpoint that ended the connection and then refuses new ones so often in a row is taken for a process
# that has died. A single one may be refused by a process that lives, as while its listener is opened anew.
_DEAD_AFTER_REFUSALS = 3
# Bounded where it is used.
_NO_TIMEOUT = aiohttp.ClientTimeout()


class Cancellation:
    """The DELETE of one attempt, which is sent again while the endpoint may not have heard of it.

    Guards against an attempt that runs on beside the one that takes its place.
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
        # Whether the endpoint has heard of it, or has died.
        self.is_confirmed = False

    async def run(self) -> None:
        """Send it until it is confirmed or there is no time left."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + (RESPONSE_TIMEOUT_S if self._is_hedged else CONFIRMATION_TIMEOUT_S)
        while not self.is_confirmed and loop.time() < end_s and self._may_try():
            timeout_s = end_s - loop.time() if self._tries else RESPONSE_TIMEOUT_S / 2
            self._tries += 1
            try:
                await self._send(timeout_s)
            except (aiohttp.ClientError, OSError) as error:
                is_local = self._record_failure(error)
                if not self.is_confirmed and (is_local or not self._is_hedged):
                    await asyncio.sleep(RETRY_INTERVAL_S)

    def _may_try(self) -> bool:
        return self._tries < _HEDGED_TRIES or not self._is_hedged

    async def _send(self, timeout_s: float) -> None:
        async with (
            asyncio.timeout(timeout_s),
            self._session.delete(self._url, allow_redirects=False, timeout=_NO_TIMEOUT) as response,
        ):
            self._counters[f"delete {response.status}"] += 1
            self.is_confirmed = True
            await read_response_body(response)

    def _record_failure(self, error: Exception) -> bool:
        """Count a failed try; whether the fault was this host's."""
        self._counters["delete unheard"] += 1
        is_local = is_local_error(error)
        # What failed here was no try: the endpoint is told once that is possible.
        self._tries -= is_local
        is_refused = getattr(error, "errno", None) == errno.ECONNREFUSED
        self._refusals = self._refusals + 1 if is_refused else 0
        # An endpoint that ended the connection and now takes none has died, and all that it ran with it.
        if self._ended_by_endpoint and self._refusals >= _DEAD_AFTER_REFUSALS:
            self.is_confirmed = True
        return is_local
