"""The drains in the agent's file: written whole beside it and put in its place, so never half there."""

from __future__ import annotations

import os

import orjson

from dunepulley import drains


class StoreError(Exception):
    """The file cannot be read or written; the text says why in one line."""


def load(path: str, now: float) -> drains.Drains:
    """The set in the file; where there is none a new epoch begins."""
    try:
        with open(path, "rb") as file:
            return drains.drains_of(orjson.loads(file.read()))
    except FileNotFoundError:
        return drains.Drains(epoch=float(int(now)))
    except (OSError, ValueError) as problem:
        raise StoreError(f"cannot use {path}: {problem}") from problem


def save(path: str, some: drains.Drains) -> None:
    """Have the file hold a set, also if the machine stops right after."""
    beside = f"{path}.new"
    try:
        with open(beside, "wb") as file:
            file.write(orjson.dumps(drains.told(some), option=orjson.OPT_INDENT_2))
            file.flush()
            os.fsync(file.fileno())
        os.replace(beside, path)
        folder = os.open(os.path.dirname(path) or ".", os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
    except OSError as problem:
        raise StoreError(f"cannot write {path}: {problem.strerror}") from problem
