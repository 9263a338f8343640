"""Retries: when they are allowed, where they may go, and what they cost."""

import pytest
from support.router_rig import RouterRig, commands_of

from dunepulley.routing.commands import Fail, Reject, StartAttempt
from dunepulley.routing.events import AttemptEnded, AttemptResult, RequestArrived


@pytest.mark.parametrize(
    ("result", "retries", "is_ejected"),
    [
        (AttemptResult.CONNECTION_LOST, 1, True),
        (AttemptResult.STALE_CONNECTION, 1, False),
        (AttemptResult.CONNECT_FAILED, 1, True),
        (AttemptResult.NOT_SENT, 1, False),
        (AttemptResult.ERRORED, 0, False),
    ],
)
def test_broken_attempt_is_retried_once_without_budget(result, retries, is_ejected):
    rig = RouterRig()
    (sent,) = commands_of(StartAttempt, rig.feed(RequestArrived("a", "store", 4000.0)))
    rig.router.retry_budget.balance = 0.0
    commands = rig.feed(AttemptEnded("a", 0, result, sent.endpoint_id, 1.0), after=1.0)
    assert (
        len(commands_of(StartAttempt, commands)) == retries
        and len(commands_of(Fail, commands)) == 1 - retries
    )
    assert (rig.router.endpoints.find(sent.endpoint_id).ejected_until_ms > rig.now) is is_ejected


@pytest.mark.parametrize("hedges", [True, False])
@pytest.mark.parametrize(("request_class", "answer"), [("look", Reject), ("store", Fail)])
def test_no_retry_beside_a_possibly_running_attempt_without_hedging(hedges, request_class, answer):
    # An endpoint that did not confirm the cancellation may still run it: without hedging the request is
    # answered at once, not queued.
    rig = RouterRig(policyLimits__secondCopies=hedges)
    (sent,) = commands_of(StartAttempt, rig.feed(RequestArrived("a", request_class, 4000.0)))
    commands = rig.feed(
        AttemptEnded("a", 0, AttemptResult.CANCEL_UNCONFIRMED, sent.endpoint_id, 1.0), after=1.0
    )
    assert (
        len(commands_of(StartAttempt, commands)) == hedges
        and len(commands_of(answer, commands)) == 1 - hedges
    )


@pytest.mark.parametrize(
    ("request_class", "first_result", "start_within_ms"),
    [
        # Up to the deadline.
        ("look", AttemptResult.CONNECTION_LOST, 3900.0),
        # Nine tenths of the window of 3000 ms, of which 100 ms have passed.
        ("store", AttemptResult.CONNECTION_LOST, 2600.0),
        ("store", AttemptResult.STALE_CONNECTION, 2600.0),
        ("store", AttemptResult.NOT_SENT, 3900.0),
        ("pay", AttemptResult.NOT_SENT, 3900.0),
    ],
)
def test_retry_starts_within_the_idempotency_window_or_never(request_class, first_result, start_within_ms):
    # Guards against a connection that is established late and delivers a retry after the idempotency window.
    rig = RouterRig()
    (sent,) = commands_of(StartAttempt, rig.feed(RequestArrived("a", request_class, 4000.0)))
    assert sent.start_within_ms == 4000.0
    (retry,) = commands_of(
        StartAttempt, rig.feed(AttemptEnded("a", 0, first_result, sent.endpoint_id, 1.0), after=100.0)
    )
    assert retry.start_within_ms == pytest.approx(start_within_ms)


@pytest.mark.parametrize(("probing", "earned"), [(True, 0.05), (False, 0.5)])
@pytest.mark.parametrize("hedges", [True, False])
def test_requests_earn_less_retry_budget_if_health_checks_are_allowed(probing, hedges, earned):
    # Guards against cancelling a quarter of all attempts: where endpoints do not stop, each of them runs
    # twice.
    rig = RouterRig(policyLimits__probing=probing, policyLimits__secondCopies=hedges)
    rig.router.retry_budget.balance = 0.0
    rig.feed(RequestArrived("a", "look", 5000.0))
    assert rig.router.retry_budget.balance == pytest.approx(earned * 0.5)


def in_flight_request(rig, request_id="a", expected_ms=100.0):
    """A request whose first attempt is in flight."""
    rig.feed(RequestArrived(request_id, "look", 4000.0, expected_ms=expected_ms))
    return rig.router.lifecycle.requests[request_id]


def test_retry_cost_is_relative_to_a_mean_request():
    rig = RouterRig()
    budget, request = rig.router.retry_budget, in_flight_request(rig)
    rig.router.classes.mean_slot_ms = 200.0
    budget.balance = 0.5
    assert budget.can_afford(request)
    budget.spend(request)
    assert budget.balance == 0.0 and not budget.can_afford(request)


def test_retry_budget_holds_at_most_twenty_retries():
    rig = RouterRig()
    budget = rig.router.retry_budget
    assert budget.balance == 1.0
    for _ in range(500):
        budget.earn()
    assert budget.balance == 20.0


def test_failed_retries_lower_the_success_rate():
    rig = RouterRig()
    budget, request = rig.router.retry_budget, in_flight_request(rig)
    # A request that was not retried does not count.
    budget.record_outcome(request, completed=False)
    assert budget.success_rate == 0.5
    request.attempts.append(request.attempts[0])
    budget.record_outcome(request, completed=False)
    assert budget.success_rate == pytest.approx(0.45)
    budget.record_outcome(request, completed=True)
    assert budget.success_rate == pytest.approx(0.505)


def test_number_of_attempts_is_limited_regardless_of_budget():
    rig = RouterRig(policyLimits__mostHandOffs=1.0)
    budget, request = rig.router.retry_budget, in_flight_request(rig)
    budget.balance = 20.0
    assert not budget.can_afford(request)


@pytest.mark.parametrize(
    ("scope", "allowed"),
    [("cell", {"w0", "w2"}), ("zone", {"w0", "w1", "w2", "w3"}), ("all", {"w0", "w1", "w2", "w3"})],
)
def test_keyed_request_is_retried_within_the_scope_of_its_key(scope, allowed):
    rig = RouterRig(categories__1__keyScope=scope, endpoints=4)
    rig.feed(RequestArrived("a", "store", 4000.0))
    request = rig.router.lifecycle.requests["a"]
    request.attempts[0].endpoint = rig.router.endpoints.find("w0")
    request.attempts[0].result = AttemptResult.ERRORED
    policy = rig.router.retry_policy
    endpoints = rig.router.endpoints.all
    assert {
        each.endpoint_id for each in endpoints if policy.may_attempt_at(request, each, rig.now)
    } == allowed
    assert policy.may_retry(request, rig.now) and not policy.may_retry(request, rig.now + 2900.0)
    assert policy.client_may_retry(request) == (scope == "all")
