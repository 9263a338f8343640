"""Runs asynchronous tests and waits for conditions instead of fixed times."""

from __future__ import annotations

import asyncio
import functools
import time
from collections.abc import Awaitable, Callable

TEST_TIMEOUT_S = 20.0
WAIT_TIMEOUT_S = 8.0
POLL_PERIOD_S = 0.002
REAL_CLOCK_TIMEOUT_S = 3.0


def on_loop(test: Callable) -> Callable:
    """Run an asynchronous test on a new event loop; raises TimeoutError after `TEST_TIMEOUT_S`."""

    @functools.wraps(test)
    def run(*args: object, **kwargs: object) -> None:
        asyncio.run(asyncio.wait_for(test(*args, **kwargs), TEST_TIMEOUT_S))

    return run


async def until(condition: Callable[[], object], timeout_s: float = WAIT_TIMEOUT_S) -> None:
    """Wait until a condition holds; raises TimeoutError if it does not in time."""
    async with asyncio.timeout(timeout_s):
        while not condition():  # noqa: ASYNC110  the condition sets no event
            await asyncio.sleep(POLL_PERIOD_S)


async def until_answered(
    question: Callable[[], Awaitable[object]], timeout_s: float, period_s: float = 0.02
) -> None:
    """Ask a peer repeatedly until its answer is true; raises TimeoutError if it is not in time."""
    async with asyncio.timeout(timeout_s):
        while not await question():  # noqa: ASYNC110  the peer is another process
            await asyncio.sleep(period_s)


async def until_true(condition: Callable[[], object]) -> None:
    """Wait until a condition holds, by the real clock and without timers; fails after 3 s.

    For tests that slow down the event loop's clock.
    """
    end = time.perf_counter() + REAL_CLOCK_TIMEOUT_S
    while not condition():
        assert time.perf_counter() < end, "the condition did not come to hold"
        await asyncio.sleep(0)
