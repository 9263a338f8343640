"""The life of a request: from its arrival over its attempts to its one final answer."""

from __future__ import annotations

from enum import StrEnum
from functools import partial

from .commands import CancelAttempt, Fail, Reject, StartAttempt
from .endpoints import Endpoint
from .events import EndpointState
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

# A request is too late where even an endpoint twice as fast as expected could not end it in time.
_QUICKEST_PART = 0.5
# A queue counts as short up to a quarter of a mean request, for the error of the estimate, and, while there
# is time yet, up to a quarter of that.
_QUEUE_ERROR_PART, _QUEUE_PART = 0.25, 0.25
# An attempt may start in a moment yet: it is moved once this part of the request's slack is spent.
_SLACK_PART = 0.3
# An attempt that has not started is looked at again when a slot has likely come available.
_LOOK_AGAIN_MS, _LOOK_AGAIN_PART = 30.0, 0.25
# An attempt went to an available slot if it leaves no more than half a slot of doubt.
_ROOM_DOUBT = 0.5
# A timeout cut to the deadline is told just after that; without word of it, the client is answered all the
# same, after this part of the slack.
_OVERDUE_PART = 0.5
_READY = EndpointState.READY


class Trigger(StrEnum):
    """Why a request is looked at."""

    ARRIVED = "arrived"
    # It waits here, and slots may have come available.
    CAPACITY = "capacity"
    TIMER = "timer"
    ATTEMPT_STARTED = "attempt started"
    ATTEMPT_ENDED = "attempt ended"


