"""Timers of a router: a heap of callbacks, and the one alarm that the owner of the router is asked to set."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import NamedTuple

INFINITY = float("inf")

# Takes the time in ms at which it is called.
Action = Callable[[float], None]


class Timer(NamedTuple):
    """One callback that is due; of two that are due at one time the one scheduled first comes first."""

    due_ms: float
    sequence: int
    action: Action


class TimerQueue:
    """Callbacks by the time at which they are due."""

    def __init__(self) -> None:
        self.entries: list[Timer] = []
        self._sequence = 0
        # When the alarm that was asked for last is to ring, and its token; `INFINITY` once it has rung.
        self.alarm_at_ms = INFINITY
        self.token = 0

    def schedule(self, due_ms: float, action: Action) -> None:
        """Call `action` with the time, once that is `due_ms` or later."""
        self._sequence += 1
        heappush(self.entries, Timer(due_ms, self._sequence, action))

    def run_due(self, now: float) -> None:
        """Call what is due, also what becomes due meanwhile."""
        entries = self.entries
        while entries and entries[0][0] <= now:
            heappop(entries).action(now)

    def alarm_fired(self, token: int) -> None:
        """Take in that an alarm has rung; one that a sooner one has replaced counts for nothing."""
        if token == self.token:
            self.alarm_at_ms = INFINITY

    def next_alarm(self) -> float | None:
        """When a new alarm has to ring, if the one that is set would ring too late; its token is `token`."""
        if not self.entries or self.entries[0][0] >= self.alarm_at_ms:
            return None
        self.token += 1
        self.alarm_at_ms = self.entries[0][0]
        return self.alarm_at_ms
