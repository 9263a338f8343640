"""The four rules: safe retries only, nothing to draining endpoints, one final response, allowed hedging."""

import pytest
from routing_support import endpoints_of
from support.router_rig import RouterRig, commands_of, endpoint_entry

from dunepulley.routing.commands import Fail, Reject, StartAttempt
from dunepulley.routing.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    EndpointListUpdate,
    EndpointState,
    ListUpdateKind,
    RequestArrived,
)


@pytest.mark.parametrize(
    ("request_class", "result", "is_retried", "answer"),
    [
        ("look", AttemptResult.ERRORED, True, Reject),
        ("look", AttemptResult.CONNECTION_LOST, True, Reject),
        ("store", AttemptResult.ERRORED, True, Fail),
        ("store", AttemptResult.REJECTED, True, Reject),
        ("pay", AttemptResult.ERRORED, False, Fail),
        ("pay", AttemptResult.CONNECTION_LOST, False, Fail),
        ("pay", AttemptResult.CANCELLED, False, Fail),
        ("pay", AttemptResult.REJECTED, True, Reject),
        ("pay", AttemptResult.CONNECT_FAILED, True, Reject),
    ],
)
def test_retries_only_if_the_effect_cannot_happen_twice(request_class, result, is_retried, answer):
    rig = RouterRig(endpoints=8)
    first = commands_of(StartAttempt, rig.feed(RequestArrived("a", request_class, 5000.0)))[0]
    commands = rig.feed(AttemptEnded("a", 0, result, first.endpoint_id), after=50.0)
    assert bool(commands_of(StartAttempt, commands)) == is_retried
    if not is_retried:
        assert commands_of(answer, commands)
    # All further attempts end with the same result, until there is exactly one final response.
    for number in range(1, 6):
        if "a" in rig.answer:
            break
        assert len(rig.sent["a"]) > number, "the request was neither attempted again nor answered"
        commands = rig.feed(AttemptEnded("a", number, result, rig.sent["a"][number][0]), after=50.0)
    assert rig.answer["a"] == answer.__name__


@pytest.mark.parametrize("hedging", [False, True])
@pytest.mark.parametrize(
    ("request_class", "result"),
    [
        ("look", AttemptResult.REJECTED),
        ("look", AttemptResult.ERRORED),
        ("look", AttemptResult.CONNECTION_LOST),
        ("look", AttemptResult.CANCELLED),
        ("pay", AttemptResult.REJECTED),
    ],
)
def test_endpoint_that_may_still_report_on_an_attempt_gets_no_other_of_the_request(
    request_class, result, hedging
):
    # Guards against a repeated report that ends an attempt which still runs, so that a third one starts.
    rig = RouterRig(endpoints=2, policyLimits__secondCopies=hedging)
    rig.feed(RequestArrived("a", request_class, 5000.0))
    for number in range(2):
        endpoint_id = rig.sent["a"][number].endpoint_id
        rig.feed(AttemptEnded("a", number, result, endpoint_id, may_be_reported=True), after=10.0)
    assert {attempt.endpoint_id for attempt in rig.sent["a"]} == {"w0", "w1"} and len(rig.sent["a"]) == 2
    assert rig.answer["a"] == "Reject"


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_draining_endpoint_receives_no_attempts(state):
    rig = RouterRig(endpoints=2)
    rig.feed(EndpointListUpdate(ListUpdateKind.CHANGES, (endpoint_entry(0, state),)))
    sent = []
    for number in range(6):
        sent += commands_of(StartAttempt, rig.feed(RequestArrived(f"a{number}", "look", 5000.0), after=200.0))
    assert {attempt.endpoint_id for attempt in sent} == {"w1"}


@pytest.mark.parametrize("result", [AttemptResult.COMPLETED, AttemptResult.TIMED_OUT, AttemptResult.ERRORED])
def test_events_after_the_final_response_are_ignored(result):
    rig = RouterRig()
    first = commands_of(StartAttempt, rig.feed(RequestArrived("a", "look", 5000.0)))[0]
    rig.feed(ClientDisconnected("a"))
    rig.answer["a"] = "disconnected"
    ended = AttemptEnded("a", 0, result, first.endpoint_id, answered=True)
    assert not commands_of(StartAttempt, rig.feed(ended, after=10.0))
    assert not rig.feed(ClientDisconnected("a"), AttemptEnded("a", 0, result, first.endpoint_id))
    assert not rig.router.lifecycle.requests


@pytest.mark.parametrize(
    ("after", "is_retried"), [(100.0, True), (2600.0, True), (2900.0, False), (4000.0, False)]
)
def test_keyed_request_is_retried_only_within_its_window(after, is_retried):
    rig = RouterRig(endpoints=8, categories__1__dueTimeMs=4900.0, familyInfo__tellsStart=False)
    first = commands_of(StartAttempt, rig.feed(RequestArrived("a", "store", 5000.0, expected_ms=100.0)))[0]
    commands = rig.feed(AttemptEnded("a", 0, AttemptResult.ERRORED, first.endpoint_id), after=after)
    assert (
        bool(commands_of(StartAttempt, commands)) == is_retried
        and bool(commands_of(Fail, commands)) != is_retried
    )


@pytest.mark.parametrize(
    ("settings", "is_allowed"),
    [
        ({"policyLimits__secondCopies": True}, True),
        ({"policyLimits__secondCopies": False}, False),
        ({"policyLimits__mostHandOffs": 1.0}, False),
    ],
)
def test_request_is_hedged_only_if_allowed(settings, is_allowed):
    rig = RouterRig(endpoints=4, **settings)
    rig.feed(RequestArrived("a", "look", 5000.0))
    request = rig.router.lifecycle.requests["a"]
    assert rig.router.lifecycle.may_attempt(request, endpoints_of(rig)[0], rig.now) == is_allowed
