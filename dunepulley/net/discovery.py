"""The endpoint list of a discovery service, followed by a watch that is reopened whenever it ends or is idle.

A watch is one endless HTTP response to a call that names the current revision. Each line is a message with
the full list or with changes; discovery sends an empty line every 2 s while there is no message.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

import aiohttp

from dunepulley.net import list_polling, log
from dunepulley.net.counters import Counters
from dunepulley.net.endpoint_list import EndpointList, parse_endpoint_list
from dunepulley.net.json_lines import JsonLines, LineKind
from dunepulley.net.list_polling import PollBackoff, WatchEnd
from dunepulley.net.log_events import LogEvent
from dunepulley.net.system_errors import is_local_error
from dunepulley.net.tracebacks import drop_tracebacks

# Delay after a call that failed on this host: it put no load on discovery, so no backoff is needed.
LOCAL_FAULT_RETRY_S = 0.1
# After parsing a line longer than this, other tasks of the event loop run before its list is processed.
LONG_LINE_BYTES = 64 * 1024
FULL_LIST_REVISION = 0  # a call that names this revision gets the full list
OK, TOO_MANY_REQUESTS, FIRST_SERVER_ERROR = 200, 429, 500


class RefusedError(Exception):
    """Discovery refused a call; the list received before remains valid."""


class Discovery:
    """Owns the watch and its connection, and queues each message for the router's task."""

    def __init__(
        self,
        address: str,
        revision: int,
        put: Callable[[EndpointList], None],
        counters: Counters,
        backoff: PollBackoff,
    ) -> None:
        self.backoff = backoff
        self.address = address
        self.revision = revision
        self.put = put
        self.counters = counters
        self.log_event: Callable[[str], None] = lambda text: None
        # Whether the present call has a response, and whether a complete line was received on it.
        self.responded = self.received = False
        # Set while no call is unanswered.
        self.no_call_pending = asyncio.Event()
        self.no_call_pending.set()
        self.first_message = asyncio.Event()  # set once a complete line was received on any watch
        # When the list was last known to be current, or when the last call was made that did not reach
        # discovery; by the event loop's clock.
        self.current_at_s = 0.0

    async def run(self) -> None:
        """Keep a watch open; never returns."""
        clock = asyncio.get_running_loop().time
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=list_polling.RESPONSE_TIMEOUT_S, sock_read=list_polling.IDLE_TIMEOUT_S
        )
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout, cookie_jar=aiohttp.DummyCookieJar(), trust_env=False
        ) as session:
            self.current_at_s = clock()
            while True:
                end = await self._call(session)
                if end is None:
                    await asyncio.sleep(LOCAL_FAULT_RETRY_S)
                    continue
                self.counters["discovery watches ended"] += 1
                age_s = clock() - self.current_at_s
                await asyncio.sleep(self.backoff.next_delay_s(end, self.received, age_s))

    async def _call(self, session: aiohttp.ClientSession) -> WatchEnd | None:
        """Open a watch and follow it; return how it ended, or None if it failed because of this host."""
        self.responded = self.received = False
        self.no_call_pending.clear()
        called_at_s = asyncio.get_running_loop().time()
        self.counters["discovery calls"] += 1
        self.log_event(f"list-call {self.revision}")
        try:
            await self._watch(session)
            log.write(LogEvent.DISCOVERY, "the watch ended")
        except (aiohttp.ClientError, OSError) as error:
            drop_tracebacks(error)
            return self._call_failed(error, called_at_s)
        except RefusedError as error:
            # The current list remains valid, and requesting a full list would cost discovery the most.
            self.counters["discovery refusals"] += 1
            self.log_event("list-refused")
            log.write(LogEvent.DISCOVERY, str(error))
            return WatchEnd.REFUSED
        except ValueError as error:
            # The message is lost: request the full list next.
            self.revision = FULL_LIST_REVISION
            log.write(LogEvent.DISCOVERY, f"invalid message from discovery at {self.address}: {error}")
        finally:
            self.no_call_pending.set()
        return WatchEnd.INTERRUPTED

    def _call_failed(self, error: Exception, called_at_s: float) -> WatchEnd | None:
        if not self.responded and is_local_error(error):
            self.counters["discovery calls failed here"] += 1
            log.write(LogEvent.DISCOVERY, f"cannot call discovery because of an error on this host: {error}")
            return None
        if not self.responded and isinstance(error, aiohttp.ClientConnectorError | TimeoutError):
            # The staleness bound applies only while discovery can be reached, so it restarts here. A call
            # that discovery refuses or closes does not restart it.
            self.current_at_s = called_at_s
        log.write(LogEvent.DISCOVERY, f"the watch failed: {type(error).__name__} {error}")
        return WatchEnd.INTERRUPTED

    async def _watch(self, session: aiohttp.ClientSession) -> None:
        """Follow one watch from its call to its end.

        Raises RefusedError if discovery refuses the call, ValueError if a message or the status is invalid,
        and OSError or ClientError if the connection fails.
        """
        url = f"http://{self.address}/catalog/members?stream=1&index={self.revision}"
        async with contextlib.AsyncExitStack() as stack:
            async with asyncio.timeout(list_polling.RESPONSE_TIMEOUT_S):
                response = await stack.enter_async_context(session.get(url))
            self.responded = True
            if response.status == TOO_MANY_REQUESTS or response.status >= FIRST_SERVER_ERROR:
                raise RefusedError(f"discovery at {self.address} refused: status {response.status}")
            if response.status != OK:
                raise ValueError(f"expected status {OK}, got {response.status}")
            lines = JsonLines()
            async for chunk in response.content.iter_any():
                for line in lines.split(chunk):
                    await self._process_line(lines, line)
        # An incomplete last line is discarded.

    async def _process_line(self, lines: JsonLines, line: bytes) -> None:
        document: Any = lines.parse(line)
        if document is LineKind.INCOMPLETE:
            return
        if document is not LineKind.EMPTY:
            if len(line) > LONG_LINE_BYTES:
                await asyncio.sleep(0)
            self._process_list(parse_endpoint_list(document))
        self.received = True
        self.no_call_pending.set()
        self.current_at_s = asyncio.get_running_loop().time()
        self.first_message.set()

    def _process_list(self, endpoint_list: EndpointList) -> None:
        self.revision = endpoint_list.revision
        self.counters["lists"] += 1
        self.put(endpoint_list)
