"""The arguments of `model` and `compare`; what they run is loaded only then."""

from __future__ import annotations

import argparse
import os
import sys
from typing import Any


def parse_seeds(text: str) -> list[int]:
    """Seeds such as 7 or 1-20."""
    first, _, last = text.partition("-")
    if not first.isdecimal() or (last and not last.isdecimal()) or len(text) > 20:
        raise argparse.ArgumentTypeError(f"{text!r} is no seed such as 7, and no span such as 1-20")
    seeds = list(range(int(first), int(last or first) + 1))
    if not 1 <= len(seeds) <= 10_000:
        raise argparse.ArgumentTypeError(f"{text!r} holds {len(seeds)} seeds")
    return seeds


def add_to(commands: Any) -> None:
    """The sub-commands `model` and `compare`."""
    one = commands.add_parser("model", help="play a described day in simulated time")
    two = commands.add_parser("compare", help="two settings or two versions on the same simulated days")
    for command in (one, two):
        command.add_argument("day", help="the day's description, a TOML file")
        usual = parse_seeds("1-10")
        command.add_argument("--seeds", type=parse_seeds, default=usual, help="such as 1-20 (usual: 1-10)")
        command.add_argument("--processes", type=int, default=os.cpu_count() or 1)
        command.add_argument("--json", action="store_true")
    one.add_argument("--settings", help="settings over the day's own, a TOML file")
    for name in ("a", "b"):
        two.add_argument(f"--{name}", help=f"settings of {name} over the day's own, a TOML file")
        text = f"the routing package of {name}: another version's folder, or its router.py"
        two.add_argument(f"--{name}-module", default="", help=text)


def run(chosen: argparse.Namespace) -> int:
    """Carry out one of them; the exit code."""
    try:
        from dunepulley.model import compare
    except ImportError as problem:
        print(f"dunepulley: {problem}: pip install -r requirements-model.txt", file=sys.stderr)
        return 2
    return compare.run(chosen)
