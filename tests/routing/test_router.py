"""The whole router under random events; `RouterRig` checks every command against the routing rules."""

from __future__ import annotations

import pytest
from routing_support import report
from support.router_rig import RouterRig, commands_of, endpoint_entry

from dunepulley.routing.commands import StartAttempt
from dunepulley.routing.events import (
    AttemptEnded,
    AttemptResult,
    EndpointListUpdate,
    EndpointState,
    ListUpdateKind,
    RequestArrived,
)
from dunepulley.routing.rng import RandomGenerator

RESULTS = [
    AttemptResult.COMPLETED,
    AttemptResult.COMPLETED,
    AttemptResult.COMPLETED,
    AttemptResult.ERRORED,
    AttemptResult.REJECTED,
    AttemptResult.CONNECTION_LOST,
    AttemptResult.CONNECT_FAILED,
]
STATES = (EndpointState.READY, EndpointState.DRAINING, EndpointState.REMOVED)
# Longer than any deadline.
LONG_MS = 9000.0


class RandomEvents:
    """Seeded, unusual but valid events: clients, endpoints and discovery around one router."""

    def __init__(self, seed: int) -> None:
        self.random = RandomGenerator(seed)
        self.is_large = seed >= 8
        settings = {"policyLimits__secondCopies": seed % 2 == 0, "categories__1__keyScope": "all"}
        if self.is_large:
            settings |= {"balancers": 400.0, "me": float(seed), "policyLimits__connIdleMs": 10000.0}
        self.rig = RouterRig(300 if self.is_large else 6, seed, **settings)
        # The endpoint of each attempt in flight, by request and attempt number.
        self.open: dict[tuple[str, int], str] = {}

    def below(self, limit: int) -> int:
        """A random whole number below the limit."""
        return int(self.random.random() * limit)

    def step(self, number: int) -> None:
        """Feed the next events; in two of a hundred steps after `LONG_MS`, with all attempts timed out."""
        events = self.next_events(number)
        is_long = self.random.random() < 0.02
        if is_long:
            timed_out = [AttemptEnded(*key, "timed out", endpoint) for key, endpoint in self.open.items()]
            events = [*timed_out, *events]
        for event in events:
            after = LONG_MS if is_long else 20.0 * self.random.random()
            for command in commands_of(StartAttempt, self.rig.feed(event, after=after)):
                last = len(self.rig.sent[command.request_id]) - 1
                self.open[command.request_id, last] = command.endpoint_id
        if is_long:
            self.open = {key: self.open[key] for key in self.open if not self.result_of(*key)}

    def result_of(self, request_id: str, attempt_number: int) -> str:
        """The result of an attempt; empty while it is in flight."""
        return self.rig.sent[request_id][attempt_number][2]

    def next_events(self, number: int) -> list[object]:
        """A request, the end of an attempt, or an update of the endpoint list."""
        pick = self.random.random()
        if pick < 0.4:
            return [self.arrival(number)]
        if pick < 0.9 and self.open:
            return [self.attempt_end()]
        return self.list_updates()

    def arrival(self, number: int) -> RequestArrived:
        request_class = ("look", "store", "pay")[self.below(3)]
        timeout_ms = (3.0, 800.0, 5000.0)[self.below(3)]
        return RequestArrived(f"a{number}", request_class, timeout_ms, 1.0 + self.below(3))

    def attempt_end(self) -> AttemptEnded:
        request_id, attempt_number = sorted(self.open)[self.below(len(self.open))]
        result = RESULTS[self.below(len(RESULTS))]
        answered = result == AttemptResult.COMPLETED or request_id in self.rig.answer
        rate, available, queue = [self.random.random() * size for size in (1e4, 9.0, 40.0)]
        endpoint = self.open.pop((request_id, attempt_number))
        load_report = report(rate - 1.0, available - 1.0, queue)
        return AttemptEnded(request_id, attempt_number, result, endpoint, 9.0, answered, load_report)

    def list_updates(self) -> list[EndpointListUpdate]:
        number = self.below(400 if self.is_large else 8)
        updates = []
        if self.is_large and self.random.random() < 0.1:
            # 150 endpoints are removed or return at once, some of them warming up.
            state = EndpointState.REMOVED if self.random.random() < 0.5 else EndpointState.READY
            many = tuple([endpoint_entry(n, state, self.rig.now * (n % 2)) for n in range(150)])
            updates.append(EndpointListUpdate(ListUpdateKind.CHANGES, many))
        state = STATES[self.below(3)]
        started_ms = self.rig.now if self.random.random() < 0.5 else 0.0
        updates.append(
            EndpointListUpdate(ListUpdateKind.CHANGES, (endpoint_entry(number, state, started_ms),))
        )
        return updates

    def lose_all(self) -> None:
        """Lose the connection of every attempt in flight, then let all deadlines pass."""
        for request_id, attempts in sorted(self.rig.sent.items()):
            for number, (endpoint, _, result) in enumerate(attempts):
                if not result:
                    lost = AttemptResult.CONNECTION_LOST
                    answered = request_id in self.rig.answer
                    self.rig.feed(AttemptEnded(request_id, number, lost, endpoint, answered=answered))
        self.rig.feed(after=LONG_MS)


@pytest.mark.parametrize("seed", range(12))
def test_unusual_but_valid_events_break_no_rule(seed):
    """A seeded run; `RouterRig` checks every command."""
    events = RandomEvents(seed)
    for number in range(500):
        events.step(number)
    for _ in range(8):
        events.lose_all()
    rig = events.rig
    assert set(rig.arrived) == set(rig.answer), "a request has no final response"
    assert not rig.router.lifecycle.requests and not rig.router.queue.waiting
