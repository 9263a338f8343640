"""Simulated time: a queue of scheduled calls; time advances from one call to the next."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush

# The simulated time at which runs start, in ms; a server's start time of 0 means that it started long ago.
BEGIN = 1_000_000.0


class ScheduledCall:
    """A call that is scheduled for a later time."""

    __slots__ = ("action",)

    def __init__(self, action: Callable[[], None]) -> None:
        self.action: Callable[[], None] | None = action

    def cancel(self) -> None:
        """Cancel the call; does nothing if it has already been made."""
        self.action = None


class SimulatedTime:
    """The clock of a simulation, in ms; calls for the same time are made in the order of scheduling."""

    def __init__(self) -> None:
        self.now = BEGIN
        self._queue: list[tuple[float, int, ScheduledCall]] = []
        self._scheduled_count = 0

    def at(self, when: float, action: Callable[[], None]) -> ScheduledCall:
        """Schedule a call; a time in the past counts as now."""
        call = ScheduledCall(action)
        self._scheduled_count += 1
        heappush(self._queue, (max(when, self.now), self._scheduled_count, call))
        return call

    def run(self, until: float) -> None:
        """Advance the time to `until`, and make every call that is scheduled by then."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, call = heappop(self._queue)
            action, call.action = call.action, None
            if action is not None:
                action()
        self.now = until
