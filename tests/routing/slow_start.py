"""Simulates dispatchers that send to one endpoint that is warming up, and checks its slow-start budget."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import sqrt
from random import Random
from typing import NamedTuple

from routing_support import release_slots
from support.router_rig import SETTINGS, commands_of, endpoint_entry

from dunepulley.routing.commands import StartAttempt
from dunepulley.routing.events import (
    AttemptEnded,
    AttemptResult,
    AttemptStarted,
    EndpointListUpdate,
    EndpointState,
    Event,
    ListUpdateKind,
    RequestArrived,
    TimerFired,
)
from dunepulley.routing.router import Router

# Start of the simulation in ms; any value well above 0.
START_MS = 1_000_000.0
STEP_MS = 50.0
WINDOW_MS = 1000.0
WARM_UP_MS = 20_000.0
INITIAL_CAPACITY = 0.1
OVERLOAD_MULTIPLE = 4.0
KIND = "box"
# The deadline of every class, as a multiple of the mean work.
DEADLINE_REQUESTS = 8.0


class SentAttempt(NamedTuple):
    """One attempt sent to the endpoint."""

    sent_ms: float
    work_ms: float
    is_notified: bool  # whether its dispatcher had been notified of the endpoint's start


@dataclass(eq=False)
class Process:
    """One process of a dispatcher, and the work of each request that it received."""

    number: int
    router: Router
    work_ms: dict[str, float] = field(default_factory=dict)


class Running(NamedTuple):
    """A running attempt at the endpoint, ordered by its end."""

    end_ms: float
    sequence: int
    process: Process
    event: AttemptEnded


@dataclass
class Fleet:
    """Seeded dispatchers without gossip and one endpoint, which is the only target of all requests."""

    dispatchers: int
    slots: float = 2.0
    seed: int = 1
    mean_work_ms: float = 100.0
    spread: float = 0.0  # of the work, as a fraction of the mean
    hints: bool = True
    demand: float = 2.0  # of all dispatchers, as a multiple of what the endpoint can serve when warm
    settings: dict[str, object] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.now = START_MS
        self.started_ms = 0.0
        self.sent: list[SentAttempt] = []
        self.sequence = 0
        self.running: list[Running] = []
        # The latest start of the endpoint that each dispatcher was notified of.
        self.notified_ms: dict[int, float] = {}
        self.members: list[list[Process]] = [[self.new_process(number)] for number in range(self.dispatchers)]

    def new_process(self, number: int, remembers: bool = True) -> Process:
        """A process that starts now; if it `remembers`, it knows the slots and the running times."""
        settings = SETTINGS | {
            "balancers": float(self.dispatchers),
            "me": float(number),
            "rules.coldFrom": INITIAL_CAPACITY,
            "rules.coldMs": WARM_UP_MS,
            "rules.fallMultiple": OVERLOAD_MULTIPLE,
            "rules.tipAfterMs": WINDOW_MS,
        }
        for class_number in range(3):
            settings[f"categories.{class_number}.expiryMs"] = DEADLINE_REQUESTS * self.mean_work_ms
        router = Router(self.random.randrange(2**32), settings | self.settings, self.now)
        if remembers:
            router.endpoints.slots_by_kind[KIND] = self.slots
            for request_class in router.classes.by_name.values():
                for _ in range(30):
                    request_class.record_run(self.work_ms())
        return Process(number, router)

    def work_ms(self) -> float:
        """The random work of one request, in ms."""
        return self.mean_work_ms * self.random.uniform(1.0 - self.spread, 1.0 + self.spread)

    def start_endpoint(self) -> None:
        """Let the endpoint start or restart now."""
        self.started_ms = self.now

    def notify(self, *numbers: int) -> None:
        """Notify dispatchers (all, if no number is given) of the endpoint's current start."""
        for number in numbers or range(self.dispatchers):
            for process in self.members[number]:
                self.notify_one(process)
            self.notified_ms[number] = self.started_ms

    def notify_one(self, process: Process, state: str = EndpointState.READY) -> None:
        """Notify one process of the endpoint's current start and state."""
        listed = endpoint_entry(0, since=self.started_ms, kind=KIND, state=state)
        self.feed(process, EndpointListUpdate(ListUpdateKind.FULL, (listed,)))

    def restart(self, *numbers: int) -> None:
        """Restart dispatchers; the new processes know nothing but the endpoint list."""
        for number in numbers:
            self.members[number] = [self.new_process(number, remembers=False)]
        self.notify(*numbers)

    def run(self, duration_ms: float, each: Callable[[], None] = lambda: None) -> None:
        """Simulate a period with requests at every dispatcher; `each` is called at each step."""
        until = self.now + duration_ms
        while self.now < until:
            self.now += STEP_MS
            each()
            self.end_attempts()
            for processes in self.members:
                for process in processes:
                    self.feed(process, TimerFired(process.router.timers.token))
            rate = self.demand * self.slots * STEP_MS / self.mean_work_ms
            for _ in range(int(rate) + (self.random.random() < rate % 1.0)):
                processes = self.random.choice(self.members)
                self.arrive(self.random.choice(processes))

    def arrive(self, process: Process) -> None:
        """Let one request arrive."""
        self.sequence += 1
        work_ms = self.work_ms()
        hint_ms = work_ms if self.hints else 0.0
        request_id = f"r{self.sequence}"
        process.work_ms[request_id] = work_ms
        timeout_ms = DEADLINE_REQUESTS * self.mean_work_ms
        self.feed(process, RequestArrived(request_id, "look", timeout_ms, expected_ms=hint_ms))

    def end_attempts(self) -> None:
        """End attempts whose work is done; the endpoint never fails, so that overloads become visible."""
        done = []
        while self.running and self.running[0].end_ms <= self.now:
            done.append(heappop(self.running))
        for _, _, process, event in done:
            if process in self.members[process.number]:
                self.feed(process, event)

    def feed(self, process: Process, event: Event) -> None:
        """Pass one event to a process and record the attempts that it sends."""
        router = process.router
        for attempt in commands_of(StartAttempt, router.handle(self.now, [event])):
            request_id, endpoint_id, *_ = attempt
            work_ms = process.work_ms[request_id]
            is_notified = self.notified_ms.get(process.number) == self.started_ms
            self.sent.append(SentAttempt(self.now, work_ms, is_notified))
            ended = AttemptEnded(request_id, 0, AttemptResult.COMPLETED, endpoint_id, answered=True)
            self.sequence += 1
            heappush(self.running, Running(self.now + work_ms, self.sequence, process, ended))
            router.handle(self.now, [AttemptStarted(request_id, 0)])
            # Only the budget should limit attempts, not the slots that they hold.
            release_slots(router, router.endpoints.all[0])

    def budget(self, window_end_ms: float) -> float:
        """How many requests of mean work the endpoint can serve in a window, with random variation."""
        age_ms = window_end_ms - self.started_ms
        capacity = min(1.0, INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * age_ms / WARM_UP_MS)
        allowed = OVERLOAD_MULTIPLE * capacity * self.slots * WINDOW_MS / self.mean_work_ms
        return allowed + (3.0 * sqrt(allowed) + 3.0 if allowed < 30.0 else 2.0 * sqrt(allowed) + 2.0)

    def overloads(self) -> list[tuple[float, float, float]]:
        """The windows with more than the budget, of which notified dispatchers sent more than two thirds.

        Each is (ms since the endpoint's start, requests sent, budget), in requests of mean work.
        """
        found = []
        for last in self.sent:
            if not self.started_ms <= last.sent_ms < self.started_ms + WARM_UP_MS:
                continue
            window = [
                attempt for attempt in self.sent if last.sent_ms - WINDOW_MS < attempt.sent_ms <= last.sent_ms
            ]
            window = [attempt for attempt in window if attempt.sent_ms >= self.started_ms]
            total_ms = sum([attempt.work_ms for attempt in window])
            notified_ms = sum([attempt.work_ms for attempt in window if attempt.is_notified])
            requests, budget = total_ms / self.mean_work_ms, self.budget(last.sent_ms)
            if requests > budget and notified_ms > 2.0 / 3.0 * total_ms:
                found.append((last.sent_ms - self.started_ms, requests, budget))
        return found

    def received(self) -> int:
        """How many attempts the endpoint received while it was warming up."""
        end_ms = self.started_ms + WARM_UP_MS
        return sum([self.started_ms <= attempt.sent_ms < end_ms for attempt in self.sent])
