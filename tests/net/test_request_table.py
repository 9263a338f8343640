"""The table of open requests: how requests and attempts end, and when both are removed."""

import pytest
from support.event_loop import on_loop

from dunepulley.net.messages import Answer, CallbackState, PendingRequest, UpstreamAttempt
from dunepulley.net.request_table import RequestTable, result_of_callback
from dunepulley.routing.commands import Fail, Reject
from dunepulley.routing.events import AttemptEnded, AttemptResult, RequestArrived


def pending(request_id="a"):
    return PendingRequest(RequestArrived(request_id, "look", 1000.0), 0.0, "/look/1", {}, b"x")


def start_attempt(open_request, endpoint_id="w0"):
    attempt = UpstreamAttempt(
        open_request.request, len(open_request.attempts), endpoint_id, "127.0.0.1:1", 1000.0, 0.0, 500.0
    )
    open_request.attempts.append(attempt)
    open_request.attempts_in_flight += 1
    return attempt


def add_request(table, request_id="a"):
    table.add(pending(request_id))
    return table[request_id]


@on_loop
async def test_a_request_is_removed_once_it_is_answered_and_its_attempts_have_ended():
    table = RequestTable()
    open_request = add_request(table)
    first, second = start_attempt(open_request), start_attempt(open_request, "w1")
    assert table.end_attempt(first, AttemptResult.COMPLETED, b"made")
    table.remove_finished()
    assert "a" in table and open_request.request.answer.result() == Answer(AttemptEnded, b"made")
    assert table.end_attempt(second, AttemptResult.CANCELLED)
    assert "a" in table, "removed before the commands of the batch"
    table.remove_finished()
    assert "a" not in table and not table


@on_loop
async def test_an_attempt_ends_once_and_cancels_its_timer():
    table = RequestTable()
    attempt = start_attempt(add_request(table))

    class Timer:
        cancelled = 0

        def cancel(self):
            self.cancelled += 1

    attempt.timer = timer = Timer()
    assert table.end_attempt(attempt, AttemptResult.ERRORED)
    assert not table.end_attempt(attempt, AttemptResult.COMPLETED, b"late")
    assert attempt.result == AttemptResult.ERRORED and attempt.timer is None and timer.cancelled == 1
    assert table["a"].attempts_in_flight == 0 and not table["a"].answered


@on_loop
async def test_a_request_is_answered_once():
    table = RequestTable()
    open_request = add_request(table)
    assert table.answer("a", Answer(Reject, retry_after_ms=250.0))
    assert not table.answer("a", Answer(Fail)) and not table.answer("b", Answer(Fail))
    assert not table.disconnect(open_request.request)
    assert open_request.request.answer.result() == Answer(Reject, retry_after_ms=250.0)


@on_loop
async def test_a_disconnect_affects_only_the_request_that_has_the_id_now():
    table = RequestTable()
    previous = pending()
    open_request = add_request(table)
    assert not table.disconnect(previous) and not open_request.answered
    assert table.disconnect(open_request.request) and not table.disconnect(open_request.request)
    table.remove_finished()
    assert not table


@on_loop
async def test_a_request_that_reuses_an_id_is_not_removed_with_the_previous_one():
    table = RequestTable()
    previous = add_request(table)
    table.disconnect(previous.request)
    open_request = add_request(table)
    table.remove_finished()
    assert table.get("a") is open_request


@on_loop
async def test_attempts_are_found_by_their_endpoint():
    open_request = add_request(RequestTable())
    first, other, last = (
        start_attempt(open_request),
        start_attempt(open_request, "w1"),
        start_attempt(open_request),
    )
    assert open_request.attempts_at("w0") == [first, last] and open_request.attempts_at("w1") == [other]
    assert open_request.attempts_at("w2") == [] and not open_request.is_in_flight_at("w2")
    other.result = AttemptResult.ERRORED
    assert open_request.is_in_flight_at("w0") and not open_request.is_in_flight_at("w1")


@pytest.mark.parametrize(
    ("state", "result"),
    [
        (CallbackState.FAILED, AttemptResult.ERRORED),
        (CallbackState.RETURNED, AttemptResult.REJECTED),
        (CallbackState.LOST, AttemptResult.CONNECTION_LOST),
    ],
)
@on_loop
async def test_a_failure_callback_is_ambiguous_after_an_attempt_that_may_have_run(state, result):
    earlier = start_attempt(add_request(RequestTable()))
    assert result_of_callback(state, []) == result
    earlier.result = AttemptResult.NOT_SENT
    assert result_of_callback(state, [earlier]) == result
    earlier.result = AttemptResult.CANCELLED
    assert result_of_callback(state, [earlier]) == AttemptResult.CANCEL_UNCONFIRMED
    assert result_of_callback(CallbackState.DONE, [earlier]) == AttemptResult.COMPLETED
