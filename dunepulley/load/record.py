"""The record of a run: its events in order, kept in memory and optionally written to a file.

A record file is lines of JSON: a header with the version, the path of the scenario file and the seed, then
the events. `at` is in ms since the start of the run.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

VERSION = 1
# Enough for all events of a run of ten minutes at about a thousand requests per second.
MAX_EVENTS = 4_000_000


class RecordError(Exception):
    """A record cannot be read or written; the text gives the file and the reason in one line."""


class Record:
    """The events of one run; `clock` returns the time in ms."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.begin = 0.0
        self.events: list[dict[str, Any]] = []
        self.dropped = 0

    def add_event(self, event: str, **fields: Any) -> None:
        """Append an event with the current time; events beyond `MAX_EVENTS` are only counted."""
        if len(self.events) >= MAX_EVENTS:
            self.dropped += 1
            return
        self.events.append({"at": round(self.clock() - self.begin, 1), "event": event} | fields)

    def write(self, path: str, scenario_path: str, seed: int) -> None:
        """Write the record to a file; raises RecordError where that fails."""
        header = {"record": VERSION, "day": scenario_path, "seed": seed}
        lines = [orjson.dumps(document) + b"\n" for document in (header, *self.events)]
        try:
            Path(path).write_bytes(b"".join(lines))
        except OSError as problem:
            raise RecordError(f"cannot write {path}: {problem.strerror}") from problem


def read(path: str) -> list[dict[str, Any]]:
    """Read all events of a record; raises RecordError where the file or any line is invalid."""
    try:
        head, *lines = Path(path).read_bytes().splitlines() or [b""]
        header = orjson.loads(head)
        if not isinstance(header, dict) or header.get("record") != VERSION:
            raise RecordError(f"{path}: line 1: expected the header of a record of version {VERSION}")
        events = [orjson.loads(line) for line in lines]
    except OSError as problem:
        raise RecordError(f"cannot read {path}: {problem.strerror}") from problem
    except orjson.JSONDecodeError as problem:
        raise RecordError(f"{path}: expected a JSON document in each line") from problem
    for number, event in enumerate(events, 2):
        if not isinstance(event, dict) or not isinstance(event.get("event"), str) or "at" not in event:
            raise RecordError(f"{path}: line {number}: expected an event with a time")
    return events
