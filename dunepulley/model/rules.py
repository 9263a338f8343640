"""Checks the four guarantees of a dispatcher against the events of a run, independently of its decisions.

No request is lost, no effect happens twice, draining servers receive no attempts, and no server is overloaded
while it warms up.
"""

from __future__ import annotations

from collections import Counter, deque
from typing import Any, NamedTuple, Protocol

from dunepulley.model.scenario import RequestClass, Scenario
from dunepulley.routing.events import EndpointState
from dunepulley.routing.settings import Idempotency


class ObservedServer(Protocol):
    """The attributes of a server that the rules need, in a simulation or in a record of the load tool."""

    name: str
    zone: str
    cell: str
    started_ms: float
    speed: float
    slots: int
    factors: dict[str, float]


# An answer may arrive later than the deadline by a network delay and a timer tick.
ANSWER_SLACK_MS = 50.0
# How many violations of each rule are reported in full.
MAX_REPORTED = 5


class Execution(NamedTuple):
    """The start of a request's execution at a server, at a time in ms."""

    at: float
    server: ObservedServer


class Arrival(NamedTuple):
    """Work that arrived at a server, at a time in ms."""

    at: float
    work: float


class Rules:
    """Receives the events of a run, and lists violations of the rules in `violations`.

    All times are in ms of the same clock. Requests, dispatchers and servers are identified by their ids.
    """

    def __init__(self, scenario: Scenario, slack_ms: float = ANSWER_SLACK_MS) -> None:
        self.scenario, self.slack_ms = scenario, slack_ms
        self.violations: list[str] = []
        self.counts: Counter[str] = Counter()
        self.deadlines: dict[str, float] = {}
        self.answered: set[str] = set()
        self.executions: dict[str, list[Execution]] = {}
        # Since when a dispatcher has known that a server is not ready, by dispatcher and server.
        self.notified: dict[tuple[Any, str], float] = {}
        self.sent_warming_up: dict[str, deque[Arrival]] = {}

    def report_violation(self, rule: str, text: str) -> None:
        """Count a violation of a rule, and report the first few."""
        self.counts[rule] += 1
        if self.counts[rule] <= MAX_REPORTED:
            self.violations.append(f"{rule}: {text}")

    # ---------------------------------------------------------------- no request is lost

    def request_accepted(self, now: float, request_id: str, timeout_ms: float) -> None:
        """Record that a running dispatcher has accepted a request."""
        self.deadlines[request_id] = now + timeout_ms

    def request_answered(self, now: float, request_id: str) -> None:
        """Record a request's final answer."""
        if request_id in self.answered:
            self.report_violation("lost", f"{request_id} was answered twice")
        elif now > self.deadlines[request_id] + self.slack_ms:
            late_ms = now - self.deadlines[request_id]
            self.report_violation("lost", f"{request_id} was answered {late_ms:.0f} ms after its deadline")
        self.answered.add(request_id)

    def finish(self, now: float) -> None:
        """Report the requests that should have been answered by the end of the run and were not."""
        for request_id, deadline in self.deadlines.items():
            if request_id not in self.answered and deadline + self.slack_ms < now:
                self.report_violation("lost", f"{request_id} was never answered")

    # ---------------------------------------------------------------- no effect twice

    def attempt_started(
        self, now: float, request_id: str, request_class: RequestClass, server: ObservedServer
    ) -> None:
        """Record that a request has started to run at a server."""
        executions = self.executions.setdefault(request_id, [])
        executions.append(Execution(now, server))
        if len(executions) == 1 or request_class.effect == Idempotency.IDEMPOTENT:
            return
        started_at, first_server = executions[0]
        if request_class.effect == Idempotency.NON_IDEMPOTENT:
            text = f"{request_id}, which is not idempotent, ran at {first_server.name} and {server.name}"
            self.report_violation("twice", text)
        elif now - started_at > request_class.window_ms:
            text = f"{request_id} ran again {now - started_at:.0f} ms later, after its key expired"
            self.report_violation("twice", text)
        elif request_class.group != "all" and getattr(first_server, request_class.group) != getattr(
            server, request_class.group
        ):
            self.report_violation("twice", f"{request_id} ran again in another {request_class.group}")

    # ---------------------------------------------------------------- no attempts to draining servers

    def record_state(self, now: float, dispatcher: Any, server: str, state: str) -> None:
        """Record that a dispatcher was notified of a server's state."""
        if state == EndpointState.READY:
            self.notified.pop((dispatcher, server), None)
        else:
            self.notified.setdefault((dispatcher, server), now)

    def attempt_sent(self, now: float, dispatcher: Any, server: str) -> None:
        """Record that a dispatcher sends an attempt."""
        notified = self.notified.get((dispatcher, server))
        if notified is not None and now > notified + self.scenario.drain_grace_ms:
            text = f"{dispatcher} sent to {server} {now - notified:.0f} ms after it was notified of the drain"
            self.report_violation("drains", text)

    # ---------------------------------------------------------------- no overload of servers that warm up

    def attempt_arrived(self, now: float, server: ObservedServer, work: float) -> None:
        """Record that an attempt has arrived at a server."""
        cold_ms = self.scenario.cold_s * 1000.0
        if server.started_ms <= 0.0 or now - server.started_ms >= cold_ms:
            return
        sent = self.sent_warming_up.setdefault(server.name, deque())
        sent.append(Arrival(now, work))
        while sent[0].at < now - self.scenario.fall_ms:
            sent.popleft()
        load = sum([arrival.work for arrival in sent])
        # Other programs on the server's machine do not count: dispatchers are not informed of them.
        capacity = server.speed * server.factors.get("cold", 1.0) * server.slots * self.scenario.fall_ms
        if load > self.scenario.fall_multiple * capacity:
            self.report_violation("cold", f"{server.name} received {load / capacity:.1f} times its capacity")
            sent.clear()
