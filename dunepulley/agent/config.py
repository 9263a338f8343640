"""The agent's configuration file (TOML): its address, its state, its dispatchers, and its fleet."""

from __future__ import annotations

import os
import tomllib
from collections.abc import Iterable
from typing import Any, NamedTuple

from dunepulley import json_values
from dunepulley.control import fields, regions
from dunepulley.errors import ConfigurationError
from dunepulley.net.addresses import parse_address

HOLD_S = 10.0
"""By default a plan holds at a dispatcher for so long, in s, after a majority was last known to agree.

Long enough for an agent to be restarted; also the longest for which two parts of a fleet can act on different
plans.
"""

_KEYS = {"listen", "state", "answer_s", "dispatcher", "fleet"}
_DISPATCHER_KEYS = {"name", "console", "start"}
_FLEET_KEYS = {"name", "epoch", "votes", "regions", "hold_s", "member"}
_MEMBER_KEYS = {"name", "address"}
_ANSWER_TIMEOUT_S = 2.0
_MAX_ANSWER_TIMEOUT_S = 60.0
_MIN_HOLD_S, _MAX_HOLD_S = 2.0, 300.0
# More acceptors make each decision slower and no safer.
_MAX_MEMBERS = 15
_MAX_EPOCH = 2**31
_MAX_NAME_LENGTH = 64


class AgentConfigError(ConfigurationError):
    """The configuration cannot be used, or the agent not be started with it; the text says why."""


class DispatcherConfig(NamedTuple):
    """One dispatcher: its name, its one or two admin addresses, and the command that starts it, if any."""

    name: str
    admin_addresses: tuple[str, ...]
    start_command: tuple[str, ...] = ()


class FleetConfig(NamedTuple):
    """The agents that decide in common: this one's name, all addresses by name, and the acceptor's file.

    `epoch` is incremented each time that all acceptors begin anew. `hold_s` is as `HOLD_S`.
    """

    name: str
    members: dict[str, str]
    votes: str
    epoch: int = 1
    hold_s: float = HOLD_S
    regions: regions.Regions = regions.Regions()


class AgentConfig(NamedTuple):
    """The whole file: where to listen, the path of the drains file, and how long to wait for an answer."""

    listen: tuple[str, int]
    drains_path: str
    answer_timeout_s: float
    dispatchers: tuple[DispatcherConfig, ...]
    fleet: FleetConfig | None = None


