"""The fleet model: the same day each time, rules that are seen to be checked, comparisons."""

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
from dunepulley.model.scenario import Disturbance, RequestClass, Scenario, day_of, zone_of
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
ROUGH = Scenario(
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
def test_a_rough_day_keeps_the_rules_and_is_the_same_each_time(seed):
    one, two = Simulation(ROUGH, seed).run(), Simulation(ROUGH, seed).run()
    assert one == two and not one["broken"]
    ends = one["in time"] + one["late"] + one["deferred"] + one["written off"]
    assert ends == one["items"] > 300 and 0.5 < one["payoff"] < 1.0
    assert Simulation(ROUGH, seed + 10).run()["items"] != one["items"]


def test_other_decisions_see_the_same_day():
    """What is drawn does not follow what is decided, or pairs would not be pairs."""
    worlds = [Simulation(ROUGH, 4), Simulation(ROUGH, 4, settings={"policyLimits.mostHandOffs": 1.0})]
    runs = [simulation.run() for simulation in worlds]
    assert runs[0]["hand-offs"] != runs[1]["hand-offs"]
    works = [
        {name: (request.came, request.work, request.home) for name, request in simulation.requests.items()}
        for simulation in worlds
    ]
    assert works[0] == works[1]


# Each of the four rules is broken on purpose, so that its check is seen to fail.


class ForgetfulLifecycle(RequestLifecycle):
    """Leaves some requests without an answer."""

    def reject_or_fail(self, request):
        if request.request_id.endswith("7"):
            self.close(request)
        else:
            super().reject_or_fail(request)


class Forgets(router.Router):
    """Leaves some requests without an answer."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.lifecycle.__class__ = ForgetfulLifecycle


class Repeats(router.Router):
    """Retries whatever may have run, and ignores the scope of idempotency keys."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.retry_policy.allowed_group = lambda request, now: True


def all_ready(event):
    """An update of the endpoint list with all of its endpoints ready; any other event as it is."""
    if not isinstance(event, EndpointListUpdate):
        return event
    entries = tuple([entry._replace(state=EndpointState.READY) for entry in event.entries])
    return event._replace(entries=entries)


class SendsOn(router.Router):
    """Takes no notice of drains."""

    def handle(self, now, events):
        return super().handle(now, [all_ready(event) for event in events])


class Crowds(router.Router):
    """Takes endpoints that warm up for warm ones."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.slow_start.allows_attempt = lambda request, endpoint, now: True


@pytest.mark.parametrize(
    ("build", "rule", "scenario"),
    [
        (Forgets, "lost", ROUGH._replace(load=2.0)),
        (Repeats, "twice", ROUGH._replace(troubles=(Disturbance("crash", 2.0, 3.0, 0.5, 1.0),))),
        (SendsOn, "drains", ROUGH),
        (Crowds, "cold", ROUGH._replace(load=1.5, cold_from=0.05, fall_multiple=1.0)),
    ],
)
def test_each_rule_is_seen_to_be_checked(build, rule, scenario):
    assert not Simulation(scenario, 1).run()["broken"]
    broken = Simulation(scenario, 1, build).run()["broken"]
    assert broken and {each.partition(":")[0] for each in broken} == {rule}


# ---------------------------------------------------------------- workers


def worker(slots=2, queue=2):
    heap = SimulatedTime()
    return heap, ModelServer(heap, "w", "z0", "box", "0", slots, queue, 1.0)


def test_a_worker_runs_in_order_at_its_speed_and_turns_away_what_finds_no_place():
    heap, one = worker()
    told = []

    def job(n):
        return Job(f"j{n}", 100.0, 1.0, lambda what: told.append((heap.now - BEGIN, n, what)))

    jobs = [job(n) for n in range(5)]
    assert [one.offer(job) for job in jobs] == [True, True, True, True, False]
    assert one.report() == {"rate": 0.0, "queue": 2.0, "x0": 0.0}
    heap.run(BEGIN + 50.0)
    one.set_factor("slow", 0.5)  # half of each is done; the rest takes twice as long
    heap.run(BEGIN + 150.0)
    one.set_factor("slow", 1.0)
    heap.run(BEGIN + 400.0)
    ends = [(at, n) for at, n, what in told if what == "finished"]
    assert ends == [(150.0, 0), (150.0, 1), (250.0, 2), (250.0, 3)]
    assert one.done_work == pytest.approx(400.0) and one.used == 0.0


def test_what_is_dropped_or_lost_leaves_its_place():
    heap, one = worker(slots=1)
    told = []
    jobs = [Job(f"j{n}", 100.0, 1.0, lambda what, n=n: told.append((n, what))) for n in range(3)]
    for job in jobs:
        one.offer(job)
    assert one.drop(jobs[1], running=False) and not one.drop(jobs[0], running=False)
    heap.run(BEGIN + 30.0)
    assert one.drop(jobs[0], running=True) and one.drop(jobs[0], running=True)
    heap.run(BEGIN + 40.0)
    one.crash()
    heap.run(BEGIN + 500.0)
    assert told == [(0, "began"), (2, "began"), (2, "lost")]
    assert not one.offer(Job("later", 1.0, 1.0, lambda what: None)) and one.done_work == pytest.approx(30.0)
    one.start()
    assert one.offer(Job("later", 1.0, 1.0, lambda what: None))


# ---------------------------------------------------------------- comparisons


def runs(payoffs, broken=()):
    return [{"seed": n, "payoff": payoff, "broken": list(broken)} for n, payoff in enumerate(payoffs)]


@pytest.mark.parametrize(
    ("one", "two", "says"),
    [
        (runs([0.8, 0.9, 0.7, 0.8]), runs([0.85, 0.95, 0.74, 0.86]), "b is better"),
        (runs([0.8, 0.9, 0.7, 0.8]), runs([0.7, 0.8, 0.6, 0.7]), "b is worse"),
        (runs([0.8, 0.9, 0.7, 0.8]), runs([0.9, 0.8, 0.8, 0.7]), "no difference seen; one of 0.1"),
        (runs([0.8] * 4), runs([0.8] * 4), "no difference seen; one of 0.0000"),
        (runs([0.1, 0.1]), runs([0.9, 0.9]), "too few seeds"),
        (runs([0.8] * 4), runs([0.9] * 4, ["lost: i1"]), "a rule is broken"),
    ],
)
def test_what_a_comparison_says(one, two, says):
    told = compare.compared(one, two)
    assert told["says"].startswith(says) and compare.compared(one, two) == told


# The control period is one constant of the package, wherever it is defined.
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
def test_another_version_is_loaded_beside_the_running_one(tmp_path, path):
    version = tmp_path / "routing"
    shutil.copytree(Path(router.__file__).parent, version, ignore=shutil.ignore_patterns("__pycache__"))
    other = load_router(str(version / path))
    assert other is not router.Router and other.__name__ == "Router"
    assert Simulation(ROUGH, 1, other).run() == Simulation(ROUGH, 1).run()


def test_a_version_that_cannot_be_imported_leaves_nothing_behind(tmp_path):
    (tmp_path / "router.py").write_text("from .nowhere import Router\n")
    before = set(sys.modules)
    with pytest.raises(UnusableVersionError, match="cannot be loaded"):
        load_router(str(tmp_path))
    assert set(sys.modules) == before


def test_two_versions_and_two_settings_from_the_command_line(tmp_path, capsys):
    scenario, settings = tmp_path / "day.toml", tmp_path / "b.toml"
    text = 'seconds = 3.0\nworkers = 4\n[[category]]\nname = "look"\nwork_ms = 50.0\ndue_ms = 200.0\n'
    scenario.write_text(text)
    settings.write_text("[policyLimits]\nmostHandOffs = 1\n")
    version = tmp_path / "routing"
    shutil.copytree(Path(router.__file__).parent, version, ignore=shutil.ignore_patterns("__pycache__"))
    shorten_control_period(version)
    words = [str(scenario), "--seeds", "1-4", "--processes", "1"]
    assert main(["compare", *words]) == 0 and "no difference seen; one of 0.0000" in capsys.readouterr().out
    assert main(["compare", *words, "--b", str(settings), "--b-module", str(version), "--json"]) == 0
    told = json.loads(capsys.readouterr().out)
    assert [run["seed"] for run in told["runs"][1]] == [1, 2, 3, 4] and told["runs"][0] != told["runs"][1]
    assert main(["model", *words]) == 0
    said = capsys.readouterr().out
    assert len(said.splitlines()) == 5 and "payoff in time" in said


@pytest.mark.parametrize(
    ("text", "word"),
    [
        (None, "cannot read"),
        ("x = ", "no TOML"),
        ("fly = 1", "the day has fly"),
        ("seconds = true", "seconds is True"),
        ("workers = 2.5", "workers is 2.5"),
        ("workers = 0", "less than 1"),
        ("workers = 100000", "more than 5000"),
        ("load = -1.0", "load is -1.0"),
        ("[[category]]\nshare = 1.0", "category has no name"),
        ('[[category]]\nname = "a"\neffect = "magic"', "effect 'magic'"),
        ('[[category]]\nname = "a"\nexpiry_ms = 1.0', "expiry is later"),
        ('[[category]]\nname = "a"\n[[category]]\nname = "a"', "of one name"),
        ('[[trouble]]\nkind = "rain"\nfrom_s = 1.0\nto_s = 2.0', "trouble 'rain' is none of"),
        ('[[trouble]]\nkind = "slow"\nfrom_s = 3.0\nto_s = 2.0', "make no sense"),
        ("category = 5", "category is no list"),
    ],
)
def test_a_description_that_means_nothing_is_one_line(tmp_path, capsys, text, word):
    path = tmp_path / "day.toml"
    if text is not None:
        path.write_text(text)
    assert main(["model", str(path), "--seeds", "1"]) == 2
    said = capsys.readouterr().err
    assert word in said and said.count("\n") == 1


@pytest.mark.parametrize(
    ("words", "code"),
    [
        (["--seeds", "x"], 2),
        (["--seeds", "5-1"], 2),
        (["--a", "missing.toml"], 2),
        (["--b-module", "missing.py"], 2),
    ],
)
def test_words_that_cannot_be_used(tmp_path, capsys, words, code):
    path = tmp_path / "day.toml"
    path.write_text("seconds = 1.0\n")
    try:
        assert main(["compare", str(path), *words]) == code
    except SystemExit as ended:
        assert ended.code == code
    assert capsys.readouterr().err


def test_the_example_can_be_read():
    assert len(day_of(tomllib.loads(Path("deploy/day.example.toml").read_text())).troubles) == 5


def test_a_zone_that_is_lost_is_left_in_the_model_as_on_sockets():
    # Guards against a plan that serves on sockets only: fleets that these do not reach are played here.
    lost = (Disturbance("zone", 3.0, 6.0, size=0.0),)
    sizes = {"seconds": 12.0, "dispatchers": 6, "workers": 12, "zones": 3, "regions": 2, "zone_skew": 0.5}
    scenario = Scenario(load=0.4, troubles=lost, **sizes)
    common, fixed = [Simulation(scenario._replace(way=way), 3).run() for way in ("common", "fixed")]
    assert not common["broken"] and common["crossed"] < 0.5
    states = [each["states"].get("z0", "near") for each in common["plans"]["agreed"]]
    assert states[0] == "left" and "returning" in states
    # Told soon, and nothing is sent there afterwards; fixed zones lose what the zone was asked for.
    assert 3000.0 < common["plans"]["first ms"] < 5500.0 and common["plans"]["to left"] == 0
    assert common["payoff"] > fixed["payoff"] + 0.05


def test_zones_of_unequal_size_are_dealt_out_in_order():
    scenario = Scenario(zones=3, zone_skew=1.0)
    homes = [zone_of(scenario, number, 12) for number in range(12)]
    assert [homes.count(f"z{zone}") for zone in range(3)] == [6, 4, 2]
    assert [zone_of(Scenario(zones=2), number, 4) for number in range(4)] == ["z0", "z1", "z0", "z1"]
