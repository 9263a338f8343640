"""Records the events and commands of the router, and compares the present version with a recording.

    python -m bench.decision_trace record FOLDER [--only NAME]     # runs each scenario, one file each
    python -m bench.decision_trace compare FOLDER [--only NAME]    # exit code 1 if a command differs
    python -m bench.decision_trace coverage                        # lines that no scenario executes

A file is gzipped JSON lines: first `[seed, settings, start_ms]`, then `[now_ms, events, commands]` for each
batch. An event or a command is `[kind, field, field, ...]`: the kind is its index in the tables below, the
fields are in the order of `dunepulley/routing/events.py` and `commands.py`, so that renames need no new
recordings. Floats are written with full precision, so equal lines mean bit-identical commands. The fleet that
answers the commands is simulated and deterministic; a comparison does not need it.
"""

from __future__ import annotations

import argparse
import gzip
import inspect
import json
import sys
from collections import Counter
from pathlib import Path
from typing import Any, NamedTuple

from bench.decision_fleet import Fleet
from bench.decision_scenarios import SCENARIOS, SMALL, START_MS, Scenario
from dunepulley.routing import router
from dunepulley.routing.commands import (
    CancelAttempt,
    CheckHealth,
    Fail,
    Reject,
    SendGossip,
    SetTimer,
    StartAttempt,
    WriteLog,
)
from dunepulley.routing.events import (
    AttemptEnded,
    AttemptStarted,
    ClientDisconnected,
    EndpointEntry,
    EndpointListUpdate,
    GossipReceived,
    HealthCheckEnded,
    RequestArrived,
    ResponseStarted,
    SlowStartBudgetAssigned,
    TimerFired,
)

# Recordings hold indexes into these tables, so new kinds may only be appended.
EVENT_KINDS = (
    EndpointListUpdate,
    RequestArrived,
    AttemptStarted,
    ResponseStarted,
    AttemptEnded,
    ClientDisconnected,
    HealthCheckEnded,
    GossipReceived,
    SlowStartBudgetAssigned,
    TimerFired,
)
COMMAND_KINDS = (
    StartAttempt,
    CancelAttempt,
    Reject,
    Fail,
    CheckHealth,
    SendGossip,
    SetTimer,
    WriteLog,
)


class SourceLine(NamedTuple):
    """A line of a source file; numbers begin at 1."""

    file: str
    number: int


def pack(message: Any, kinds: tuple[type, ...]) -> list[Any]:
    """Encode an event or a command as the index of its kind and its fields."""
    return [kinds.index(type(message)), *message]


def unpack_event(packed: list[Any]) -> Any:
    """Decode an event of a recording."""
    kind = EVENT_KINDS[packed[0]]
    fields = list(packed[1:])
    if kind is EndpointListUpdate:
        fields[1] = tuple([EndpointEntry(*entry) for entry in fields[1]])
    if kind is GossipReceived:
        fields[2] = tuple([(endpoint_hash, in_flight) for endpoint_hash, in_flight in fields[2]])
    return kind(*fields)


def unpack_settings(packed: dict[str, Any]) -> dict[str, Any]:
    """Decode the settings of a recording; lists become tuples."""
    return {name: tuple(value) if isinstance(value, list) else value for name, value in packed.items()}


def line(*values: Any) -> str:
    """Encode one line of a recording."""
    return json.dumps(values, separators=(",", ":"))


def record(scenario: Scenario, path: Path) -> Counter[str]:
    """Run a scenario and write its recording; returns the number of commands of each kind."""
    fleet = Fleet(scenario)
    with gzip.GzipFile(path, "wb", mtime=0) as file:
        file.write(line(scenario.seed, fleet.settings, START_MS).encode() + b"\n")
        for now, events, commands in fleet.batches():
            packed = [pack(event, EVENT_KINDS) for event in events]
            packed_commands = [pack(command, COMMAND_KINDS) for command in commands]
            file.write(line(now, packed, packed_commands).encode() + b"\n")
    return fleet.commands


