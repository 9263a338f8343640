"""Views of a router's state for operators and agents."""

import pytest
from routing_support import endpoints_of
from support.router_rig import RouterRig, endpoint_entry

from dunepulley.routing import inspection
from dunepulley.routing.events import EndpointListUpdate, EndpointState, ListUpdateKind, RequestArrived

NOW_MS = 50_000.0
# Ready, ejected, draining, removed, of another zone, and warming up.
ENTRIES = (
    endpoint_entry(0),
    endpoint_entry(1),
    endpoint_entry(2, EndpointState.DRAINING),
    endpoint_entry(3, EndpointState.REMOVED),
    endpoint_entry(4, zone="there", kind="large"),
    endpoint_entry(5, since=NOW_MS - 5000.0),
)


def inspected_router():
    """A router with the endpoints of `ENTRIES`."""
    rig = RouterRig(endpoints=0, now=NOW_MS, kinds=("box", "large"), familyInfo__classKind=(1.0, -1.0, 5.0))
    rig.feed(EndpointListUpdate(ListUpdateKind.FULL, ENTRIES))
    rig.router.endpoints.slots_by_kind |= {"box": 4.0}
    endpoints = endpoints_of(rig)
    endpoints[1].ejection_ms = endpoints[3].ejection_ms = 500.0
    endpoints[0].own_slots, endpoints[1].own_slots, endpoints[0].other_slots = 1.0, 2.0, 1.234
    return rig.router


def test_listed_and_avoided_endpoints_are_counted():
    assert inspection.count_endpoints(inspected_router()) == (5, 2)


def test_ejected_endpoints_include_only_listed_ones():
    assert inspection.ejected_endpoints(inspected_router()) == {"w1"}


def test_endpoint_description_for_operators():
    router = inspected_router()
    description = inspection.describe_endpoint(router, "w0")
    share = round(router.endpoints.all[0].share, 4)
    assert description == {"out": 1.0, "others": 1.23, "slots": 1.0, "share": share, "on trial": False}
    assert list(description) == ["out", "others", "slots", "share", "on trial"]
    assert inspection.describe_endpoint(router, "w1")["on trial"] is True
    assert inspection.describe_endpoint(router, "w9") == {}


def test_endpoint_slots_include_warm_slots():
    router = inspected_router()
    assert inspection.endpoint_slots(router, "w0") == (4.0, 4.0, 1.0)
    # A kind with unknown slots counts as the smallest known kind.
    assert inspection.endpoint_slots(router, "w4") == (4.0, 4.0, 0.0)
    assert inspection.endpoint_slots(router, "w5") == pytest.approx((4.0, 4.0 * (0.2 + 0.8 * 0.5), 0.0))
    assert inspection.endpoint_slots(router, "w9") == (0.0, 0.0, 0.0)


def test_zone_loads_are_sums_over_ready_endpoints():
    ready = [each for each in ENTRIES if each.state == EndpointState.READY]
    zones = inspection.zone_loads(inspected_router(), ready)
    # Three endpoints, of which one is ejected, so that the slots are those of the other two.
    assert zones["here"] == pytest.approx([3, 1, 8.0, 4.0 + 4.0 * 0.6, 3.0, 0, 0])
    assert zones["there"] == [1, 0, 4.0, 4.0, 0.0, 0, 0]


def test_required_kind_of_each_class():
    assert inspection.required_kinds(inspected_router()) == {"look": "large", "store": "", "pay": ""}


def test_expected_work_is_known_after_ten_runs_of_the_class():
    router = inspected_router()
    request = RequestArrived("a", "look", 4000.0, slots=2.0, memory=3.0)
    assert inspection.expected_work(router, request) == 0.0
    assert inspection.expected_work(router, request._replace(expected_ms=50.0)) == 150.0
    for _ in range(12):
        router.classes.get("look").record_run(100.0)
    assert inspection.expected_work(router, request) == 3.0 * router.classes.get("look").mean_run_ms()
    assert inspection.expected_work(router, request._replace(request_class="unlisted")) == 0.0
