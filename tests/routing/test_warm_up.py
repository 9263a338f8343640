"""Warm-up of endpoints."""

import pytest

from dunepulley.routing.endpoints import EndpointTable
from dunepulley.routing.events import EndpointEntry, EndpointState
from dunepulley.routing.settings import SlowStartSettings
from dunepulley.routing.timers import INFINITY
from dunepulley.routing.warm_up import WarmUp

SETTINGS = SlowStartSettings(initial_capacity=0.2, warm_up_ms=10_000.0)


def table_of(*starts_ms):
    """A table of ready endpoints with these start times."""
    table = EndpointTable("")
    for number, started_ms in enumerate(starts_ms):
        endpoint = table.add(f"w{number}", 0.0)
        table.set_location_and_kind(endpoint, EndpointEntry(endpoint.endpoint_id))
        table.set_capacity(endpoint, 1.0, started_ms)
        table.set_state(endpoint, EndpointState.READY)
    return table


@pytest.mark.parametrize(
    ("age_ms", "fraction"),
    # A fifth at first, then twice as fast as in the settings, because work speeds up the warm-up.
    [(-5.0, 0.2), (0.0, 0.2), (2500.0, 0.6), (5000.0, 1.0), (9999.0, 1.0), (10_000.0, 1.0)],
)
def test_capacity_fraction_grows_with_age(age_ms, fraction):
    (endpoint,) = table_of(50_000.0).all
    assert WarmUp(SETTINGS).capacity_fraction(endpoint, 50_000.0 + age_ms) == pytest.approx(fraction)


def test_an_endpoint_that_started_long_ago_is_warm():
    (endpoint,) = table_of(0.0).all
    warm_up = WarmUp(SETTINGS)
    assert warm_up.age_ms(endpoint, 5.0) == INFINITY and not warm_up.is_warming_up(endpoint, 5.0)
    assert warm_up.capacity_fraction(endpoint, 5.0) == 1.0


def test_endpoints_are_tracked_until_they_are_warm():
    table, warm_up = table_of(3000.0, 1000.0, 0.0, 2000.0), WarmUp(SETTINGS)
    for endpoint in table.all:
        warm_up.track(endpoint, 4000.0)
    table.set_state(table.all[3], EndpointState.DRAINING)
    # Sorted by index; a draining endpoint is left out, but still tracked.
    assert warm_up.warming_endpoints(4000.0) == [table.all[0], table.all[1]]
    assert warm_up.warming_endpoints(11_500.0) == [table.all[0]]
    assert warm_up.candidates == {table.all[0], table.all[3]}
    assert not warm_up.warming_endpoints(13_000.0) and not warm_up.candidates
