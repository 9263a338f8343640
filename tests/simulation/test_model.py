"""The simulation: reproducible runs, checks of the rules, server models and comparisons of variants."""

import json
import re
import shutil
import sys
import tomllib
from pathlib import Path

import pytest

from dunepulley.__main__ import main
from dunepulley.model import compare
from dunepulley.model.routing_loader import UnusableVersionError, load_router
from dunepulley.model.scenario import Disturbance, RequestClass, Scenario, parse_scenario, zone_of
from dunepulley.model.server import Job, ModelServer
from dunepulley.model.simulated_time import BEGIN, SimulatedTime
from dunepulley.model.simulation import Simulation
from dunepulley.routing import router
from dunepulley.routing.events import EndpointListUpdate, EndpointState
from dunepulley.routing.lifecycle import RequestLifecycle
from dunepulley.routing.settings import Idempotency

LOOK = RequestClass("look", 0.6, 80.0, due_ms=300.0, expiry_ms=3000.0)
STORE = RequestClass(
    "store", 0.2, 200.0, effect=Idempotency.KEYED, group="cell", window_ms=2000.0, expiry_ms=4000.0
)
PAY = RequestClass("pay", 0.2, 100.0, payoff=4.0, effect=Idempotency.NON_IDEMPOTENT, expiry_ms=4000.0)
DISTURBED = Scenario(
    seconds=8.0,
    workers=6,
    load=0.7,
    cold_s=6.0,
    list_delay_ms=400.0,
    categories=(LOOK, STORE, PAY),
    troubles=(
        Disturbance("slow", 1.0, 4.0, 0.2, 8.0),
        Disturbance("neighbour", 2.0, 6.0, 0.3, 0.6),
        Disturbance("crash", 2.0, 3.0, 0.2, 1.0),
        Disturbance("release", 3.0, 5.0, 0.4, 0.0),
        Disturbance("late reports", 1.0, 6.0, 0.0, 1500.0),
        Disturbance("late list", 4.0, 6.0, 0.0, 500.0),
        Disturbance("heavy", 2.0, 6.0, 0.02, 15.0),
    ),
)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_disturbed_scenario_keeps_the_rules_and_is_reproducible(seed):
    first_run, second_run = Simulation(DISTURBED, seed).run(), Simulation(DISTURBED, seed).run()
    assert first_run == second_run and not first_run["broken"]
    answered = first_run["in time"] + first_run["late"] + first_run["deferred"] + first_run["written off"]
    assert answered == first_run["items"] > 300 and 0.5 < first_run["payoff"] < 1.0
    assert Simulation(DISTURBED, seed + 10).run()["items"] != first_run["items"]


def test_traffic_does_not_depend_on_routing_decisions():
    """Guards against comparisons of runs with different traffic, which would not be paired samples."""
    simulations = [
        Simulation(DISTURBED, 4),
        Simulation(DISTURBED, 4, settings={"policyLimits.mostHandOffs": 1.0}),
    ]
    runs = [simulation.run() for simulation in simulations]
    assert runs[0]["hand-offs"] != runs[1]["hand-offs"]
    requests = [
        {
            name: (request.arrived, request.work, request.dispatcher)
            for name, request in simulation.requests.items()
        }
        for simulation in simulations
    ]
    assert requests[0] == requests[1]


# Routers that violate one of the four rules each, to test that the checks detect the violations.


class LossyLifecycle(RequestLifecycle):
    """Closes some requests without an answer."""

    def reject_or_fail(self, request):
        if request.request_id.endswith("7"):
            self.close(request)
        else:
            super().reject_or_fail(request)


class NeverAnswersSome(router.Router):
    """Never answers some requests."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.lifecycle.__class__ = LossyLifecycle


class IgnoresIdempotency(router.Router):
    """Retries requests that are not idempotent, and ignores the scope of idempotency keys."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.retry_policy.allowed_group = lambda request, now: True


def all_ready(event):
    """Return an endpoint list update with all endpoints ready, and any other event unchanged."""
    if not isinstance(event, EndpointListUpdate):
        return event
    entries = tuple([entry._replace(state=EndpointState.READY) for entry in event.entries])
    return event._replace(entries=entries)


class IgnoresDrains(router.Router):
    """Sends attempts to draining endpoints."""

    def handle(self, now, events):
        return super().handle(now, [all_ready(event) for event in events])


