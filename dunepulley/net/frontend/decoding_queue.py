"""Shares the event loop's time between connections whose received bytes are expensive to decode."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable


class DecodingQueue:
    """Runs one waiting step in each turn of the event loop, in the order in which they were added.

    So what many clients send together holds up no other client for longer than one step.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._steps: deque[Callable[[], None]] = deque()

    def add(self, step: Callable[[], None]) -> None:
        """Add a step, which may add another one when it runs."""
        if not self._steps:
            self._loop.call_soon(self._run_next)
        self._steps.append(step)

    def _run_next(self) -> None:
        step = self._steps[0]
        try:
            step()
        finally:
            # Removed last, so that a step that adds another one does not schedule a second turn.
            self._steps.popleft()
            if self._steps:
                self._loop.call_soon(self._run_next)
