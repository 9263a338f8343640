"""Runs scenarios with many seeds, and compares two variants of the router on the same seeds."""

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

# Bootstrap resamples of the seeds; more change the ends of the interval by less than the printed precision.
RESAMPLES = 10_000
# Confidence level of the interval.
LEVEL = 0.95


class Variant(NamedTuple):
    """A variant of the router: settings that override the scenario's, and optionally another routing package.

    `module` is the path of that package, or empty for the running version.
    """

    settings: dict[str, Any]
    module: str = ""


def run_scenario(scenario: scenarios.Scenario, seed: int, variant: Variant) -> dict[str, Any]:
    """Run a scenario with one seed, and return its results."""
    make_router = load_router(variant.module) if variant.module else Router
    return Simulation(scenario, seed, make_router, variant.settings).run() | {"seed": seed}


def run_all(
    scenario: scenarios.Scenario, seeds: list[int], variants: list[Variant], processes: int
) -> list[list[dict[str, Any]]]:
    """Run every variant with every seed in parallel processes, and return the results by variant and seed."""
    jobs = [(scenario, seed, variant) for variant in variants for seed in seeds]
    if processes <= 1:
        results = [run_scenario(*job) for job in jobs]
    else:
        with ProcessPoolExecutor(processes) as pool:
            results = list(pool.map(run_scenario, *zip(*jobs, strict=True)))
    return [results[at : at + len(seeds)] for at in range(0, len(results), len(seeds))]


def bootstrap_interval(values: list[float], count: int = 0) -> tuple[float, float, float]:
    """Return the mean of the values, and the ends of its 95% confidence interval by a bootstrap.

    With `count`, the interval is that of the mean of `count` values.
    """
    samples = np.asarray(values, dtype=float)
    draws = np.random.default_rng(0).integers(0, len(samples), (RESAMPLES, count or len(samples)))
    low, high = np.percentile(samples[draws].mean(axis=1), [50.0 * (1 - LEVEL), 50.0 * (1 + LEVEL)])
    return float(samples.mean()), float(low), float(high)


def compare_runs(runs_a: list[dict[str, Any]], runs_b: list[dict[str, Any]]) -> dict[str, Any]:
    """Compare the results of two variants on the same seeds.

    Returns the mean payoff of each, the difference with its confidence interval, and a conclusion in words.
    """
    pairs = list(zip(runs_a, runs_b, strict=True))
    assert all([a["seed"] == b["seed"] for a, b in pairs]), "a and b: expected runs with the same seeds"
    violations = [f"{name}, seed {run['seed']}: {violation}" for name, runs in (("a", runs_a), ("b", runs_b))
              for run in runs for violation in run["broken"]]  # fmt: skip
    mean, low, high = bootstrap_interval([b["payoff"] - a["payoff"] for a, b in pairs])
    if violations:
        conclusion = "a rule is broken: the comparison counts for nothing"
    elif len(pairs) < 3:
        conclusion = "too few seeds to say anything"
    elif low > 0.0 or high < 0.0:
        conclusion = f"b is {'better' if low > 0.0 else 'worse'}"
    else:
        conclusion = f"no difference seen; one of {max(abs(low), abs(high)):.4f} could still be"
    return {
        "a": bootstrap_interval([run["payoff"] for run in runs_a]),
        "b": bootstrap_interval([run["payoff"] for run in runs_b]),
        "difference": (mean, low, high),
        "seeds": len(pairs),
        "broken": violations,
        "says": conclusion,
    }


# ---------------------------------------------------------------- the command line


def read_settings(path: str) -> dict[str, Any]:
    """Read router settings from a TOML file, as a flat map with dotted names.

    Raises `scenarios.ScenarioError` where the file cannot be read or holds other values.
    """
    try:
        with Path(path).open("rb") as file:
            return _flatten("", tomllib.load(file))
    except OSError as problem:
        raise scenarios.ScenarioError(f"cannot read {path}: {problem.strerror}") from problem
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, ValueError) as problem:
        raise scenarios.ScenarioError(f"{path}: {problem}") from problem


def _flatten(name: str, value: Any) -> dict[str, Any]:
    """Return the settings below a name; raises ValueError for a value of another type."""
    if isinstance(value, dict):
        settings: dict[str, Any] = {}
        for key, nested_value in value.items():
            settings |= _flatten(f"{name}.{key}" if name else key, nested_value)
        return settings
    if isinstance(value, bool | str):
        return {name: value}
    if isinstance(value, int | float):
        return {name: float(value)}
    raise ValueError(f"{name}: expected a number, a string or a boolean")


def run(options: argparse.Namespace) -> int:
    """Run `model` or `compare`.

    Returns 1 where a rule was violated, 2 where an argument or file is invalid.
    """
    try:
        scenario = _read_simulated_scenario(options.day)
        variants = _variants(options)
    except (scenarios.ScenarioError, ValueError) as problem:
        print(f"dunepulley: {problem}", file=sys.stderr)
        return 2
    results = run_all(scenario, options.seeds, variants, options.processes)
    if options.command == "model":
        return _print_runs(results[0], options.json)
    return _print_comparison(results, options.json)


def _read_simulated_scenario(path: str) -> scenarios.Scenario:
    """Read a scenario for the simulation; raises ValueError where it has faults, which need sockets."""
    scenario = scenarios.read(path)
    if scenario.faults:
        raise ValueError(f"{path}: fault {scenario.faults[0].kind} is supported by the load command only")
    return scenario


def _variants(options: argparse.Namespace) -> list[Variant]:
    """Return the variants of the command line.

    Raises ValueError or ScenarioError where one cannot be loaded.
    """
    files = [options.settings] if options.command == "model" else [options.a, options.b]
    modules = [""] if options.command == "model" else [options.a_module, options.b_module]
    variants = [
        Variant(read_settings(file) if file else {}, module)
        for file, module in zip(files, modules, strict=True)
    ]
    for variant in variants:
        if variant.module:
            load_router(variant.module)
    return variants


def _print_comparison(results: list[list[dict[str, Any]]], as_json: bool) -> int:
    """Print the comparison of two variants; return the exit code."""
    summary = compare_runs(*results)
    if as_json:
        print(json.dumps(summary | {"runs": results}, indent=2))
        return 1 if summary["broken"] else 0
    for name in ("a", "b", "difference"):
        mean, low, high = summary[name]
        print(f"{name:<11} {mean:+.4f}  from {low:+.4f} to {high:+.4f}")
    print(f"over {summary['seeds']} seeds: {summary['says']}")
    for violation in summary["broken"]:
        print(violation)
    return 1 if summary["broken"] else 0


def _print_runs(runs: list[dict[str, Any]], as_json: bool) -> int:
    """Print the results of one variant by seed; return the exit code."""
    violations = any([run["broken"] for run in runs])
    if as_json:
        print(json.dumps(runs, indent=2))
        return 1 if violations else 0
    for run in runs:
        counts = "  ".join([f"{name} {run[name]}" for name in ("in time", "late", "deferred", "written off")])
        print(f"seed {run['seed']:<5} payoff {run['payoff']:.4f}  {counts}  wasted {run['wasted']:.3f}")
        for violation in run["broken"]:
            print(f"  broken, {violation}")
    mean, low, high = bootstrap_interval([run["payoff"] for run in runs])
    print(f"payoff in time {mean:.4f}, from {low:.4f} to {high:.4f} over {len(runs)} seeds")
    return 1 if violations else 0
