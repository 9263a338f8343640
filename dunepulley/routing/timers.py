"""The timers of a router: a heap of callbacks, and the one alarm that the caller of the router has to set."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import NamedTuple

INFINITY = float("inf")

# Takes the time in ms at which it is called.
Action = Callable[[float], None]


class Timer(NamedTuple):
    """A scheduled callback; callbacks that are due at the same time run in the order of scheduling."""

    due_ms: float
    sequence: int
    action: Action


class TimerQueue:
    """Scheduled callbacks, ordered by due time."""

    def __init__(self) -> None:
        self.entries: list[Timer] = []
        self._sequence = 0
        # When the latest alarm fires, and its token; `INFINITY` once it has fired.
        self.alarm_at_ms = INFINITY
        self.token = 0

    def schedule(self, due_ms: float, action: Action) -> None:
        """Schedule `action` to be called at `due_ms` or later, with the current time."""
        self._sequence += 1
        heappush(self.entries, Timer(due_ms, self._sequence, action))

    def run_due(self, now: float) -> None:
        """Call all actions that are due, including those that become due during the calls."""
        entries = self.entries
        while entries and entries[0][0] <= now:
            heappop(entries).action(now)

    def alarm_fired(self, token: int) -> None:
        """Note that an alarm has fired; one that was replaced by an earlier alarm is ignored."""
        if token == self.token:
            self.alarm_at_ms = INFINITY

    def next_alarm(self) -> float | None:
        """The time of a new alarm with the token `token`, or None if the current one fires in time."""
        if not self.entries or self.entries[0][0] >= self.alarm_at_ms:
            return None
        self.token += 1
        self.alarm_at_ms = self.entries[0][0]
        return self.alarm_at_ms
