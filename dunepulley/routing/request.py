"""A request, its attempts, and its life as a state machine.

    QUEUED <---> DISPATCHING ----> IN_FLIGHT ----> RESPONDING
       ^              |             |     |             |
       +--------------|-------------+     |             |
                      +-------------------+-------------+----> ANSWERED

A request is owed one final answer until it is `RESPONDING` (the answer has begun to reach the client) or
`ANSWERED`. It is forgotten once it is answered and its last attempt has ended.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from .endpoints import Endpoint
from .settings import RequestClassSettings

# About so many of the last running times count towards a class's mean, as the part that is kept each time.
_RUN_KEPT = 0.99
# Until a running time is known: this part of the deadline, which is several times the work.
_RUN_GUESS_DEADLINES = 8
# The part of a new request in the mean work of all requests.
_MEAN_WORK_PART = 0.02
_FIRST_MEAN_WORK_MS = 500.0


class RequestState(StrEnum):
    """Where a request is in its life."""

    # An endpoint is being chosen; so a request begins.
    DISPATCHING = "dispatching"
    # It waits here for an available slot.
    QUEUED = "queued"
    # It has attempts out, or the end of its last one is being handled.
    IN_FLIGHT = "in flight"
    RESPONDING = "responding"
    ANSWERED = "answered"


# What may follow each state. An answered request may be closed once more, as its client leaves.
_ALLOWED = {
    RequestState.DISPATCHING: frozenset(RequestState) - {RequestState.DISPATCHING},
    RequestState.QUEUED: frozenset((RequestState.DISPATCHING,)),
    RequestState.IN_FLIGHT: frozenset(RequestState) - {RequestState.DISPATCHING},
    RequestState.RESPONDING: frozenset((RequestState.ANSWERED,)),
    RequestState.ANSWERED: frozenset((RequestState.ANSWERED,)),
}


class RequestClass:
    """A class of requests: its settings, and what was learned of it."""

    def __init__(self, settings: RequestClassSettings) -> None:
        self.settings = settings
        # The timeout that clients give a first request, and the part of the last five or so that had it.
        self.first_timeout_ms, self.fixed_timeout_fraction = 0.0, 1.0
        self.run_sum, self.run_count = settings.deadline_ms / _RUN_GUESS_DEADLINES, 1.0

    def mean_run_ms(self) -> float:
        """The mean running time."""
        return self.run_sum / self.run_count

    def record_run(self, run_ms: float) -> None:
        """Learn from one running time."""
        self.run_sum = self.run_sum * _RUN_KEPT + run_ms
        self.run_count = self.run_count * _RUN_KEPT + 1.0


class RequestClasses:
    """All classes of requests, those of the settings and those that requests name beside them."""

    def __init__(self, settings: Mapping[str, RequestClassSettings]) -> None:
        self.by_name = {name: RequestClass(each) for name, each in settings.items()}
        # The mean of running time by slots over the recent requests of all classes.
        self.mean_slot_ms = _FIRST_MEAN_WORK_MS

    def get(self, name: str) -> RequestClass:
        """A class; one that is not listed has the default settings."""
        known = self.by_name.get(name)
        if known is None:
            known = self.by_name[name] = RequestClass(RequestClassSettings())
        return known

    def record_work(self, slot_ms: float) -> None:
        """Count a request's expected work."""
        self.mean_slot_ms += _MEAN_WORK_PART * (slot_ms - self.mean_slot_ms)

    def shortest_deadline_ms(self) -> float:
        """The shortest deadline of a class; 1,000 ms where none is known."""
        return min([each.settings.deadline_ms for each in self.by_name.values()], default=1000.0)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at an endpoint.

    `path` is the endpoint's zone and whether a connection to it was open.
    """

    endpoint: Endpoint
    path: tuple[str, bool]
    sent_ms: float
    # Whether its duration tells how long the request runs: it went to an available slot.
    is_measurable: bool
    # When the endpoint started it; 0 while that is not known.
    started_ms: float = 0.0
    # How it ended; empty while it is out.
    result: str = ""


@dataclass(slots=True, eq=False)
class Request:
    """A request that is owed an answer, or whose attempts are still out. Times are moments in ms."""

    request_id: str
    request_class: RequestClass
    # The slots it takes and how long it is expected to run.
    slots: float
    expected_ms: float
    size_class: int
    affinity_key: str
    deadline_ms: float
    # Until when its answer counts in full, and when it has to start for that.
    due_ms: float
    latest_start_ms: float
    priority: float
    is_over_quota: bool
    attempts: list[Attempt] = field(default_factory=list)
    attempts_in_flight: int = 0
    state: RequestState = RequestState.DISPATCHING
    # A timer that was set in an earlier generation is void.
    generation: int = 0

    @property
    def is_answered(self) -> bool:
        """Whether nothing more is owed to the client."""
        return self.state is RequestState.ANSWERED or self.state is RequestState.RESPONDING

    def move_to(self, state: RequestState) -> None:
        """Enter another state."""
        assert state in _ALLOWED[self.state], f"a request cannot go from {self.state} to {state}"
        self.state = state

    def unfinished_attempts(self) -> list[Attempt]:
        """The attempts that are out, in the order in which they were sent."""
        return [attempt for attempt in self.attempts if not attempt.result]
