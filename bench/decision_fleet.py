"""A deterministic simulated fleet around one router, with the faults that a scenario asks for."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random
from typing import Any

from bench.decision_scenarios import START_MS, TIMEOUTS_MS, Scenario
from dunepulley.routing import router
from dunepulley.routing.commands import (
    CancelAttempt,
    CheckHealth,
    Fail,
    Reject,
    SetTimer,
    StartAttempt,
)
from dunepulley.routing.events import (
    AttemptEnded,
    AttemptResult,
    AttemptStarted,
    ClientDisconnected,
    EndpointEntry,
    EndpointListUpdate,
    EndpointState,
    GossipReceived,
    HealthCheckEnded,
    ListUpdateKind,
    RequestArrived,
    ResponseStarted,
    SlowStartBudgetAssigned,
    TimerFired,
    in_order,
)
from dunepulley.routing.hashing import fnv1a_64

ONE_WAY_MS = 1.5


@dataclass
class Endpoint:
    """A simulated endpoint: its list entry, its slots, and the attempts that run or wait.

    `background` is the mean fraction of the slots that other dispatchers use.
    """

    entry: EndpointEntry
    slots: int
    background: float
    running: int = 0
    waiting: list[tuple[str, int]] = field(default_factory=list)


class Discovery:
    """The endpoints of a fleet and the updates of the endpoint list."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self.scenario, self.random = fleet, fleet.scenario, fleet.random
        self.endpoints: dict[str, Endpoint] = {}

    def new_entry(self, cold: bool) -> EndpointEntry:
        """Add an endpoint and return its list entry; a cold one has started in the last 25 s."""
        random, number = self.random, len(self.endpoints)
        entry = EndpointEntry(
            f"w{number}",
            "abc"[number % 3],
            self.scenario.kinds[number % len(self.scenario.kinds)],
            f"cell{number % 5}",
            EndpointState.READY,
            random.choice(self.scenario.weights),
            self.fleet.now - random.uniform(0.0, 25000.0) if cold else 0.0,
        )
        background = self.scenario.background * random.uniform(0.3, 1.7)
        self.endpoints[entry.endpoint_id] = Endpoint(entry, self.scenario.slots, background)
        return entry

    def change(self) -> list[Any]:
        """A random list update: one new, drained, removed, restarted or reweighted endpoint, or the list."""
        scenario, random = self.scenario, self.random
        self.fleet.at(1000.0 / scenario.list_changes * random.uniform(0.5, 1.5), self.change)
        draw = random.random()
        if draw < scenario.full_lists:
            kind = random.choice((ListUpdateKind.FULL, ListUpdateKind.FROM_DISK, ListUpdateKind.FAILED))
            entries = [
                endpoint.entry
                for endpoint in self.endpoints.values()
                if endpoint.entry.state != EndpointState.REMOVED
            ]
            if random.random() < 0.5:
                entries = entries[1:]
            return [EndpointListUpdate(kind, tuple(entries))]
        endpoint = random.choice(list(self.endpoints.values()))
        old = endpoint.entry
        if draw < 0.3:
            return [
                EndpointListUpdate(
                    ListUpdateKind.CHANGES,
                    (self.new_entry(False)._replace(started_ms=self.fleet.now - 200.0),),
                )
            ]
        if old.state == EndpointState.READY and draw < 0.5:
            new = old._replace(state=random.choice((EndpointState.DRAINING, EndpointState.REMOVED)))
        elif old.state == EndpointState.DRAINING:
            new = old._replace(state=EndpointState.REMOVED)
        elif old.state == EndpointState.REMOVED:
            new = old._replace(
                state=EndpointState.READY, started_ms=self.fleet.now - random.choice((100.0, 3000.0))
            )
        elif draw < 0.7:
            new = old._replace(capacity=old.capacity * random.choice((0.5, 2.0, 1.0)))
        elif draw < 0.8:
            new = old._replace(
                started_ms=max(0.0, old.started_ms - 500.0), cell=random.choice(("cell0", "cell9"))
            )
        else:
            new = old._replace(started_ms=self.fleet.now - 50.0)
        endpoint.entry = new
        return [EndpointListUpdate(ListUpdateKind.CHANGES, (new,))]


