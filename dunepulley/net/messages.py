"""The messages on the queue of `Core`, and the records of requests and attempts in flight.

Router events (`TimerFired`, `HealthCheckEnded`, `GossipReceived`, `SlowStartBudgetAssigned`) and lists from
discovery (`endpoint_list.EndpointList`) are queued unchanged. A message with an `answer` is a query:
`Core.ask` creates the future, and the handler resolves it unless the caller no longer waits.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import StrEnum
from typing import TYPE_CHECKING, Any, NamedTuple

from dunepulley.control.drains import INFINITY, DrainSet
from dunepulley.routing.events import RequestArrived

if TYPE_CHECKING:
    from dunepulley.control.plan_application import PlanLease
    from dunepulley.net.endpoint_view import EndpointDescriptions
    from dunepulley.net.zone_statistics import ZoneReport

# The shortest timeout that is passed to the router.
MIN_TIMEOUT_MS = 1.0


class Answer(NamedTuple):
    """The final answer to a client.

    `kind` is the type of the router's event or command that ended the request: `AttemptEnded` with the
    response in `body`, `Reject` with the Retry-After time in `retry_after_ms`, or `Fail`.
    """

    kind: type
    body: bytes = b""
    retry_after_ms: float = 0.0


class PendingRequest:
    """A request as it was received: the bytes to forward unchanged, and the future of its answer.

    `received_ms` is Unix time by the clock of `Core`. `client_closed` asks the operating system whether the
    client has closed its connection, which the event loop may not have noticed yet.
    """

    __slots__ = ("arrived", "received_ms", "target", "headers", "body", "answer", "client_closed")

    def __init__(
        self,
        arrived: RequestArrived,
        received_ms: float,
        target: str,
        headers: dict[str, str],
        body: bytes,
        client_closed: Callable[[], bool] = lambda: False,
    ) -> None:
        self.arrived = arrived
        self.received_ms = received_ms
        self.target = target
        self.headers = headers
        self.body = body
        self.client_closed = client_closed
        self.answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()

    def settle(self, answer: Answer) -> None:
        """Set the final answer, unless there is one already or the client has disconnected."""
        if not self.answer.done():
            self.answer.set_result(answer)


class UpstreamAttempt:
    """One attempt to have an endpoint run a request.

    Times: `started_ms` is when the router started it and `start_before_ms` the latest time for its first
    byte, both in Unix ms by the clock of `Core`; `timeout_ms` is its timeout; `deadline_s` is when that
    timeout expires and `timeout_sent_s` when the remaining time was last written into its headers, both in
    seconds by the event loop's clock.

    Flags, each set once:
        reused_connection: it was sent over a connection that was open already.
        write_started: its first byte was about to be written.
        fully_written: its last byte has left the process.
        response_started: the endpoint has begun to respond.
        callback_received: the endpoint has sent a callback about it.
        ended_by_callback: a callback has reported its end.
        cancelled: it was cancelled; nothing more of it may be sent.
        cancellation_unheard: the endpoint was to be told of the cancellation, and did not confirm it.
        start_refused: `Core.may_begin` found that it must not start any more.

    `result` is empty until the attempt has ended.
    """

    __slots__ = ("request", "number", "endpoint_id", "address", "timeout_ms", "started_ms")
    __slots__ += ("start_before_ms", "deadline_s", "timeout_sent_s", "reused_connection", "write_started")
    __slots__ += ("fully_written", "response_started", "callback_received", "ended_by_callback", "cancelled")
    __slots__ += ("cancellation_unheard", "start_refused", "result", "timer")

    def __init__(
        self,
        request: PendingRequest,
        number: int,
        endpoint_id: str,
        address: str,
        timeout_ms: float,
        started_ms: float,
        start_before_ms: float = INFINITY,
    ) -> None:
        self.request = request
        self.number = number
        self.endpoint_id = endpoint_id
        self.address = address
        self.timeout_ms = timeout_ms
        self.started_ms = started_ms
        self.start_before_ms = start_before_ms
        self.timeout_sent_s = asyncio.get_running_loop().time()
        self.deadline_s = self.timeout_sent_s + timeout_ms / 1000.0
        self.reused_connection = self.write_started = self.fully_written = False
        self.response_started = self.callback_received = self.ended_by_callback = False
        self.cancelled = self.cancellation_unheard = self.start_refused = False
        self.result = ""
        self.timer: asyncio.TimerHandle | None = None

    def may_be_reported(self) -> bool:
        """Whether the endpoint may report on it after its end: once more, or because it still runs it."""
        return self.ended_by_callback or self.cancellation_unheard


class RequestReceived(NamedTuple):
    """A client has sent a request."""

    request: PendingRequest


class ClientGone(NamedTuple):
    """A client no longer waits for its answer."""

    request: PendingRequest


class AttemptFinished(NamedTuple):
    """An attempt has ended; `result` is an `AttemptResult`."""

    attempt: UpstreamAttempt
    result: str
    load_report: dict[str, float] | None = None


class CallbackState(StrEnum):
    """The state of an attempt in an endpoint's callback; the values are those on the wire."""

    STARTED = "started"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    RETURNED = "returned"
    LOST = "lost"


class CallbackReceived(NamedTuple):
    """An endpoint's callback; `progress` is the completed fraction, `result` the response once it is done."""

    request_id: str
    endpoint_id: str
    state: str
    progress: float
    result: bytes
    load_report: dict[str, float] | None


class DrainsChanged(NamedTuple):
    """Operators' drains; the answer is whether they were accepted: older ones than the current are not."""

    drains: DrainSet
    answer: asyncio.Future[bool]


class PlanReceived(NamedTuple):
    """The fleet's traffic plan; the answer is whether this dispatcher follows it now."""

    lease: PlanLease
    answer: asyncio.Future[bool]


class EndpointRefreshDue(NamedTuple):
    """A drain may have expired, or the plan or the health of endpoints may select other endpoints now."""


class EndpointCountRequested(NamedTuple):
    """Queries how many endpoints are listed, and how many of these the router avoids."""

    answer: asyncio.Future[tuple[int, int]]


class EndpointsRequested(NamedTuple):
    """Queries the state of each endpoint at this dispatcher, and the kinds that request classes require."""

    answer: asyncio.Future[EndpointDescriptions]


class ZoneReportRequested(NamedTuple):
    """Queries what this dispatcher observes of the zones."""

    answer: asyncio.Future[ZoneReport]


class WarmStateRequested(NamedTuple):
    """Queries the router's warm state, for the child process of a hot restart."""

    answer: asyncio.Future[dict[str, Any]]


class WarmStateReceived(NamedTuple):
    """The parent process's warm state as it was read, unvalidated."""

    state: Any
