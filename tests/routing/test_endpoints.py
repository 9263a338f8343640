"""The endpoint table and its incrementally updated orders of the ready endpoints."""

from random import Random

import pytest

from dunepulley.routing.endpoints import EndpointTable, total_capacity
from dunepulley.routing.events import EndpointEntry, EndpointState
from dunepulley.routing.hashing import fnv1a_64

READY, DRAINING, REMOVED = EndpointState.READY, EndpointState.DRAINING, EndpointState.REMOVED


def table_of(count, kind="box"):
    """A table of ready endpoints."""
    table = EndpointTable("7")
    for number in range(count):
        endpoint = table.add(f"w{number}", 0.0)
        table.set_location_and_kind(endpoint, EndpointEntry(endpoint.endpoint_id, kind=kind))
        table.set_state(endpoint, READY)
    table.refresh_orders()
    return table


def fully_sorted(table):
    """The orders of the ready endpoints, computed by their definition."""
    ready = [endpoint for endpoint in table.all if endpoint.state == READY]
    by_rank = sorted(ready, key=lambda each: (each.rank, each.index))
    by_fleet_rank = sorted(ready, key=lambda each: (each.fleet_rank, each.rank, each.index))
    return ready, by_rank, by_fleet_rank


@pytest.mark.parametrize("changes", [1, 5, 40, 200])  # per refresh: few are inserted, many cause a rebuild
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_incrementally_updated_orders_equal_full_sorting(seed, changes):
    random, table = Random(seed), table_of(100)
    for step in range(60):
        for _ in range(random.randrange(changes + 1)):
            if random.random() < 0.1:
                endpoint = table.add(f"new{len(table.all)}", float(step))
            else:
                endpoint = random.choice(table.all)
            table.set_state(endpoint, random.choice((READY, READY, DRAINING, REMOVED)))
        table.refresh_orders()
        assert (table.ready, table.by_rank, table.by_fleet_rank) == fully_sorted(table)


def test_repeated_state_changes_before_a_refresh_list_an_endpoint_once():
    table = table_of(40)
    for state in (DRAINING, READY, REMOVED, READY):
        assert table.set_state(table.all[3], state)
    assert not table.set_state(table.all[3], READY) and table.set_state(table.all[4], REMOVED)
    assert not table.set_state(table.all[4], DRAINING)
    table.refresh_orders()
    assert (table.ready, table.by_rank, table.by_fleet_rank) == fully_sorted(table)
    assert table.ready.count(table.all[3]) == 1 and table.all[4] not in table.ready


def test_rank_differs_by_dispatcher_and_fleet_rank_does_not():
    first, second = EndpointTable("1"), EndpointTable("2")
    endpoints = [(first.add(f"w{number}", 0.0), second.add(f"w{number}", 0.0)) for number in range(50)]
    assert all(0.0 <= endpoint.rank < 1.0 and 0.0 <= endpoint.fleet_rank < 1.0 for endpoint, _ in endpoints)
    assert all(endpoint.fleet_rank == counterpart.fleet_rank for endpoint, counterpart in endpoints)
    assert all(endpoint.rank != counterpart.rank for endpoint, counterpart in endpoints)


def test_endpoints_are_found_by_id_and_by_short_id():
    table = EndpointTable("")
    first = table.add("w0", 5.0)
    assert table.find("w0") is first and table.find("w1") is None
    assert first.index == 0 and first.reported_ms == 5.0 and first.rate == first.queue_length == -1.0
    assert first.short_id == fnv1a_64("w0") & 0xFFFF and table.by_short_id[first.short_id] is first
    # A short id that two endpoints share is ignored in gossip.
    numbers = (number for number in range(1, 10**6) if fnv1a_64(f"w{number}") & 0xFFFF == first.short_id)
    table.add(f"w{next(numbers)}", 5.0)
    assert table.by_short_id[first.short_id] is None


def test_endpoints_of_one_kind_have_the_maximum_slots_seen():
    table = table_of(2)
    large = table.add("large", 0.0)
    table.set_location_and_kind(large, EndpointEntry("large", kind="large"))
    table.raise_slots("box", 4.0)
    assert [endpoint.slots for endpoint in table.all] == [4.0, 4.0, 1.0]
    late = table.add("late", 0.0)
    table.set_location_and_kind(late, EndpointEntry("late", kind="box"))
    assert late.slots == 4.0


def test_reset_clears_learned_state_and_keeps_list_entry():
    table = table_of(1)
    (endpoint,) = table.all
    table.set_capacity(endpoint, 2.0, 9.0)
    endpoint.rate = endpoint.other_slots = endpoint.error_score = endpoint.ejected_until_ms = 3.0
    endpoint.last_report, endpoint.own_slots = {"rate": 3.0}, 1.0
    endpoint.reset(70.0)
    assert endpoint.rate == -1.0 and endpoint.reported_ms == 70.0 and endpoint.last_report is None
    assert endpoint.other_slots == endpoint.error_score == endpoint.ejected_until_ms == 0.0
    # Attempts of this dispatcher are still in flight there.
    assert endpoint.own_slots == 1.0
    assert (endpoint.kind, endpoint.capacity, endpoint.started_ms) == ("box", 2.0, 9.0)


def test_total_capacity_is_the_sum_of_capacities():
    table = table_of(3)
    for number, endpoint in enumerate(table.all):
        table.set_capacity(endpoint, float(number), 0.0)
    assert total_capacity(table.all) == 3.0 and total_capacity([]) == 0.0
