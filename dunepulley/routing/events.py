"""The events that a router processes. Times are in ms, as floats; ids of requests and endpoints are opaque.

An attempt is identified by its number within its request, counted from 0 in the order of the `StartAttempt`
commands. The values of the enumerations are stored in recordings and sent to other processes, so they must
not change.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class AttemptResult(StrEnum):
    """How an attempt can end."""

    COMPLETED = "finished"
    ERRORED = "erred"
    # The endpoint rejected the attempt at once, because it has no available slot.
    REJECTED = "full"
    TIMED_OUT = "timed out"
    CONNECT_FAILED = "not connected"
    CONNECTION_LOST = "cut"
    # A reused idle connection broke during the attempt, which may have run. This is no sign of ill health.
    STALE_CONNECTION = "dropped"
    # The endpoint could not parse the request, and no other can. This is no sign of ill health either.
    UNPROCESSABLE = "unfit"
    CANCELLED = "taken back"
    # The attempt was cancelled or its connection broke, but the endpoint did not confirm that it stopped: the
    # attempt may still be running.
    CANCEL_UNCONFIRMED = "unheard"
    NOT_SENT = "not sent"


# The results that prove that the endpoint did not start the attempt.
NOT_EXECUTED = frozenset((AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT))
# The results that mean that the endpoint could not be reached or the connection to it was lost.
CONNECTION_FAILURES = frozenset((AttemptResult.CONNECT_FAILED, AttemptResult.CONNECTION_LOST))


class EndpointState(StrEnum):
    """The state of an endpoint in the endpoint list."""

    READY = "ready"
    DRAINING = "leaving"
    REMOVED = "left"


class ListUpdateKind(StrEnum):
    """The kind of an update of the endpoint list."""

    CHANGES = "changes"
    FULL = "full list"
    FROM_DISK = "disk list"
    FAILED = "list error"


class EndpointEntry(NamedTuple):
    """One entry of an endpoint list; `started_ms` is 0 if the endpoint started long ago."""

    endpoint_id: str
    zone: str = ""
    kind: str = ""
    cell: str = ""
    state: str = EndpointState.READY
    capacity: float = 1.0
    started_ms: float = 0.0


class EndpointListUpdate(NamedTuple):
    """Changes to the current endpoint list, a full list, or a report that polling the list failed."""

    kind: str
    entries: tuple[EndpointEntry, ...] = ()


class RequestArrived(NamedTuple):
    """A new request, which must receive exactly one final response within `timeout_ms`.

    `expected_ms` is the client's estimate of its running time; 0 if it gives none.
    """

    request_id: str
    request_class: str
    timeout_ms: float
    slots: float = 1.0
    tenant: str = ""
    expected_ms: float = 0.0
    is_retry: bool = False
    affinity_key: str = ""
    memory: float = 0.0


class AttemptStarted(NamedTuple):
    """An endpoint has started an attempt or makes progress; `progress` is the fraction done so far."""

    request_id: str
    attempt_number: int
    progress: float = 0.0


class ResponseStarted(NamedTuple):
    """The response has begun to reach the client: the attempt no longer has a timeout."""

    request_id: str
    attempt_number: int


class AttemptEnded(NamedTuple):
    """An attempt has ended; `answered` is whether the client needs no further response.

    `may_be_reported` is whether the endpoint may report on the attempt after its end: it has reported the end
    already and may repeat that, or it did not hear of the cancellation. A report does not tell which of the
    attempts at its endpoint it is about.
    """

    request_id: str
    attempt_number: int
    result: str
    endpoint_id: str
    duration_ms: float = 0.0
    answered: bool = False
    load_report: dict[str, float] | None = None
    may_be_reported: bool = False


class ClientDisconnected(NamedTuple):
    """The client has disconnected and needs no response."""

    request_id: str


class HealthCheckEnded(NamedTuple):
    """The result of a health check."""

    endpoint_id: str
    result: str
    duration_ms: float = 0.0
    load_report: dict[str, float] | None = None


class GossipReceived(NamedTuple):
    """A gossip message from another dispatcher: (short id, slots) for each of some endpoints.

    The short id is 16 bits of a hash of the endpoint's id. The slots are all that the sender holds at the
    endpoint or, if `is_aggregate`, those that all dispatchers together hold.
    """

    sender: int
    is_aggregate: bool
    slots_held: tuple[tuple[int, int], ...]


class SlowStartBudgetAssigned(NamedTuple):
    """Whether this process may spend the dispatcher's slow-start budget.

    In a hot restart two processes of the dispatcher run, and only one of them may.
    """

    assigned: bool


class TimerFired(NamedTuple):
    """A timer set earlier has fired."""

    token: int


Event = (
    EndpointListUpdate
    | RequestArrived
    | AttemptStarted
    | ResponseStarted
    | AttemptEnded
    | ClientDisconnected
    | HealthCheckEnded
    | GossipReceived
    | SlowStartBudgetAssigned
    | TimerFired
)


def in_order(events: list[Event]) -> list[Event]:
    """The events of a batch in the order in which `Router.handle` expects them.

    New requests come last, and a request whose client has already disconnected is dropped.
    """
    if len(events) < 2:
        return events
    disconnected = {event.request_id for event in events if type(event) is ClientDisconnected}
    arrived = [
        event for event in events if type(event) is RequestArrived and event.request_id not in disconnected
    ]
    return [event for event in events if type(event) is not RequestArrived] + arrived
