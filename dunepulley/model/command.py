"""The arguments of the commands `model` and `compare`; their modules are imported when they run."""

from __future__ import annotations

import argparse
import os
import sys
from typing import Any


def parse_seeds(text: str) -> list[int]:
    """Parse a seed such as 7 or a range such as 1-20; raises ArgumentTypeError."""
    first, _, last = text.partition("-")
    if not first.isdecimal() or (last and not last.isdecimal()) or len(text) > 20:
        raise argparse.ArgumentTypeError(f"{text!r} is not a seed such as 7 or a range such as 1-20")
    seeds = list(range(int(first), int(last or first) + 1))
    if not 1 <= len(seeds) <= 10_000:
        raise argparse.ArgumentTypeError(f"{text!r} holds {len(seeds)} seeds, expected 1 to 10000")
    return seeds


def add_to(commands: Any) -> None:
    """Add the sub-commands `model` and `compare`."""
    model = commands.add_parser("model", help="run a scenario in simulated time")
    compare = commands.add_parser("compare", help="compare two settings or versions on the same scenario")
    for command in (model, compare):
        command.add_argument("day", help="the scenario, a TOML file")
        default = parse_seeds("1-10")
        command.add_argument(
            "--seeds", type=parse_seeds, default=default, help="a seed or a range (default: 1-10)"
        )
        command.add_argument("--processes", type=int, default=os.cpu_count() or 1)
        command.add_argument("--json", action="store_true")
    model.add_argument("--settings", help="settings that override the scenario's, a TOML file")
    for name in ("a", "b"):
        compare.add_argument(
            f"--{name}", help=f"settings of {name} that override the scenario's, a TOML file"
        )
        text = f"the routing package of {name}: the folder of another version, or its router.py"
        compare.add_argument(f"--{name}-module", default="", help=text)


def run(options: argparse.Namespace) -> int:
    """Run `model` or `compare`; return the exit code."""
    try:
        from dunepulley.model import compare
    except ImportError as problem:
        print(f"dunepulley: {problem}: pip install -r requirements-model.txt", file=sys.stderr)
        return 2
    return compare.run(options)