def read(path: str) -> AgentConfig:
    """Read and check the file; paths in it are relative to its directory. Raises `AgentConfigError`."""
    try:
        with open(path, "rb") as file:
            document = tomllib.load(file)
    except OSError as error:
        raise AgentConfigError(f"cannot read {path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise AgentConfigError(f"{path} is no TOML: {error}") from error
    try:
        return _parse_agent(document, os.path.dirname(os.path.abspath(path)))
    except (ValueError, TypeError) as error:
        raise AgentConfigError(f"{path}: {error}") from error


def _parse_agent(document: dict[str, Any], directory: str) -> AgentConfig:
    _check_keys(document, _KEYS, "the file")
    drains_path, answer_s = document.get("state"), document.get("answer_s", _ANSWER_TIMEOUT_S)
    if not isinstance(drains_path, str) or not drains_path:
        raise ValueError("state is no path")
    if not json_values.is_number(answer_s) or not 0.0 < answer_s <= _MAX_ANSWER_TIMEOUT_S:
        raise ValueError(f"answer_s is {answer_s!r}, no time of at most {_MAX_ANSWER_TIMEOUT_S:g} s")
    entries = document.get("dispatcher")
    if not isinstance(entries, list) or not entries:
        raise ValueError("no [[dispatcher]]")
    dispatchers = tuple([_parse_dispatcher(entry) for entry in entries])
    _check_unique([each.name for each in dispatchers])
    _check_unique([address for each in dispatchers for address in each.admin_addresses])
    listen: Any = document.get("listen")
    address = parse_address(listen)
    fleet = _parse_fleet(document["fleet"], directory) if "fleet" in document else None
    return AgentConfig(address, os.path.join(directory, drains_path), float(answer_s), dispatchers, fleet)


def _parse_dispatcher(entry: Any) -> DispatcherConfig:
    if not isinstance(entry, dict):
        raise ValueError("a dispatcher is no table")
    name = entry.get("name")
    if not isinstance(name, str) or not name or not name.isprintable() or len(name) > _MAX_NAME_LENGTH:
        raise ValueError(f"name is {name!r}, no line of at most {_MAX_NAME_LENGTH} characters")
    _check_keys(entry, _DISPATCHER_KEYS, name)
    addresses, command = entry.get("console"), entry.get("start", [])
    addresses = addresses if isinstance(addresses, list) else [addresses]
    if not 1 <= len(addresses) <= 2:
        raise ValueError(f"{name}: console is one address, or two where it is upgraded in place")
    for address in addresses:
        parse_address(address)
    if not isinstance(command, list) or not all([isinstance(word, str) and word for word in command]):
        raise ValueError(f"{name}: start is no list of words")
    if len(addresses) == 2 and not command:
        raise ValueError(f"{name}: two second addresses are of use only with start")
    return DispatcherConfig(name, tuple(addresses), tuple(command))


def _parse_fleet(table: Any, directory: str) -> FleetConfig:
    if not isinstance(table, dict):
        raise ValueError("fleet is no table")
    _check_keys(table, _FLEET_KEYS, "fleet")
    name = fields.parse_name(table.get("name"), "fleet: name")
    votes, epoch, hold_s = table.get("votes"), table.get("epoch", 1), table.get("hold_s", HOLD_S)
    if not isinstance(votes, str) or not votes:
        raise ValueError("fleet: votes is no path")
    if isinstance(epoch, bool) or not isinstance(epoch, int) or not 1 <= epoch < _MAX_EPOCH:
        raise ValueError(f"fleet: epoch is {epoch!r}, no count from 1 on")
    if not json_values.is_number(hold_s) or not _MIN_HOLD_S <= hold_s <= _MAX_HOLD_S:
        raise ValueError(f"fleet: hold_s is {hold_s!r}, no time from {_MIN_HOLD_S:g} s to {_MAX_HOLD_S:g} s")
    members = _parse_members(table.get("member"))
    if name not in members:
        raise ValueError(f"fleet: name is {name}, which is no member")
    near = _read_regions(table.get("regions"), directory)
    return FleetConfig(name, members, os.path.join(directory, votes), epoch, float(hold_s), near)


def _parse_members(entries: Any) -> dict[str, str]:
    """Return the address of each member by its name."""
    if not isinstance(entries, list) or not 1 <= len(entries) <= _MAX_MEMBERS:
        raise ValueError(f"fleet has no [[fleet.member]], or more than {_MAX_MEMBERS}")
    members: dict[str, str] = {}
    for entry in entries:
        if not isinstance(entry, dict):
            raise ValueError("a member is no table")
        name = fields.parse_name(entry.get("name"), "member: name")
        _check_keys(entry, _MEMBER_KEYS, name)
        address: Any = entry.get("address")
        parse_address(address)
        if name in members or address in members.values():
            raise ValueError(f"member {name} or its address stands there twice")
        members[name] = address
    return members


def _read_regions(name: Any, directory: str) -> regions.Regions:
    if name is None:
        return regions.Regions()
    if not isinstance(name, str):
        raise ValueError("fleet: regions is no path")
    try:
        with open(os.path.join(directory, name), "rb") as file:
            return regions.parse_regions(tomllib.load(file))
    except OSError as error:
        raise ValueError(f"cannot read {name}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, ValueError) as error:
        raise ValueError(f"{name}: {error}") from error


def _check_unique(values: list[str]) -> None:
    repeated = {value for value in values if values.count(value) > 1}
    if repeated:
        raise ValueError(f"{min(repeated)} stands there twice")


def _check_keys(table: dict[str, Any], known: Iterable[str], where: str) -> None:
    unknown = sorted(table.keys() - known)
    if unknown:
        raise ValueError(f"{where} has {unknown[0]}, which means nothing")
