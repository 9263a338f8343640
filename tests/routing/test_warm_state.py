"""Warm state: the learned state that one process exports and the next one imports."""

import json

import pytest
from routing_support import endpoints_of, feed_report, report, serve_request
from support.router_rig import RouterRig, endpoint_entry

from dunepulley.routing.endpoints import Endpoint
from dunepulley.routing.events import EndpointListUpdate, ListUpdateKind
from dunepulley.routing.warm_state import (
    CLASS_FIELDS,
    ENDPOINT_FIELDS,
    ROUTER_FIELDS,
    export_state,
    import_state,
)

# Versions exchange these keys, so they must not change.
ENDPOINT_KEYS = (
    *("since", "share", "rate", "heard", "queue", "busy", "others", "asked_at", "untold"),
    *("run_seen", "run_due", "wait_seen", "trouble", "out_until", "out_step"),
)


def rig_with_learned_state():
    """A router that has served requests and received reports."""
    rig = RouterRig(endpoints=3, reporting__how="answers")
    for number in range(30):
        serve_request(rig, f"a{number}", 50.0)
    for number in range(3):
        feed_report(rig, f"w{number}", report(3.0 + number, 2.0, 1.0))
    endpoints_of(rig)[1].error_score = 0.25
    return rig


def exported_json(rig):
    """The exported state as the next process reads it."""
    return json.loads(json.dumps(export_state(rig.router)))


def test_keys_of_the_exported_map_are_fixed():
    state = exported_json(rig_with_learned_state())
    assert set(state) == {"workers", "out", "kinds", "categories", "all"}
    assert set(state["workers"]) == set(ENDPOINT_KEYS)
    assert set(state["kinds"]) == {"kind_slots", "kind_size", "kind_runs"}
    assert set(state["categories"]) == {"look", "store", "pay"}
    assert set(state["categories"]["look"]) == {"run_sum", "run_count", "fresh", "steady"}
    assert set(state["all"]) == {"mean_work", "credit", "further_success", "want_used"}
    assert set(state["out"]) == set(state["workers"]["rate"]) == {"w0", "w1", "w2"}


def test_each_key_names_an_existing_attribute():
    assert set(ENDPOINT_FIELDS.values()) <= set(Endpoint.__dataclass_fields__)
    router = RouterRig().router
    assert all(hasattr(router.classes.get("look"), name) for name in CLASS_FIELDS.values())
    assert all(hasattr(getattr(router, part), name) for part, name in ROUTER_FIELDS.values())


def test_imported_state_is_exported_unchanged():
    old = rig_with_learned_state()
    new = RouterRig(endpoints=3, now=old.now, reporting__how="answers")
    state = exported_json(old)
    import_state(new.router, state)
    assert exported_json(new) == state
    assert [endpoint.slots for endpoint in endpoints_of(new)] == [2.0] * 3


def test_restarted_endpoint_imports_no_state():
    old = rig_with_learned_state()
    new = RouterRig(endpoints=0, now=old.now, reporting__how="answers")
    started = (endpoint_entry(0), endpoint_entry(1, since=old.now), endpoint_entry(2))
    new.feed(EndpointListUpdate(ListUpdateKind.FULL, started))
    import_state(new.router, exported_json(old))
    assert [endpoint.rate for endpoint in endpoints_of(new)] == [3.0, -1.0, 5.0]
    assert endpoints_of(new)[1].error_score == 0.0


@pytest.mark.parametrize(
    "state", [None, [], {}, {"workers": 5}, {"workers": {"since": {"w0": 0.0}, "rate": {"w0": float("nan")}}}]
)
def test_invalid_state_leaves_initial_values(state):
    rig = RouterRig(endpoints=3)
    fresh = exported_json(rig)
    import_state(rig.router, state)
    assert exported_json(rig) == fresh
