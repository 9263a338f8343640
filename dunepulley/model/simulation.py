"""A fleet for a day in simulated time: dispatchers with a router each, workers, their list, and troubles."""

from __future__ import annotations

import functools
from collections.abc import Callable
from typing import Any

import numpy as np

from dunepulley.model.attempts import Attempts
from dunepulley.model.endpoint_lists import EndpointLists
from dunepulley.model.plans import SimulatedAgents
from dunepulley.model.reported_load import ReportedLoad
from dunepulley.model.results import Answer, Results, SimulatedRequest, wasted_part
from dunepulley.model.rules import Rules
from dunepulley.model.scenario import COMMON, RequestClass, Scenario, settings_of, zone_of
from dunepulley.model.server import ModelServer
from dunepulley.model.simulated_time import ScheduledCall, SimulatedTime
from dunepulley.model.traffic import PlannedRequest, plan_requests, spread_out
from dunepulley.model.troubles import TroubleSchedule, WorkerChange
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

# What is drawn for each part of a day has a stream of its own, so that different decisions see the same day.
STREAMS = ("arrivals", "works", "ways", "reports", "speeds", "troubles", "heavy")
# Seeds of the routers of one day are so far apart from the next day's.
SEEDS_PER_DAY = 1009


def make_workers(
    scenario: Scenario, time: SimulatedTime, draw: np.random.Generator
) -> dict[str, ModelServer]:
    """The workers of a day by name, each of a kind that has a speed of its own."""
    kind_speeds = spread_out(draw.normal(0.0, 1.0, scenario.kinds), scenario.kind_cv)
    speeds = spread_out(draw.normal(0.0, 1.0, scenario.workers), scenario.speed_cv)
    workers = {}
    for number in range(scenario.workers):
        kind = number % scenario.kinds
        workers[f"w{number}"] = ModelServer(
            timeline=time,
            name=f"w{number}",
            zone=zone_of(scenario, number, scenario.workers),
            kind=f"k{kind}",
            cell=str(number % scenario.cells),
            slots=scenario.slots,
            most=scenario.queue,
            speed=float(speeds[number] * kind_speeds[kind]),
        )
    return workers


