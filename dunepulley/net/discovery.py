"""The endpoint list of a discovery service: a watch that is opened again whenever it ends or falls silent.

A watch is one HTTP response without end, to a call that names the revision in hand. Each line is a message
with the whole list or what has changed; an empty line comes every 2 s while there is none.
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

# After a call that failed on this host: it has cost discovery nothing, and puts nothing off.
LOCAL_FAULT_RETRY_S = 0.1
# Between parsing and reading a line of this length, what waits meanwhile has its turn.
LONG_LINE_BYTES = 64 * 1024
WHOLE_LIST = 0  # the revision from which on discovery sends a whole list
OK, TOO_MANY_REQUESTS, FIRST_SERVER_ERROR = 200, 429, 500


class RefusedError(Exception):
    """Discovery refused a call; what it said before still stands."""


class Discovery:
    """Owns the watch and its connection, and puts each message into the queue of the router's task."""

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
        # Whether the present call was answered, and whether it has brought a complete line.
        self.responded = self.received = False
        self.first_message = asyncio.Event()  # once any watch has brought a complete line
        # When the list in hand was last known to be current, or discovery was last called and not reached, in
        # s of the event loop's clock.
        self.current_at = 0.0

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
            self.current_at = clock()
            while True:
                end = await self._call(session)
                if end is None:
                    await asyncio.sleep(LOCAL_FAULT_RETRY_S)
                    continue
                self.counters["discovery watches ended"] += 1
                age_s = clock() - self.current_at
                await asyncio.sleep(self.backoff.next_delay_s(end, self.received, age_s))

    async def _call(self, session: aiohttp.ClientSession) -> WatchEnd | None:
        """Open a watch and follow it; return how it ended, or None where it failed on this host."""
        self.responded = self.received = False
        called_at = asyncio.get_running_loop().time()
        self.counters["discovery calls"] += 1
        self.log_event(f"list-call {self.revision}")
        try:
            await self._watch(session)
            log.write(LogEvent.DISCOVERY, "the watch ended")
        except (aiohttp.ClientError, OSError) as error:
            return self._call_failed(error, called_at)
        except RefusedError as error:
            # The list in hand still stands, and to have it whole would cost discovery the most.
            self.counters["discovery refusals"] += 1
            self.log_event("list-refused")
            log.write(LogEvent.DISCOVERY, str(error))
            return WatchEnd.REFUSED
        except ValueError as error:
            # What it said is lost: have the whole list next.
            self.revision = WHOLE_LIST
            log.write(LogEvent.DISCOVERY, f"what came is no list: {error}")
        return WatchEnd.CUT

    def _call_failed(self, error: Exception, called_at: float) -> WatchEnd | None:
        if not self.responded and is_local_error(error):
            self.counters["discovery calls failed here"] += 1
            log.write(LogEvent.DISCOVERY, f"no call could be made: {error}")
            return None
        if not self.responded and isinstance(error, aiohttp.ClientConnectorError | TimeoutError):
            # What it has to tell counts as told only some time after it can be reached again. A call that it
            # refuses, or cuts, puts nothing off.
            self.current_at = called_at
        log.write(LogEvent.DISCOVERY, f"the watch broke: {type(error).__name__} {error}")
        return WatchEnd.CUT

    async def _watch(self, session: aiohttp.ClientSession) -> None:
        """Follow one watch from its call to its end.

        Raises RefusedError where discovery refuses it, ValueError where what came is no list, and OSError or
        ClientError where the connection fails.
        """
        url = f"http://{self.address}/catalog/members?stream=1&index={self.revision}"
        async with contextlib.AsyncExitStack() as stack:
            async with asyncio.timeout(list_polling.RESPONSE_TIMEOUT_S):
                response = await stack.enter_async_context(session.get(url))
            self.responded = True
            if response.status == TOO_MANY_REQUESTS or response.status >= FIRST_SERVER_ERROR:
                raise RefusedError(f"discovery answered {response.status}")
            if response.status != OK:
                raise ValueError(f"discovery answered {response.status}")
            lines = JsonLines()
            async for chunk in response.content.iter_any():
                for line in lines.split(chunk):
                    await self._take_line(lines, line)
        # What is left of a line that was cut is no message.

    async def _take_line(self, lines: JsonLines, line: bytes) -> None:
        document: Any = lines.parse(line)
        if document is LineKind.INCOMPLETE:
            return
        if document is not LineKind.EMPTY:
            if len(line) > LONG_LINE_BYTES:
                await asyncio.sleep(0)
            self._take_list(parse_endpoint_list(document))
        self.received = True
        self.current_at = asyncio.get_running_loop().time()
        self.first_message.set()

    def _take_list(self, endpoint_list: EndpointList) -> None:
        self.revision = endpoint_list.revision
        self.counters["lists"] += 1
        self.put(endpoint_list)
