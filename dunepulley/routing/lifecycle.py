"""The lifecycle of a request: arrival, attempts, retries and the final response."""

from __future__ import annotations

from enum import StrEnum
from functools import partial

from .commands import CancelAttempt, Fail, Reject, StartAttempt
from .endpoints import Endpoint
from .events import AttemptEnded, EndpointState
from .gossip import GossipExchange
from .in_flight import InFlight
from .load_estimates import LoadEstimator
from .outbox import Outbox
from .request import Attempt, Request, RequestClasses, RequestState
from .request_queue import RequestQueue
from .retries import RetryBudget, RetryPolicy
from .selection import EndpointSelector
from .settings import RouterSettings
from .slow_start import SlowStartBudget
from .start_times import StartTimes
from .timers import INFINITY, TimerQueue

# A request is too late if even an endpoint that takes this fraction of the expected time, that is, one twice
# as fast as expected, could not complete it in time.
_MIN_RUN_FRACTION = 0.5
# The expected wait up to which an endpoint's queue counts as short: this fraction of a mean request, to allow
# for the error of the estimate; plus, before the latest start, this fraction of the time that is left to it.
_QUEUE_ERROR_FRACTION, _SHORT_QUEUE_FRACTION = 0.25, 0.25
# An attempt that has not started is hedged or moved after this fraction of the request's slack; until then it
# may still start.
_SLACK_FRACTION = 0.3
# An attempt that has not started is checked again when a slot has likely become available: after this
# fraction of the expected time, but no sooner than this.
_MIN_RECHECK_MS, _RECHECK_FRACTION = 30.0, 0.25
# An attempt counts as sent to an available slot if the estimated load exceeds the slots by at most this.
_SLOT_TOLERANCE = 0.5
# A timed-out attempt is reported just after the deadline. If no report arrives, the client is answered after
# this fraction of `answer_slack_ms` beyond the deadline.
_OVERDUE_FRACTION = 0.5
_READY = EndpointState.READY


class Trigger(StrEnum):
    """The reason why a request's next step is decided."""

    ARRIVED = "arrived"
    # The request is queued, and slots may have become available.
    CAPACITY = "capacity"
    TIMER = "timer"
    ATTEMPT_STARTED = "attempt started"
    ATTEMPT_ENDED = "attempt ended"


