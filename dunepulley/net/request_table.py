"""The open requests of a dispatcher and their attempts, by request id.

A request is open from its arrival until it needs no further answer and its last attempt has ended.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from dunepulley.net.messages import Answer, CallbackState, PendingRequest, UpstreamAttempt
from dunepulley.routing.events import NOT_EXECUTED, AttemptEnded, AttemptResult

# The result of an attempt that is ended by its endpoint's callback, by the state in the callback.
RESULT_OF_CALLBACK = {
    CallbackState.DONE: AttemptResult.COMPLETED,
    CallbackState.FAILED: AttemptResult.ERRORED,
    CallbackState.RETURNED: AttemptResult.REJECTED,
    CallbackState.LOST: AttemptResult.CONNECTION_LOST,
}


class OpenRequest:
    """A request that still needs an answer or has attempts in flight.

    `attempts` holds all attempts in the order of their numbers, `attempts_in_flight` counts those that have
    not ended, `answered` is set once the request was answered or its client has disconnected, and
    `client_left` if the client disconnected first.
    """

    __slots__ = ("request", "attempts", "attempts_in_flight", "answered", "client_left")

    def __init__(self, request: PendingRequest) -> None:
        self.request = request
        self.attempts: list[UpstreamAttempt] = []
        self.attempts_in_flight = 0
        self.answered = self.client_left = False

    def attempts_at(self, endpoint_id: str) -> list[UpstreamAttempt]:
        """Return all attempts at one endpoint, the latest last."""
        return [attempt for attempt in self.attempts if attempt.endpoint_id == endpoint_id]

    def may_have_run(self) -> bool:
        """Whether an endpoint may have run the request."""
        return any([attempt.result not in NOT_EXECUTED for attempt in self.attempts])

    def is_in_flight_at(self, endpoint_id: str) -> bool:
        """Whether an attempt at this endpoint has not ended."""
        return any(attempt.endpoint_id == endpoint_id and not attempt.result for attempt in self.attempts)


class RequestTable:
    """Owns the open requests.

    Only `remove_finished` removes requests, after the commands of a batch were executed: a client may connect
    and disconnect within one batch, and an attempt for its request must still be reported as not sent.
    """

    def __init__(self) -> None:
        self._open: dict[str, OpenRequest] = {}
        # Called with the id of each request that may have run and whose client has not got its answer.
        self.on_abandoned: Callable[[str], None] = lambda request_id: None
        # Requests that were answered or had an attempt end since the last `remove_finished`.
        self.changed: list[OpenRequest] = []

    def __len__(self) -> int:
        return len(self._open)

    def __iter__(self) -> Iterator[str]:
        return iter(self._open)

    def __contains__(self, request_id: object) -> bool:
        return request_id in self._open

    def __getitem__(self, request_id: str) -> OpenRequest:
        return self._open[request_id]

    def get(self, request_id: str) -> OpenRequest | None:
        """Return the open request with this id, if there is one."""
        return self._open.get(request_id)

    def add(self, request: PendingRequest) -> None:
        """Add a request that has arrived."""
        self._open[request.arrived.request_id] = OpenRequest(request)

    def disconnect(self, request: PendingRequest) -> bool:
        """Record that the client has disconnected; return False if the request needs no answer any more."""
        open_request = self._open.get(request.arrived.request_id)
        if open_request is None or open_request.request is not request or open_request.answered:
            return False
        open_request.client_left = True
        self._finish(open_request)
        return True

    def answer(self, request_id: str, answer: Answer) -> bool:
        """Give a request its final answer; return False if it needs none any more."""
        open_request = self._open.get(request_id)
        if open_request is None or open_request.answered:
            return False
        open_request.request.settle(answer)
        self._finish(open_request)
        return True

    def _finish(self, open_request: OpenRequest) -> None:
        """Record that a request needs no answer any more, and with it no further attempt."""
        open_request.answered = True
        # Attempts that are still to be cancelled may keep the request open for seconds.
        open_request.request.body = b""
        self.changed.append(open_request)

    def end_attempt(self, attempt: UpstreamAttempt, result: str, body: bytes = b"") -> bool:
        """End an attempt, and answer its request if it completed; return False if it had ended before.

        All attempts end here: the first result counts, later ones are ignored.
        """
        if attempt.result:
            return False
        attempt.result = result
        if attempt.timer is not None:
            attempt.timer.cancel()
            attempt.timer = None
        open_request = self._open[attempt.request.arrived.request_id]
        open_request.attempts_in_flight -= 1
        if result == AttemptResult.COMPLETED and not open_request.answered:
            open_request.request.settle(Answer(AttemptEnded, body))
            self._finish(open_request)
        else:
            self.changed.append(open_request)
        return True

    def remove_finished(self) -> None:
        """Remove the requests that are answered and have no attempt in flight."""
        for open_request in self.changed:
            request_id = open_request.request.arrived.request_id
            if (
                open_request.answered
                and not open_request.attempts_in_flight
                and self._open.get(request_id) is open_request
            ):
                del self._open[request_id]
                self._report_abandoned(open_request)
        self.changed.clear()

    def _report_abandoned(self, open_request: OpenRequest) -> None:
        """Report a request that may have run if its client left, perhaps unnoticed before its answer."""
        if open_request.may_have_run() and (open_request.client_left or open_request.request.client_closed()):
            self.on_abandoned(open_request.request.arrived.request_id)


def result_of_callback(state: str, earlier: list[UpstreamAttempt]) -> AttemptResult:
    """Return the result of the latest attempt at an endpoint, given the state in the endpoint's callback.

    A callback identifies the request and the endpoint, but not the attempt. If any of the `earlier` attempts
    at the endpoint ended without proof that it never ran, a reported failure may be of that attempt, and the
    latest one may still be running.
    """
    result = RESULT_OF_CALLBACK[state]
    if result is AttemptResult.COMPLETED:
        return result
    ambiguous = any(attempt.result not in NOT_EXECUTED for attempt in earlier)
    return AttemptResult.CANCEL_UNCONFIRMED if ambiguous else result
