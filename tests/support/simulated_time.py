"""An event loop in simulated time: code takes no time, and the clock jumps from one timer to the next.

For tests that compare durations or rates, and whose peers all run on the event loop of the test. The time
that a busy machine takes does not count, so they have the same verdict beside any load.
"""

from __future__ import annotations

import asyncio
import functools
import selectors
import time
from collections.abc import Callable

import pytest

TEST_TIMEOUT_S = 60.0
# How long, in real time, bytes between two sockets of this process may be on their way.
TRANSIT_S = 0.001


class SimulatedClock:
    """Replaces `time.monotonic`; it runs only when it is advanced."""

    def __init__(self) -> None:
        self.now_s = time.monotonic()

    def __call__(self) -> float:
        return self.now_s

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        self.now_s += seconds


class AdvancingSelector(selectors.DefaultSelector):
    """A selector that advances a clock in place of waiting when no socket is ready."""

    def __init__(self, clock: SimulatedClock) -> None:
        super().__init__()
        self._clock = clock

    def select(self, timeout: float | None = None) -> list:
        """Return the ready sockets, or advance the clock by `timeout` in s if there are none."""
        events = super().select(0)
        if events or timeout == 0:
            return events
        events = super().select(TRANSIT_S if timeout is not None else None)
        if not events and timeout is not None:
            self._clock.advance(max(0.0, timeout))
        return events


def in_simulated_time(test: Callable) -> Callable:
    """Run an asynchronous test in simulated time; raises TimeoutError after `TEST_TIMEOUT_S` of it."""

    @functools.wraps(test)
    def run(*args: object, **kwargs: object) -> None:
        clock = SimulatedClock()
        loop = asyncio.SelectorEventLoop(AdvancingSelector(clock))
        with pytest.MonkeyPatch.context() as patch, asyncio.Runner(loop_factory=lambda: loop) as runner:
            patch.setattr(time, "monotonic", clock)
            runner.run(asyncio.wait_for(test(*args, **kwargs), TEST_TIMEOUT_S))

    return run
