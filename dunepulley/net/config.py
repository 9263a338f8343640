"""The configuration of a dispatcher: a JSON file and the environment variables that go before it.

`read` returns one immutable `DispatcherConfig`, whose fields are named as the keys of the file are. Every
problem is a `ConfigError` whose text names the file and what is wrong, in one line for the operator.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

import orjson

from dunepulley.clocks import Clock
from dunepulley.control.drain_json import decode_drain_set
from dunepulley.control.drains import DrainSet
from dunepulley.net.addresses import parse_address
from dunepulley.net.endpoint_list import EndpointList, parse_endpoint_list
from dunepulley.net.settings_document import class_settings, flatten_settings
from dunepulley.routing.events import EndpointListUpdate, ListUpdateKind
from dunepulley.trace_format import MAX_REQUESTS as MAX_TRACE_REQUESTS

CONFIG_VARIABLE = "ROUTER_CONFIG"
NAME_VARIABLE = "ROUTER_NAME"
LISTEN_VARIABLE = "ROUTER_LISTEN"
DISCOVERY_VARIABLE = "ROUTER_DISCOVERY"
CONSOLE_VARIABLE = "ROUTER_CONSOLE"
TEMP_DIR_VARIABLE = "TMPDIR"

DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192.0

Address = tuple[str, int]


class ConfigError(Exception):
    """The configuration cannot be used; the text says why in one line."""


class TraceConfig(NamedTuple):
    """Where a trace of requests is written, and after how many of them it ends."""

    path: str
    max_requests: int


class DispatcherConfig(NamedTuple):
    """All that a dispatcher is told at its start."""

    name: str
    listen: Address
    discovery: str
    seed: int
    max_descriptors: int  # the most descriptors that it may have open
    initial_list: EndpointList  # the endpoint list to begin with, until discovery tells another
    settings: dict[str, object]
    path: str = ""  # of the file that this was read from
    peers: tuple[Address, ...] = ()  # the dispatchers that exchange gossip, by number
    affinity_key_in_path: bool = (
        False  # whether the last segment of a request's path is its cache affinity key
    )
    admin_address: Address | None = None  # of the admin interface; none without it
    memory_mb: float = DEFAULT_MEMORY_MB
    trace: TraceConfig | None = None
    drains: DrainSet = DrainSet()  # ends are moments of `clock`
    events: bool = False  # whether every event and command is written to standard error
    plan: bool = False  # whether it follows the fleet's traffic plan, told by the agent of its host
    temp_dir: str = ""  # the directory where hot restarts meet; without it there are none
    clock: Clock | None = None

    def summary(self) -> str:
        """Return what `dunepulley check` prints."""
        names = [str(name) for name in class_settings(self.settings, "name")]
        return (
            f"{self.name} listens at {self.listen[0]}:{self.listen[1]}, discovery at {self.discovery}\n"
            f"{len(self.initial_list.update.entries)} workers known at version {self.initial_list.revision}\n"
            f"categories: {', '.join(names)}\n"
            f"at most {self.max_descriptors} descriptors\n"
            + ("no console" if self.admin_address is None else "console at {}:{}".format(*self.admin_address))
        )


def read(environment: Mapping[str, str], path: str | None = None) -> DispatcherConfig:
    """Return the configuration of the file at `path`, or of the one that the environment names.

    Variables of the environment go before what the file says. Raises ConfigError.
    """
    path = path or environment.get(CONFIG_VARIABLE)
    if not path:
        raise ConfigError(f"no configuration: {CONFIG_VARIABLE} is not set")
    document = _load(path)
    try:
        return _parse(document, environment, path)
    except KeyError as error:
        raise ConfigError(f"{path}: {error} is missing") from error
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"{path}: {error}") from error


def reread(config: DispatcherConfig) -> DispatcherConfig:
    """Return what the file of a configuration holds now. Raises ConfigError.

    Name and address stay; where discovery is, the environment said for the start only.
    """
    host, port = config.listen
    return read({NAME_VARIABLE: config.name, LISTEN_VARIABLE: f"{host}:{port}"}, config.path)


def _load(path: str) -> dict[str, Any]:
    """Return the JSON object in a file; raises ConfigError."""
    try:
        with open(path, "rb") as file:
            document = orjson.loads(file.read())
    except OSError as error:
        raise ConfigError(f"cannot read {path}: {error.strerror}") from error
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"{path} is no JSON: {error}") from error
    if not isinstance(document, dict):
        raise ConfigError(f"{path} holds no JSON object")
    return document


def _parse(document: dict[str, Any], environment: Mapping[str, str], path: str) -> DispatcherConfig:
    """Return the configuration that a document holds.

    Raises KeyError where something is missing, and TypeError, ValueError or AttributeError where it is wrong.
    """
    clock = Clock()
    limits = document.get("limits") or {}
    listen = environment.get(LISTEN_VARIABLE) or document["listen"]
    discovery = environment.get(DISCOVERY_VARIABLE) or document["discovery"]
    parse_address(discovery)
    admin_address = environment.get(CONSOLE_VARIABLE) or document.get("console")
    settings = flatten_settings(document["settings"])
    peers = _parse_peers(document.get("peers"), settings)
    return DispatcherConfig(
        name=environment.get(NAME_VARIABLE) or str(document.get("name", "")),
        affinity_key_in_path=_parse_flag(document, "by_key"),
        plan=_parse_plan(document, settings),
        listen=parse_address(listen),
        discovery=discovery,
        seed=int(str(document.get("seed", "0")), 16),
        max_descriptors=int(limits.get("sockets", DEFAULT_SOCKETS)),
        initial_list=_parse_known(document.get("known")),
        settings=settings,
        path=path,
        peers=peers,
        admin_address=parse_address(admin_address) if admin_address else None,
        memory_mb=float(limits.get("memory_mb", DEFAULT_MEMORY_MB)),
        trace=parse_trace(document.get("trace")),
        drains=read_drains(document.get("drains"), clock),
        temp_dir=environment.get(TEMP_DIR_VARIABLE, ""),
        clock=clock,
    )


def _parse_flag(document: dict[str, Any], name: str) -> bool:
    value = document.get(name, False)
    if not isinstance(value, bool):
        raise ValueError(f"{name} is {value!r}, neither true nor false")
    return value


def _parse_plan(document: dict[str, Any], settings: dict[str, object]) -> bool:
    """Return whether the dispatcher follows the traffic plan, which speaks of zones."""
    follows = _parse_flag(document, "plan")
    if follows and not settings.get("zone"):
        raise ValueError("plan is true, but the settings name no zone")
    return follows


def _parse_known(value: Any) -> EndpointList:
    if not value:
        return EndpointList(0, EndpointListUpdate(ListUpdateKind.FROM_DISK), {})
    return parse_endpoint_list(value, ListUpdateKind.FROM_DISK)


def _parse_peers(value: Any, settings: dict[str, object]) -> tuple[Address, ...]:
    """Return the addresses of all dispatchers that exchange gossip, in the order of their numbers.

    Without any, gossip is switched off in the settings: it would reach nobody. Raises ValueError where the
    addresses do not fit the number of dispatchers in the settings.
    """
    if not value:
        settings["policyLimits.peers"] = False
        return ()
    if not isinstance(value, list):
        raise ValueError("peers is no list")
    peers = tuple([parse_address(address) for address in value])
    number, count = settings.get("me", 0.0), settings.get("balancers", 1.0)
    if len(peers) != count or not number < count:
        raise ValueError(
            f"peers lists {len(peers)} dispatchers, of which this is number {number:g} of {count:g}"
        )
    return peers


def parse_trace(value: Any) -> TraceConfig | None:
    """Return where a trace goes; None where none is asked for. Raises ValueError on anything else."""
    if value is None:
        return None
    path, most = (value.get("path"), value.get("most")) if isinstance(value, dict) else (None, None)
    if not isinstance(path, str) or isinstance(most, bool) or not isinstance(most, int) or most < 1:
        raise ValueError(f"trace is {value!r}, no path with the most items it may hold")
    return TraceConfig(path, min(most, MAX_TRACE_REQUESTS))


def read_drains(path: Any, clock: Clock | None = None) -> DrainSet:
    """Return the drains in the file that the host's agent keeps, their ends as moments of this clock.

    None stand where there is no path or no file. Raises ValueError where the file cannot be read: to serve
    without its drains could send requests where none may go.
    """
    if path is None:
        return DrainSet()
    if not isinstance(path, str):
        raise ValueError(f"drains is {path!r}, no path")
    try:
        with open(path, "rb") as file:
            return decode_drain_set(orjson.loads(file.read()), clock)
    except FileNotFoundError:
        return DrainSet()
    except (OSError, ValueError) as error:
        raise ValueError(f"drains in {path}: {error}") from error