class RequestLifecycle:
    """Moves requests through their states and emits the resulting commands."""

    def __init__(
        self,
        settings: RouterSettings,
        classes: RequestClasses,
        queue: RequestQueue,
        selector: EndpointSelector,
        retry_policy: RetryPolicy,
        retry_budget: RetryBudget,
        slow_start: SlowStartBudget,
        load: LoadEstimator,
        in_flight: InFlight,
        gossip: GossipExchange,
        start_times: StartTimes,
        timers: TimerQueue,
        outbox: Outbox,
    ) -> None:
        self._limits = settings.retries
        self._reports = settings.reports
        self._classes = classes
        self._queue = queue
        self._selector = selector
        self._retry_policy = retry_policy
        self._retry_budget = retry_budget
        self._slow_start = slow_start
        self._load = load
        self._in_flight = in_flight
        self._gossip = gossip
        self._start_times = start_times
        self._timers = timers
        self._outbox = outbox
        # Requests that have no final response yet, or have attempts in flight.
        self.requests: dict[str, Request] = {}

    def add(self, request: Request, now: float) -> None:
        """Start the lifecycle of a new request."""
        self.requests[request.request_id] = request
        self.advance(request, Trigger.ARRIVED, now)

    def recheck_queued(self, request: Request, now: float) -> None:
        """Try again to send a queued request."""
        self.advance(request, Trigger.CAPACITY, now)

    def advance(self, request: Request, trigger: Trigger, now: float) -> None:
        """Take all steps of a request that are possible until the next event about it."""
        request.generation += 1
        self._queue.remove(request)
        if request.is_answered:
            return
        if request.state is RequestState.DISPATCHING:
            self._dispatch(request, now)
        elif request.attempts_in_flight:
            self._supervise(request, trigger, now)
        else:
            self._retry(request, now)

    def response_started(self, request: Request) -> None:
        """Note that the response has begun to reach the client, so no other response is sent."""
        self._queue.remove(request)
        if not request.is_answered:
            request.move_to(RequestState.RESPONDING)

    def attempt_ended(self, request: Request, attempt: Attempt, event: AttemptEnded, now: float) -> None:
        """Record the end of an attempt; the next step is decided afterwards by `advance`."""
        attempt.result = event.result
        attempt.may_be_reported = event.may_be_reported
        request.attempts_in_flight -= 1
        endpoint = attempt.endpoint
        self._in_flight.end(endpoint, request.slots, now)
        self._gossip.schedule_announcement(now)
        self._load.record_end(endpoint)

    def remove_if_done(self, request: Request) -> None:
        """Remove a request that is answered and has no attempt in flight."""
        if request.attempts_in_flight == 0:
            self.requests.pop(request.request_id, None)

    # ---------------------------------------------------------------- states

    def _dispatch(self, request: Request, now: float) -> None:
        """Send a request to an endpoint, queue it, or end it with an error response."""
        if self._is_too_late(request, now):
            # It would take a slot from a request that can still complete in time.
            self.reject_or_fail(request)
            return
        endpoint = self._selector.next_in_turn(request, now)
        if endpoint is None:
            endpoint = self._short_queue(request, now)
        if endpoint is None and now < request.latest_start_ms:
            self._queue.add(request)
            self._set_timer(request, min(request.latest_start_ms, request.deadline_ms))
        elif endpoint is None or not self.may_attempt(request, endpoint, now):
            self.reject_or_fail(request)
        else:
            self._start_attempt(request, endpoint, now)
            self._wait_for_attempt_start(request, now)

    def _short_queue(self, request: Request, now: float) -> Endpoint | None:
        """An endpoint whose queue is reported to be short, for use if no slot is available."""
        error_ms = _QUEUE_ERROR_FRACTION * self._classes.mean_slot_ms
        if now >= request.latest_start_ms:
            limit_ms = error_ms + request.due_ms - now - _MIN_RUN_FRACTION * request.expected_ms
        elif (self._reports.reports_queue or self._load.has_aggregates(now)) and not request.is_over_quota:
            limit_ms = error_ms + _SHORT_QUEUE_FRACTION * (request.latest_start_ms - now)
        else:
            return None
        return self._selector.shortest_queue(request, limit_ms, now)

    def _supervise(self, request: Request, trigger: Trigger, now: float) -> None:
        """Decide the next step of a request with attempts in flight."""
        if trigger is Trigger.TIMER and now > request.deadline_ms:
            self.reject_or_fail(request)
        elif trigger is Trigger.ATTEMPT_STARTED:
            self._cancel_all_but_first_started(request)
            self._wait(request, INFINITY)
        elif trigger is Trigger.TIMER and self._reports.reports_start and not _has_started(request):
            self._handle_late_start(request, now)
        else:
            self._wait_for_attempt_start(request, now)

    def _cancel_all_but_first_started(self, request: Request) -> None:
        """Cancel all attempts but the first to start; two may start within one round trip."""
        started = [attempt for attempt in request.unfinished_attempts() if attempt.started_ms]
        first = min(started, key=lambda attempt: attempt.started_ms)
        for number, attempt in enumerate(request.attempts):
            if not attempt.result and attempt is not first:
                self._cancel(request, number)

    def _handle_late_start(self, request: Request, now: float) -> None:
        """No attempt has started in time: reject the request, hedge it, or cancel and retry elsewhere."""
        attempt = request.unfinished_attempts()[-1]
        waited_ms = now - attempt.sent_ms
        self._load.record_waiting(attempt.endpoint, waited_ms)
        is_only_attempt = request.attempts_in_flight == 1 and self._limits.can_cancel
        if (
            is_only_attempt
            and self._is_too_late(request, now)
            and self._retry_policy.client_may_retry(request)
        ):
            # It could only complete late, and would delay the requests queued behind it.
            self.reject_or_fail(request)
            return
        self._load.mark_full(attempt.endpoint, now)
        slack_ms = _SLACK_FRACTION * (request.latest_start_ms - attempt.sent_ms)
        is_late = waited_ms >= slack_ms and waited_ms >= self._start_times.grace_ms(attempt.path)
        if is_late and self._retry_budget.can_afford(request):
            alternative = self._selector.next_in_turn(request, now, excluded=attempt.endpoint)
            if alternative is not None and self._limits.hedging:
                if self.may_attempt(request, alternative, now):
                    self._start_attempt(request, alternative, now)
                self._wait_for_attempt_start(request, now)
                return
            if alternative is not None and self._limits.can_cancel:
                self._cancel(request, len(request.attempts) - 1)
        self._wait(request, now + max(_MIN_RECHECK_MS, _RECHECK_FRACTION * request.expected_ms))

    def _retry(self, request: Request, now: float) -> None:
        """Retry a request without a completed attempt or, if that is not allowed, end it at once."""
        can_afford_retry = self._retry_budget.can_afford(request) and now < request.deadline_ms
        if can_afford_retry and self._retry_policy.may_retry(request, now):
            self._dispatch(request, now)
        else:
            self.reject_or_fail(request)

    # ---------------------------------------------------------------- attempts

    def may_attempt(self, request: Request, endpoint: Endpoint, now: float) -> bool:
        """Whether the rules for every attempt allow this one.

        The request has no final response, its deadline and the maximum number of attempts are not reached,
        and hedging is on if an attempt is in flight; the endpoint is ready; the effect cannot happen twice;
        and the attempt fits the slow-start budget.
        """
        has_ended = (
            request.is_answered
            or len(request.attempts) >= self._limits.max_attempts
            or now >= request.deadline_ms
        )
        if has_ended or endpoint.state != _READY or (request.attempts_in_flight and not self._limits.hedging):
            return False
        return self._retry_policy.may_attempt_at(request, endpoint, now) and self._slow_start.allows_attempt(
            request, endpoint, now
        )

    def _start_attempt(self, request: Request, endpoint: Endpoint, now: float) -> None:
        self._retry_budget.spend(request)
        # A connection that is established late must not deliver a retry after its idempotency window.
        window_end_ms = self._retry_policy.window_end_ms(request)
        start_within_ms = min(request.deadline_ms, window_end_ms) - now
        path = (endpoint.zone, now < endpoint.connection_until_ms)
        # If starts are not reported, the duration of an attempt is its running time only if it did not queue.
        slots_in_use = endpoint.own_slots + endpoint.other_slots + request.slots
        is_measurable = self._reports.reports_start or slots_in_use <= endpoint.slots + _SLOT_TOLERANCE
        request.attempts.append(Attempt(endpoint, path, now, is_measurable))
        request.attempts_in_flight += 1
        request.move_to(RequestState.IN_FLIGHT)
        self._in_flight.start(endpoint, request.slots)
        self._gossip.schedule_announcement(now)
        self._slow_start.record_attempt(request, endpoint, now)
        self._outbox.send(
            StartAttempt(request.request_id, endpoint.endpoint_id, request.deadline_ms - now, start_within_ms)
        )

    def _cancel(self, request: Request, number: int) -> None:
        if self._limits.can_cancel:
            self._outbox.send(CancelAttempt(request.request_id, number))

    # ---------------------------------------------------------------- the final response

    def reject_or_fail(self, request: Request) -> None:
        """End a request with an error: reject it if the client may safely retry, else fail it."""
        if self._retry_policy.client_may_retry(request):
            # Long enough for a slot to become available, so that the retries do not hit a full fleet.
            wait_ms = min(self._limits.max_retry_after_ms, request.request_class.mean_run_ms())
            self._outbox.send(Reject(request.request_id, wait_ms))
        else:
            self._outbox.send(Fail(request.request_id))
        self.close(request)

    def close(self, request: Request, completed: bool = False) -> None:
        """Finish a request that needs no further response: cancel its attempts that are in flight."""
        self._retry_budget.record_outcome(request, completed)
        self._queue.remove(request)
        request.move_to(RequestState.ANSWERED)
        for number, attempt in enumerate(request.attempts):
            if not attempt.result:
                self._cancel(request, number)
        self.remove_if_done(request)

    # ---------------------------------------------------------------- timers

    def _wait_for_attempt_start(self, request: Request, now: float) -> None:
        """Set a timer for when the latest attempt should have started."""
        # Only if starts are reported: otherwise the timer would find no start and be set again for ever.
        if _has_started(request) or not self._reports.reports_start:
            self._wait(request, INFINITY)
            return
        attempt = request.unfinished_attempts()[-1]
        grace_ms = self._start_times.grace_ms(attempt.path)
        self._wait(request, max(now + 1.0, attempt.sent_ms + grace_ms))

    def _wait(self, request: Request, until_ms: float) -> None:
        """Set a timer for `until_ms`, but no later than shortly after the deadline."""
        overdue_ms = request.deadline_ms + _OVERDUE_FRACTION * self._limits.answer_slack_ms
        self._set_timer(request, min(until_ms, overdue_ms))

    def _set_timer(self, request: Request, due_ms: float) -> None:
        self._timers.schedule(due_ms, partial(self._timer_fired, request, request.generation))

    def _timer_fired(self, request: Request, generation: int, now: float) -> None:
        if request.generation == generation and not request.is_answered:
            self.advance(request, Trigger.TIMER, now)

    def _is_too_late(self, request: Request, now: float) -> bool:
        """Whether the request cannot complete in time, even at an endpoint twice as fast as expected."""
        return now > request.due_ms - _MIN_RUN_FRACTION * request.expected_ms


def _has_started(request: Request) -> bool:
    """Whether an attempt that is in flight has started."""
    return any([attempt.started_ms for attempt in request.attempts if not attempt.result])
