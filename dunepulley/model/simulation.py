"""A scenario in simulated time: dispatchers with a router each, servers, endpoint lists and disturbances."""

from __future__ import annotations

import functools
from collections.abc import Callable
from typing import Any

import numpy as np

from dunepulley.model.attempts import Attempts
from dunepulley.model.disturbances import DisturbanceSchedule, ServerChange
from dunepulley.model.endpoint_lists import EndpointLists
from dunepulley.model.plans import SimulatedAgents
from dunepulley.model.reported_load import ReportedLoad
from dunepulley.model.results import Answer, Results, SimulatedRequest, wasted_ratio
from dunepulley.model.rules import Rules
from dunepulley.model.scenario import COMMON_PLAN, RequestClass, Scenario, router_settings, zone_of
from dunepulley.model.server import ModelServer
from dunepulley.model.simulated_time import ScheduledCall, SimulatedTime
from dunepulley.model.traffic import PlannedRequest, plan_requests, spread_out
from dunepulley.routing.commands import (
    CancelAttempt,
    CheckHealth,
    Fail,
    Reject,
    SendGossip,
    SetTimer,
    StartAttempt,
    WriteLog,
)
from dunepulley.routing.events import (
    AttemptResult,
    EndpointState,
    GossipReceived,
    HealthCheckEnded,
    RequestArrived,
    TimerFired,
)
from dunepulley.routing.router import Router

# Each part of a scenario draws from a random stream of its own, so that runs with different routing decisions
# have the same traffic and disturbances.
STREAMS = ("arrivals", "works", "ways", "reports", "speeds", "troubles", "heavy")
# Distance between the router seeds of two runs, so that they do not overlap.
SEEDS_PER_SCENARIO = 1009


def make_servers(scenario: Scenario, time: SimulatedTime, rng: np.random.Generator) -> dict[str, ModelServer]:
    """Return the servers of a scenario by name, with speeds drawn for each kind and each server."""
    kind_speeds = spread_out(rng.normal(0.0, 1.0, scenario.kinds), scenario.kind_cv)
    speeds = spread_out(rng.normal(0.0, 1.0, scenario.workers), scenario.speed_cv)
    servers = {}
    for number in range(scenario.workers):
        kind = number % scenario.kinds
        servers[f"w{number}"] = ModelServer(
            timeline=time,
            name=f"w{number}",
            zone=zone_of(scenario, number, scenario.workers),
            kind=f"k{kind}",
            cell=str(number % scenario.cells),
            slots=scenario.slots,
            max_queue=scenario.queue,
            speed=float(speeds[number] * kind_speeds[kind]),
        )
    return servers


