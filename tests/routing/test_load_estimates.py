"""The estimate of slots held by other dispatchers at each endpoint."""

import pytest
from routing_support import endpoints_of, large_fleet, other_slots, set_other_slots, set_slots
from support.router_rig import RouterRig, commands_of, endpoint_entry

from dunepulley.routing.commands import StartAttempt
from dunepulley.routing.events import (
    AttemptEnded,
    AttemptResult,
    EndpointListUpdate,
    ListUpdateKind,
    RequestArrived,
)


@pytest.mark.parametrize("load_report", [None, {"x0": 0.0, "queue": 4.0}])
def test_endpoints_are_tried_again_after_all_were_full(load_report):
    # Estimates decay towards the mean of all endpoints. If each has rejected a request and no attempt is in
    # flight whose response could correct the estimates, the mean must fall too, or nothing is ever sent
    # again.
    rig = RouterRig(endpoints=4)
    sent = []
    for number in range(80):
        arrived = RequestArrived(f"a{number}", "look", 5000.0, expected_ms=50.0)
        attempts = commands_of(StartAttempt, rig.feed(arrived, after=125.0))
        while attempts:
            request_id, endpoint, *_ = attempts.pop()
            sent.append(number)
            last = len(rig.sent[request_id]) - 1
            rejected = AttemptEnded(
                request_id, last, AttemptResult.REJECTED, endpoint, 1.0, False, load_report
            )
            attempts += commands_of(StartAttempt, rig.feed(rejected))
    # The first request finds all four endpoints full; later requests are tried within the ten seconds.
    assert sent[:4] == [0] * 4 and len(sent) >= 8


def test_live_capacity_changes_the_load_estimate_not_the_capacity():
    rig = RouterRig(endpoints=0, weightSource="live")
    rig.feed(
        EndpointListUpdate(
            ListUpdateKind.FULL, tuple(endpoint_entry(number, capacity=8.0) for number in range(3))
        )
    )
    set_slots(rig, 4.0)
    rig.router.endpoints.slots_by_kind["box"] = 4.0
    for _ in range(6):
        rig.feed(
            EndpointListUpdate(
                ListUpdateKind.CHANGES, (endpoint_entry(0, capacity=4.0), endpoint_entry(1, capacity=2.0))
            ),
            after=700.0,
        )
    # Capacities do not change, and an endpoint that is missing from an update keeps its estimate.
    assert [endpoint.capacity for endpoint in endpoints_of(rig)] == [8.0] * 3
    assert other_slots(rig) == pytest.approx([4.0, 12.0, 0.0], abs=0.5)


def test_load_of_warm_endpoints_does_not_raise_estimates_of_warming_ones():
    # Guards against new endpoints that stay idle during a rollout, because their estimates
    # decay to the mean of all queues.
    entries = [endpoint_entry(k, since=100000.0 if k < 30 else 0.0) for k in range(60)]
    rig = large_fleet(entries=entries, now=100000.0)
    set_other_slots(rig, 9.0, slice(30, None))
    for _ in range(40):
        rig.feed(after=250.0)
    estimates = other_slots(rig)
    assert max(estimates[:30]) == 0.0 and min(estimates[30:]) > 8.0
