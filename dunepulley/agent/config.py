"""The agent's file: where it listens, where it keeps the drains, and the dispatchers of its host."""

from __future__ import annotations

import os
import tomllib
from typing import Any, NamedTuple

from dunepulley import words
from dunepulley.net.config import address_of

KNOWN = {"listen", "state", "answer_s", "dispatcher"}
KNOWN_OF_ONE = {"name", "console", "start"}


class UnusableError(Exception):
    """The file cannot be used; the text says why in one line."""


class Instance(NamedTuple):
    """One dispatcher: its name, its one or two second addresses, and how the agent starts it, if it does."""

    name: str
    consoles: tuple[str, ...]
    start: tuple[str, ...] = ()


class Config(NamedTuple):
    """All of the file."""

    listen: tuple[str, int]
    state: str
    answer_s: float
    instances: tuple[Instance, ...]


def read(path: str) -> Config:
    """The file, checked as a whole."""
    try:
        with open(path, "rb") as file:
            told = tomllib.load(file)
    except OSError as problem:
        raise UnusableError(f"cannot read {path}: {problem.strerror}") from problem
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as problem:
        raise UnusableError(f"{path} is no TOML: {problem}") from problem
    try:
        return _checked(told, os.path.dirname(os.path.abspath(path)))
    except (ValueError, TypeError) as problem:
        raise UnusableError(f"{path}: {problem}") from problem


def _checked(told: dict[str, Any], folder: str) -> Config:
    _only(told, KNOWN, "the file")
    state, answer_s = told.get("state"), told.get("answer_s", 2.0)
    if not isinstance(state, str) or not state:
        raise ValueError("state is no path")
    if not words.is_number(answer_s) or not 0.0 < answer_s <= 60.0:
        raise ValueError(f"answer_s is {answer_s!r}, no time of at most 60 s")
    entries = told.get("dispatcher")
    if not isinstance(entries, list) or not entries:
        raise ValueError("no [[dispatcher]]")
    instances = tuple([_instance(entry) for entry in entries])
    for what in ([one.name for one in instances], [at for one in instances for at in one.consoles]):
        double = {each for each in what if what.count(each) > 1}
        if double:
            raise ValueError(f"{min(double)} stands there twice")
    listen = address_of(told.get("listen"))
    return Config(listen, os.path.join(folder, state), float(answer_s), instances)


def _instance(entry: Any) -> Instance:
    if not isinstance(entry, dict):
        raise ValueError("a dispatcher is no table")
    name = entry.get("name")
    if not isinstance(name, str) or not name or not name.isprintable() or len(name) > 64:
        raise ValueError(f"name is {name!r}, no line of at most 64 characters")
    _only(entry, KNOWN_OF_ONE, name)
    consoles, start = entry.get("console"), entry.get("start", [])
    consoles = consoles if isinstance(consoles, list) else [consoles]
    if not 1 <= len(consoles) <= 2:
        raise ValueError(f"{name}: console is one address, or two where it is upgraded in place")
    for address in consoles:
        address_of(address)
    if not isinstance(start, list) or not all([isinstance(word, str) and word for word in start]):
        raise ValueError(f"{name}: start is no list of words")
    if len(consoles) == 2 and not start:
        raise ValueError(f"{name}: two second addresses are of use only with start")
    return Instance(name, tuple(consoles), tuple(start))


def _only(table: dict[str, Any], known: set[str], where: str) -> None:
    odd = sorted(table.keys() - known)
    if odd:
        raise ValueError(f"{where} has {odd[0]}, which means nothing")
