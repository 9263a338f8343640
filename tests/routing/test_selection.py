"""Endpoint selection: available slots, open connections, speed, zones and kinds."""

import pytest
from routing_support import endpoints_of, set_slots
from support.router_rig import RouterRig, commands_of, endpoint_entry

from dunepulley.routing.commands import StartAttempt
from dunepulley.routing.events import (
    AttemptEnded,
    AttemptResult,
    EndpointListUpdate,
    ListUpdateKind,
    RequestArrived,
)


@pytest.mark.parametrize("price", [0.05, 0.0])
def test_open_connection_is_preferred_if_handshakes_have_a_price(price):
    rig = RouterRig(endpoints=6, prices__handshake=price, policyLimits__connIdleMs=15000.0)
    set_slots(rig, 2.0)
    chosen = set()
    for number in range(12):
        first = commands_of(StartAttempt, rig.feed(RequestArrived(f"a{number}", "look", 5000.0), after=30.0))[
            0
        ]
        rig.feed(
            AttemptEnded(f"a{number}", 0, AttemptResult.COMPLETED, first.endpoint_id, 5.0, True), after=5.0
        )
        chosen.add(first.endpoint_id)
    # Guards against a handshake for each request: with evenly spread turns every connection would time out.
    assert len(chosen) == (1 if price else 6)


def test_endpoints_too_slow_for_a_request_are_avoided():
    rig = RouterRig(endpoints=2, categories__0__dueTimeMs=1000.0)
    set_slots(rig, 9.0)
    slow = endpoints_of(rig)[0]
    slow.observed_run_ms, slow.expected_run_ms = 90000.0, 30000.0
    attempts = []
    for number in range(6):
        arrived = RequestArrived(f"a{number}", "look", 5000.0, expected_ms=600.0)
        attempts += commands_of(StartAttempt, rig.feed(arrived, after=1.0))
        arrived = RequestArrived(f"b{number}", "look", 5000.0, expected_ms=10.0)
        attempts += commands_of(StartAttempt, rig.feed(arrived, after=1.0))
    # Guards against long requests that can only complete late there; short ones are sent to both endpoints.
    assert {attempt.endpoint_id for attempt in attempts if attempt.request_id[0] == "a"} == {"w1"}
    assert "w0" in {attempt.endpoint_id for attempt in attempts if attempt.request_id[0] == "b"}


def test_endpoint_on_probation_gets_one_request_at_a_time():
    rig = RouterRig(endpoints=1)
    set_slots(rig, 9.0)
    rig.router.outliers.eject(endpoints_of(rig)[0], rig.now)
    rig.now = endpoints_of(rig)[0].ejected_until_ms
    sent = []
    for name in "abc":
        sent += commands_of(StartAttempt, rig.feed(RequestArrived(name, "look", 5000.0, expected_ms=10.0)))
    assert [attempt.request_id for attempt in sent] == ["a"]
    # Once it completes, the others follow.
    completed = AttemptEnded("a", 0, AttemptResult.COMPLETED, "w0", 5.0, True)
    assert len(commands_of(StartAttempt, rig.feed(completed, after=5.0))) == 2


@pytest.mark.parametrize(("cross_zone_price", "zones"), [(0.05, {"here"}), (0.0, {"here", "there"})])
def test_own_zone_is_preferred_if_cross_zone_traffic_has_a_price(cross_zone_price, zones):
    rig = RouterRig(endpoints=0, zone="here", prices__crossZone=cross_zone_price)
    entries = tuple([endpoint_entry(number, zone=("here", "there")[number % 2]) for number in range(4)])
    rig.feed(EndpointListUpdate(ListUpdateKind.FULL, entries))
    set_slots(rig, 9.0)
    chosen = set()
    for number in range(8):
        sent = commands_of(
            StartAttempt, rig.feed(RequestArrived(f"a{number}", "look", 5000.0, expected_ms=10.0))
        )
        chosen.add(rig.router.endpoints.find(sent[0].endpoint_id).zone)
    assert chosen == zones


def test_class_with_required_kind_goes_to_that_kind_only():
    rig = RouterRig(endpoints=0, kinds=("box", "large"), familyInfo__classKind=(1.0, -1.0, -1.0))
    entries = tuple([endpoint_entry(number, kind=("box", "large")[number == 3]) for number in range(4)])
    rig.feed(EndpointListUpdate(ListUpdateKind.FULL, entries))
    set_slots(rig, 9.0)
    sent = []
    for number in range(5):
        sent += commands_of(
            StartAttempt, rig.feed(RequestArrived(f"a{number}", "look", 5000.0, expected_ms=10.0))
        )
    assert [attempt.endpoint_id for attempt in sent] == ["w3"] * 5
