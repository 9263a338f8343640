"""The order of the events of one batch."""

from support.router_rig import RouterRig, commands_of, endpoint_entry

from dunepulley.routing.commands import StartAttempt
from dunepulley.routing.events import (
    ClientDisconnected,
    EndpointListUpdate,
    EndpointState,
    ListUpdateKind,
    RequestArrived,
    in_order,
)


def test_other_events_of_a_batch_come_before_new_requests():
    # Guards against a process that resumes after a stall and sends attempts to endpoints that were removed,
    # or for clients that have disconnected, because it handles the requests first.
    rig = RouterRig(endpoints=2)
    batch = [
        RequestArrived("a", "look", 4000.0),
        RequestArrived("b", "look", 4000.0),
        EndpointListUpdate(ListUpdateKind.CHANGES, (endpoint_entry(0, EndpointState.REMOVED),)),
        ClientDisconnected("a"),
    ]
    sent = commands_of(StartAttempt, rig.feed(*in_order(batch)))
    assert [(first.request_id, first.endpoint_id) for first in sent] == [("b", "w1")]
