"""A server model: slots, a FIFO queue and a variable speed, on a simulated or a real timeline."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

# How often the speed of a server that warms up is updated.
WARMING_MS = 500.0


class Timeline(Protocol):
    """A clock in ms that can schedule calls."""

    now: float

    def at(self, when: float, action: Callable[[], None]) -> Any: ...


class Job:
    """An attempt at a server; `notify` is called with 'began', 'finished' or 'lost'.

    `work` is the run time in ms of one slot of a server of speed 1, and `slots` the number of slots used.
    """

    __slots__ = (
        "request_id",
        "remaining_work",
        "slots",
        "started_at",
        "progress_at",
        "completion_timer",
        "ended",
        "notify",
    )

    def __init__(self, request_id: str, work: float, slots: float, notify: Callable[[str], None]) -> None:
        self.request_id = request_id
        self.remaining_work = work
        self.slots = slots
        self.started_at = -1.0
        self.progress_at = 0.0  # the time up to which `remaining_work` is computed
        self.completion_timer: Any = None
        self.ended = False
        self.notify = notify


@dataclass(eq=False)
class ModelServer:
    """Runs jobs in its slots, queues further jobs in order, and rejects jobs once the queue is full.

    `max_queue` is the maximum length of the queue, and `speed` the work that one slot does per ms.
    """

    timeline: Timeline
    name: str
    zone: str
    kind: str
    cell: str
    slots: int
    max_queue: int
    speed: float
    # The factors that apply to the speed now, by cause.
    factors: dict[str, float] = field(default_factory=dict, init=False)
    is_up: bool = field(default=True, init=False)
    started_ms: float = field(default=0.0, init=False)
    used_slots: float = field(default=0.0, init=False)
    running: list[Job] = field(default_factory=list, init=False)
    queued: deque[Job] = field(default_factory=deque, init=False)
    finished: deque[float] = field(default_factory=deque, init=False)
    completed_work: float = field(default=0.0, init=False)

    def current_speed(self) -> float:
        """Return the work that one slot does per ms now."""
        current_speed = self.speed
        for factor in self.factors.values():
            current_speed *= factor
        return current_speed

    def set_factor(self, cause: str, factor: float) -> None:
        """Set the factor of a cause on the speed, also for running jobs; a factor of 1 removes the cause."""
        for job in self.running:
            self._record_progress(job)
        if factor == 1.0:
            self.factors.pop(cause, None)
        else:
            self.factors[cause] = factor
        for job in self.running:
            self._schedule_completion(job)

    def offer(self, job: Job) -> bool:
        """Accept a job; returns False where the server is down or its queue is full."""
        if not self.is_up or len(self.queued) >= self.max_queue:
            return False
        self.queued.append(job)
        self._start_queued()
        return True

    def drop(self, job: Job, running: bool) -> bool:
        """Drop a queued job, or with `running` also a running one; returns whether the job has ended."""
        if job.ended:
            return True
        if job.started_at < 0.0:
            self.queued.remove(job)
        elif not running:
            return False
        else:
            self._stop_job(job)
        job.ended = True
        self._start_queued()
        return True

    def crash(self) -> None:
        """Stop the server; all its jobs are lost."""
        self.is_up = False
        lost = [*self.running, *self.queued]
        for job in self.running:
            if job.completion_timer is not None:
                job.completion_timer.cancel()
        self.running, self.used_slots = [], 0.0
        self.queued.clear()
        self.finished.clear()
        for job in lost:
            job.ended = True
            job.notify("lost")

    def stop_responding(self) -> None:
        """Stop the server; all its jobs are lost without notification."""
        for job in (*self.running, *self.queued):
            job.notify = lambda event: None
        self.crash()

    def start(self) -> None:
        """Start the server, without any jobs."""
        self.is_up, self.started_ms = True, self.timeline.now

    def warm_up(self, cold_from: float, cold_ms: float) -> None:
        """Raise the speed linearly from the fraction `cold_from` to full speed, `cold_ms` after the start."""
        started_ms = self.started_ms

        def step() -> None:
            if self.started_ms != started_ms:
                return
            fraction = (self.timeline.now - started_ms) / cold_ms
            self.set_factor("cold", min(1.0, cold_from + (1.0 - cold_from) * fraction))
            if fraction < 1.0:
                self.timeline.at(self.timeline.now + WARMING_MS, step)

        step()

    def report(self) -> dict[str, float]:
        """Return the load report of now: finished jobs per second, queue length and free slots."""
        now = self.timeline.now
        while self.finished and self.finished[0] < now - 2000.0:
            self.finished.popleft()
        free = max(0.0, self.slots - self.used_slots)
        return {"rate": len(self.finished) / 2.0, "queue": float(len(self.queued)), "x0": free}

    def _start_queued(self) -> None:
        while self.is_up and self.queued and self.used_slots + self._slots_for(self.queued[0]) <= self.slots:
            job = self.queued.popleft()
            self.used_slots += self._slots_for(job)
            job.started_at = job.progress_at = self.timeline.now
            self.running.append(job)
            self._schedule_completion(job)
            job.notify("began")

    def _slots_for(self, job: Job) -> float:
        return min(job.slots, float(self.slots))

    def _record_progress(self, job: Job) -> None:
        now = self.timeline.now
        done = min(job.remaining_work, (now - job.progress_at) * self.current_speed())
        job.remaining_work -= done
        self.completed_work += done * job.slots
        job.progress_at = now

    def _schedule_completion(self, job: Job) -> None:
        if job.completion_timer is not None:
            job.completion_timer.cancel()
        wait = job.remaining_work / max(1e-9, self.current_speed())
        job.completion_timer = self.timeline.at(self.timeline.now + wait, lambda: self._finish(job))

    def _finish(self, job: Job) -> None:
        self._stop_job(job)
        job.ended = True
        self.finished.append(self.timeline.now)
        job.notify("finished")
        self._start_queued()

    def _stop_job(self, job: Job) -> None:
        self._record_progress(job)
        self.running.remove(job)
        self.used_slots -= self._slots_for(job)
        if job.completion_timer is not None:
            job.completion_timer.cancel()
            job.completion_timer = None
