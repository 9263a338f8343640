"""Slowness of endpoints: running times as a multiple of the expected ones."""

import pytest
from routing_support import endpoints_of
from support.router_rig import RouterRig, endpoint_entry

from dunepulley.routing.events import EndpointListUpdate, ListUpdateKind


def rig_of(*kinds):
    """A router with one endpoint of each of these kinds."""
    rig = RouterRig(endpoints=0)
    entries = tuple([endpoint_entry(number, kind=kind) for number, kind in enumerate(kinds)])
    rig.feed(EndpointListUpdate(ListUpdateKind.FULL, entries))
    return rig


def test_endpoint_without_runs_is_as_slow_as_its_kind():
    rig = rig_of("box", "box", "other")
    run_times, (first, second, other) = rig.router.run_times, endpoints_of(rig)
    assert run_times.slowness(first, rig.now) == 1.0
    for _ in range(400):
        run_times.record(first, 300.0, 100.0)
    assert run_times.slowness(first, rig.now) == pytest.approx(3.0)
    assert (
        run_times.slowness(second, rig.now) == run_times.kind_slowness(second) == pytest.approx(3.0, abs=0.01)
    )
    assert run_times.slowness(other, rig.now) == 1.0


def test_first_running_time_does_not_determine_slowness_alone():
    rig = rig_of("box")
    run_times, (endpoint,) = rig.router.run_times, endpoints_of(rig)
    run_times.record(endpoint, 1000.0, 100.0)
    # The initial second at the speed of the kind, of which nine tenths remain, and the running time.
    assert run_times.slowness(endpoint, rig.now) == pytest.approx((900.0 + 1000.0) / (900.0 + 100.0))


def test_the_last_ten_running_times_of_an_endpoint_count():
    rig = rig_of("box")
    run_times, (endpoint,) = rig.router.run_times, endpoints_of(rig)
    for observed_ms in [900.0] * 50 + [100.0] * 22:
        run_times.record(endpoint, observed_ms, 100.0)
    # About a tenth of the earlier observations remains.
    assert run_times.slowness(endpoint, rig.now) == pytest.approx(1.0 + 8.0 * 0.9**22, abs=0.01)
