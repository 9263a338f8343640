"""Updates of the endpoint list."""

import pytest
from support.router_rig import RouterRig, endpoint_entry

from dunepulley.routing.commands import Reject
from dunepulley.routing.events import (
    EndpointListUpdate,
    EndpointState,
    ListUpdateKind,
    RequestArrived,
    TimerFired,
)


@pytest.mark.parametrize(
    ("update", "ready"),
    [
        (
            EndpointListUpdate(ListUpdateKind.CHANGES, (endpoint_entry(0, EndpointState.REMOVED),)),
            {"w1", "w2"},
        ),
        (
            EndpointListUpdate(ListUpdateKind.FULL, (endpoint_entry(1),)),
            {"w1"},
        ),  # absence from a full list is removal
        (EndpointListUpdate(ListUpdateKind.FROM_DISK, (endpoint_entry(1), endpoint_entry(5))), {"w1", "w5"}),
        (EndpointListUpdate(ListUpdateKind.FAILED), {"w0", "w1", "w2"}),  # keep the old list
        # An endpoint that has restarted.
        (EndpointListUpdate(ListUpdateKind.CHANGES, (endpoint_entry(0, since=900.0),)), {"w0", "w1", "w2"}),
        (EndpointListUpdate(ListUpdateKind.FULL), set()),
    ],
)
def test_ready_endpoints_after_an_update(update, ready):
    rig = RouterRig(endpoints=3)
    rig.feed(update)
    endpoints = rig.router.endpoints
    assert {each.endpoint_id for each in endpoints.all if each.state == EndpointState.READY} == ready
    assert {each.endpoint_id for each in endpoints.ready} == ready
    if not ready:
        # Guards against losing requests while the list is empty: they are queued and then rejected.
        rig.feed(RequestArrived("a", "look", 700.0))
        for _ in range(20):
            rig.feed(TimerFired(rig.router.timers.token), after=50.0)
        assert rig.answer["a"] == Reject.__name__
