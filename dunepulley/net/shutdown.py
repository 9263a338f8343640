"""The graceful shutdown that SIGTERM asks for: serve on for a while, then finish what was accepted.

SIGKILL comes no sooner than the longest expiry of a request class, of which `MAX_EXPIRY_S` count, and
`KILL_MARGIN_S` after SIGTERM. Requests that are not answered by then are failed a little before, so that
their clients hear of it:

    0 ... serve as before ... - LAST_REQUESTS_S ... finish ... - FAIL_BEFORE_KILL_S ... fail, end
"""

from __future__ import annotations

import asyncio
from typing import Any

from dunepulley.net import log
from dunepulley.net.frontend.server import SHUTTING_DOWN, FrontendServer
from dunepulley.net.log_events import LogEvent
from dunepulley.net.settings_document import class_settings

# The front proxy goes on sending connections for 0.4 s after SIGTERM, and for 0.3 s after a health check
# that fails.
LATE_CONNECTIONS_S = 0.5
MAX_EXPIRY_S = 3.0
KILL_MARGIN_S = 0.7
FAIL_BEFORE_KILL_S = 0.2
# Who has a connection may have nowhere else to go: where dispatchers are restarted one after the other, the
# next is told to end before the last is back. So they are served until this much is left, in which most
# requests that came last still finish.
LAST_REQUESTS_S = 1.3
# How often it is looked whether everything is written.
POLL_S = 0.02


def time_to_finish_s(settings: dict[str, Any]) -> float:
    """Return the time from SIGTERM until requests that are not answered have to be failed."""
    expiries_s = [ms / 1000.0 for ms in class_settings(settings, "expiryMs") if ms is not None]
    longest_s = min(MAX_EXPIRY_S, max(expiries_s, default=MAX_EXPIRY_S))
    return longest_s + KILL_MARGIN_S - FAIL_BEFORE_KILL_S


async def finish(clients: FrontendServer, settings: dict[str, Any]) -> None:
    """Serve on for a while, then accept no more requests and answer those that were accepted."""
    time_s = time_to_finish_s(settings)
    clients.leave(SHUTTING_DOWN, max(LATE_CONNECTIONS_S, time_s - LAST_REQUESTS_S))
    try:
        async with asyncio.timeout(time_s):
            await clients.none_waiting.wait()
            # A request that is half here, or an answer that a slow client still reads, has the time that is
            # left: written whole to a connection that was closed, the request is lost.
            while clients.server.has_unsent_responses():
                await asyncio.sleep(POLL_S)
    except TimeoutError:
        log.write(LogEvent.SERVICE, f"{len(clients.waiting)} work items were written off at the end")
        clients.fail_waiting_requests()


async def reject_queued(clients: FrontendServer, settings: dict[str, Any]) -> None:
    """Answer the connections that came before this process served: their requests are rejected.

    Nothing of them is forwarded: what discovery has to tell may not have been heard.
    """
    clients.leave(SHUTTING_DOWN, 0.0)
    clients.listener.start_accepting()
    await asyncio.sleep(LATE_CONNECTIONS_S)
    await finish(clients, settings)
