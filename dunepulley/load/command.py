"""The arguments of the command `load`; its modules are imported when it runs."""

from __future__ import annotations

import argparse
import sys
from typing import Any

from dunepulley.model.command import parse_seeds


def add_to(commands: Any) -> None:
    """Add the sub-command `load`."""
    load = commands.add_parser("load", help="run a scenario or a trace against real dispatchers on loopback")
    load.add_argument("day", help="the scenario, a TOML file")
    load.add_argument(
        "--seeds", type=parse_seeds, default=parse_seeds("1"), help="a seed or a range (default: 1)"
    )
    load.add_argument(
        "--trace", help="a trace that a dispatcher recorded, in place of the scenario's traffic"
    )
    load.add_argument("--settings", help="settings that override the scenario's, a TOML file")
    load.add_argument("--record", help="the file to write all events of the run to; requires a single seed")
    load.add_argument("--check", metavar="RECORD", help="check the rules in a record, without a run")
    load.add_argument("--json", action="store_true")


def run(options: argparse.Namespace) -> int:
    """Run `load`; return the exit code."""
    try:
        from dunepulley.load import session
    except ImportError as problem:
        print(f"dunepulley: {problem}: pip install -r requirements-model.txt", file=sys.stderr)
        return 2
    return session.run(options)
