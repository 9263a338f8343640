"""Scenarios: the sizes, traffic, servers, routing and disturbances of a run, read from TOML files.

The field names of `RequestClass`, `Disturbance`, `Fault` and `Scenario` are the keys of scenario files.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any, NamedTuple, get_type_hints

from dunepulley.routing.settings import Idempotency


class ScenarioError(Exception):
    """A scenario or settings file cannot be used; the text names the file and the reason in one line."""


class RequestClass(NamedTuple):
    """A class of requests, a `[[category]]` table.

    `work_ms` and `work_cv` are the mean and the coefficient of variation of the run time at a server of speed
    1. A request earns `payoff` if it is answered within `due_ms` plus `stretch` times its run time; its
    timeout is `expiry_ms`. `share` is the class's weight in the traffic. `effect`, `group` and `window_ms`
    are its idempotency, the scope of its idempotency keys and how long they are valid.
    """

    name: str
    share: float = 1.0
    work_ms: float = 100.0
    work_cv: float = 1.5
    due_ms: float = 500.0
    stretch: float = 2.0
    expiry_ms: float = 8000.0
    payoff: float = 1.0
    effect: str = Idempotency.IDEMPOTENT
    group: str = "all"
    window_ms: float = 0.0


class Disturbance(NamedTuple):
    """A disturbance of servers, reports, the endpoint list or traffic, a `[[trouble]]` table.

    It lasts from `from_s` to `to_s`, affects the fraction `part` of the servers (for `heavy`, of the
    requests), and `size` is its strength, with a unit that depends on the kind: see `DISTURBANCES`.
    """

    kind: str
    from_s: float
    to_s: float
    part: float = 0.2
    size: float = 4.0


class Fault(NamedTuple):
    """A fault of links, processes or clocks, a `[[fault]]` table; only the load tool supports it.

    It lasts from `from_s` to `to_s`. `one` and `other` are the two ends of links; for faults of processes and
    clocks `one` alone names the processes. Each is a group (clients, dispatchers, workers, discovery or
    agents), a group in one zone (`workers@z1`) or a single process (`n0`, `w3`). The fraction `part` of the
    links or processes is drawn at random. `way` is the direction in which a link is affected: `there` from
    `one` to `other`, `back`, or `both`. The meaning of `size` depends on the kind: see `LINK_FAULTS`; for
    `clock` it is the offset of the servers' clocks in ms.
    """

    kind: str
    from_s: float
    to_s: float
    one: str = "dispatchers"
    other: str = ""
    way: str = "both"
    part: float = 1.0
    size: float = 0.0


class Scenario(NamedTuple):
    """All parameters of a run: its traffic, dispatchers, servers (`workers`), disturbances and faults."""

    seconds: float = 30.0
    dispatchers: int = 3
    workers: int = 10
    zones: int = 2
    regions: int = 0  # consecutive zones form a region; 0: no regions
    zone_skew: float = 0.0  # how much larger each zone is than the next, relative to the smallest
    way: str = "alone"  # "alone": all zones; "fixed": the dispatcher's own zone; "common": the traffic plan
    agree_ms: float = 60.0  # how long agents take to agree on a plan and to store it
    cells: int = 2
    slots: int = 4  # of each server
    queue: int = 24  # maximum length of a server's queue
    kinds: int = 3  # of machines that run servers
    kind_cv: float = 0.4  # coefficient of variation of the speed between kinds of machine
    speed_cv: float = 0.08  # the same between machines of one kind
    load: float = 0.6  # offered work divided by the capacity of all servers
    way_ms: float = 0.3  # mean one-way network delay within a zone
    cross_ms: float = 6.0  # mean one-way network delay between zones
    jitter: float = 0.2  # mean of the exponential part of a delay, relative to the mean delay
    report_period_ms: float = 1000.0
    report_delay_ms: float = 300.0
    report_noise: float = 0.03
    list_delay_ms: float = 1500.0
    cold_from: float = 0.2  # speed of a server that has just started, relative to its full speed
    cold_s: float = 15.0  # how long a server takes to warm up
    fall_multiple: float = 4.0  # a warming server must not receive more than this multiple of its capacity
    fall_ms: float = 1000.0  # ... within this time
    drain_grace_ms: float = 300.0  # how long after it was notified of a drain a dispatcher may send attempts
    tells_start: bool = True  # whether servers report the start of an attempt
    cancel: bool = True  # whether running attempts can be cancelled
    second_copies: bool = True  # whether hedged requests are allowed
    most_hand_offs: int = 5  # maximum number of attempts of a request
    probes: bool = False  # whether dispatchers may send health checks
    notes: bool = False  # whether dispatchers may exchange gossip messages
    hints: bool = True  # whether requests carry their expected run time
    categories: tuple[RequestClass, ...] = (RequestClass("look"),)
    troubles: tuple[Disturbance, ...] = ()
    faults: tuple[Fault, ...] = ()


# The kinds of disturbance, with the meaning of `size`.
DISTURBANCES = {
    "slow": "the factor by which servers are slower",
    "neighbour": "the fraction of the machine that another program takes, intermittently",
    "zone": "the number of the zone that stops responding; it restarts afterwards and warms up",
    "crash": "the seconds until the crashed servers restart and warm up",
    "release": "unused; servers are replaced one after the other by new ones that warm up",
    "late reports": "the additional delay of load reports in ms",
    "late list": "the additional delay of the endpoint list in ms",
    "heavy": "the factor by which the affected requests of the first class take more work",
}
# The kinds of fault of links, with the meaning of `size`; of processes; and of clocks.
LINK_FAULTS = {
    "cut": "unused; no data passes, and data sent meanwhile arrives afterwards",
    "slow": "the additional delay in ms",
    "lossy": "the fraction of the data that is retransmitted 200 ms later",
    "reset": "unused; all connections are reset once",
    "refuse": "unused; all connections are reset, and new ones immediately",
}
PROCESS_FAULTS = {
    "kill": "killed (SIGKILL), and restarted at the end of the fault",
    "end": "terminated (SIGTERM), and restarted once it has exited",
    "stop": "stopped (SIGSTOP), and continued at the end of the fault",
}
CLOCK_FAULT = "clock"
DIRECTIONS = ("both", "there", "back")
# Which zones dispatchers use: all of them, their own, or those of the agents' traffic plan.
ALL_ZONES, OWN_ZONE, COMMON_PLAN = "alone", "fixed", "common"
EFFECTS = (Idempotency.IDEMPOTENT, Idempotency.KEYED, Idempotency.NON_IDEMPOTENT)
# The largest sizes that one machine can simulate in a useful time.
MAX_VALUES = {
    "seconds": 3600.0,
    "dispatchers": 1000,
    "workers": 5000,
    "slots": 999,
    "queue": 99_999,
    "load": 99.0,
}
MIN_VALUES = {"seconds": 1.0, "load": 0.0001, "regions": 0} | dict.fromkeys(
    ("dispatchers", "workers", "kinds", "zones", "cells", "slots"), 1
)


def read(path: str) -> Scenario:
    """Read a scenario file; raises ScenarioError where it cannot be read or is invalid."""
    try:
        with Path(path).open("rb") as file:
            return parse_scenario(tomllib.load(file))
    except OSError as problem:
        raise ScenarioError(f"cannot read {path}: {problem.strerror}") from problem
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as problem:
        raise ScenarioError(f"{path}: expected a TOML file: {problem}") from problem
    except ValueError as problem:
        raise ScenarioError(f"{path}: {problem}") from problem


def parse_scenario(document: dict[str, Any]) -> Scenario:
    """Return the scenario of a parsed TOML document; raises ValueError with the key at fault."""
    document = dict(document)
    categories = tuple([_build(RequestClass, table, "category") for table in _tables(document, "category")])
    troubles = tuple([_build(Disturbance, table, "trouble") for table in _tables(document, "trouble")])
    faults = tuple([_build(Fault, table, "fault") for table in _tables(document, "fault")])
    scenario = _build(Scenario, document, "scenario")
    scenario = scenario._replace(
        categories=categories or scenario.categories, troubles=troubles, faults=faults
    )
    _check_sizes(scenario)
    _check_request_classes(scenario.categories)
    for disturbance in scenario.troubles:
        _check_disturbance(disturbance)
    for fault in scenario.faults:
        _check_fault(fault)
    return scenario


def _check_sizes(scenario: Scenario) -> None:
    for name, maximum in MAX_VALUES.items():
        if getattr(scenario, name) > maximum:
            raise ValueError(f"{name} is {getattr(scenario, name)}, expected at most {maximum:g}")
    for name, minimum in MIN_VALUES.items():
        if getattr(scenario, name) < minimum:
            raise ValueError(f"{name} is {getattr(scenario, name)}, expected at least {minimum:g}")
    if scenario.way not in (ALL_ZONES, OWN_ZONE, COMMON_PLAN):
        raise ValueError(f"way is {scenario.way!r}, expected {ALL_ZONES}, {OWN_ZONE} or {COMMON_PLAN}")


def _check_request_classes(categories: tuple[RequestClass, ...]) -> None:
    names = [request_class.name for request_class in categories]
    if len(set(names)) < len(names):
        raise ValueError("category: expected different names, got the same name twice")
    for request_class in categories:
        if request_class.effect not in EFFECTS or request_class.group not in ("all", "zone", "cell"):
            raise ValueError(
                f"{request_class.name}: category with unknown effect {request_class.effect!r}"
                f" or group {request_class.group!r}"
            )
        if (
            request_class.work_ms <= 0.0
            or request_class.due_ms <= 0.0
            or request_class.expiry_ms <= request_class.due_ms
        ):
            raise ValueError(
                f"{request_class.name}: category needs work_ms > 0, due_ms > 0 and expiry_ms > due_ms"
            )


def _check_disturbance(disturbance: Disturbance) -> None:
    if disturbance.kind not in DISTURBANCES:
        raise ValueError(f"trouble {disturbance.kind!r} is unknown, expected {', '.join(DISTURBANCES)}")
    if not 0.0 <= disturbance.from_s <= disturbance.to_s or not 0.0 <= disturbance.part <= 1.0:
        raise ValueError(f"trouble {disturbance.kind}: expected 0 <= from_s <= to_s and 0 <= part <= 1")


def _check_fault(fault: Fault) -> None:
    kinds = {**LINK_FAULTS, **PROCESS_FAULTS, CLOCK_FAULT: ""}
    if fault.kind not in kinds:
        raise ValueError(f"fault {fault.kind!r} is unknown, expected {', '.join(kinds)}")
    if not 0.0 <= fault.from_s <= fault.to_s or not 0.0 < fault.part <= 1.0:
        raise ValueError(f"fault {fault.kind}: expected 0 <= from_s <= to_s and 0 < part <= 1")
    if (fault.kind in LINK_FAULTS) != bool(fault.other):
        raise ValueError(
            f"fault {fault.kind}: other is required for faults of links and not allowed otherwise"
        )
    if fault.way not in DIRECTIONS:
        raise ValueError(f"fault {fault.kind}: way is {fault.way!r}, expected one of {', '.join(DIRECTIONS)}")
    if fault.kind == "lossy" and fault.size > 1.0:
        raise ValueError("fault lossy: size: expected a fraction from 0 to 1")


def _tables(document: dict[str, Any], name: str) -> list[Any]:
    tables = document.pop(name, [])
    if not isinstance(tables, list):
        raise ValueError(f"{name}: expected a list of tables")
    return tables


def _build(table_type: Any, document: Any, section: str) -> Any:
    """Return a NamedTuple of class `table_type` from a table; `section` names the table in error texts.

    Raises ValueError where a key is unknown, missing or has an invalid value.
    """
    if not isinstance(document, dict):
        raise ValueError(f"{section}: expected a table")
    fields = {
        name: getattr(type_hint, "__name__", str(type_hint))
        for name, type_hint in get_type_hints(table_type).items()
    }
    for name, value in document.items():
        if name not in fields or name in ("categories", "troubles", "faults"):
            raise ValueError(f"{section} has {name}, which is not a known key")
        expected = {"float": (int, float), "int": int, "bool": bool, "str": str}[fields[name]]
        if not isinstance(value, expected) or (fields[name] != "bool" and isinstance(value, bool)):
            raise ValueError(f"{section}: {name} is {value!r}, expected {fields[name]}")
        if isinstance(value, int | float) and not 0.0 <= value < 1e12:
            raise ValueError(f"{section}: {name}: expected a number from 0 to 1e12, got {value!r}")
    missing = [name for name in fields if name not in document and name not in table_type._field_defaults]
    if missing:
        raise ValueError(f"{section}: missing key {missing[0]}")
    return table_type(
        **{name: float(value) if fields[name] == "float" else value for name, value in document.items()}
    )


def zone_of(scenario: Scenario, number: int, count: int) -> str:
    """Return the zone of server or dispatcher `number` out of `count`.

    Zones are assigned round-robin, or, with `zone_skew`, in consecutive blocks whose sizes decrease.
    """
    if not scenario.zone_skew:
        return f"z{number % scenario.zones}"
    sizes = [1.0 + scenario.zone_skew * (scenario.zones - 1 - zone) for zone in range(scenario.zones)]
    position, total = (number + 0.5) / count * sum(sizes), 0.0
    for zone, size in enumerate(sizes):
        total += size
        if position <= total:
            return f"z{zone}"
    return f"z{scenario.zones - 1}"


def router_settings(scenario: Scenario, dispatcher: int) -> dict[str, Any]:
    """Return the router settings of a dispatcher in this scenario."""
    settings: dict[str, Any] = {
        "balancers": float(scenario.dispatchers),
        "me": float(dispatcher),
        "zone": zone_of(scenario, dispatcher, scenario.dispatchers),
        "weightSource": "nominal",
        "reporting.how": "answers",
        "reporting.fields": ("rate", "queue", "x0"),
        "familyInfo.tellsStart": scenario.tells_start,
        "policyLimits.mostHandOffs": float(scenario.most_hand_offs),
        "policyLimits.cancel": scenario.cancel,
        "policyLimits.secondCopies": scenario.second_copies,
        "policyLimits.probing": scenario.probes,
        "policyLimits.peers": scenario.notes,
        "policyLimits.connIdleMs": 10000.0,
        "policyLimits.connectTimeoutMs": 250.0,
        "rules.coldFrom": scenario.cold_from,
        "rules.coldMs": scenario.cold_s * 1000.0,
        "rules.fallMultiple": scenario.fall_multiple,
        "rules.tipAfterMs": scenario.fall_ms,
        "rules.drainGraceMs": scenario.drain_grace_ms,
        "categories.count": float(len(scenario.categories)),
    }
    for number, request_class in enumerate(scenario.categories):
        settings |= {
            f"categories.{number}.{name}": value
            for name, value in (
                ("name", request_class.name),
                ("effect", request_class.effect),
                ("keyScope", request_class.group),
                ("windowMs", request_class.window_ms),
                ("dueTimeMs", request_class.due_ms),
                ("aimStretch", request_class.stretch),
                ("expiryMs", request_class.expiry_ms),
                ("payoff", request_class.payoff),
            )
        }
    return settings
