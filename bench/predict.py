"""Checks the simulation's prediction of a settings change against runs with real dispatchers.

    python -m bench.predict DAY.toml --b SETTINGS.toml --seeds 1-40 --played 1-6

Simulates the scenario with many seeds without (variant a) and with (variant b) the settings, and runs some of
the seeds with the load tool as well. Writes a CSV line for each seed and variant to standard output. Reports
whether the measured difference lies within the confidence interval of the simulated one.
"""

from __future__ import annotations

import argparse
import asyncio
import csv
import os
import sys

from dunepulley.load import runner
from dunepulley.model import compare
from dunepulley.model import scenario as scenarios
from dunepulley.model.command import parse_seeds


def main(arguments: list[str] | None = None) -> int:
    """Run the comparison; returns 0 if the prediction held, else 1."""
    parser = argparse.ArgumentParser(
        description="Checks the simulation's prediction against real dispatchers."
    )
    parser.add_argument("day")
    parser.add_argument("--b", required=True, help="the changed settings, a TOML file")
    parser.add_argument("--seeds", type=parse_seeds, default=parse_seeds("1-40"))
    parser.add_argument("--played", type=parse_seeds, default=parse_seeds("1-4"))
    options = parser.parse_args(arguments)
    scenario = scenarios.read(options.day)
    changed = compare.read_settings(options.b)
    variants = [compare.Variant({}), compare.Variant(changed)]
    seeds = sorted({*options.seeds, *options.played})
    simulated = compare.run_all(scenario, seeds, variants, os.cpu_count() or 1)
    writer = csv.writer(sys.stdout)
    writer.writerow(["where", "way", "seed", "payoff"])
    for variant, runs in zip("ab", simulated, strict=True):
        for result in runs:
            writer.writerow(["model", variant, result["seed"], f"{result['payoff']:.4f}"])
    measured: dict[str, list[float]] = {"a": [], "b": []}
    for seed in options.played:
        # In sequence, both variants of a seed directly after each other, so that other load on the machine
        # affects both.
        for variant, settings in (("a", {}), ("b", changed)):
            result = asyncio.run(runner.run_scenario(scenario, seed, settings, None))
            measured[variant].append(result["payoff"])
            writer.writerow(["played", variant, seed, f"{result['payoff']:.4f}"])
            sys.stdout.flush()
    simulated_differences = [b["payoff"] - a["payoff"] for a, b in zip(*simulated, strict=True)]
    mean, low, high = compare.bootstrap_interval(simulated_differences)
    differences = [b - a for a, b in zip(measured["a"], measured["b"], strict=True)]
    measured_mean = sum(differences) / len(differences)
    # Only a few seeds were measured, so compare with the interval for the mean of as many simulated seeds.
    few_low, few_high = compare.bootstrap_interval(simulated_differences, len(differences))[1:]
    same_seeds = [simulated_differences[seeds.index(seed)] for seed in options.played]
    holds = few_low <= measured_mean <= few_high
    for text in (
        f"model: {mean:+.4f}, from {low:+.4f} to {high:+.4f} over {len(seeds)} seeds",
        f"       the mean of {len(differences)} seeds from {few_low:+.4f} to {few_high:+.4f}",
        f"       on the seeds that were played {sum(same_seeds) / len(same_seeds):+.4f}",
        f"played: {measured_mean:+.4f} over {len(differences)} seeds, {'within' if holds else 'not within'}",
    ):
        print(text, file=sys.stderr)
    return 0 if holds else 1


if __name__ == "__main__":
    sys.exit(main())
