"""Requests, their state machine, and request classes."""

import pytest

from dunepulley.routing.endpoints import EndpointTable
from dunepulley.routing.events import AttemptResult
from dunepulley.routing.request import Attempt, Request, RequestClass, RequestClasses, RequestState
from dunepulley.routing.settings import Idempotency, RequestClassSettings

DISPATCHING, QUEUED, IN_FLIGHT, RESPONDING, ANSWERED = RequestState
# The allowed transitions.
ALLOWED = {
    DISPATCHING: {QUEUED, IN_FLIGHT, RESPONDING, ANSWERED},
    QUEUED: {DISPATCHING},
    # The request is hedged, queued for a retry, or answered.
    IN_FLIGHT: {IN_FLIGHT, QUEUED, RESPONDING, ANSWERED},
    RESPONDING: {ANSWERED},
    # The client may disconnect after the response.
    ANSWERED: {ANSWERED},
}


def new_request():
    """A new request."""
    return Request(
        "a",
        RequestClass(RequestClassSettings()),
        slots=1.0,
        expected_ms=100.0,
        size_class=-1,
        affinity_key="",
        deadline_ms=5000.0,
        due_ms=500.0,
        latest_start_ms=400.0,
        priority=1.0,
        is_over_quota=False,
    )


def request_in(state):
    """A request in this state."""
    request = new_request()
    request.state = state
    return request


def test_new_request_is_dispatching():
    request = new_request()
    assert request.state is DISPATCHING and not request.is_answered
    assert request.attempts == [] and request.attempts_in_flight == request.generation == 0


@pytest.mark.parametrize("after", RequestState)
@pytest.mark.parametrize("before", RequestState)
def test_only_allowed_state_transitions_succeed(before, after):
    request = request_in(before)
    if after in ALLOWED[before]:
        request.move_to(after)
        assert request.state is after
    else:
        with pytest.raises(AssertionError, match=f"from {before} to {after}"):
            request.move_to(after)
        assert request.state is before


@pytest.mark.parametrize("state", RequestState)
def test_request_is_answered_once_its_response_has_begun(state):
    assert request_in(state).is_answered == (state in (RESPONDING, ANSWERED))


def test_unfinished_attempts_have_no_result():
    request, endpoint = request_in(IN_FLIGHT), EndpointTable("").add("w0", 0.0)
    request.attempts = [Attempt(endpoint, ("", False), float(number), True) for number in range(3)]
    request.attempts[1].result = AttemptResult.ERRORED
    assert request.unfinished_attempts() == [request.attempts[0], request.attempts[2]]


def test_initial_mean_running_time_is_an_eighth_of_the_deadline():
    request_class = RequestClass(RequestClassSettings(deadline_ms=4000.0))
    assert request_class.mean_run_ms() == 500.0
    request_class.record_run(100.0)
    assert request_class.mean_run_ms() == pytest.approx((500.0 * 0.99 + 100.0) / 1.99)
    for _ in range(1000):
        request_class.record_run(100.0)
    assert request_class.mean_run_ms() == pytest.approx(100.0, abs=0.1)


def test_unlisted_class_is_non_idempotent():
    classes = RequestClasses({"look": RequestClassSettings(idempotency=Idempotency.IDEMPOTENT)})
    assert classes.get("look").settings.idempotency == Idempotency.IDEMPOTENT
    unlisted = classes.get("other")
    assert unlisted.settings == RequestClassSettings() and classes.get("other") is unlisted
    assert unlisted.settings.idempotency == Idempotency.NON_IDEMPOTENT


def test_mean_work_follows_recent_requests():
    classes = RequestClasses({})
    assert classes.mean_slot_ms == 500.0 and classes.shortest_deadline_ms() == 1000.0
    classes.record_work(600.0)
    assert classes.mean_slot_ms == pytest.approx(502.0)
    classes.get("other")
    assert classes.shortest_deadline_ms() == 8000.0