class RequestLifecycle:
    """Moves requests from state to state, and sends the commands that this leads to."""

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
        # Requests that are owed an answer, or that have attempts out.
        self.requests: dict[str, Request] = {}

    def add(self, request: Request, now: float) -> None:
        """Take over a request that has come in."""
        self.requests[request.request_id] = request
        self.advance(request, Trigger.ARRIVED, now)

    def recheck_queued(self, request: Request, now: float) -> None:
        """Give a waiting request another look."""
        self.advance(request, Trigger.CAPACITY, now)

    def advance(self, request: Request, trigger: Trigger, now: float) -> None:
        """Take a request as far as it comes until there is news of it."""
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
        """The answer has begun to reach the client: nothing more is owed."""
        self._queue.remove(request)
        if not request.is_answered:
            request.move_to(RequestState.RESPONDING)

    def attempt_ended(self, request: Request, attempt: Attempt, result: str, now: float) -> None:
        """Count an attempt's end, before it is looked at what follows from it."""
        attempt.result = result
        request.attempts_in_flight -= 1
        endpoint = attempt.endpoint
        self._in_flight.end(endpoint, request.slots, now)
        self._gossip.schedule_announcement(now)
        self._load.record_end(endpoint)

    def remove_if_done(self, request: Request) -> None:
        """Forget a request that is answered and has no attempt out."""
        if request.attempts_in_flight == 0:
            self.requests.pop(request.request_id, None)

    # ---------------------------------------------------------------- states

    def _dispatch(self, request: Request, now: float) -> None:
        """Send a request to an endpoint, let it wait, or answer it."""
        if self._is_too_late(request, now):
            # Late it would take the slot of one that can still be in time.
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
            self._wait_for_start(request, now)

    def _short_queue(self, request: Request, now: float) -> Endpoint | None:
        """Where no slot is known to be available: an endpoint with a queue that is told to be short."""
        error_ms = _QUEUE_ERROR_PART * self._classes.mean_slot_ms
        if now >= request.latest_start_ms:
            limit_ms = error_ms + request.due_ms - now - _QUICKEST_PART * request.expected_ms
        elif (self._reports.reports_queue or self._load.has_aggregates(now)) and not request.is_over_quota:
            limit_ms = error_ms + _QUEUE_PART * (request.latest_start_ms - now)
        else:
            return None
        return self._selector.shortest_queue(request, limit_ms, now)

    def _supervise(self, request: Request, trigger: Trigger, now: float) -> None:
        """Look at a request with attempts out."""
        if trigger is Trigger.TIMER and now > request.deadline_ms:
            self.reject_or_fail(request)
        elif trigger is Trigger.ATTEMPT_STARTED:
            self._cancel_all_but_first_started(request)
            self._wait(request, INFINITY)
        elif trigger is Trigger.TIMER and self._reports.reports_start and not _has_started(request):
            self._move_if_late(request, now)
        else:
            self._wait_for_start(request, now)

    def _cancel_all_but_first_started(self, request: Request) -> None:
        """Two attempts may start within a round trip: the first to start goes on."""
        started = [attempt for attempt in request.unfinished_attempts() if attempt.started_ms]
        first = min(started, key=lambda attempt: attempt.started_ms)
        for number, attempt in enumerate(request.attempts):
            if not attempt.result and attempt is not first:
                self._cancel(request, number)

    def _move_if_late(self, request: Request, now: float) -> None:
        """No attempt has started in time: give up, hedge, or cancel so as to try elsewhere."""
        attempt = request.unfinished_attempts()[-1]
        waited_ms = now - attempt.sent_ms
        self._load.record_waiting(attempt.endpoint, waited_ms)
        is_alone = request.attempts_in_flight == 1 and self._limits.can_cancel
        if is_alone and self._is_too_late(request, now) and self._retry_policy.client_may_retry(request):
            # It could only end late now, and keep what stands behind it from ending in time.
            self.reject_or_fail(request)
            return
        self._load.mark_full(attempt.endpoint, now)
        slack_ms = _SLACK_PART * (request.latest_start_ms - attempt.sent_ms)
        is_late = waited_ms >= slack_ms and waited_ms >= self._start_times.grace_ms(attempt.path)
        if is_late and self._retry_budget.can_afford(request):
            other = self._selector.next_in_turn(request, now, excluded=attempt.endpoint)
            if other is not None and self._limits.hedging:
                if self.may_attempt(request, other, now):
                    self._start_attempt(request, other, now)
                self._wait_for_start(request, now)
                return
            if other is not None and self._limits.can_cancel:
                self._cancel(request, len(request.attempts) - 1)
        self._wait(request, now + max(_LOOK_AGAIN_MS, _LOOK_AGAIN_PART * request.expected_ms))

    def _retry(self, request: Request, now: float) -> None:
        """No attempt is out and none completed: try again or, if that may not be, answer at once."""
        is_worth_it = self._retry_budget.can_afford(request) and now < request.deadline_ms
        if is_worth_it and self._retry_policy.may_retry(request, now):
            self._dispatch(request, now)
        else:
            self.reject_or_fail(request)

    # ---------------------------------------------------------------- attempts

    def may_attempt(self, request: Request, endpoint: Endpoint, now: float) -> bool:
        """The four rules, asked before every attempt."""
        is_over = (
            request.is_answered
            or len(request.attempts) >= self._limits.max_attempts
            or now >= request.deadline_ms
        )
        if is_over or endpoint.state != _READY or (request.attempts_in_flight and not self._limits.hedging):
            return False
        return self._retry_policy.may_attempt_at(request, endpoint, now) and self._slow_start.allows_attempt(
            request, endpoint, now
        )

    def _start_attempt(self, request: Request, endpoint: Endpoint, now: float) -> None:
        self._retry_budget.spend(request)
        # A connection that comes up late must not carry a retry beyond its window.
        window_end_ms = self._retry_policy.window_end_ms(request)
        start_within_ms = min(request.deadline_ms, window_end_ms) - now
        path = (endpoint.zone, now < endpoint.connection_until_ms)
        # Where starts are not told, only an attempt at an available slot tells how long a request runs.
        held = endpoint.own_slots + endpoint.other_slots + request.slots
        is_measurable = self._reports.reports_start or held <= endpoint.slots + _ROOM_DOUBT
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

    # ---------------------------------------------------------------- the final answer

    def reject_or_fail(self, request: Request) -> None:
        """Give up: reject where a retry by the client is harmless, else fail."""
        if self._retry_policy.client_may_retry(request):
            # Long enough for a slot to come available; clients that heed it don't crowd a full fleet.
            wait_ms = min(self._limits.max_retry_after_ms, request.request_class.mean_run_ms())
            self._outbox.send(Reject(request.request_id, wait_ms))
        else:
            self._outbox.send(Fail(request.request_id))
        self.close(request)

    def close(self, request: Request, completed: bool = False) -> None:
        """Nothing more is owed: cancel what is still out and forget the rest."""
        self._retry_budget.record_outcome(request, completed)
        self._queue.remove(request)
        request.move_to(RequestState.ANSWERED)
        for number, attempt in enumerate(request.attempts):
            if not attempt.result:
                self._cancel(request, number)
        self.remove_if_done(request)

    # ---------------------------------------------------------------- timers

    def _wait_for_start(self, request: Request, now: float) -> None:
        """Look again when the last attempt ought to have started."""
        # Only where starts are told: a look that sees nothing would come again at once, for ever.
        if _has_started(request) or not self._reports.reports_start:
            self._wait(request, INFINITY)
            return
        attempt = request.unfinished_attempts()[-1]
        grace_ms = self._start_times.grace_ms(attempt.path)
        self._wait(request, max(now + 1.0, attempt.sent_ms + grace_ms))

    def _wait(self, request: Request, until_ms: float) -> None:
        """Wait for news until a time, and no longer than the deadline and a little more."""
        overdue_ms = request.deadline_ms + _OVERDUE_PART * self._limits.answer_slack_ms
        self._set_timer(request, min(until_ms, overdue_ms))

    def _set_timer(self, request: Request, due_ms: float) -> None:
        self._timers.schedule(due_ms, partial(self._timer_fired, request, request.generation))

    def _timer_fired(self, request: Request, generation: int, now: float) -> None:
        if request.generation == generation and not request.is_answered:
            self.advance(request, Trigger.TIMER, now)

    def _is_too_late(self, request: Request, now: float) -> bool:
        """Whether it can't be in time any more, even at an endpoint twice as fast as expected."""
        return now > request.due_ms - _QUICKEST_PART * request.expected_ms


def _has_started(request: Request) -> bool:
    """Whether an attempt that is out has started."""
    return any([attempt.started_ms for attempt in request.attempts if not attempt.result])