def compare(path: Path) -> str:
    """Replay a recording; returns a description of the first difference, empty if there is none."""
    with gzip.open(path, "rt") as file:
        seed, settings, start = json.loads(next(file))
        dispatcher = router.Router(seed, unpack_settings(settings), start)
        for number, text in enumerate(file, 1):
            now, events, expected = json.loads(text)
            commands = dispatcher.handle(now, [unpack_event(event) for event in events])
            actual = json.loads(json.dumps([pack(command, COMMAND_KINDS) for command in commands]))
            if actual != expected:
                return (
                    f"batch {number} at {now} ms\n  events   {events}\n  recorded {expected}\n"
                    f"  got      {actual}"
                )
    return ""


def package_files() -> list[str]:
    """The paths of every module of the routing package, in alphabetical order."""
    return sorted([str(path) for path in Path(router.__file__).parent.glob("*.py")])


def coverage(scenarios: list[Scenario]) -> tuple[set[SourceLine], set[SourceLine]]:
    """The lines of the routing package that the scenarios execute, and all lines of its functions."""
    reached: set[SourceLine] = set()
    files = frozenset(package_files())

    def trace(frame: Any, event: str, _: Any) -> Any:
        if frame.f_code.co_filename not in files:
            return None
        if event == "line":
            reached.add(SourceLine(frame.f_code.co_filename, frame.f_lineno))
        return trace

    for scenario in scenarios:
        sys.settrace(trace)
        try:
            for _ in Fleet(scenario).batches():
                pass
        finally:
            sys.settrace(None)
    lines = set().union(*[lines_of_functions(file) for file in files])
    return reached, lines


def lines_of_functions(file: str) -> set[SourceLine]:
    """The lines within a file's functions, without those that run at import."""
    lines: set[SourceLine] = set()
    codes = [compile(Path(file).read_text(), file, "exec")]
    while codes:
        code = codes.pop()
        codes += [const for const in code.co_consts if hasattr(const, "co_code")]
        if code.co_flags & inspect.CO_NEWLOCALS:
            numbers = {number for _, _, number in code.co_lines() if number}
            lines |= {SourceLine(file, number) for number in numbers - {code.co_firstlineno}}
    return lines


def print_coverage(scenarios: list[Scenario]) -> None:
    """Print each line that no scenario executes, then how many are executed."""
    reached, lines = coverage(scenarios)
    for file in package_files():
        text = Path(file).read_text().splitlines()
        for line in sorted(lines - reached):
            if line.file == file:
                print(f"not reached {Path(file).name}:{line.number}: {text[line.number - 1].strip()}")
    print(f"{len(lines & reached)} of {len(lines)} lines reached")


def main() -> int:
    """Parse the command line and run it; return the exit code."""
    parser = argparse.ArgumentParser(description="Record and compare the decisions of the decision module.")
    parser.add_argument("what", choices=("record", "compare", "coverage"))
    parser.add_argument("folder", type=Path, nargs="?", default=Path())
    parser.add_argument("--only", default="", help="only scenarios whose name contains this")
    parser.add_argument("--small", action="store_true", help="only scenarios that the tests use")
    options = parser.parse_args()
    scenarios = [scenario for scenario in SCENARIOS if options.only in scenario.name]
    if options.small:
        scenarios = [scenario for scenario in scenarios if scenario.name in SMALL]
    if options.what == "coverage":
        print_coverage(scenarios)
        return 0
    differing = 0
    for scenario in scenarios:
        path = options.folder / f"{scenario.name}.jsonl.gz"
        if options.what == "record":
            options.folder.mkdir(parents=True, exist_ok=True)
            print(f"{scenario.name}: {dict(record(scenario, path))}", flush=True)
        else:
            difference = compare(path)
            differing += bool(difference)
            print(f"{scenario.name}: {difference[:3000] or 'the same'}", flush=True)
    return 1 if differing else 0


if __name__ == "__main__":
    sys.exit(main())