class Simulation:
    """One run of a scenario with one seed.

    `make_router` builds the router of a dispatcher from a seed, its settings and the time in ms; `settings`
    override those of the scenario.
    """

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        make_router: Callable[[int, dict[str, Any], float], Router] = Router,
        settings: dict[str, Any] | None = None,
    ) -> None:
        self.scenario = scenario
        self.time = SimulatedTime()
        self.start_ms = self.time.now
        self.rules = Rules(scenario)
        self.results = Results(scenario)
        children = np.random.SeedSequence(seed).spawn(len(STREAMS))
        streams = [np.random.default_rng(child) for child in children]
        self.rng = dict(zip(STREAMS, streams, strict=True))
        self.servers = make_servers(scenario, self.time, self.rng["speeds"])
        self.unresponsive: set[str] = set()
        self.reports = ReportedLoad(scenario, self.rng["reports"])
        self.disturbances = DisturbanceSchedule(scenario, self.time, self.servers, self.rng["troubles"])
        self.planned_requests: list[PlannedRequest] = []
        self.requests: dict[str, SimulatedRequest] = {}
        self.dispatcher_zones = [
            zone_of(scenario, dispatcher, scenario.dispatchers) for dispatcher in range(scenario.dispatchers)
        ]
        self.routers: list[Router] = []
        self.timers: list[ScheduledCall | None] = [None] * scenario.dispatchers
        self.attempts = Attempts(self)
        self.lists = EndpointLists(self)
        self.plans = SimulatedAgents(self) if scenario.way == COMMON_PLAN else None
        for dispatcher in range(scenario.dispatchers):
            merged = router_settings(scenario, dispatcher) | (settings or {})
            self.routers.append(
                make_router(int(seed) * SEEDS_PER_SCENARIO + dispatcher, merged, self.time.now)
            )
        self._begin()

    def _begin(self) -> None:
        """Send the initial endpoint lists, and schedule the traffic, disturbances and plans."""
        self.lists.send_initial_lists()
        work_per_ms = sum([server.speed for server in self.servers.values()]) * self.scenario.slots
        self.planned_requests = plan_requests(self.scenario, self.rng, work_per_ms)
        for request in self.planned_requests:
            arrive = functools.partial(self._arrive, *request)
            self.time.at(self.start_ms + request.at, arrive)
        self.disturbances.schedule(lambda change, name: self.SERVER_CHANGES[change](self, name))
        if self.plans is not None:
            self.plans.start()

    # ---------------------------------------------------------------- dispatchers

    def _arrive(
        self, request_id: str, at: float, request_class: RequestClass, work: float, dispatcher: int
    ) -> None:
        """Pass a new request to its dispatcher."""
        now = self.time.now
        deadline = min(
            now + request_class.due_ms + request_class.stretch * work, now + request_class.expiry_ms
        )
        self.requests[request_id] = SimulatedRequest(
            request_id, now, request_class, work, deadline, dispatcher
        )
        self.results.possible_payoff += request_class.payoff
        self.rules.request_accepted(now, request_id, request_class.expiry_ms)
        expected_ms = work if self.scenario.hints else 0.0
        if self.plans is not None:
            self.plans.work_slot_ms[dispatcher] += work
        event = RequestArrived(
            request_id, request_class.name, request_class.expiry_ms, expected_ms=expected_ms
        )
        self.handle(dispatcher, event)

    def handle(self, dispatcher: int, event: Any) -> None:
        """Pass an event to a dispatcher's router, and carry out the commands that it returns."""
        self.results.counts["events"] += 1
        for command in self.routers[dispatcher].handle(self.time.now, [event]):
            self.COMMAND_HANDLERS[type(command)](self, dispatcher, command)

    def _after(self, delay_ms: float, action: Callable[[], None]) -> ScheduledCall:
        return self.time.at(self.time.now + delay_ms, action)

    def _handle_after(self, delay_ms: float, dispatcher: int, event: Any) -> None:
        self._after(delay_ms, lambda: self.handle(dispatcher, event))

    def _reject(self, dispatcher: int, command: Reject) -> None:
        self.answer(self.requests[command.request_id], Answer.REJECTED)

    def _fail(self, dispatcher: int, command: Fail) -> None:
        self.answer(self.requests[command.request_id], Answer.FAILED)

    def _set_timer(self, dispatcher: int, command: SetTimer) -> None:
        timer = self.timers[dispatcher]
        if timer is not None:
            timer.cancel()
        event = TimerFired(command.token)
        self.timers[dispatcher] = self._after(command.delay_ms, lambda: self.handle(dispatcher, event))

    def _check_health(self, dispatcher: int, command: CheckHealth) -> None:
        server = self.servers[command.endpoint_id]
        delay = self.attempts.delay_ms(dispatcher, server) + self.attempts.delay_ms(dispatcher, server)
        report = self.report(server) if server.is_up else None
        result = AttemptResult.COMPLETED if server.is_up else AttemptResult.CONNECT_FAILED
        self._handle_after(delay, dispatcher, HealthCheckEnded(server.name, result, delay, report))

    def _send_gossip(self, dispatcher: int, command: SendGossip) -> None:
        event = GossipReceived(dispatcher, command.is_aggregate, command.slots_held)
        for recipient in range(self.scenario.dispatchers) if command.recipient < 0 else (command.recipient,):
            if recipient != dispatcher:
                self._handle_after(self.scenario.cross_ms, recipient, event)

    def _ignore(self, dispatcher: int, command: WriteLog) -> None:
        pass

    COMMAND_HANDLERS = {
        StartAttempt: lambda self, dispatcher, command: self.attempts.start(dispatcher, command),
        CancelAttempt: lambda self, dispatcher, command: self.attempts.cancel(dispatcher, command),
        Reject: _reject,
        Fail: _fail,
        SetTimer: _set_timer,
        CheckHealth: _check_health,
        SendGossip: _send_gossip,
        WriteLog: _ignore,
    }

    def answer(self, request: SimulatedRequest, answer: Answer) -> None:
        """Record a request's final answer."""
        self.rules.request_answered(self.time.now, request.request_id)
        request.answer = answer
        self.results.record_answer(self.time.now, request, answer)

    def report(self, server: ModelServer) -> dict[str, float]:
        """Return the load report that a server attaches to an answer now."""
        return self.reports.current(self.time.now, server, self.disturbances.reports_late_ms)

    # ---------------------------------------------------------------- state changes of servers

    def _drain(self, name: str) -> None:
        self.lists.change_state(name, EndpointState.DRAINING)

    def _stop_responding(self, name: str) -> None:
        """Make a server unresponsive: its jobs are lost, and the endpoint list does not change."""
        self.unresponsive.add(name)
        self.servers[name].stop_responding()

    def _respond_again(self, name: str) -> None:
        self.unresponsive.discard(name)
        self._restart(name)

    def _crash(self, name: str) -> None:
        self.servers[name].crash()
        self.lists.change_state(name, EndpointState.REMOVED)

    def _restart(self, name: str) -> None:
        """Restart a server, which then warms up."""
        server = self.servers[name]
        server.start()
        self.reports.forget(name)
        self.lists.change_state(name, EndpointState.READY)
        server.warm_up(self.scenario.cold_from, self.scenario.cold_s * 1000.0)

    SERVER_CHANGES = {
        ServerChange.STOPS_RESPONDING: _stop_responding,
        ServerChange.RESPONDS_AGAIN: _respond_again,
        ServerChange.CRASHES: _crash,
        ServerChange.RESTARTS: _restart,
        ServerChange.STARTS_DRAINING: _drain,
    }

    # ---------------------------------------------------------------- the run

    def run(self) -> dict[str, Any]:
        """Run the scenario to its end, and return the results."""
        longest = max([request_class.expiry_ms for request_class in self.scenario.categories])
        self.time.run(self.start_ms + self.scenario.seconds * 1000.0 + longest + 1000.0)
        self.rules.finish(self.time.now)
        return {
            "payoff": self.results.payoff(),
            "items": len(self.requests),
            "wasted": wasted_ratio(self.servers.values(), self.requests.values()),
            "answered after ms": self.results.latency_percentiles(),
            "broken": self.rules.violations,
            "crossed": self.results.cross_zone_ratio(),
            **({} if self.plans is None else {"plans": self.plans.summary()}),
            **self.results.counts,
        }
