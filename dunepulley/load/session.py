"""The command `load` once its arguments are parsed: its runs, one per seed, and what it prints."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import time
from typing import Any

from dunepulley import trace_format
from dunepulley.load import check, faults
from dunepulley.load.record import RecordError, read
from dunepulley.load.runner import run_scenario
from dunepulley.model import compare
from dunepulley.model import scenario as scenarios

MAX_RUN_S = 600.0


def run(options: argparse.Namespace) -> int:
    """Run `dunepulley load`; return 1 where a rule was violated, 2 where an argument or file is invalid."""
    try:
        scenario = scenarios.read(options.day)
        settings = compare.read_settings(options.settings) if options.settings else {}
        trace = trace_format.read_trace(options.trace) if options.trace else None
        if options.check:
            return _print_violations(check.find_violations(scenario, read(options.check)))
        _check_runnable(scenario, trace, options)
    except (scenarios.ScenarioError, trace_format.TraceError, RecordError, ValueError) as problem:
        print(f"dunepulley: {problem}", file=sys.stderr)
        return 2
    results = []
    for seed in options.seeds:
        started_s = time.monotonic()
        try:
            record = (options.record, options.day) if options.record else None
            results.append(asyncio.run(run_scenario(scenario, seed, settings, trace, record)))
        except (trace_format.TraceError, RecordError) as problem:
            print(f"dunepulley: {problem}", file=sys.stderr)
            return 2
        except (asyncio.CancelledError, KeyboardInterrupt):
            print("dunepulley: interrupted; all processes that were started have ended", file=sys.stderr)
            return 2
        if not options.json:
            _print_run(seed, results[-1], time.monotonic() - started_s)
    if options.json:
        print(json.dumps(results, indent=2))
    return 1 if any([result["broken"] for result in results]) else 0


def _check_runnable(
    scenario: scenarios.Scenario,
    trace: list[trace_format.RecordedRequest] | None,
    options: argparse.Namespace,
) -> None:
    """Raise ValueError where the scenario cannot be run with these options."""
    for seed in options.seeds:
        faults.plan_faults(scenario, seed)
    longest = max(
        [scenario.seconds, trace[-1].at / 1000.0 if trace else 0.0, *[f.to_s for f in scenario.faults]]
    )
    if longest > MAX_RUN_S:
        raise ValueError(f"{longest:g} s are more than the {MAX_RUN_S:g} s that a run may take")
    if options.record and len(options.seeds) > 1:
        raise ValueError("--record: expected one seed, as a record holds one run")
    if scenario.way == scenarios.COMMON_PLAN and scenario.dispatchers < scenario.zones:
        raise ValueError(f"{options.day}: dispatchers: expected at least one for the agent of each zone")


def _print_run(seed: int, results: dict[str, Any], duration_s: float) -> None:
    print(f"seed {seed:<5} payoff {results['payoff']:.4f}  {results['answers']}", end="  ")
    print(f"answered after {results['answered after ms']} ms", end=", ")
    print(f"sent late by {results['sent late by ms']} ms, {duration_s:.0f} s")
    for violation in results["broken"]:
        print(f"  broken, {violation}")


def _print_violations(violations: list[str]) -> int:
    for violation in violations:
        print(f"broken, {violation}")
    print(f"{len(violations)} breaks told")
    return 1 if violations else 0
