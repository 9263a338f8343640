"""Does the model foretell what a change does? The same days in the model and against real dispatchers.

    python -m bench.predict DAY.toml --b SETTINGS.toml --seeds 1-40 --played 1-6

Plays many seeds in the model without and with the settings, some of them by the load tool, too, and writes a
line for each seed and way to standard output as CSV. Says whether the difference that was played lies within
the interval of the model's.
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
    """Run it; 0 where the prediction held, 1 where not."""
    parser = argparse.ArgumentParser(description="The model's prediction against real dispatchers.")
    parser.add_argument("day")
    parser.add_argument("--b", required=True, help="the changed settings, a TOML file")
    parser.add_argument("--seeds", type=parse_seeds, default=parse_seeds("1-40"))
    parser.add_argument("--played", type=parse_seeds, default=parse_seeds("1-4"))
    chosen = parser.parse_args(arguments)
    scenario = scenarios.read(chosen.day)
    changed = compare.read_settings(chosen.b)
    ways = [compare.Variant({}), compare.Variant(changed)]
    seeds = sorted({*chosen.seeds, *chosen.played})
    foretold = compare.run_all(scenario, seeds, ways, os.cpu_count() or 1)
    out = csv.writer(sys.stdout)
    out.writerow(["where", "way", "seed", "payoff"])
    for way, runs in zip("ab", foretold, strict=True):
        for one in runs:
            out.writerow(["model", way, one["seed"], f"{one['payoff']:.4f}"])
    seen: dict[str, list[float]] = {"a": [], "b": []}
    for seed in chosen.played:
        # One after the other, and both ways beside each other in time: what else the machine does hits both.
        for way, settings in (("a", {}), ("b", changed)):
            one = asyncio.run(runner.run_scenario(scenario, seed, settings, None))
            seen[way].append(one["payoff"])
            out.writerow(["played", way, seed, f"{one['payoff']:.4f}"])
            sys.stdout.flush()
    spread = [b["payoff"] - a["payoff"] for a, b in zip(*foretold, strict=True)]
    mean, low, high = compare.bootstrap_interval(spread)
    differences = [b - a for a, b in zip(seen["a"], seen["b"], strict=True)]
    played = sum(differences) / len(differences)
    # Few seeds were played: where the mean of so few of the model's own lies.
    few_low, few_high = compare.bootstrap_interval(spread, len(differences))[1:]
    same = [spread[seeds.index(seed)] for seed in chosen.played]
    holds = few_low <= played <= few_high
    for text in (
        f"model: {mean:+.4f}, from {low:+.4f} to {high:+.4f} over {len(seeds)} seeds",
        f"       the mean of {len(differences)} seeds from {few_low:+.4f} to {few_high:+.4f}",
        f"       on the seeds that were played {sum(same) / len(same):+.4f}",
        f"played: {played:+.4f} over {len(differences)} seeds, {'within' if holds else 'not within'}",
    ):
        print(text, file=sys.stderr)
    return 0 if holds else 1


if __name__ == "__main__":
    sys.exit(main())
