"""Cache affinity: all dispatchers send requests with the same key to the same endpoints."""

from routing_support import report, set_slots
from support.router_rig import RouterRig, commands_of, endpoint_entry

from dunepulley.routing.commands import StartAttempt
from dunepulley.routing.events import (
    AttemptEnded,
    AttemptResult,
    EndpointListUpdate,
    EndpointState,
    ListUpdateKind,
    RequestArrived,
)


def test_all_dispatchers_send_a_key_to_the_same_endpoints():
    # Guards against filling the cache of every endpoint with the data of every key.
    rigs = [RouterRig(endpoints=12, seed=number, me=float(number)) for number in range(8)]
    for rig in rigs:
        set_slots(rig, 4.0)
    chosen = {key: set() for key in "pqrs"}
    for number in range(24):
        for rig in rigs:
            for key, endpoints in chosen.items():
                arrived = RequestArrived(f"{key}{number}", "look", 5000.0, affinity_key=key)
                endpoint = commands_of(StartAttempt, rig.feed(arrived, after=20.0))[0].endpoint_id
                done = AttemptResult.COMPLETED
                rig.feed(AttemptEnded(arrived.request_id, 0, done, endpoint, 5.0, True, report(5.0)))
                endpoints.add(endpoint)
    assert all(len(endpoints) == 2 for endpoints in chosen.values())
    assert len(set.union(*chosen.values())) > 4


def test_next_endpoint_in_key_order_replaces_an_ejected_one():
    rig = RouterRig(endpoints=12)
    affinity = rig.router.affinity
    affinity.record("key")
    first, second = next(affinity.groups("key", rig.now))
    first.ejected_until_ms = rig.now + 1.0
    group = next(affinity.groups("key", rig.now))
    assert group[0] is second and len(group) == 2 and first not in group
    assert next(affinity.groups("key", rig.now + 1.0)) == [first, second]


def test_key_with_more_traffic_has_more_endpoints():
    rig = RouterRig(endpoints=12)
    affinity = rig.router.affinity
    for number in range(100):
        affinity.record("often" if number % 2 else f"seldom {number}")
    counts = [sum(map(len, affinity.groups(key, rig.now))) for key in ("often", "seldom 2")]
    # Two more than the key's fraction of the traffic: half of the twelve endpoints, and none.
    assert counts == [7, 2]


def test_list_changes_are_applied_to_the_order_of_a_key():
    rig = RouterRig(endpoints=12)
    affinity = rig.router.affinity
    affinity.record("key")
    first, second = next(affinity.groups("key", rig.now))
    removed = endpoint_entry(first.index, EndpointState.REMOVED)
    rig.feed(EndpointListUpdate(ListUpdateKind.CHANGES, (removed,)))
    group = next(affinity.groups("key", rig.now))
    assert group[0] is second and first not in group
    rig.feed(EndpointListUpdate(ListUpdateKind.CHANGES, (endpoint_entry(first.index),)))
    assert next(affinity.groups("key", rig.now)) == [first, second]
