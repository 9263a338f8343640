"""The graceful shutdown on SIGTERM: keep serving for a while, then finish the accepted requests.

SIGKILL follows SIGTERM no sooner than after the longest timeout of a request class (`MAX_TIMEOUT_S` at most)
plus `KILL_MARGIN_S`. Requests that are not answered by then are failed shortly before, so that their clients
get a response:

    0 ... serve as before ... - FINISH_WINDOW_S ... finish ... - FAIL_BEFORE_KILL_S ... fail, end
"""

from __future__ import annotations

import asyncio
from typing import Any

from dunepulley.net import log
from dunepulley.net.frontend.server import SHUTTING_DOWN, FrontendServer
from dunepulley.net.log_events import LogEvent
from dunepulley.net.settings_document import class_settings

# How long new connections may still arrive: the front proxy keeps opening connections for 0.4 s after
# SIGTERM, and for 0.3 s after a failed health check.
LATE_CONNECTION_WINDOW_S = 0.5
MAX_TIMEOUT_S = 3.0
KILL_MARGIN_S = 0.7
FAIL_BEFORE_KILL_S = 0.2
# Clients with an open connection may have no other dispatcher: when dispatchers are restarted one after the
# other, the next one is terminated before the last is back. So they are served until this much time remains,
# in which most of the last requests still finish.
FINISH_WINDOW_S = 1.3
# How often to check whether all responses are written.
POLL_INTERVAL_S = 0.02


def time_to_finish_s(settings: dict[str, Any]) -> float:
    """Return the time from SIGTERM until unanswered requests are failed."""
    timeouts_s = [ms / 1000.0 for ms in class_settings(settings, "expiryMs") if ms is not None]
    longest_s = min(MAX_TIMEOUT_S, max(timeouts_s, default=MAX_TIMEOUT_S))
    return longest_s + KILL_MARGIN_S - FAIL_BEFORE_KILL_S


async def finish(frontend: FrontendServer, settings: dict[str, Any]) -> None:
    """Keep serving for a while, then accept no more requests and answer those that were accepted."""
    time_s = time_to_finish_s(settings)
    frontend.leave(SHUTTING_DOWN, max(LATE_CONNECTION_WINDOW_S, time_s - FINISH_WINDOW_S))
    try:
        async with asyncio.timeout(time_s):
            await frontend.none_waiting.wait()
            # A request that is partly received, or a response that a slow client still reads, may use the
            # remaining time: a request that a client completes after its connection was closed is lost.
            while frontend.server.has_unsent_responses():
                await asyncio.sleep(POLL_INTERVAL_S)
    except TimeoutError:
        log.write(LogEvent.SERVICE, f"{len(frontend.waiting)} requests failed at the end of the shutdown")
        frontend.fail_waiting_requests()


async def reject_queued(frontend: FrontendServer, settings: dict[str, Any]) -> None:
    """Accept the connections that arrived before this process served, and reject their requests.

    None of these requests is forwarded, because the list from discovery may not have been received yet.
    """
    frontend.leave(SHUTTING_DOWN, 0.0)
    frontend.listener.start_accepting()
    await asyncio.sleep(LATE_CONNECTION_WINDOW_S)
    await finish(frontend, settings)
