"""The configuration of a dispatcher: a JSON file, and environment variables that override some of its keys.

`read` returns one immutable `DispatcherConfig`. Every problem is raised as a `ConfigError`, whose text names
the file and the fault on one line for the operator.
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
from dunepulley.net.system_errors import is_exhaustion
from dunepulley.routing.events import EndpointListUpdate, ListUpdateKind
from dunepulley.trace_format import MAX_REQUESTS as MAX_TRACE_REQUESTS

CONFIG_VARIABLE = "ROUTER_CONFIG"
NAME_VARIABLE = "ROUTER_NAME"
LISTEN_VARIABLE = "ROUTER_LISTEN"
DISCOVERY_VARIABLE = "ROUTER_DISCOVERY"
ADMIN_VARIABLE = "ROUTER_CONSOLE"
TEMP_DIR_VARIABLE = "TMPDIR"

DEFAULT_MAX_DESCRIPTORS = 1024
DEFAULT_MEMORY_MB = 192.0

Address = tuple[str, int]


class ConfigError(Exception):
    """The configuration cannot be used; the message states the reason on one line."""

    def is_transient(self) -> bool:
        """Whether this host had no descriptor or memory to read a file, which may be readable soon."""
        cause: BaseException | None = self
        while cause is not None:
            if is_exhaustion(cause):
                return True
            cause = cause.__cause__
        return False


class TraceConfig(NamedTuple):
    """The file that a trace of requests is written to, and the maximum number of requests in it."""

    path: str
    max_requests: int


class DispatcherConfig(NamedTuple):
    """The configuration that a dispatcher starts with.

    `initial_list` is the endpoint list used until discovery sends one. `peers` holds the addresses of all
    dispatchers that exchange gossip, indexed by dispatcher number. Without `admin_address` there is no admin
    interface.
    """

    name: str
    listen: Address
    discovery: str
    seed: int
    max_descriptors: int  # limit on open file descriptors
    initial_list: EndpointList
    settings: dict[str, object]
    path: str = ""  # the configuration file
    peers: tuple[Address, ...] = ()
    # Whether the last segment of a request's path is its cache affinity key.
    affinity_key_in_path: bool = False
    admin_address: Address | None = None
    memory_mb: float = DEFAULT_MEMORY_MB
    trace: TraceConfig | None = None
    drains: DrainSet = DrainSet()  # expiry times are by `clock`
    events: bool = False  # whether every router event and command is logged to standard error
    follows_plan: bool = False  # whether it follows the fleet's traffic plan, sent by its host's agent
    temp_dir: str = ""  # directory of the hot restart socket; empty disables hot restarts
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
    """Return the configuration in the file at `path`, or in the file that the environment names.

    Environment variables take precedence over the file. Raises ConfigError.
    """
    path = path or environment.get(CONFIG_VARIABLE)
    if not path:
        raise ConfigError(f"no configuration file: {CONFIG_VARIABLE} is not set")
    document = _load(path)
    try:
        return _parse(document, environment, path)
    except KeyError as error:
        raise ConfigError(f"{path}: required key {error} is missing") from error
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"{path}: {error}") from error


def reread(config: DispatcherConfig) -> DispatcherConfig:
    """Read the file of a configuration again and return its present content. Raises ConfigError.

    The name and the listening address are kept. The address of discovery comes from the file: the environment
    variable for it applies at the start only.
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
        raise ConfigError(f"{path} is not valid JSON: {error}") from error
    if not isinstance(document, dict):
        raise ConfigError(f"{path}: expected a JSON object, got {type(document).__name__}")
    return document


