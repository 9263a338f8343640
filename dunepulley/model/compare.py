"""Days played with many seeds, and two ways of deciding compared on the same ones."""

from __future__ import annotations

import argparse
import json
import sys
import tomllib
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple

import numpy as np

from dunepulley.model import scenario as scenarios
from dunepulley.model.routing_loader import load_router
from dunepulley.model.simulation import Simulation
from dunepulley.routing.router import Router

# Resamples of the seeds; more moves an end of the interval by less than what is printed.
RESAMPLES = 10_000
LEVEL = 0.95


class Variant(NamedTuple):
    """One way of deciding: settings over the day's own, and the path of another routing package, if any."""

    settings: dict[str, Any]
    module: str = ""


def run_scenario(scenario: scenarios.Scenario, seed: int, way: Variant) -> dict[str, Any]:
    """One day with one seed."""
    build = load_router(way.module) if way.module else Router
    return Simulation(scenario, seed, build, way.settings).run() | {"seed": seed}


def run_all(
    scenario: scenarios.Scenario, seeds: list[int], ways: list[Variant], processes: int
) -> list[list[dict[str, Any]]]:
    """Every seed with every way, in order, over some processes."""
    jobs = [(scenario, seed, way) for way in ways for seed in seeds]
    if processes <= 1:
        found = [run_scenario(*job) for job in jobs]
    else:
        with ProcessPoolExecutor(processes) as pool:
            found = list(pool.map(run_scenario, *zip(*jobs, strict=True)))
    return [found[at : at + len(seeds)] for at in range(0, len(found), len(seeds))]


def bootstrap_interval(figures: list[float], count: int = 0) -> tuple[float, float, float]:
    """The mean, and where it (or that of `count` of them) lies with 95%, by a bootstrap over the seeds."""
    some = np.asarray(figures, dtype=float)
    draws = np.random.default_rng(0).integers(0, len(some), (RESAMPLES, count or len(some)))
    low, high = np.percentile(some[draws].mean(axis=1), [50.0 * (1 - LEVEL), 50.0 * (1 + LEVEL)])
    return float(some.mean()), float(low), float(high)


def compared(one: list[dict[str, Any]], two: list[dict[str, Any]]) -> dict[str, Any]:
    """Two ways on the same seeds: what each earns, the difference with its interval, and what that says."""
    pairs = list(zip(one, two, strict=True))
    assert all([a["seed"] == b["seed"] for a, b in pairs]), "not the same seeds"
    broken = [f"{name}, seed {run['seed']}: {each}" for name, some in (("a", one), ("b", two))
              for run in some for each in run["broken"]]  # fmt: skip
    mean, low, high = bootstrap_interval([b["payoff"] - a["payoff"] for a, b in pairs])
    if broken:
        says = "a rule is broken: the comparison counts for nothing"
    elif len(pairs) < 3:
        says = "too few seeds to say anything"
    elif low > 0.0 or high < 0.0:
        says = f"b is {'better' if low > 0.0 else 'worse'}"
    else:
        says = f"no difference seen; one of {max(abs(low), abs(high)):.4f} could still be"
    return {
        "a": bootstrap_interval([run["payoff"] for run in one]),
        "b": bootstrap_interval([run["payoff"] for run in two]),
        "difference": (mean, low, high),
        "seeds": len(pairs),
        "broken": broken,
        "says": says,
    }


# ---------------------------------------------------------------- the command line


def read_settings(path: str) -> dict[str, Any]:
    """Settings of the router in its own words, from a TOML file; tables are joined to names by points.

    Raises `scenarios.ScenarioError` where the file cannot be read or holds something else.
    """
    try:
        with Path(path).open("rb") as file:
            return _flattened("", tomllib.load(file))
    except OSError as problem:
        raise scenarios.ScenarioError(f"cannot read {path}: {problem.strerror}") from problem
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, ValueError) as problem:
        raise scenarios.ScenarioError(f"{path}: {problem}") from problem


def _flattened(name: str, value: Any) -> dict[str, Any]:
    """The settings below a name; raises ValueError where one is of no use."""
    if isinstance(value, dict):
        settings: dict[str, Any] = {}
        for inner, each in value.items():
            settings |= _flattened(f"{name}.{inner}" if name else inner, each)
        return settings
    if isinstance(value, bool | str):
        return {name: value}
    if isinstance(value, int | float):
        return {name: float(value)}
    raise ValueError(f"{name} is neither a number, a text nor true or false")


def run(chosen: argparse.Namespace) -> int:
    """Carry out one of them; 1 where a rule was broken, 2 where the words or files cannot be used."""
    try:
        scenario = _simulated_day(chosen.day)
        ways = _ways(chosen)
    except (scenarios.ScenarioError, ValueError) as problem:
        print(f"dunepulley: {problem}", file=sys.stderr)
        return 2
    found = run_all(scenario, chosen.seeds, ways, chosen.processes)
    if chosen.command == "model":
        return _print_runs(found[0], chosen.json)
    return _print_comparison(found, chosen.json)


def _simulated_day(path: str) -> scenarios.Scenario:
    """A day that can be simulated; raises ValueError where it has faults of sockets."""
    scenario = scenarios.read(path)
    if scenario.faults:
        raise ValueError(f"{path}: fault {scenario.faults[0].kind} can be played on sockets only (load)")
    return scenario


def _ways(chosen: argparse.Namespace) -> list[Variant]:
    """The ways that were chosen; raises ValueError or UnusableError where one cannot be loaded."""
    files = [chosen.settings] if chosen.command == "model" else [chosen.a, chosen.b]
    modules = [""] if chosen.command == "model" else [chosen.a_module, chosen.b_module]
    ways = [
        Variant(read_settings(file) if file else {}, module)
        for file, module in zip(files, modules, strict=True)
    ]
    for way in ways:
        if way.module:
            load_router(way.module)
    return ways


def _print_comparison(found: list[list[dict[str, Any]]], as_json: bool) -> int:
    """Print what two ways came to; the exit code."""
    told = compared(*found)
    if as_json:
        print(json.dumps(told | {"runs": found}, indent=2))
        return 1 if told["broken"] else 0
    for name in ("a", "b", "difference"):
        mean, low, high = told[name]
        print(f"{name:<11} {mean:+.4f}  from {low:+.4f} to {high:+.4f}")
    print(f"over {told['seeds']} seeds: {told['says']}")
    for each in told["broken"]:
        print(each)
    return 1 if told["broken"] else 0


def _print_runs(runs: list[dict[str, Any]], as_json: bool) -> int:
    """Print what the seeds of one way came to; the exit code."""
    broken = any([one["broken"] for one in runs])
    if as_json:
        print(json.dumps(runs, indent=2))
        return 1 if broken else 0
    for one in runs:
        counts = "  ".join([f"{name} {one[name]}" for name in ("in time", "late", "deferred", "written off")])
        print(f"seed {one['seed']:<5} payoff {one['payoff']:.4f}  {counts}  wasted {one['wasted']:.3f}")
        for each in one["broken"]:
            print(f"  broken, {each}")
    mean, low, high = bootstrap_interval([one["payoff"] for one in runs])
    print(f"payoff in time {mean:.4f}, from {low:.4f} to {high:.4f} over {len(runs)} seeds")
    return 1 if broken else 0
