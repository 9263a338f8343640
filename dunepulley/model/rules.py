"""The four rules of a dispatcher, checked from what happens in a fleet, not from what was decided.

No request is lost, no effect happens twice, drains are kept, and no worker that warms up is overloaded.
"""

from __future__ import annotations

from collections import Counter, deque
from typing import Any, NamedTuple, Protocol

from dunepulley.model.scenario import RequestClass, Scenario
from dunepulley.routing.events import EndpointState
from dunepulley.routing.settings import Idempotency


class ObservedServer(Protocol):
    """What the rules look at of a worker, of the model's or of a record's."""

    name: str
    zone: str
    cell: str
    since: float
    speed: float
    slots: int
    factors: dict[str, float]


# A client's clock and a dispatcher's answer may differ by the way and a tick.
ANSWER_SLACK_MS = 50.0
# Of each rule so many violations are reported in full.
MAX_REPORTED = 5


class Run(NamedTuple):
    """A request began to run at a worker, at a moment in ms."""

    at: float
    server: ObservedServer


class Arrival(NamedTuple):
    """Work that arrived at a worker, at a moment in ms."""

    at: float
    work: float


class Rules:
    """Told of everything that happens in a fleet; `broken` says what went against a rule.

    All moments are in ms of one clock. Requests and dispatchers are known by their ids.
    """

    def __init__(self, scenario: Scenario, slack_ms: float = ANSWER_SLACK_MS) -> None:
        self.scenario, self.slack_ms = scenario, slack_ms
        self.broken: list[str] = []
        self.counts: Counter[str] = Counter()
        self.deadlines: dict[str, float] = {}
        self.answered: set[str] = set()
        self.runs: dict[str, list[Run]] = {}
        # Since when a dispatcher knows that a worker is not ready, by both.
        self.notified: dict[tuple[Any, str], float] = {}
        self.sent_warming_up: dict[str, deque[Arrival]] = {}

    def report_violation(self, rule: str, text: str) -> None:
        """Count a violation of a rule, and report the first few."""
        self.counts[rule] += 1
        if self.counts[rule] <= MAX_REPORTED:
            self.broken.append(f"{rule}: {text}")

    # ---------------------------------------------------------------- no request is lost

    def request_accepted(self, now: float, request_id: str, timeout_ms: float) -> None:
        """A running dispatcher has accepted a request."""
        self.deadlines[request_id] = now + timeout_ms

    def request_answered(self, now: float, request_id: str) -> None:
        """A request has a final answer."""
        if request_id in self.answered:
            self.report_violation("lost", f"{request_id} was answered twice")
        elif now > self.deadlines[request_id] + self.slack_ms:
            late_ms = now - self.deadlines[request_id]
            self.report_violation("lost", f"{request_id} was answered {late_ms:.0f} ms after its expiry")
        self.answered.add(request_id)

    def finish(self, now: float) -> None:
        """The day is over: what has no answer by now and should have one is lost."""
        for request_id, deadline in self.deadlines.items():
            if request_id not in self.answered and deadline + self.slack_ms < now:
                self.report_violation("lost", f"{request_id} was never answered")

    # ---------------------------------------------------------------- no effect twice

    def attempt_started(
        self, now: float, request_id: str, category: RequestClass, server: ObservedServer
    ) -> None:
        """A request begins to run somewhere."""
        runs = self.runs.setdefault(request_id, [])
        runs.append(Run(now, server))
        if len(runs) == 1 or category.effect == Idempotency.IDEMPOTENT:
            return
        first, where = runs[0]
        if category.effect == Idempotency.NON_IDEMPOTENT:
            text = f"{request_id}, which is exclusive, ran at {where.name} and {server.name}"
            self.report_violation("twice", text)
        elif now - first > category.window_ms:
            text = f"{request_id} ran again {now - first:.0f} ms later, after its window"
            self.report_violation("twice", text)
        elif category.group != "all" and getattr(where, category.group) != getattr(server, category.group):
            self.report_violation("twice", f"{request_id} ran again in another {category.group}")

    # ---------------------------------------------------------------- drains are kept

    def state_told(self, now: float, dispatcher: Any, server: str, state: str) -> None:
        """A dispatcher is told a worker's state."""
        if state == EndpointState.READY:
            self.notified.pop((dispatcher, server), None)
        else:
            self.notified.setdefault((dispatcher, server), now)

    def attempt_sent(self, now: float, dispatcher: Any, server: str) -> None:
        """A dispatcher sends an attempt."""
        notified = self.notified.get((dispatcher, server))
        if notified is not None and now > notified + self.scenario.drain_grace_ms:
            text = f"{dispatcher} sent to {server} {now - notified:.0f} ms after it was told"
            self.report_violation("drains", text)

    # ---------------------------------------------------------------- no worker that warms up is overloaded

    def attempt_arrived(self, now: float, server: ObservedServer, work: float) -> None:
        """An attempt arrives at a worker."""
        cold_ms = self.scenario.cold_s * 1000.0
        if server.since <= 0.0 or now - server.since >= cold_ms:
            return
        sent = self.sent_warming_up.setdefault(server.name, deque())
        sent.append(Arrival(now, work))
        while sent[0].at < now - self.scenario.fall_ms:
            sent.popleft()
        load = sum([arrival.work for arrival in sent])
        # Other programs on its machine are another matter: nobody is told of them.
        able = server.speed * server.factors.get("cold", 1.0) * server.slots * self.scenario.fall_ms
        if load > self.scenario.fall_multiple * able:
            self.report_violation("cold", f"{server.name} was sent {load / able:.1f} times what it can do")
            sent.clear()
