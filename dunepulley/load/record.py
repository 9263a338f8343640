"""What happened in a run: events in their order, each with its time, kept in memory and written down on wish.

A record is lines of JSON: a head that names its version, the day's file and the seed, then the events. `at`
is in ms since the run began.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

VERSION = 1
# Ten minutes of some thousand items a second, with what becomes of each.
MOST = 4_000_000


class RecordError(Exception):
    """A record that is not read; the text says why in one line."""


class Record:
    """The events of one run."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.begin = 0.0
        self.events: list[dict[str, Any]] = []
        self.left_out = 0

    def note(self, event: str, **what: Any) -> None:
        """Add an event that happens now; beyond the bound events are only counted."""
        if len(self.events) >= MOST:
            self.left_out += 1
            return
        self.events.append({"at": round(self.clock() - self.begin, 1), "event": event} | what)

    def write(self, path: str, day: str, seed: int) -> None:
        """Write all of it down; raises RecordError where that cannot be done."""
        head = {"record": VERSION, "day": day, "seed": seed}
        lines = [orjson.dumps(each) + b"\n" for each in (head, *self.events)]
        try:
            Path(path).write_bytes(b"".join(lines))
        except OSError as problem:
            raise RecordError(f"cannot write {path}: {problem.strerror}") from problem


def read(path: str) -> list[dict[str, Any]]:
    """The events of a record, or none of them; raises RecordError."""
    try:
        head, *lines = Path(path).read_bytes().splitlines() or [b""]
        told = orjson.loads(head)
        if not isinstance(told, dict) or told.get("record") != VERSION:
            raise RecordError(f"{path}: line 1 is no head of a record of version {VERSION}")
        events = [orjson.loads(line) for line in lines]
    except OSError as problem:
        raise RecordError(f"cannot read {path}: {problem.strerror}") from problem
    except orjson.JSONDecodeError as problem:
        raise RecordError(f"{path}: a line is no JSON") from problem
    for number, event in enumerate(events, 2):
        if not isinstance(event, dict) or not isinstance(event.get("event"), str) or "at" not in event:
            raise RecordError(f"{path}: line {number} is no event")
    return events
