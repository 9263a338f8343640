"""The agent's configuration file (TOML): its address, its drains file, its dispatchers, and its fleet."""

from __future__ import annotations

import os
import tomllib
from collections.abc import Iterable
from typing import Any, NamedTuple

from dunepulley import json_values
from dunepulley.control import fields, regions
from dunepulley.errors import ConfigurationError
from dunepulley.net.addresses import parse_address

DEFAULT_LEASE_S = 10.0
"""How long, in s, a plan stays valid at a dispatcher after a majority last confirmed it.

This is long enough for the restart of an agent. It is also the longest time for which two partitions of a
fleet can follow different plans.
"""

_KEYS = {"listen", "state", "answer_s", "dispatcher", "fleet"}
_DISPATCHER_KEYS = {"name", "console", "start"}
_FLEET_KEYS = {"name", "epoch", "votes", "regions", "hold_s", "member"}
_MEMBER_KEYS = {"name", "address"}
_ANSWER_TIMEOUT_S = 2.0
_MAX_ANSWER_TIMEOUT_S = 60.0
_MIN_LEASE_S, _MAX_LEASE_S = 2.0, 300.0
# More acceptors would make each decision slower and not safer.
_MAX_MEMBERS = 15
_MAX_EPOCH = 2**31
_MAX_NAME_LENGTH = 64


class AgentConfigError(ConfigurationError):
    """The configuration is invalid, or the agent cannot start with it; the text gives the reason."""


class DispatcherConfig(NamedTuple):
    """One dispatcher: its name, its one or two admin addresses, and the command that starts it, if any."""

    name: str
    admin_addresses: tuple[str, ...]
    start_command: tuple[str, ...] = ()


class FleetConfig(NamedTuple):
    """The fleet: this agent's name, the addresses of all agents by name, and the path of the acceptor's file.

    `epoch` is incremented each time that all acceptors start with a new state. `lease_s` is explained at
    `DEFAULT_LEASE_S`.
    """

    name: str
    members: dict[str, str]
    acceptor_path: str
    epoch: int = 1
    lease_s: float = DEFAULT_LEASE_S
    regions: regions.Regions = regions.Regions()


class AgentConfig(NamedTuple):
    """The whole file: the address to listen on, the path of the drains file, and the dispatchers' timeout."""

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
        raise AgentConfigError(f"{path} is not valid TOML: {error}") from error
    try:
        return _parse_agent(document, os.path.dirname(os.path.abspath(path)))
    except (ValueError, TypeError) as error:
        raise AgentConfigError(f"{path}: {error}") from error


def _parse_agent(document: dict[str, Any], directory: str) -> AgentConfig:
    _check_keys(document, _KEYS, "the file")
    drains_path, answer_s = document.get("state"), document.get("answer_s", _ANSWER_TIMEOUT_S)
    if not isinstance(drains_path, str) or not drains_path:
        raise ValueError(f"state: expected a path, got {drains_path!r:.60}")
    if not json_values.is_number(answer_s) or not 0.0 < answer_s <= _MAX_ANSWER_TIMEOUT_S:
        raise ValueError(
            f"answer_s: expected a time above 0 and up to {_MAX_ANSWER_TIMEOUT_S:g} s, got {answer_s!r:.60}"
        )
    entries = document.get("dispatcher")
    if not isinstance(entries, list) or not entries:
        raise ValueError("dispatcher: expected at least one [[dispatcher]] table")
    dispatchers = tuple([_parse_dispatcher(entry) for entry in entries])
    _check_unique([each.name for each in dispatchers])
    _check_unique([address for each in dispatchers for address in each.admin_addresses])
    listen: Any = document.get("listen")
    address = parse_address(listen)
    fleet = _parse_fleet(document["fleet"], directory) if "fleet" in document else None
    return AgentConfig(address, os.path.join(directory, drains_path), float(answer_s), dispatchers, fleet)


