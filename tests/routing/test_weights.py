"""The control period: weights from reported consumption rates."""

import pytest
from routing_support import (
    concentration,
    endpoints_of,
    feed_report,
    large_fleet,
    report,
    weights,
    weights_after,
)
from support.router_rig import RouterRig, commands_of, endpoint_entry

from dunepulley.routing.commands import StartAttempt
from dunepulley.routing.events import EndpointListUpdate, ListUpdateKind, RequestArrived
from dunepulley.routing.weights import CONTROL_PERIOD_MS


@pytest.mark.parametrize(
    ("reports", "order"),
    [
        ([report(9.0, 0.0), report(3.0, 0.0)], [0, 1]),  # weights follow the reported rate
        ([report(3.0, 0.0), report(9.0, 0.0)], [1, 0]),
        ([report(5.0, 0.0, 0.0), report(5.0, 0.0, 30.0)], [0, 1]),  # over the limit: 9/10
    ],
)
def test_weights_follow_reported_consumption(reports, order):
    shares = weights_after(RouterRig(endpoints=2), reports)
    assert shares[order[0]] > shares[order[1]]
    assert sum(shares) == pytest.approx(1.0, abs=0.1)


@pytest.mark.parametrize(
    "figures", [{"rate": 0.0}, {"rate": -5.0}, {"rate": 1e30}, {"x0": -3.0}, {"queue": 1e30}, {}]
)
def test_invalid_report_leaves_every_endpoint_its_minimum_weight(figures):
    rig = RouterRig(endpoints=4)
    for _ in range(5):
        shares = weights_after(rig, [figures, report(5.0), report(5.0), report(5.0)])
    assert min(shares) >= 0.25 / 4 * 0.99 and max(shares) < 0.5


@pytest.mark.parametrize("capacity", [0.0, -1.0, float("nan"), float("inf"), 1e-300])
@pytest.mark.parametrize("source", ["live", "rough", "nominal", 7.0, None])
def test_invalid_capacities_leave_every_endpoint_its_turns(capacity, source):
    rig = RouterRig(endpoints=3, weightSource=source)
    for size in (capacity, 2.0, capacity):
        rig.feed(EndpointListUpdate(ListUpdateKind.CHANGES, (endpoint_entry(0, capacity=size),)), after=700.0)
    rig.feed(after=CONTROL_PERIOD_MS)
    # Guards against a value that makes all weights zero.
    assert all(0.0 <= share <= 1.0 for share in weights(rig))
    assert commands_of(StartAttempt, rig.feed(RequestArrived("a", "look", 5000.0, affinity_key="k")))


@pytest.mark.parametrize("reports_first", [False, True])
def test_endpoints_without_recent_reports_are_weighted_by_capacity(reports_first):
    # Guards against sparse traffic that loads small endpoints as much as large ones: forty dispatchers
    # together would overload the small ones.
    rig = RouterRig(endpoints=0)
    sizes = [2.5, 7.5] * 10
    rig.feed(
        EndpointListUpdate(
            ListUpdateKind.FULL, tuple(endpoint_entry(k, capacity=size) for k, size in enumerate(sizes))
        )
    )
    assert weights(rig)[1] == pytest.approx(3.0 * weights(rig)[0])
    if reports_first:
        for number, size in enumerate(sizes):
            feed_report(rig, f"w{number}", report(size, 0.0))
    for _ in range(20):
        rig.feed(after=CONTROL_PERIOD_MS)
    assert weights(rig)[1] > 2.5 * weights(rig)[0]


def test_dispatchers_started_together_adjust_weights_at_different_times():
    # Guards against forty dispatchers that each adjust correctly, and together make the fleet oscillate.
    starts = []
    for number in range(40):
        router = large_fleet(number).router
        starts += [timer.due_ms for timer in router.timers.entries if timer.action == router._control_period]
    assert len(starts) == 40 and concentration(starts, CONTROL_PERIOD_MS) <= 0.3


def weights_after_period(*loads):
    """The weights of equal endpoints with these (rate, queue length, rejections) after one control period."""
    rig = RouterRig(endpoints=len(loads))
    for endpoint, (rate, queue_length, rejections) in zip(endpoints_of(rig), loads, strict=True):
        # All slots are in use, so that the rate is what the endpoint can serve; a rate of -1 is unknown.
        endpoint.used_slots_mean, endpoint.reported_ms = 1.0, rig.now
        endpoint.rate, endpoint.queue_length, endpoint.rejections = rate, queue_length, rejections
    rig.router.weights.update(rig.now)
    assert not any([endpoint.rejections for endpoint in endpoints_of(rig)])
    return weights(rig)


@pytest.mark.parametrize(
    ("loads", "expected"),
    [
        ([(5.0, 0.0, 0), (5.0, 0.0, 0)], [0.5, 0.5]),
        # Overloaded: the share moves half the way to nine tenths of its goal.
        ([(5.0, 30.0, 0), (5.0, 0.0, 0)], [0.475, 0.5]),
        # A queue of up to three requests, or of up to twice the mean of the others, is no overload.
        ([(5.0, 3.0, 0), (5.0, 0.0, 0)], [0.5, 0.5]),
        ([(5.0, 20.0, 0), (5.0, 10.0, 0)], [0.5, 0.5]),
        ([(5.0, 21.0, 0), (5.0, 10.0, 0)], [0.475, 0.5]),
        # If no queue is reported, a rejection means overload.
        ([(5.0, -1.0, 1), (5.0, -1.0, 0)], [0.475, 0.5]),
        ([(5.0, 0.0, 1), (5.0, 0.0, 0)], [0.5, 0.5]),
        # Half the way to the reported rate, then a fifth of the way back to the share by capacity.
        ([(9.0, 0.0, 0), (1.0, 0.0, 0)], [0.66, 0.34]),
        # An unknown rate counts as the mean.
        ([(9.0, 0.0, 0), (-1.0, 0.0, 0)], [0.5, 0.5]),
    ],
)
def test_weights_after_one_control_period(loads, expected):
    assert weights_after_period(*loads) == pytest.approx(expected)


def test_recent_errors_lower_a_weight():
    rig = RouterRig(endpoints=2)
    endpoints_of(rig)[0].error_score = 0.4
    rig.router.weights.update(rig.now)
    # Half the way to six sixteenths, then a fifth of the way back to the share by capacity.
    half_way = 0.5 + 0.5 * (0.6 / 1.6 - 0.5)
    assert weights(rig)[0] == pytest.approx(half_way + 0.2 * (0.5 - half_way))


def test_weight_is_at_least_a_quarter_of_the_capacity_share():
    rig = RouterRig(endpoints=4)
    for _ in range(20):
        for endpoint in endpoints_of(rig):
            endpoint.rate, endpoint.used_slots_mean, endpoint.queue_length = 5.0, 1.0, 0.0
        idle = endpoints_of(rig)[0]
        idle.rate, idle.queue_length = 0.0, 30.0
        rig.router.weights.update(rig.now)
    assert weights(rig)[0] == 0.25 * 0.25