class IgnoresSlowStart(router.Router):
    """Sends endpoints that warm up as many attempts as warm ones."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.slow_start.allows_attempt = lambda request, endpoint, now: True


@pytest.mark.parametrize(
    ("make_router", "rule", "scenario"),
    [
        (NeverAnswersSome, "lost", DISTURBED._replace(load=2.0)),
        (
            IgnoresIdempotency,
            "twice",
            DISTURBED._replace(troubles=(Disturbance("crash", 2.0, 3.0, 0.5, 1.0),)),
        ),
        (IgnoresDrains, "drains", DISTURBED),
        (IgnoresSlowStart, "cold", DISTURBED._replace(load=1.5, cold_from=0.05, fall_multiple=1.0)),
    ],
)
def test_reports_each_violated_rule(make_router, rule, scenario):
    assert not Simulation(scenario, 1).run()["broken"]
    violations = Simulation(scenario, 1, make_router).run()["broken"]
    assert violations and {violation.partition(":")[0] for violation in violations} == {rule}


# ---------------------------------------------------------------- server models


def make_server(slots=2, queue=2):
    timeline = SimulatedTime()
    return timeline, ModelServer(timeline, "w", "z0", "box", "0", slots, queue, 1.0)


def test_server_runs_jobs_in_order_at_its_speed_and_rejects_beyond_its_queue():
    timeline, server = make_server()
    events = []

    def job(n):
        return Job(f"j{n}", 100.0, 1.0, lambda event: events.append((timeline.now - BEGIN, n, event)))

    jobs = [job(n) for n in range(5)]
    assert [server.offer(job) for job in jobs] == [True, True, True, True, False]
    assert server.report() == {"rate": 0.0, "queue": 2.0, "x0": 0.0}
    timeline.run(BEGIN + 50.0)
    server.set_factor("slow", 0.5)  # half of the work is done; the other half takes twice as long
    timeline.run(BEGIN + 150.0)
    server.set_factor("slow", 1.0)
    timeline.run(BEGIN + 400.0)
    ends = [(at, n) for at, n, event in events if event == "finished"]
    assert ends == [(150.0, 0), (150.0, 1), (250.0, 2), (250.0, 3)]
    assert server.completed_work == pytest.approx(400.0) and server.used_slots == 0.0


def test_dropped_and_lost_jobs_free_their_slots():
    timeline, server = make_server(slots=1)
    events = []
    jobs = [Job(f"j{n}", 100.0, 1.0, lambda event, n=n: events.append((n, event))) for n in range(3)]
    for job in jobs:
        server.offer(job)
    assert server.drop(jobs[1], running=False) and not server.drop(jobs[0], running=False)
    timeline.run(BEGIN + 30.0)
    assert server.drop(jobs[0], running=True) and server.drop(jobs[0], running=True)
    timeline.run(BEGIN + 40.0)
    server.crash()
    timeline.run(BEGIN + 500.0)
    assert events == [(0, "began"), (2, "began"), (2, "lost")]
    assert not server.offer(
        Job("later", 1.0, 1.0, lambda event: None)
    ) and server.completed_work == pytest.approx(30.0)
    server.start()
    assert server.offer(Job("later", 1.0, 1.0, lambda event: None))


# ---------------------------------------------------------------- comparisons


def runs(payoffs, violations=()):
    return [{"seed": n, "payoff": payoff, "broken": list(violations)} for n, payoff in enumerate(payoffs)]


@pytest.mark.parametrize(
    ("runs_a", "runs_b", "conclusion"),
    [
        (runs([0.8, 0.9, 0.7, 0.8]), runs([0.85, 0.95, 0.74, 0.86]), "b is better"),
        (runs([0.8, 0.9, 0.7, 0.8]), runs([0.7, 0.8, 0.6, 0.7]), "b is worse"),
        (runs([0.8, 0.9, 0.7, 0.8]), runs([0.9, 0.8, 0.8, 0.7]), "no difference seen; one of 0.1"),
        (runs([0.8] * 4), runs([0.8] * 4), "no difference seen; one of 0.0000"),
        (runs([0.1, 0.1]), runs([0.9, 0.9]), "too few seeds"),
        (runs([0.8] * 4), runs([0.9] * 4, ["lost: i1"]), "a rule is broken"),
    ],
)
def test_conclusion_of_a_comparison(runs_a, runs_b, conclusion):
    summary = compare.compare_runs(runs_a, runs_b)
    assert summary["says"].startswith(conclusion) and compare.compare_runs(runs_a, runs_b) == summary


# The definition of the control period, a constant in one module of the package.
CONTROL_PERIOD = re.compile(r"^(PERIOD|CONTROL_PERIOD_MS) = 2000\.0$", re.MULTILINE)


def shorten_control_period(package):
    """Change the control period in a copy of the routing package."""
    changed = 0
    for path in package.glob("*.py"):
        text, count = CONTROL_PERIOD.subn(r"\1 = 500.0", path.read_text())
        path.write_text(text)
        changed += count
    assert changed == 1


@pytest.mark.parametrize("path", ["", "router.py"], ids=["folder", "file"])
def test_loads_another_version_alongside_the_running_one(tmp_path, path):
    version = tmp_path / "routing"
    shutil.copytree(Path(router.__file__).parent, version, ignore=shutil.ignore_patterns("__pycache__"))
    other = load_router(str(version / path))
    assert other is not router.Router and other.__name__ == "Router"
    assert Simulation(DISTURBED, 1, other).run() == Simulation(DISTURBED, 1).run()


def test_failed_import_of_a_version_leaves_no_modules(tmp_path):
    (tmp_path / "router.py").write_text("from .nowhere import Router\n")
    before = set(sys.modules)
    with pytest.raises(UnusableVersionError, match="cannot load a router"):
        load_router(str(tmp_path))
    assert set(sys.modules) == before


def test_compares_versions_and_settings_from_the_command_line(tmp_path, capsys):
    scenario, settings = tmp_path / "day.toml", tmp_path / "b.toml"
    text = 'seconds = 3.0\nworkers = 4\n[[category]]\nname = "look"\nwork_ms = 50.0\ndue_ms = 200.0\n'
    scenario.write_text(text)
    settings.write_text("[policyLimits]\nmostHandOffs = 1\n")
    version = tmp_path / "routing"
    shutil.copytree(Path(router.__file__).parent, version, ignore=shutil.ignore_patterns("__pycache__"))
    shorten_control_period(version)
    arguments = [str(scenario), "--seeds", "1-4", "--processes", "1"]
    assert (
        main(["compare", *arguments]) == 0 and "no difference seen; one of 0.0000" in capsys.readouterr().out
    )
    assert main(["compare", *arguments, "--b", str(settings), "--b-module", str(version), "--json"]) == 0
    results = json.loads(capsys.readouterr().out)
    assert [run["seed"] for run in results["runs"][1]] == [1, 2, 3, 4] and results["runs"][0] != results[
        "runs"
    ][1]
    assert main(["model", *arguments]) == 0
    output = capsys.readouterr().out
    assert len(output.splitlines()) == 5 and "payoff in time" in output


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (None, "cannot read"),
        ("x = ", "expected a TOML file"),
        ("fly = 1", "scenario has fly, which is not a known key"),
        ("seconds = true", "seconds is True"),
        ("workers = 2.5", "workers is 2.5"),
        ("workers = 0", "workers is 0, expected at least 1"),
        ("workers = 100000", "workers is 100000, expected at most 5000"),
        ("load = -1.0", "load: expected a number from 0 to 1e12, got -1.0"),
        ("[[category]]\nshare = 1.0", "category: missing key name"),
        ('[[category]]\nname = "a"\neffect = "magic"', "effect 'magic'"),
        ('[[category]]\nname = "a"\nexpiry_ms = 1.0', "expiry_ms > due_ms"),
        ('[[category]]\nname = "a"\n[[category]]\nname = "a"', "got the same name twice"),
        ('[[trouble]]\nkind = "rain"\nfrom_s = 1.0\nto_s = 2.0', "trouble 'rain' is unknown, expected slow"),
        (
            '[[trouble]]\nkind = "slow"\nfrom_s = 3.0\nto_s = 2.0',
            "trouble slow: expected 0 <= from_s <= to_s and 0 <= part <= 1",
        ),
        ("category = 5", "category: expected a list of tables"),
    ],
)
def test_rejects_invalid_scenario_in_one_line(tmp_path, capsys, text, expected):
    path = tmp_path / "day.toml"
    if text is not None:
        path.write_text(text)
    assert main(["model", str(path), "--seeds", "1"]) == 2
    output = capsys.readouterr().err
    assert expected in output and output.count("\n") == 1


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (["--seeds", "x"], 2),
        (["--seeds", "5-1"], 2),
        (["--a", "missing.toml"], 2),
        (["--b-module", "missing.py"], 2),
    ],
)
def test_rejects_invalid_arguments(tmp_path, capsys, arguments, code):
    path = tmp_path / "day.toml"
    path.write_text("seconds = 1.0\n")
    try:
        assert main(["compare", str(path), *arguments]) == code
    except SystemExit as ended:
        assert ended.code == code
    assert capsys.readouterr().err


def test_example_scenario_is_valid():
    assert len(parse_scenario(tomllib.loads(Path("deploy/day.example.toml").read_text())).troubles) == 5


def test_plan_evacuates_an_unresponsive_zone():
    # Guards against a traffic plan that works with real agents but not in the simulation.
    lost = (Disturbance("zone", 3.0, 6.0, size=0.0),)
    sizes = {"seconds": 12.0, "dispatchers": 6, "workers": 12, "zones": 3, "regions": 2, "zone_skew": 0.5}
    scenario = Scenario(load=0.4, troubles=lost, **sizes)
    common, fixed = [Simulation(scenario._replace(way=way), 3).run() for way in ("common", "fixed")]
    assert not common["broken"] and common["crossed"] < 0.5
    states = [agreed["states"].get("z0", "near") for agreed in common["plans"]["agreed"]]
    assert states[0] == "left" and "returning" in states
    # The plan comes within seconds, and no attempts go to the zone afterwards; without a plan, dispatchers
    # that only use their own zone lose the requests of the unresponsive zone.
    assert 3000.0 < common["plans"]["first ms"] < 5500.0 and common["plans"]["to left"] == 0
    assert common["payoff"] > fixed["payoff"] + 0.05


def test_zones_of_unequal_size_are_assigned_in_order():
    scenario = Scenario(zones=3, zone_skew=1.0)
    zones = [zone_of(scenario, number, 12) for number in range(12)]
    assert [zones.count(f"z{zone}") for zone in range(3)] == [6, 4, 2]
    assert [zone_of(Scenario(zones=2), number, 4) for number in range(4)] == ["z0", "z1", "z0", "z1"]
