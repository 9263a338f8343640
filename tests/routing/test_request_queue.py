"""Queued requests: when and in which order they are served."""

import pytest
from routing_support import large_fleet, serve_request, set_other_slots
from support.router_rig import RouterRig, commands_of, endpoint_entry

from dunepulley.routing.commands import StartAttempt
from dunepulley.routing.events import EndpointListUpdate, ListUpdateKind, RequestArrived


@pytest.mark.parametrize(
    ("tenants", "first"),
    [(["a"] * 13 + ["a", "b"], "b"), (["a", "b"] * 7, "a"), (["a"] * 13 + ["a", "?"], "?")],
)
def test_tenant_over_quota_is_served_last(tenants, first):
    parties = {"parties__count": 2.0, "parties__0__name": "a", "parties__1__name": "b", "overagePayoff": 0.1}
    rig = RouterRig(endpoints=0, parties__0__share=0.5, parties__1__share=0.5, **parties)
    for number, tenant in enumerate(tenants):
        rig.feed(RequestArrived(f"{number}-{tenant}", "look", 5000.0, tenant=tenant, expected_ms=100.0))
    # Guards against a flood of requests by one tenant: queued requests within their quota are served first.
    rig.router.queue.waiting = rig.router.queue.waiting[-2:]
    sent = commands_of(StartAttempt, rig.feed(EndpointListUpdate(ListUpdateKind.FULL, (endpoint_entry(0),))))
    assert sent[0].request_id.endswith(first)


def test_queued_request_is_served_after_size_classes_are_turned_off():
    # Guards against a burst that turns size classes off: a request queued for one of the pools would have no
    # endpoint to go to.
    rig = large_fleet()
    for number in range(30):
        serve_request(rig, f"a{number}", 300.0)
    set_other_slots(rig, 9.0)
    assert serve_request(rig, "queued", 300.0) is None
    rig.router.subset.arrivals_per_endpoint_s = 2.0
    rig.router.list_updates.choose_subset(rig.now)
    set_other_slots(rig, 0.0)
    rig.router.queue.mark_capacity_changed()
    assert commands_of(StartAttempt, rig.feed(after=1.0))
