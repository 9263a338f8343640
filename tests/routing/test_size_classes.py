"""Size classes: short and long requests go to different pools of endpoints."""

from random import Random

import pytest
from routing_support import large_fleet, serve_request, set_other_slots
from support.router_rig import endpoint_entry

from dunepulley.routing.events import RequestArrived
from dunepulley.routing.size_classes import POOL_COUNT


@pytest.mark.parametrize("slots", [(1.0, 1.0), (4.0, 2.0)])
def test_dispatchers_agree_on_separate_pools_for_short_and_long_requests(slots):
    # Guards against short requests that queue behind long ones: with many dispatchers, none of them knows
    # where a slot is available. Requests of several slots wait for all of them, which takes longest among
    # long ones.
    short, long = [], []
    for dispatcher in range(5):
        rig = large_fleet(dispatcher)
        for number in range(300):
            request_slots = slots[0] if number % 4 == 1 else slots[1] if number % 4 == 2 else 1.0
            endpoint = serve_request(rig, f"a{number}", 40.0 if number % 2 else 400.0, slots=request_slots)
            if number >= 100:
                (short if number % 2 else long).append(endpoint)
    assert 8 <= len(set(short)) <= 60 / POOL_COUNT and len(set(long)) >= 45
    assert sum(endpoint in short for endpoint in long) < 0.25 * len(long)


def test_new_process_uses_size_classes_from_its_fifth_request():
    # Guards against a rollout in which two hundred new processes send their requests of the first 5 s to any
    # endpoint.
    rig = large_fleet()
    for number in range(6):
        rig.feed(RequestArrived(f"a{number}", "look", 5000.0, expected_ms=100.0 + number), after=200.0)
    requests = rig.router.lifecycle.requests
    has_class = [requests[f"a{number}"].size_class >= 0 for number in range(6)]
    assert has_class == [False] * 4 + [True] * 2


def test_no_request_goes_to_an_endpoint_too_slow_for_its_deadline():
    # Guards against wasted work while the fleet is overloaded: a cancelled attempt may keep running.
    rig = large_fleet(entries=[endpoint_entry(k, kind="slow" if k % 2 else "box") for k in range(60)])
    for number in range(30):
        serve_request(rig, f"a{number}", 300.0)
    slow = rig.router.run_times.by_kind["slow"]
    slow.observed_ms, slow.expected_ms = 3000.0, 1000.0
    set_other_slots(rig, 9.0, slice(None, None, 2))  # no slot is available at the fast endpoints
    assert serve_request(rig, "late", 300.0) is None
    assert serve_request(rig, "short", 30.0)


@pytest.mark.parametrize(("dispatchers", "endpoints"), [(3, 60), (40, 20)])
def test_no_size_classes_with_few_dispatchers_or_endpoints(dispatchers, endpoints):
    rig = large_fleet(dispatchers=dispatchers, entries=[endpoint_entry(k) for k in range(endpoints)])
    for number in range(100):
        serve_request(rig, f"a{number}", 40.0 if number % 2 else 400.0)
    assert not rig.router.size_classes.pools


def test_pools_of_short_requests_receive_less_work():
    # Guards against equally long queues for short requests, which tolerate the least waiting: under load,
    # half of the requests of the lowest class were late or abandoned.
    size_classes, random, work = large_fleet().router.size_classes, Random(3), [0.0] * POOL_COUNT
    for number in range(3000):
        expected_ms = 100.0 * random.lognormvariate(0.0, 1.0)
        pool = size_classes.assign(expected_ms, slots=1.0)
        work[max(0, pool)] += expected_ms if number >= 300 else 0.0
    fractions = [each / sum(work) for each in work]
    assert fractions == sorted(fractions) and 0.14 < fractions[0] < 0.21 and fractions[-1] < 0.34
