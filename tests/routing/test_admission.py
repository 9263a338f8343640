"""Admission: the time that a request has already spent, priorities, and tenant quotas."""

import pytest
from routing_support import set_slots
from support.router_rig import RouterRig, commands_of

from dunepulley.routing.admission import TenantQuotas
from dunepulley.routing.commands import Reject, StartAttempt
from dunepulley.routing.events import AttemptEnded, AttemptResult, ClientDisconnected, RequestArrived


@pytest.mark.parametrize("marks", [True, False])
@pytest.mark.parametrize(
    ("earlier", "timeout_ms", "is_retry", "in_time"),
    [
        ([4000.0] * 20, 4000.0, False, True),
        # Two seconds of the timeout are spent, and the latency objective is half a second.
        ([4000.0] * 20, 2000.0, True, False),
        ([4000.0] * 20, 3900.0, True, True),
        # Clients with varying timeouts.
        ([4000.0, *[900.0, 300.0, 700.0] * 10], 600.0, False, True),
        ([4000.0, *[900.0, 300.0, 700.0] * 10], 700.0, True, True),
    ],
)
def test_time_is_deducted_only_from_client_retries(marks, earlier, timeout_ms, is_retry, in_time):
    rig = RouterRig(clients__marksRetry=marks)
    for number, earlier_ms in enumerate(earlier):
        (sent,) = commands_of(
            StartAttempt, rig.feed(RequestArrived(str(number), "look", earlier_ms), after=1.0)
        ) or [None]
        if sent:
            rig.feed(
                AttemptEnded(str(number), 0, AttemptResult.COMPLETED, sent.endpoint_id, 1.0, True), after=1.0
            )
    commands = rig.feed(RequestArrived("a", "look", timeout_ms, is_retry=marks and is_retry))
    assert (
        bool(commands_of(StartAttempt, commands)) is in_time
        and bool(commands_of(Reject, commands)) is not in_time
    )


@pytest.mark.parametrize(("stall_ms", "is_sent"), [(0.0, True), (400.0, True), (1200.0, False)])
def test_latency_objective_counts_from_arrival_before_a_stall(stall_ms, is_sent):
    rig = RouterRig(endpoints=1, clients__marksRetry=True)
    set_slots(rig, 99.0)
    for number in range(9):
        rig.feed(
            RequestArrived(f"a{number}", "look", 5000.0, expected_ms=1.0),
            ClientDisconnected(f"a{number}"),
            after=1.0,
        )
    rig.now += max(0.0, rig.router.timers.alarm_at_ms - rig.now) if stall_ms else 0.0
    # Guards against work that can only complete late: it is due 500 ms after its arrival, not after the
    # stall.
    commands = rig.feed(RequestArrived("b", "look", 5000.0 - stall_ms, expected_ms=1.0), after=stall_ms)
    assert bool(commands_of(StartAttempt, commands)) == is_sent


def test_tenant_saves_up_at_most_five_requests():
    quotas = TenantQuotas({"a": 0.5, "b": 0.25})
    # Each request credits the tenant with half a request: its savings of five are spent after nine.
    assert [quotas.is_over("a") for _ in range(12)] == [False] * 9 + [True, False, True]
    # Meanwhile the other tenant was credited, up to the limit.
    assert [quotas.is_over("b") for _ in range(8)] == [False] * 6 + [True] * 2


def test_tenant_without_quota_is_never_over_quota():
    quotas = TenantQuotas({"a": 1.0})
    assert not any(quotas.is_over("?") for _ in range(20))


def test_request_takes_as_many_slots_as_its_memory_needs():
    rig = RouterRig(endpoints=1)
    rig.feed(RequestArrived("a", "look", 4000.0, slots=2.0, memory=3.0))
    rig.feed(RequestArrived("b", "look", 4000.0, slots=2.0, memory=1.0))
    assert [rig.router.lifecycle.requests[name].slots for name in "ab"] == [3.0, 2.0]


@pytest.mark.parametrize(
    ("pays_by", "priorities"), [("request", [5.0 / 50.0, 5.0 / 200.0]), ("work", [5.0, 5.0])]
)
def test_priority_is_class_weight_per_ms_unless_value_scales_with_work(pays_by, priorities):
    rig = RouterRig(endpoints=0, payoffBy=pays_by)
    for number, expected_ms in enumerate((50.0, 200.0)):
        rig.feed(RequestArrived(str(number), "look", 4000.0, expected_ms=expected_ms))
    requests = rig.router.lifecycle.requests
    assert [requests[name].priority for name in "01"] == pytest.approx(priorities)
