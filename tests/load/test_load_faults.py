"""The links and processes that a scenario's faults affect, and the effect on links."""

import json

import pytest
from support.event_loop import on_loop

from dunepulley.load import faults, links
from dunepulley.load.record import Record
from dunepulley.model.scenario import Fault, Scenario


def fault(kind, from_s=0.0, to_s=1.0, one="n0", other="w0", **more):
    fields = {"kind": kind, "from_s": from_s, "to_s": to_s, "one": one, "other": other} | more
    lines = [f"{name} = {json.dumps(value)}" for name, value in fields.items()]
    return "\n".join(["[[fault]]", *lines, ""])


SCENARIO = Scenario(dispatchers=3, workers=4, zones=2, way="common")


@pytest.mark.parametrize(
    ("one", "other", "links"),
    [
        ("clients", "n1", {("clients", "n1")}),
        ("n1", "clients", {("clients", "n1")}),
        ("dispatchers@z0", "discovery", {("n0", "discovery"), ("n2", "discovery")}),
        ("n1", "workers@z1", {("n1", "w1"), ("n1", "w3"), ("w1", "n1"), ("w3", "n1")}),
        ("agents", "agents", {("hz0", "hz1"), ("hz1", "hz0")}),
        ("agents@z1", "n0", {("hz1", "n0")}),
    ],
)
def test_resolves_the_ends_of_a_link_fault(one, other, links):
    (each,) = faults.plan_faults(SCENARIO._replace(faults=(Fault("cut", 0.0, 1.0, one, other),)), 1)
    assert set(each.links) == links and len(each.links) == len(links)


def test_draws_at_least_one_target_by_the_seed():
    scenario = SCENARIO._replace(faults=(Fault("kill", 0.0, 1.0, "dispatchers", part=0.1),))
    assert {tuple(faults.plan_faults(scenario, seed)[0].processes) for seed in range(20)} == {
        ("n0",),
        ("n1",),
        ("n2",),
    }
    assert faults.plan_faults(scenario, 3)[0].processes == faults.plan_faults(scenario, 3)[0].processes


@pytest.mark.parametrize(
    ("way", "caller", "directions"),
    [
        ("there", ("n0", "w0"), (links.FORWARD,)),
        ("there", ("w0", "n0"), (links.BACKWARD,)),
        ("back", ("n0", "w0"), (links.BACKWARD,)),
        ("back", ("w0", "n0"), (links.FORWARD,)),
        ("both", ("n0", "w0"), (links.FORWARD, links.BACKWARD)),
    ],
)
def test_one_way_cut_affects_the_direction_from_one_to_other_for_either_caller(way, caller, directions):
    fault = Fault("cut", 0.0, 1.0, "n0", "w0", way)
    (each,) = faults.plan_faults(SCENARIO._replace(faults=(fault,)), 1)
    assert each.directions(caller) == directions


@on_loop
async def test_overlapping_faults_combine_on_a_link():
    overlapping = (
        Fault("cut", 0.0, 1.0, "n0", "w0", "there"),
        Fault("slow", 0.0, 1.0, "n0", "workers", size=30.0),
        Fault("refuse", 0.0, 1.0, "n0", "w0"),
    )
    planned = faults.plan_faults(SCENARIO._replace(faults=overlapping), 1)
    record = Record(lambda: 0.0)
    async with faults.Faults(planned, record, 1) as running_faults:
        link = running_faults.links["n0", "w0"]
        forward, backward = link.directions[links.FORWARD], link.directions[links.BACKWARD]

        def state_with(*active):
            running_faults.active = {each.number: each for each in planned if each.number in active}
            running_faults._apply(running_faults.links)
            return (
                not forward.connected.is_set(),
                not backward.connected.is_set(),
                forward.delay_ms,
                link.refusing,
            )

        assert state_with(0, 1, 2) == (True, False, 30.0, True)
        assert state_with(1, 2) == (False, False, 30.0, True)
        assert state_with(0) == (True, False, 0.0, False)
        assert state_with() == (False, False, 0.0, False)
        assert running_faults.links["n0", "w1"].directions[links.FORWARD].delay_ms == 0.0
