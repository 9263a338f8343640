"""Requests, their attempts, and the state machine of a request.

    QUEUED <---> DISPATCHING ----> IN_FLIGHT ----> RESPONDING
       ^              |             |     |             |
       +--------------|-------------+     |             |
                      +-------------------+-------------+----> ANSWERED

A request needs one final response until it is `RESPONDING` (the response has begun to reach the client) or
`ANSWERED`. It is removed once it is answered and its last attempt has ended.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from .endpoints import Endpoint
from .settings import RequestClassSettings

# The fraction of the old sum that each new running time of a class keeps: about the last hundred count.
_RUN_RETENTION = 0.99
# Until a running time is known, the mean is the deadline, which is several times the work, divided by this.
_RUN_GUESS_DIVISOR = 8
# The weight of a new request in the mean work of all requests, and the initial mean.
_MEAN_WORK_STEP = 0.02
_INITIAL_MEAN_WORK_MS = 500.0


class RequestState(StrEnum):
    """The state of a request."""

    # An endpoint is being selected; this is the initial state.
    DISPATCHING = "dispatching"
    # It waits in the dispatcher for an available slot.
    QUEUED = "queued"
    # It has attempts in flight, or the end of its last one is being processed.
    IN_FLIGHT = "in flight"
    RESPONDING = "responding"
    ANSWERED = "answered"


# The allowed transitions. An answered request may be closed once more, when its client disconnects.
_ALLOWED = {
    RequestState.DISPATCHING: frozenset(RequestState) - {RequestState.DISPATCHING},
    RequestState.QUEUED: frozenset((RequestState.DISPATCHING,)),
    RequestState.IN_FLIGHT: frozenset(RequestState) - {RequestState.DISPATCHING},
    RequestState.RESPONDING: frozenset((RequestState.ANSWERED,)),
    RequestState.ANSWERED: frozenset((RequestState.ANSWERED,)),
}


class RequestClass:
    """A request class: its settings and its learned statistics."""

    def __init__(self, settings: RequestClassSettings) -> None:
        self.settings = settings
        # The usual timeout of a first request, and the fraction of about the last five that had it.
        self.first_timeout_ms, self.fixed_timeout_fraction = 0.0, 1.0
        self.run_sum, self.run_count = settings.deadline_ms / _RUN_GUESS_DIVISOR, 1.0

    def mean_run_ms(self) -> float:
        """The mean running time in ms."""
        return self.run_sum / self.run_count

    def record_run(self, run_ms: float) -> None:
        """Add one running time to the mean."""
        self.run_sum = self.run_sum * _RUN_RETENTION + run_ms
        self.run_count = self.run_count * _RUN_RETENTION + 1.0


class RequestClasses:
    """All request classes: those in the settings and others that requests have named."""

    def __init__(self, settings: Mapping[str, RequestClassSettings]) -> None:
        self.by_name = {name: RequestClass(each) for name, each in settings.items()}
        # The mean work (running time multiplied by slots) of recent requests of all classes, in slot-ms.
        self.mean_slot_ms = _INITIAL_MEAN_WORK_MS

    def get(self, name: str) -> RequestClass:
        """The class with this name; one that is not in the settings is created with defaults."""
        request_class = self.by_name.get(name)
        if request_class is None:
            request_class = self.by_name[name] = RequestClass(RequestClassSettings())
        return request_class

    def record_work(self, slot_ms: float) -> None:
        """Add a request's expected work to the mean."""
        self.mean_slot_ms += _MEAN_WORK_STEP * (slot_ms - self.mean_slot_ms)

    def shortest_deadline_ms(self) -> float:
        """The shortest deadline of all classes; 1,000 ms if there is no class."""
        return min([each.settings.deadline_ms for each in self.by_name.values()], default=1000.0)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at an endpoint.

    `path` is the endpoint's zone and whether a connection to it was open.
    """

    endpoint: Endpoint
    path: tuple[str, bool]
    sent_ms: float
    # Whether its duration is the running time of the request, because it was sent to an available slot.
    is_measurable: bool
    # When the endpoint started it; 0 while unknown.
    started_ms: float = 0.0
    # Its result; empty while it is in flight.
    result: str = ""
    # Whether the endpoint may still report on it after its end.
    may_be_reported: bool = False


@dataclass(slots=True, eq=False)
class Request:
    """A request without a final response, or with attempts in flight. Times are absolute, in ms."""

    request_id: str
    request_class: RequestClass
    # The number of slots that it needs, and its expected running time.
    slots: float
    expected_ms: float
    size_class: int
    affinity_key: str
    deadline_ms: float
    # The time until which its response has full value, and the latest start that likely achieves that.
    due_ms: float
    latest_start_ms: float
    priority: float
    is_over_quota: bool
    attempts: list[Attempt] = field(default_factory=list)
    attempts_in_flight: int = 0
    state: RequestState = RequestState.DISPATCHING
    # Incremented at each step; a timer set in an earlier generation is ignored.
    generation: int = 0

    @property
    def is_answered(self) -> bool:
        """Whether the client needs no further response."""
        return self.state is RequestState.ANSWERED or self.state is RequestState.RESPONDING

    def move_to(self, state: RequestState) -> None:
        """Change the state; the transition must be allowed."""
        assert state in _ALLOWED[self.state], f"request.state: cannot change from {self.state} to {state}"
        self.state = state

    def reporting_endpoint_ids(self) -> list[str]:
        """The ids of the endpoints that may still report on an ended attempt.

        They get no other attempt of the request: a report on the earlier one, repeated because its
        acknowledgement was lost, would be taken for the end of one that still runs.
        """
        return [attempt.endpoint.endpoint_id for attempt in self.attempts if attempt.may_be_reported]

    def unfinished_attempts(self) -> list[Attempt]:
        """The attempts that are in flight, in the order in which they were sent."""
        return [attempt for attempt in self.attempts if not attempt.result]