def _parse_dispatcher(entry: Any) -> DispatcherConfig:
    if not isinstance(entry, dict):
        raise ValueError(f"dispatcher: expected tables, got {entry!r:.60}")
    name = entry.get("name")
    if not isinstance(name, str) or not name or not name.isprintable() or len(name) > _MAX_NAME_LENGTH:
        raise ValueError(
            f"dispatcher: name: expected 1 to {_MAX_NAME_LENGTH} printable characters, got {name!r:.60}"
        )
    _check_keys(entry, _DISPATCHER_KEYS, name)
    addresses, command = entry.get("console"), entry.get("start", [])
    addresses = addresses if isinstance(addresses, list) else [addresses]
    if not 1 <= len(addresses) <= 2:
        raise ValueError(f"{name}: console: expected one address, or two for hot restarts")
    for address in addresses:
        parse_address(address)
    if not isinstance(command, list) or not all(
        [isinstance(argument, str) and argument for argument in command]
    ):
        raise ValueError(f"{name}: start: expected a list of non-empty strings")
    if len(addresses) == 2 and not command:
        raise ValueError(f"{name}: console: two addresses are allowed only together with start")
    return DispatcherConfig(name, tuple(addresses), tuple(command))


def _parse_fleet(table: Any, directory: str) -> FleetConfig:
    if not isinstance(table, dict):
        raise ValueError(f"fleet: expected a table, got {table!r:.60}")
    _check_keys(table, _FLEET_KEYS, "fleet")
    name = fields.parse_name(table.get("name"), "fleet: name")
    acceptor_path, epoch, lease_s = (
        table.get("votes"),
        table.get("epoch", 1),
        table.get("hold_s", DEFAULT_LEASE_S),
    )
    if not isinstance(acceptor_path, str) or not acceptor_path:
        raise ValueError(f"fleet: votes: expected a path, got {acceptor_path!r:.60}")
    if isinstance(epoch, bool) or not isinstance(epoch, int) or not 1 <= epoch < _MAX_EPOCH:
        raise ValueError(f"fleet: epoch: expected an integer from 1 to {_MAX_EPOCH - 1}, got {epoch!r:.60}")
    if not json_values.is_number(lease_s) or not _MIN_LEASE_S <= lease_s <= _MAX_LEASE_S:
        raise ValueError(
            f"fleet: hold_s: expected {_MIN_LEASE_S:g} to {_MAX_LEASE_S:g} s, got {lease_s!r:.60}"
        )
    members = _parse_members(table.get("member"))
    if name not in members:
        raise ValueError(f"fleet: name: expected the name of a member, got {name}")
    regions_config = _read_regions(table.get("regions"), directory)
    return FleetConfig(
        name, members, os.path.join(directory, acceptor_path), epoch, float(lease_s), regions_config
    )


def _parse_members(entries: Any) -> dict[str, str]:
    """Return the address of each member by its name."""
    if not isinstance(entries, list) or not 1 <= len(entries) <= _MAX_MEMBERS:
        raise ValueError(f"fleet: member: expected 1 to {_MAX_MEMBERS} [[fleet.member]] tables")
    members: dict[str, str] = {}
    for entry in entries:
        if not isinstance(entry, dict):
            raise ValueError(f"fleet: member: expected tables, got {entry!r:.60}")
        name = fields.parse_name(entry.get("name"), "member: name")
        _check_keys(entry, _MEMBER_KEYS, name)
        address: Any = entry.get("address")
        parse_address(address)
        if name in members or address in members.values():
            raise ValueError(f"fleet: member {name}: its name or address is listed twice")
        members[name] = address
    return members


def _read_regions(name: Any, directory: str) -> regions.Regions:
    if name is None:
        return regions.Regions()
    if not isinstance(name, str):
        raise ValueError(f"fleet: regions: expected a path, got {name!r:.60}")
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
        raise ValueError(f"{min(repeated)} is listed twice")


def _check_keys(table: dict[str, Any], allowed_keys: Iterable[str], section: str) -> None:
    unknown = sorted(table.keys() - allowed_keys)
    if unknown:
        raise ValueError(f"{section}: unknown key {unknown[0]}")
