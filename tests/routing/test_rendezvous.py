"""The incrementally updated head of a key's order equals the head computed from all endpoints."""

from math import log
from random import Random

import pytest

from dunepulley.routing.hashing import fnv1a_64
from dunepulley.routing.rendezvous import KeyOrder, unit_fraction


def whole_order(key, ready, hashes, capacities):
    """All ready endpoints in the key's order, computed by its definition."""
    key_hash = fnv1a_64(key)
    return sorted(
        [
            (-log(unit_fraction(key_hash ^ hashes[index]) + 1e-12) / capacities[index], index)
            for index in ready
        ]
    )


@pytest.mark.parametrize("sizes", [(1.0,), (0.5, 1.0, 4.0), (1.0, 1.0, 1.0, 5000.0)])
@pytest.mark.parametrize("count", [1, 7, 40, 1500])
@pytest.mark.parametrize("min_count", [2, 64, 900])
def test_head_equals_the_start_of_the_whole_order(sizes, count, min_count):
    random = Random(count)
    hashes = [fnv1a_64(f"w{index}") for index in range(count)]
    capacities = [random.choice(sizes) for _ in range(count)]
    min_count = min(min_count, count)
    for key in ("a", "b", "another key"):
        order = KeyOrder(key)
        order.build(min_count, range(count), hashes, capacities)
        whole = whole_order(key, range(count), hashes, capacities)
        assert order.entries == whole[: len(order.entries)] and len(order.entries) >= min_count


def test_applied_changes_give_the_same_order_as_a_rebuild():
    random = Random(5)
    hashes = [fnv1a_64(f"w{index}") for index in range(900)]
    capacities = [random.choice((0.5, 1.0, 2.0)) for _ in hashes]
    ready = set(range(600))
    order = KeyOrder("key")
    order.build(80, sorted(ready), hashes, capacities)
    for _ in range(60):
        changed = {}
        for index in random.sample(range(900), 12):
            changed[index] = capacities[index]
            if random.random() < 0.5:
                capacities[index] = random.choice((0.5, 1.0, 2.0, 3.0))
            else:
                ready ^= {index}
        order.apply_changes(changed, hashes, capacities, {index: index in ready for index in changed})
        whole = whole_order("key", ready, hashes, capacities)
        assert order.entries == [entry for entry in whole if entry[0] <= order.bound]
    assert len(order.entries) > 40


def test_trimmed_order_keeps_its_head_and_applies_changes():
    hashes, capacities = [fnv1a_64(f"w{index}") for index in range(500)], [1.0] * 500
    order = KeyOrder("key")
    order.build(300, range(500), hashes, capacities)
    order.trim(40)
    assert order.entries == whole_order("key", range(500), hashes, capacities)[:40]
    order.apply_changes({7: 1.0}, hashes, capacities, {7: False})
    remaining = whole_order("key", [index for index in range(500) if index != 7], hashes, capacities)
    assert order.entries == remaining[: len(order.entries)] and len(order.entries) >= 39
