"""Timers of the event loop that put a message on the queue when they expire."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from dunepulley.net.messages import EndpointRefreshDue
from dunepulley.routing.events import TimerFired

# The event loop does not support timers of years, so the endpoints are refreshed every hour at the latest.
MAX_REFRESH_WAIT_S = 3600.0


class LoopTimers:
    """Owns the router's timers, and the timer for the next refresh of the endpoints.

    Args:
        put: called with the message of an expired timer.
    """

    def __init__(self, put: Callable[[Any], None]) -> None:
        self._put = put
        self.router_timers: set[asyncio.TimerHandle] = set()
        self.refresh_timer: asyncio.TimerHandle | None = None

    def set_router_timer(self, delay_ms: float, token: int) -> None:
        """Put `TimerFired` with this token on the queue after a delay."""

        def fire() -> None:
            self.router_timers.discard(handle)
            self._put(TimerFired(token))

        handle = asyncio.get_running_loop().call_later(max(0.0, delay_ms) / 1000.0, fire)
        self.router_timers.add(handle)

    def schedule_refresh(self, delay_ms: float) -> None:
        """Put `EndpointRefreshDue` on the queue after a delay, replacing the previous refresh timer.

        With an infinite delay no timer is set.
        """
        if self.refresh_timer is not None:
            self.refresh_timer.cancel()
            self.refresh_timer = None
        if delay_ms < float("inf"):
            wait_s = min(MAX_REFRESH_WAIT_S, delay_ms / 1000.0)
            loop = asyncio.get_running_loop()
            self.refresh_timer = loop.call_later(wait_s, self._put, EndpointRefreshDue())

    def cancel_all(self) -> None:
        """Cancel every timer."""
        for handle in self.router_timers:
            handle.cancel()
        self.router_timers.clear()
        if self.refresh_timer is not None:
            self.refresh_timer.cancel()