class Simulation:
    """One day with one seed."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        build: Callable[[int, dict[str, Any], float], Router] = Router,
        settings: dict[str, Any] | None = None,
    ) -> None:
        self.scenario = scenario
        self.time = SimulatedTime()
        self.begin = self.time.now
        self.rules = Rules(scenario)
        self.results = Results(scenario)
        children = np.random.SeedSequence(seed).spawn(len(STREAMS))
        streams = [np.random.default_rng(child) for child in children]
        self.draw = dict(zip(STREAMS, streams, strict=True))
        self.workers = make_workers(scenario, self.time, self.draw["speeds"])
        self.silent: set[str] = set()
        self.reports = ReportedLoad(scenario, self.draw["reports"])
        self.troubles = TroubleSchedule(scenario, self.time, self.workers, self.draw["troubles"])
        self.planned: list[PlannedRequest] = []
        self.requests: dict[str, SimulatedRequest] = {}
        self.homes = [zone_of(scenario, me, scenario.dispatchers) for me in range(scenario.dispatchers)]
        self.routers: list[Router] = []
        self.timers: list[ScheduledCall | None] = [None] * scenario.dispatchers
        self.attempts = Attempts(self)
        self.lists = EndpointLists(self)
        self.plans = SimulatedAgents(self) if scenario.way == COMMON else None
        for me in range(scenario.dispatchers):
            merged = settings_of(scenario, me) | (settings or {})
            self.routers.append(build(int(seed) * SEEDS_PER_DAY + me, merged, self.time.now))
        self._begin()

    def _begin(self) -> None:
        """Tell the first list, and schedule the day's traffic, troubles and plans."""
        self.lists.tell_all()
        work_per_ms = sum([server.speed for server in self.workers.values()]) * self.scenario.slots
        self.planned = plan_requests(self.scenario, self.draw, work_per_ms)
        for request in self.planned:
            arrive = functools.partial(self._arrive, *request)
            self.time.at(self.begin + request.at, arrive)
        self.troubles.schedule(lambda change, name: self.WORKER_CHANGES[change](self, name))
        if self.plans is not None:
            self.plans.start()

    # ---------------------------------------------------------------- dispatchers

    def _arrive(self, request_id: str, at: float, category: RequestClass, work: float, home: int) -> None:
        """A request comes to its dispatcher."""
        now = self.time.now
        due = min(now + category.due_ms + category.stretch * work, now + category.expiry_ms)
        self.requests[request_id] = SimulatedRequest(request_id, now, category, work, due, home)
        self.results.possible_payoff += category.payoff
        self.rules.request_accepted(now, request_id, category.expiry_ms)
        expected_ms = work if self.scenario.hints else 0.0
        if self.plans is not None:
            self.plans.work_slot_ms[home] += work
        event = RequestArrived(request_id, category.name, category.expiry_ms, expected_ms=expected_ms)
        self.handle(home, event)

    def handle(self, me: int, event: Any) -> None:
        """Give a dispatcher an event and carry out what it commands."""
        self.results.counts["events"] += 1
        for command in self.routers[me].handle(self.time.now, [event]):
            self.COMMAND_HANDLERS[type(command)](self, me, command)

    def _after(self, delay_ms: float, action: Callable[[], None]) -> ScheduledCall:
        return self.time.at(self.time.now + delay_ms, action)

    def _handle_after(self, delay_ms: float, me: int, event: Any) -> None:
        self._after(delay_ms, lambda: self.handle(me, event))

    def _reject(self, me: int, command: Reject) -> None:
        self.answer(self.requests[command.request_id], Answer.REJECTED)

    def _fail(self, me: int, command: Fail) -> None:
        self.answer(self.requests[command.request_id], Answer.FAILED)

    def _set_timer(self, me: int, command: SetTimer) -> None:
        timer = self.timers[me]
        if timer is not None:
            timer.cancel()
        event = TimerFired(command.token)
        self.timers[me] = self._after(command.delay_ms, lambda: self.handle(me, event))

    def _check_health(self, me: int, command: CheckHealth) -> None:
        server = self.workers[command.endpoint_id]
        delay = self.attempts.delay_ms(me, server) + self.attempts.delay_ms(me, server)
        report = self.report(server) if server.up else None
        result = AttemptResult.COMPLETED if server.up else AttemptResult.CONNECT_FAILED
        self._handle_after(delay, me, HealthCheckEnded(server.name, result, delay, report))

    def _send_gossip(self, me: int, command: SendGossip) -> None:
        event = GossipReceived(me, command.is_aggregate, command.slots_held)
        for to in range(self.scenario.dispatchers) if command.recipient < 0 else (command.recipient,):
            if to != me:
                self._handle_after(self.scenario.cross_ms, to, event)

    def _ignore(self, me: int, command: WriteLog) -> None:
        pass

    COMMAND_HANDLERS = {
        StartAttempt: lambda self, me, command: self.attempts.start(me, command),
        CancelAttempt: lambda self, me, command: self.attempts.cancel(me, command),
        Reject: _reject,
        Fail: _fail,
        SetTimer: _set_timer,
        CheckHealth: _check_health,
        SendGossip: _send_gossip,
        WriteLog: _ignore,
    }

    def answer(self, request: SimulatedRequest, answer: Answer) -> None:
        """A request has its final answer."""
        self.rules.request_answered(self.time.now, request.request_id)
        request.answer = answer
        self.results.record_answer(self.time.now, request, answer)

    def report(self, server: ModelServer) -> dict[str, float]:
        """What a worker's answer of now reports."""
        return self.reports.current(self.time.now, server, self.troubles.reports_late_ms)

    # ---------------------------------------------------------------- what becomes of workers

    def _drain(self, name: str) -> None:
        self.lists.change_state(name, EndpointState.DRAINING)

    def _silence(self, name: str) -> None:
        """A worker says nothing any more; what it runs is lost, and the list does not know."""
        self.silent.add(name)
        self.workers[name].silence()

    def _end_silence(self, name: str) -> None:
        self.silent.discard(name)
        self._return(name)

    def _crash(self, name: str) -> None:
        self.workers[name].crash()
        self.lists.change_state(name, EndpointState.REMOVED)

    def _return(self, name: str) -> None:
        """A worker starts again, cold."""
        server = self.workers[name]
        server.start()
        self.reports.forget(name)
        self.lists.change_state(name, EndpointState.READY)
        server.warm_up(self.scenario.cold_from, self.scenario.cold_s * 1000.0)

    WORKER_CHANGES = {
        WorkerChange.FALLS_SILENT: _silence,
        WorkerChange.IS_HEARD: _end_silence,
        WorkerChange.CRASHES: _crash,
        WorkerChange.RETURNS: _return,
        WorkerChange.DRAINS: _drain,
    }

    # ---------------------------------------------------------------- the day

    def run(self) -> dict[str, Any]:
        """Play the day; what came of it."""
        longest = max([category.expiry_ms for category in self.scenario.categories])
        self.time.run(self.begin + self.scenario.seconds * 1000.0 + longest + 1000.0)
        self.rules.finish(self.time.now)
        return {
            "payoff": self.results.payoff(),
            "items": len(self.requests),
            "wasted": wasted_part(self.workers.values(), self.requests.values()),
            "answered after ms": self.results.waits_told(),
            "broken": self.rules.broken,
            "crossed": self.results.crossed_part(),
            **({} if self.plans is None else {"plans": self.plans.summary()}),
            **self.results.counts,
        }
