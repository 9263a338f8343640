"""A worker: slots, a queue in order, and a speed that changes. It asks its timeline, simulated or real."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

# A cold worker's speed is set anew so often.
WARMING_MS = 500.0


class Timeline(Protocol):
    """What tells the time, in ms, and calls when a moment has come."""

    now: float

    def at(self, when: float, what: Callable[[], None]) -> Any: ...


class Job:
    """An attempt at a worker: `tell` is called with 'began', 'finished', 'lost' or 'dropped'."""

    __slots__ = ("request_id", "left", "slots", "begun", "since", "alarm", "over", "tell")

    def __init__(self, request_id: str, work: float, slots: float, tell: Callable[[str], None]) -> None:
        self.request_id = request_id
        self.left = work
        self.slots = slots
        self.begun = -1.0
        self.since = 0.0  # until when `left` is counted
        self.alarm: Any = None
        self.over = False
        self.tell = tell


@dataclass(eq=False)
class ModelServer:
    """Runs what it has slots for, at its speed; the rest waits in order, and beyond that is rejected.

    `most` is how many may wait, and `speed` the work done in a ms by one slot.
    """

    timeline: Timeline
    name: str
    zone: str
    kind: str
    cell: str
    slots: int
    most: int
    speed: float
    # What multiplies the speed now, by cause.
    factors: dict[str, float] = field(default_factory=dict, init=False)
    up: bool = field(default=True, init=False)
    since: float = field(default=0.0, init=False)
    used: float = field(default=0.0, init=False)
    running: list[Job] = field(default_factory=list, init=False)
    waiting: deque[Job] = field(default_factory=deque, init=False)
    finished: deque[float] = field(default_factory=deque, init=False)
    done_work: float = field(default=0.0, init=False)

    def pace(self) -> float:
        """Work done in a ms by one slot."""
        pace = self.speed
        for factor in self.factors.values():
            pace *= factor
        return pace

    def set_factor(self, cause: str, factor: float) -> None:
        """Have a cause change the speed, for what runs, too; 1 takes it away."""
        for job in self.running:
            self._count(job)
        if factor == 1.0:
            self.factors.pop(cause, None)
        else:
            self.factors[cause] = factor
        for job in self.running:
            self._set_alarm(job)

    def offer(self, job: Job) -> bool:
        """Take a job in; False where no place is left."""
        if not self.up or len(self.waiting) >= self.most:
            return False
        self.waiting.append(job)
        self._fill()
        return True

    def drop(self, job: Job, running: bool) -> bool:
        """Give a job up: one that waits, or, where that can be, one that runs. Whether it is gone."""
        if job.over:
            return True
        if job.begun < 0.0:
            self.waiting.remove(job)
        elif not running:
            return False
        else:
            self._end(job)
        job.over = True
        self._fill()
        return True

    def crash(self) -> None:
        """Lose all that is here."""
        self.up = False
        lost = [*self.running, *self.waiting]
        for job in self.running:
            if job.alarm is not None:
                job.alarm.cancel()
        self.running, self.used = [], 0.0
        self.waiting.clear()
        self.finished.clear()
        for job in lost:
            job.over = True
            job.tell("lost")

    def silence(self) -> None:
        """Lose all that is here, and tell nobody."""
        for job in (*self.running, *self.waiting):
            job.tell = lambda what: None
        self.crash()

    def start(self) -> None:
        """Be there, with nothing in hand."""
        self.up, self.since = True, self.timeline.now

    def warm_up(self, cold_from: float, cold_ms: float) -> None:
        """Begin with a part of the speed, and have all of it so many ms after the start."""
        since = self.since

        def step() -> None:
            if self.since != since:
                return
            part = (self.timeline.now - since) / cold_ms
            self.set_factor("cold", min(1.0, cold_from + (1.0 - cold_from) * part))
            if part < 1.0:
                self.timeline.at(self.timeline.now + WARMING_MS, step)

        step()

    def report(self) -> dict[str, float]:
        """What it would tell of itself now."""
        now = self.timeline.now
        while self.finished and self.finished[0] < now - 2000.0:
            self.finished.popleft()
        free = max(0.0, self.slots - self.used)
        return {"rate": len(self.finished) / 2.0, "queue": float(len(self.waiting)), "x0": free}

    def _fill(self) -> None:
        while self.up and self.waiting and self.used + self._room(self.waiting[0]) <= self.slots:
            job = self.waiting.popleft()
            self.used += self._room(job)
            job.begun = job.since = self.timeline.now
            self.running.append(job)
            self._set_alarm(job)
            job.tell("began")

    def _room(self, job: Job) -> float:
        return min(job.slots, float(self.slots))

    def _count(self, job: Job) -> None:
        now = self.timeline.now
        done = min(job.left, (now - job.since) * self.pace())
        job.left -= done
        self.done_work += done * job.slots
        job.since = now

    def _set_alarm(self, job: Job) -> None:
        if job.alarm is not None:
            job.alarm.cancel()
        wait = job.left / max(1e-9, self.pace())
        job.alarm = self.timeline.at(self.timeline.now + wait, lambda: self._finish(job))

    def _finish(self, job: Job) -> None:
        self._end(job)
        job.over = True
        self.finished.append(self.timeline.now)
        job.tell("finished")
        self._fill()

    def _end(self, job: Job) -> None:
        self._count(job)
        self.running.remove(job)
        self.used -= self._room(job)
        if job.alarm is not None:
            job.alarm.cancel()
            job.alarm = None
