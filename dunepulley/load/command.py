"""The arguments of `load`; what it runs is loaded only then."""

from __future__ import annotations

import argparse
import sys
from typing import Any

from dunepulley.model.command import parse_seeds


def add_to(commands: Any) -> None:
    """The sub-command `load`."""
    load = commands.add_parser("load", help="play a day or a trace against real dispatchers on loopback")
    load.add_argument("day", help="the day's description, a TOML file")
    load.add_argument("--seeds", type=parse_seeds, default=parse_seeds("1"), help="such as 1-3 (usual: 1)")
    load.add_argument("--trace", help="what a dispatcher recorded, in place of the day's traffic")
    load.add_argument("--settings", help="settings over the day's own, a TOML file")
    load.add_argument("--record", help="where to write down all that happened; one seed only")
    load.add_argument("--check", metavar="RECORD", help="check the rules in a record again; play nothing")
    load.add_argument("--json", action="store_true")


def run(chosen: argparse.Namespace) -> int:
    """Carry it out; the exit code."""
    try:
        from dunepulley.load import runner
    except ImportError as problem:
        print(f"dunepulley: {problem}: pip install -r requirements-model.txt", file=sys.stderr)
        return 2
    return runner.run(chosen)