class Fleet:
    """Clients, endpoints, discovery and other dispatchers around one dispatcher, in simulated time."""

    def __init__(self, scenario: Scenario, factory: Any = router.Router) -> None:
        self.scenario = scenario
        self.random = Random(scenario.seed * 1000 + scenario.endpoints)
        self.now = START_MS
        self.scheduled: list[tuple] = []
        self.sequence = 0
        self.settings = scenario.all_settings()
        self.dispatcher = factory(scenario.seed, self.settings, START_MS)
        self.discovery = Discovery(self)
        self.endpoints = self.discovery.endpoints
        self.attempts: dict[tuple[str, int], str] = {}
        self.counts: Counter[str] = Counter()
        self.unanswered: dict[str, RequestArrived] = {}
        self.failed: set[str] = set()
        self.commands: Counter[str] = Counter()

    def at(self, delay_ms: float, action: Any) -> None:
        """Schedule an event, or a function that returns events, in `delay_ms`."""
        self.sequence += 1
        heappush(self.scheduled, (self.now + delay_ms, self.sequence, action))

    def batches(self) -> Iterator[tuple[float, list[Any], list[Any]]]:
        """Run the scenario; yields the time in ms, the events and the commands of each batch."""
        scenario, random = self.scenario, self.random
        entries = [
            self.discovery.new_entry(random.random() < scenario.cold_at_start)
            for _ in range(scenario.endpoints)
        ]
        self.at(0.0, EndpointListUpdate(ListUpdateKind.FULL, tuple(entries)))
        end = START_MS + 1000.0 * scenario.length_s
        self.at(5.0, self.arrive)
        if scenario.list_changes:
            self.at(400.0, self.discovery.change)
        if scenario.gossip:
            self.at(50.0, self.gossip)
        if scenario.hot_restart:
            self.at(3000.0, SlowStartBudgetAssigned(False))
            self.at(5000.0, SlowStartBudgetAssigned(True))
        if scenario.crash_s:
            self.at(1000.0 * scenario.crash_s, self.crash)
        while self.scheduled and self.scheduled[0][0] < end:
            self.now = self.scheduled[0][0]
            events = []
            while self.scheduled and self.scheduled[0][0] <= self.now + 0.2:
                when, _, action = heappop(self.scheduled)
                self.now = max(self.now, when)
                if callable(action):
                    events += action() or []
                else:
                    events.append(action)
            if not events:
                continue
            events = in_order(events)
            commands = list(self.dispatcher.handle(self.now, events))
            for command in commands:
                self.apply(command)
            yield self.now, events, commands

    def arrive(self) -> list[Any]:
        scenario, random = self.scenario, self.random
        self.at(random.expovariate(scenario.rate) * 1000.0, self.arrive)
        self.counts["arrived"] += 1
        request_id = f"r{self.counts['arrived']}"
        return [self.request(request_id, random.choice(scenario.classes), False)]

    def request(self, request_id: str, name: str, repeat: bool) -> RequestArrived:
        scenario, random = self.scenario, self.random
        size = random.choice(scenario.sizes)
        expected_run_ms = (
            scenario.run_ms * size * random.choice((0.5, 1.0, 1.0, 2.0)) if scenario.hints else 0.0
        )
        timeout_ms = random.choice(TIMEOUTS_MS) * (0.6 if repeat else 1.0)
        event = RequestArrived(
            request_id,
            name,
            timeout_ms,
            random.choice((1.0, 1.0, 1.0, 1.0, 2.0)),
            f"t{int(random.random() ** 2 * scenario.tenants)}" if scenario.tenants else "",
            expected_run_ms,
            repeat,
            f"k{int(random.random() ** 3 * scenario.keys)}"
            if scenario.keys and random.random() < 0.7
            else "",
            random.choice((0.0, 0.0, 0.0, 0.0, 0.0, 3.0)),
        )
        self.unanswered[request_id] = event
        if random.random() < scenario.disconnected:
            self.at(random.uniform(0.0, 400.0), lambda: self.disconnect(request_id))
        return event

    def disconnect(self, request_id: str) -> list[Any]:
        return [ClientDisconnected(request_id)] if self.unanswered.pop(request_id, None) else []

    def apply(self, command: Any) -> None:
        """Simulate the effect of one command of the dispatcher."""
        random = self.random
        self.commands[type(command).__name__] += 1
        if isinstance(command, StartAttempt):
            number = self.counts[command.request_id]
            self.counts[command.request_id] += 1
            self.attempts[command.request_id, number] = command.endpoint_id
            self.at(
                ONE_WAY_MS * random.uniform(0.8, 1.5),
                lambda: self.arrive_at_endpoint(command.request_id, number, command.endpoint_id),
            )
        elif isinstance(command, CancelAttempt):
            result = AttemptResult.CANCEL_UNCONFIRMED if random.random() < 0.15 else AttemptResult.CANCELLED
            self.at(ONE_WAY_MS, lambda: self.end(command.request_id, command.attempt_number, result))
        elif isinstance(command, Reject):
            event = self.unanswered.pop(command.request_id, None)
            if event and random.random() < 0.6:
                self.counts["arrived"] += 1
                request_id = f"r{self.counts['arrived']}"
                self.at(
                    command.retry_after_ms + random.uniform(20.0, 80.0),
                    lambda: [self.request(request_id, event.request_class, True)],
                )
        elif isinstance(command, Fail):
            self.unanswered.pop(command.request_id, None)
        elif isinstance(command, CheckHealth):
            self.at(2.0 * ONE_WAY_MS, lambda: self.end_health_check(command.endpoint_id))
        elif isinstance(command, SetTimer):
            late_ms = 120.0 if random.random() < self.scenario.late_alarms else 0.0
            self.at(command.delay_ms + late_ms, TimerFired(command.token))

    def end_health_check(self, endpoint_id: str) -> list[Any]:
        if endpoint_id in self.failed or self.random.random() < 0.03:
            return [HealthCheckEnded(endpoint_id, AttemptResult.CONNECT_FAILED, 5.0)]
        return [HealthCheckEnded(endpoint_id, AttemptResult.COMPLETED, 3.0, self.report(endpoint_id))]

    def report(self, endpoint_id: str) -> dict[str, float]:
        endpoint = self.endpoints[endpoint_id]
        in_flight = endpoint.running + self.random.uniform(0.5, 1.5) * endpoint.background * endpoint.slots
        report = {"rate": 2.0 + 3.0 * endpoint.entry.capacity * self.random.random()}
        report["x0"] = max(0.0, float(int(endpoint.slots - in_flight)))
        report["queue"] = float(max(0, int(in_flight - endpoint.slots)))
        return report

    def arrive_at_endpoint(self, request_id: str, number: int, endpoint_id: str) -> list[Any]:
        """Simulate the arrival of an attempt at its endpoint."""
        if (request_id, number) not in self.attempts:
            return []
        endpoint, draw = self.endpoints[endpoint_id], self.random.random()
        if endpoint_id in self.failed:
            return self.end(request_id, number, AttemptResult.CONNECT_FAILED)
        if draw < self.scenario.faults:
            results = (
                AttemptResult.ERRORED,
                AttemptResult.CONNECT_FAILED,
                AttemptResult.CONNECTION_LOST,
                AttemptResult.STALE_CONNECTION,
                AttemptResult.NOT_SENT,
                AttemptResult.CANCEL_UNCONFIRMED,
            )
            result = self.random.choice(
                (
                    *results,
                    AttemptResult.TIMED_OUT,
                    AttemptResult.UNPROCESSABLE,
                    AttemptResult.ERRORED,
                    AttemptResult.ERRORED,
                )
            )
            return self.end(request_id, number, result)
        in_flight = endpoint.running + len(endpoint.waiting)
        if in_flight + int(endpoint.background * self.random.uniform(0.5, 1.5) * endpoint.slots) >= (
            endpoint.slots + self.scenario.queue
        ):
            return self.end(request_id, number, AttemptResult.REJECTED)
        if draw > 1.0 - self.scenario.stalls:
            self.at(self.random.uniform(50.0, 1500.0), lambda: self.enqueue(request_id, number, endpoint_id))
            return []
        return self.enqueue(request_id, number, endpoint_id)

    def enqueue(self, request_id: str, number: int, endpoint_id: str) -> list[Any]:
        """Queue an attempt at its endpoint, unless it has ended."""
        if (request_id, number) not in self.attempts:
            return []
        self.endpoints[endpoint_id].waiting.append((request_id, number))
        return self.start_next(endpoint_id)

    def start_next(self, endpoint_id: str) -> list[Any]:
        """Start waiting attempts while slots are free."""
        endpoint, events = self.endpoints[endpoint_id], []
        while endpoint.waiting and endpoint.running < endpoint.slots:
            request_id, number = endpoint.waiting.pop(0)
            endpoint.running += 1
            event = self.unanswered.get(request_id)
            expected_ms = event.expected_ms if event and event.expected_ms else self.scenario.run_ms
            run_ms = expected_ms * self.random.uniform(0.4, 2.0)
            if self.settings["familyInfo.tellsStart"]:
                events.append(AttemptStarted(request_id, number))
            elif self.random.random() < 0.6:
                self.at(
                    0.5 * run_ms,
                    lambda request_id=request_id, number=number: self.progress(request_id, number),
                )
            if self.random.random() < self.scenario.streaming:
                self.at(
                    0.9 * run_ms, lambda request_id=request_id, number=number: self.stream(request_id, number)
                )
            self.at(
                run_ms,
                lambda request_id=request_id, number=number, run_ms=run_ms: self.finish(
                    endpoint_id, request_id, number, run_ms
                ),
            )
        return events

    def progress(self, request_id: str, number: int) -> list[Any]:
        return [AttemptStarted(request_id, number, 0.5)] if (request_id, number) in self.attempts else []

    def stream(self, request_id: str, number: int) -> list[Any]:
        return (
            [ResponseStarted(request_id, number)]
            if (request_id, number) in self.attempts and request_id in self.unanswered
            else []
        )

    def finish(self, endpoint_id: str, request_id: str, number: int, run_ms: float) -> list[Any]:
        self.endpoints[endpoint_id].running -= 1
        return self.end(request_id, number, AttemptResult.COMPLETED, run_ms) + self.start_next(endpoint_id)

    def end(self, request_id: str, number: int, result: str, duration_ms: float = 2.0) -> list[Any]:
        """The event for the end of an attempt; empty if the attempt has ended already."""
        endpoint_id = self.attempts.pop((request_id, number), None)
        if endpoint_id is None:
            return []
        endpoint = self.endpoints[endpoint_id]
        if (request_id, number) in endpoint.waiting:
            endpoint.waiting.remove((request_id, number))
        is_answered = result == AttemptResult.COMPLETED and self.unanswered.pop(request_id, None) is not None
        is_reported = self.scenario.reports and result in (
            AttemptResult.COMPLETED,
            AttemptResult.REJECTED,
            AttemptResult.ERRORED,
        )
        return [
            AttemptEnded(
                request_id,
                number,
                result,
                endpoint_id,
                duration_ms,
                is_answered,
                self.report(endpoint_id) if is_reported else None,
            )
        ]

    def crash(self) -> list[Any]:
        """A third of the endpoints fail for two seconds, and their attempts with them."""
        self.failed = {name for number, name in enumerate(self.endpoints) if number % 3 == 0}
        self.at(2000.0, self.failed.clear)
        events = []
        for (request_id, number), endpoint_id in list(self.attempts.items()):
            if endpoint_id in self.failed:
                events += self.end(request_id, number, AttemptResult.CONNECTION_LOST)
        return events

    def gossip(self) -> list[Any]:
        """A gossip message from another dispatcher."""
        random = self.random
        self.at(random.uniform(40.0, 120.0), self.gossip)
        names = random.sample(list(self.endpoints), min(20, len(self.endpoints)))
        in_flight = tuple([(fnv1a_64(name) & 0xFFFF, random.randrange(0, 6)) for name in names])
        peers = int(self.settings["balancers"])
        return [GossipReceived(random.randrange(peers), random.random() < 0.5, in_flight)]
