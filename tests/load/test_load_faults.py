"""Which links a fault of a scenario strikes, and when."""

import json

import pytest
from support.event_loop import on_loop

from dunepulley.load import faults, links
from dunepulley.load.record import Record
from dunepulley.model.scenario import Fault, Scenario


def fault(kind, from_s=0.0, to_s=1.0, one="n0", other="w0", **more):
    figures = {"kind": kind, "from_s": from_s, "to_s": to_s, "one": one, "other": other} | more
    lines = [f"{name} = {json.dumps(value)}" for name, value in figures.items()]
    return "\n".join(["[[fault]]", *lines, ""])


DAY = Scenario(dispatchers=3, workers=4, zones=2, way="common")


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
def test_whom_a_fault_between_two_means(one, other, links):
    (each,) = faults.planned(DAY._replace(faults=(Fault("cut", 0.0, 1.0, one, other),)), 1)
    assert set(each.links) == links and len(each.links) == len(links)


def test_a_part_is_drawn_by_the_seed_and_is_at_least_one():
    scenario = DAY._replace(faults=(Fault("kill", 0.0, 1.0, "dispatchers", part=0.1),))
    assert {tuple(faults.planned(scenario, seed)[0].who) for seed in range(20)} == {("n0",), ("n1",), ("n2",)}
    assert faults.planned(scenario, 3)[0].who == faults.planned(scenario, 3)[0].who


@pytest.mark.parametrize(
    ("way", "caller", "struck"),
    [
        ("there", ("n0", "w0"), (links.THERE,)),
        ("there", ("w0", "n0"), (links.BACK,)),
        ("back", ("n0", "w0"), (links.BACK,)),
        ("back", ("w0", "n0"), (links.THERE,)),
        ("both", ("n0", "w0"), (links.THERE, links.BACK)),
    ],
)
def test_a_cut_one_way_strikes_what_goes_from_one_to_the_other_whoever_calls(way, caller, struck):
    fault = Fault("cut", 0.0, 1.0, "n0", "w0", way)
    (each,) = faults.planned(DAY._replace(faults=(fault,)), 1)
    assert each.ways(caller) == struck


@on_loop
async def test_faults_over_each_other_leave_a_link_to_the_last_of_them():
    some = (
        Fault("cut", 0.0, 1.0, "n0", "w0", "there"),
        Fault("slow", 0.0, 1.0, "n0", "workers", size=30.0),
        Fault("refuse", 0.0, 1.0, "n0", "w0"),
    )
    planned = faults.planned(DAY._replace(faults=some), 1)
    record = Record(lambda: 0.0)
    async with faults.Faults(planned, record, 1) as net:
        link = net.links["n0", "w0"]
        there, back = link.ways[links.THERE], link.ways[links.BACK]

        def stands(*active):
            net.active = {each.number: each for each in planned if each.number in active}
            net._apply(net.links)
            return not there.whole.is_set(), not back.whole.is_set(), there.late_ms, link.refusing

        assert stands(0, 1, 2) == (True, False, 30.0, True)
        assert stands(1, 2) == (False, False, 30.0, True)
        assert stands(0) == (True, False, 0.0, False)
        assert stands() == (False, False, 0.0, False)
        assert net.links["n0", "w1"].ways[links.THERE].late_ms == 0.0
