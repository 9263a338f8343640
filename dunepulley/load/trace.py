"""Traces of what came in: a head, then a line of JSON for each work item. No ids, no bodies."""

from __future__ import annotations

from typing import IO, Any, NamedTuple

import orjson

from dunepulley.words import is_number

VERSION = 1
MOST = 1_000_000
LINE_LIMIT = 1000
LONGEST_MS = 24 * 3600 * 1000.0


class TraceError(Exception):
    """A trace that is not played; the text says which line is at fault."""


class Came(NamedTuple):
    """One work item: when it came, in ms since the first, and what is told of it."""

    at: float
    category: str
    budget: float
    hint: float = 0.0
    size: int = 0


def head(name: str) -> bytes:
    """The first line."""
    return orjson.dumps({"trace": VERSION, "dispatcher": name}) + b"\n"


def line(came: Came) -> bytes:
    """The line of one item."""
    return orjson.dumps(came._asdict()) + b"\n"


def read(path: str) -> list[Came]:
    """A whole trace, or none of it."""
    try:
        with open(path, "rb") as file:
            return _read(file)
    except OSError as problem:
        raise TraceError(f"cannot read {path}: {problem.strerror}") from problem
    except ValueError as problem:
        raise TraceError(f"{path}: {problem}") from problem


def _read(file: IO[bytes]) -> list[Came]:
    came: list[Came] = []
    number = 0
    while raw := file.readline(LINE_LIMIT + 1):
        number += 1
        if not raw.endswith(b"\n"):
            raise ValueError(f"line {number} is {'too long' if len(raw) > LINE_LIMIT else 'cut off'}")
        try:
            told = orjson.loads(raw)
        except orjson.JSONDecodeError as problem:
            raise ValueError(f"line {number} is no JSON") from problem
        if number == 1:
            if not isinstance(told, dict) or told.get("trace") != VERSION:
                raise ValueError(f"line 1 is no head of a trace of version {VERSION}")
            continue
        item = _item(told, number)
        if came and item.at < came[-1].at:
            raise ValueError(f"line {number} came before the line above it")
        came.append(item)
        if len(came) > MOST:
            raise ValueError(f"more than {MOST} items")
    if not came:
        raise ValueError("it holds no item")
    return came


def _item(told: Any, number: int) -> Came:
    if not isinstance(told, dict) or set(told) != set(Came._fields):
        raise ValueError(f"line {number} is no item")
    category = told["category"]
    if not isinstance(category, str) or not category or len(category) > 128:
        raise ValueError(f"line {number}: category is no name")
    for name, most in (("at", LONGEST_MS), ("budget", LONGEST_MS), ("hint", LONGEST_MS), ("size", 65536.0)):
        value = told[name]
        if not is_number(value) or not 0.0 <= value <= most:
            raise ValueError(f"line {number}: {name} is {value!r}")
    return Came(float(told["at"]), category, float(told["budget"]), float(told["hint"]), int(told["size"]))