def _parse(document: dict[str, Any], environment: Mapping[str, str], path: str) -> DispatcherConfig:
    """Return the configuration in a parsed document.

    Raises KeyError if a required key is missing, and TypeError, ValueError or AttributeError if a value is
    invalid.
    """
    clock = Clock()
    limits = document.get("limits") or {}
    listen = environment.get(LISTEN_VARIABLE) or document["listen"]
    discovery = environment.get(DISCOVERY_VARIABLE) or document["discovery"]
    parse_address(discovery)
    admin_address = environment.get(ADMIN_VARIABLE) or document.get("console")
    settings = flatten_settings(document["settings"])
    peers = _parse_peers(document.get("peers"), settings)
    return DispatcherConfig(
        name=environment.get(NAME_VARIABLE) or str(document.get("name", "")),
        affinity_key_in_path=_parse_flag(document, "by_key"),
        follows_plan=_parse_plan(document, settings),
        listen=parse_address(listen),
        discovery=discovery,
        seed=int(str(document.get("seed", "0")), 16),
        max_descriptors=int(limits.get("sockets", DEFAULT_MAX_DESCRIPTORS)),
        initial_list=_parse_initial_list(document.get("known")),
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
        raise ValueError(f"{name}: expected true or false, got {value!r}")
    return value


def _parse_plan(document: dict[str, Any], settings: dict[str, object]) -> bool:
    """Return whether the dispatcher follows the traffic plan, which requires that its zone is set."""
    follows = _parse_flag(document, "plan")
    if follows and not settings.get("zone"):
        raise ValueError("settings.zone: expected a zone name because plan is true, got none")
    return follows


def _parse_initial_list(value: Any) -> EndpointList:
    if not value:
        return EndpointList(0, EndpointListUpdate(ListUpdateKind.FROM_DISK), {})
    return parse_endpoint_list(value, ListUpdateKind.FROM_DISK)


def _parse_peers(value: Any, settings: dict[str, object]) -> tuple[Address, ...]:
    """Return the addresses of all dispatchers that exchange gossip, in the order of their numbers.

    If there are none, gossip is disabled in the settings, since no message could be delivered. Raises
    ValueError if the addresses do not match the number of dispatchers in the settings.
    """
    if not value:
        settings["policyLimits.peers"] = False
        return ()
    if not isinstance(value, list):
        raise ValueError(f"peers: expected a list of addresses, got {type(value).__name__}")
    peers = tuple([parse_address(address) for address in value])
    number, count = settings.get("me", 0.0), settings.get("balancers", 1.0)
    if len(peers) != count or not number < count:
        raise ValueError(
            f"peers: expected {count:g} addresses (settings.balancers) and settings.me below {count:g},"
            f" got {len(peers)} addresses and me {number:g}"
        )
    return peers


def parse_trace(value: Any) -> TraceConfig | None:
    """Return the configuration of the request trace; None if none is configured.

    Raises ValueError if the value is neither null nor an object with `path` and a positive integer `most`.
    """
    if value is None:
        return None
    path, limit = (value.get("path"), value.get("most")) if isinstance(value, dict) else (None, None)
    if not isinstance(path, str) or isinstance(limit, bool) or not isinstance(limit, int) or limit < 1:
        raise ValueError(
            "trace: expected an object with path and most (the number of requests, from 1 on),"
            f" got {value!r:.60}"
        )
    return TraceConfig(path, min(limit, MAX_TRACE_REQUESTS))


def read_drains(path: Any, clock: Clock | None = None) -> DrainSet:
    """Return the drains in the file that the host's agent writes, with expiry times by this clock.

    The set is empty if there is no path or no file. Raises ValueError if the file cannot be read or parsed:
    without its drains, requests could be sent to drained endpoints.
    """
    if path is None:
        return DrainSet()
    if not isinstance(path, str):
        raise ValueError(f"drains: expected a path, got {path!r:.60}")
    try:
        with open(path, "rb") as file:
            return decode_drain_set(orjson.loads(file.read()), clock)
    except FileNotFoundError:
        return DrainSet()
    except (OSError, ValueError) as error:
        raise ValueError(f"drains in {path}: {error}") from error
