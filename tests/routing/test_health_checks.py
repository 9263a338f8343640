"""When health checks are sent."""

import pytest
from routing_support import large_fleet, report, set_other_slots, set_slots
from support.router_rig import RouterRig, commands_of

from dunepulley.routing.commands import CheckHealth, StartAttempt
from dunepulley.routing.events import (
    AttemptEnded,
    AttemptResult,
    HealthCheckEnded,
    RequestArrived,
    TimerFired,
)


def test_endpoints_are_checked_if_reports_come_only_from_health_checks():
    # Without checks the number of slots stays unknown, and each endpoint counts as one with a single slot.
    load_report = {"x0": 4.0, "queue": 0.0}
    rig = RouterRig(reporting__how="probe", policyLimits__probing=True, prices__probe=0.01)
    checked, sent = [], []
    for number in range(40):
        for command in rig.feed(RequestArrived(str(number), "look", 4000.0, expected_ms=100.0), after=20.0):
            if isinstance(command, CheckHealth):
                checked.append(command.endpoint_id)
                rig.feed(HealthCheckEnded(command.endpoint_id, AttemptResult.COMPLETED, 1.0, load_report))
            elif isinstance(command, StartAttempt):
                sent.append(command.endpoint_id)
    # Six at the start, then one for every two requests, and each endpoint as often as the others.
    assert 25 <= len(checked) <= 26 and {checked.count(f"w{number}") for number in range(4)} <= {6, 7}
    assert len(sent) >= 12, "most of the 16 slots should be in use, not one per endpoint"


@pytest.mark.parametrize(("report_source", "probing"), [("probe", False), ("answers", True), ("none", True)])
def test_requests_cause_no_health_check_with_other_report_sources(report_source, probing):
    rig = RouterRig(reporting__how=report_source, policyLimits__probing=probing)
    for number in range(9):
        assert not commands_of(CheckHealth, rig.feed(RequestArrived(str(number), "look", 4000.0)))


@pytest.mark.parametrize(
    ("report_source", "dispatchers", "is_checked"),
    [("answers", 1.0, True), ("none", 1.0, False), ("answers", 2.0, False)],
)
def test_endpoint_estimated_to_be_full_is_checked_periodically(report_source, dispatchers, is_checked):
    settings = {"reporting__how": report_source, "reporting__fields": ("x0",), "policyLimits__probing": True}
    rig = RouterRig(endpoints=1, balancers=dispatchers, **settings)
    rig.router.endpoints.slots_by_kind["box"] = 4.0
    set_slots(rig, 4.0)
    rig.feed(RequestArrived("a", "look", 4000.0))
    # The endpoint is full, and no report follows.
    rig.feed(AttemptEnded("a", 0, AttemptResult.REJECTED, "w0"), after=10.0)
    checks = sum([len(commands_of(CheckHealth, rig.feed(TimerFired(0), after=50.0))) for _ in range(60)])
    assert checks == (2 if is_checked else 0)  # in three seconds, from one second after the last report
    if is_checked:
        for slots in (3.0, 4.0):
            rig.feed(HealthCheckEnded("w0", AttemptResult.COMPLETED, 1.0, report(1.0, slots)), after=1100.0)
        assert commands_of(StartAttempt, rig.feed(RequestArrived("b", "look", 4000.0)))


def test_with_size_classes_no_endpoint_is_checked():
    # Guards against useless checks by forty dispatchers of sixty endpoints: a report is stale by the time of
    # the dispatcher's next attempt there.
    rig = large_fleet(policyLimits__probing=True, reporting__how="answers")
    set_other_slots(rig, 9.0)
    for _ in range(40):
        assert not commands_of(CheckHealth, rig.feed(after=250.0))
