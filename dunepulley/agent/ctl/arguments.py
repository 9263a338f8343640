"""The command-line arguments of `ctl`, and the request message that is built from them."""

from __future__ import annotations

import argparse
import getpass
import os
import re
from typing import Any

DEFAULT_AGENT = "127.0.0.1:19900"

_SECONDS_BY_UNIT = {"s": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0}
_SPAN = re.compile(r"([0-9]{1,6}(?:\.[0-9]{1,3})?)([smhd])")
_TARGET_KINDS = ("worker", "zone", "kind")
_INSPECTIONS = ("list", "show")
_DISPATCHER_COMMANDS = {
    "list": "show each dispatcher: process, clients, endpoints, and whether it applies the current drains",
    "show": "show each endpoint as the dispatchers see it, and the dispatchers' metrics",
    "leave": "have dispatchers stop accepting clients and drain the connected ones",
    "join": "have dispatchers accept clients again",
    "restart": "restart dispatchers one after the other, until the first failure",
}


def add_to(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of `ctl` to a parser."""
    text = f"address of an agent; may be repeated (default: $DUNEPULLEY_AGENTS or {DEFAULT_AGENT})"
    parser.add_argument("--agent", action="append", metavar="HOST:PORT", help=text)
    parser.add_argument("--json", action="store_true", help="print the answers as one JSON object")
    parser.add_argument("--limit", type=parse_span, metavar="SPAN", help="timeout, such as 10s")
    commands = parser.add_subparsers(dest="do", required=True)
    for name, text in _DISPATCHER_COMMANDS.items():
        count = "*" if name in _INSPECTIONS else "+"
        _add_command(commands, name, text).add_argument("names", nargs=count, metavar="NAME")
    worker = _add_command(commands, "worker", "show one endpoint as each dispatcher sees it")
    worker.add_argument("worker", metavar="WORKER")
    _add_command(commands, "drains", "show the drains in force, and those that have ended")
    _add_drain(commands)
    _add_restore(commands)
    _add_command(commands, "zones", "show the fleet's traffic plan: zones, spillover, agents and dispatchers")
    _add_zone(commands)


def parse_span(text: str) -> float:
    """Return the seconds of a duration such as 90s, 30m, 2h or 1d; raises `ArgumentTypeError`."""
    found = _SPAN.fullmatch(text)
    if found is None or not float(found[1]):
        raise argparse.ArgumentTypeError(f"expected a duration such as 90s, 30m, 2h or 1d, got {text!r}")
    return float(found[1]) * _SECONDS_BY_UNIT[found[2]]


def build_request(options: argparse.Namespace) -> dict[str, Any]:
    """Return the request message for parsed arguments."""
    request: dict[str, Any] = {"do": options.do}
    if options.do == "zone":
        request |= {"says": options.says, "zone": options.zone, "by": _operator(options), "why": options.why}
        request["force"] = options.force
    if options.do in ("drain", "restore"):
        kind = next(kind for kind in _TARGET_KINDS if getattr(options, kind) is not None)
        request |= {"what": kind, "name": getattr(options, kind), "by": _operator(options)}
        request["over"] = options.over
    if options.do == "drain":
        request |= {"why": options.why, "force": options.force}
    if getattr(options, "lasts", None) is not None:
        request["for_s"] = options.lasts
    if options.do == "worker":
        request["worker"] = options.worker
    if getattr(options, "names", None):
        request["names"] = options.names
    if options.limit is not None:
        request["limit_s"] = options.limit
    return request


def _operator(options: argparse.Namespace) -> str:
    """Return the operator's name: the option `--by`, or the user's name."""
    return options.by or os.environ.get("SUDO_USER") or getpass.getuser()


def _add_command(commands: Any, name: str, text: str) -> argparse.ArgumentParser:
    parser: argparse.ArgumentParser = commands.add_parser(name, help=text, description=text)
    return parser


def _add_drain(commands: Any) -> None:
    parser = _add_command(
        commands, "drain", "send no new requests to an endpoint, a zone or a kind of endpoint"
    )
    _add_drain_target(parser)
    parser.add_argument("--for", dest="lasts", type=parse_span, metavar="SPAN", help="duration of the drain")
    parser.add_argument("--why", default="", help="reason, shown to other operators")
    parser.add_argument("--force", action="store_true", help="even if a request class has no endpoint left")


def _add_restore(commands: Any) -> None:
    _add_drain_target(_add_command(commands, "restore", "remove a drain"))


def _add_drain_target(parser: argparse.ArgumentParser) -> None:
    """Add the arguments for the target of a drain, and for the operator who changes it."""
    target = parser.add_mutually_exclusive_group(required=True)
    for kind in _TARGET_KINDS:
        target.add_argument(f"--{kind}", metavar="NAME")
    parser.add_argument("--by", default=None, metavar="WHO", help="operator (default: the user's name)")
    parser.add_argument("--over", type=int, default=0, metavar="REVISION", help="other's drain to replace")


def _add_zone(commands: Any) -> None:
    text = "override the traffic plan for a zone"
    parser = _add_command(commands, "zone", text)
    parser.add_argument(
        "says",
        choices=("leave", "bar", "return"),
        help="leave: evacuate the zone; bar: keep it closed until it is returned; return: end either",
    )
    parser.add_argument("zone", metavar="ZONE")
    parser.add_argument("--for", dest="lasts", type=parse_span, metavar="SPAN", help="override's duration")
    parser.add_argument("--by", default=None, metavar="WHO", help="operator (default: the user's name)")
    parser.add_argument("--why", default="", help="reason, shown to other operators")
    parser.add_argument("--force", action="store_true", help="even if the other zones lack capacity")
