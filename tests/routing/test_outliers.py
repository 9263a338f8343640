"""Ejection of failing endpoints, and how many requests a failure costs."""

import pytest
from routing_support import concentration, endpoints_of, large_fleet
from support.router_rig import RouterRig, commands_of

from dunepulley.routing.commands import Fail, Reject, StartAttempt
from dunepulley.routing.events import AttemptEnded, AttemptResult, AttemptStarted, RequestArrived, TimerFired


@pytest.mark.parametrize(
    ("result", "attempts"),
    [
        (AttemptResult.CONNECT_FAILED, 1),
        (AttemptResult.CONNECTION_LOST, 1),
        (AttemptResult.ERRORED, 2),
        (AttemptResult.REJECTED, 1),
    ],
)
def test_a_faulty_endpoint_is_ejected_for_a_while(result, attempts):
    rig = RouterRig(endpoints=1)
    for number in range(attempts):
        first = commands_of(StartAttempt, rig.feed(RequestArrived(f"a{number}", "pay", 5000.0)))[0]
        rig.feed(AttemptEnded(f"a{number}", 0, result, first.endpoint_id))
    # Guards against flooding a broken endpoint: the next request is queued, then one attempt goes there.
    assert not commands_of(StartAttempt, rig.feed(RequestArrived("b", "look", 5000.0, expected_ms=100.0)))
    later = [
        commands_of(StartAttempt, rig.feed(TimerFired(rig.router.timers.token), after=50.0))
        for _ in range(40)
    ]
    assert any(later) or rig.answer["b"] == Reject.__name__


def test_unprocessable_request_fails_at_once_without_ejection():
    rig = RouterRig()
    for number in range(8):
        (sent,) = commands_of(StartAttempt, rig.feed(RequestArrived(str(number), "look", 4000.0)))
        commands = rig.feed(
            AttemptEnded(str(number), 0, AttemptResult.UNPROCESSABLE, sent.endpoint_id, 1.0), after=1.0
        )
        assert commands_of(Fail, commands) and not commands_of(StartAttempt, commands)
    endpoints = endpoints_of(rig)
    assert not any([endpoint.error_score for endpoint in endpoints])
    assert not any([endpoint.ejected_until_ms for endpoint in endpoints])
    assert not rig.router.lifecycle.requests


def test_zone_outage_costs_few_requests_and_does_not_overload_other_zones():
    # Guards against forty dispatchers that each keep trying the lost endpoints, or that all move to the same
    # few other endpoints.
    lost_endpoints = {f"w{k}" for k in range(0, 60, 3)}
    lost, completed = 0, dict.fromkeys([f"w{k}" for k in range(60) if k % 3], 0)
    for dispatcher in range(40):
        rig = large_fleet(dispatcher)
        for number in range(60):
            request_id = f"a{number}"
            # All requests differ in size, so that they go to all size classes.
            work_ms = 40.0 + 10.0 * ((7 * number + dispatcher) % 60)
            arrived = RequestArrived(request_id, "look", 5000.0, expected_ms=work_ms)
            sent = commands_of(StartAttempt, rig.feed(arrived, after=100.0))
            while sent and sent[0].endpoint_id in lost_endpoints:
                lost += 1
                last = len(rig.sent[request_id]) - 1
                failed = AttemptEnded(request_id, last, AttemptResult.CONNECT_FAILED, sent[0].endpoint_id)
                sent = commands_of(StartAttempt, rig.feed(failed))
            if sent:
                last, endpoint = len(rig.sent[request_id]) - 1, sent[0].endpoint_id
                rig.feed(AttemptStarted(request_id, last), after=1.0)
                rig.feed(AttemptEnded(request_id, last, AttemptResult.COMPLETED, endpoint, 1.0, True))
                completed[endpoint] += 1
    assert lost < 0.35 * 40 * 60
    assert sum(completed.values()) > 0.98 * 40 * 60
    assert max(completed.values()) < 3.0 * sum(completed.values()) / len(completed)


def test_dispatchers_retry_an_ejected_endpoint_at_different_times():
    # Guards against forty dispatchers that send their first request after the ejection at the same time.
    ejection_ends_ms = []
    for number in range(40):
        router = large_fleet(number).router
        endpoint = router.endpoints.all[0]
        router.outliers.eject(endpoint, router.now)
        ejection_ends_ms.append(endpoint.ejected_until_ms)
    assert concentration(ejection_ends_ms, max(ejection_ends_ms) - min(ejection_ends_ms)) <= 0.35


def test_ejection_time_doubles_until_a_request_completes():
    router = RouterRig(endpoints=2).router
    endpoint, other = router.endpoints.all
    ejection_times_ms, now = [], router.now
    for _ in range(7):
        router.outliers.eject(endpoint, now)
        assert 0.75 * endpoint.ejection_ms <= endpoint.ejected_until_ms - now <= 1.25 * endpoint.ejection_ms
        ejection_times_ms.append(endpoint.ejection_ms)
        now = endpoint.ejected_until_ms
    assert ejection_times_ms == [500.0, 1000.0, 2000.0, 4000.0, 8000.0, 8000.0, 8000.0]
    router.outliers.record_success(endpoint)
    assert endpoint.ejection_ms == 0.0 and other.ejected_until_ms == 0.0
    router.outliers.eject(endpoint, now)
    assert endpoint.ejection_ms == 500.0


def test_ejected_endpoint_is_not_ejected_again():
    router = RouterRig(endpoints=1).router
    (endpoint,) = router.endpoints.all
    router.outliers.eject(endpoint, router.now)
    until_ms = endpoint.ejected_until_ms
    router.outliers.eject(endpoint, until_ms - 1.0)
    assert endpoint.ejected_until_ms == until_ms and endpoint.ejection_ms == 500.0


@pytest.mark.parametrize(
    ("results", "is_ejected"),
    [("e", False), ("ee", True), ("ese", False), ("esee", True), ("esesesesese", True), ("essesse", False)],
)
def test_ejects_after_two_errors_in_a_row_or_mostly_errors(results, is_ejected):
    router = RouterRig(endpoints=1).router
    (endpoint,) = router.endpoints.all
    for result in results:
        if result == "e":
            router.outliers.record_error(endpoint, router.now)
        else:
            router.outliers.record_success(endpoint)
    assert (endpoint.ejected_until_ms > router.now) is is_ejected
