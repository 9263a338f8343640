"""The agent's file of drains (JSON, see `drain_json`): read at the start, and replaced by each write."""

from __future__ import annotations

import orjson

from dunepulley.agent import atomic_file
from dunepulley.clocks import Clock
from dunepulley.control import drain_json
from dunepulley.control.drains import DrainSet
from dunepulley.errors import StorageError


class DrainFileError(StorageError):
    """The file cannot be read or written; the text gives the reason in one line."""


class NotDurableError(DrainFileError):
    """The file contains the new set, but a crash of the machine may restore the previous one."""


def load(path: str, now_ms: float, clock: Clock | None = None) -> DrainSet:
    """Return the set in the file, with expiries by `clock`; without a clock they are in Unix ms as written.

    Without a file, returns an empty set of a new epoch that begins at `now_ms`, in Unix ms. Raises
    `DrainFileError` if the file exists and cannot be read.
    """
    try:
        with open(path, "rb") as file:
            return drain_json.decode_drain_set(orjson.loads(file.read()), clock)
    except FileNotFoundError:
        return DrainSet(epoch=float(int(now_ms)))
    except (OSError, ValueError) as error:
        raise DrainFileError(f"cannot use {path}: {error}") from error


def save(path: str, drains: DrainSet, clock: Clock | None = None) -> None:
    """Write a set whose expiries are by `clock` to the file, durably.

    Raises `DrainFileError` if the file still contains the previous set, and `NotDurableError` if it contains
    this one but a crash may restore the previous one.
    """
    encoded = drain_json.encode_drain_set(drains, clock)
    try:
        atomic_file.replace_file(path, orjson.dumps(encoded, option=orjson.OPT_INDENT_2))
    except atomic_file.NotDurableError as error:
        raise NotDurableError(f"cannot write {path} durably: {error}") from error
    except OSError as error:
        raise DrainFileError(f"cannot write {path}: {error.strerror}") from error
