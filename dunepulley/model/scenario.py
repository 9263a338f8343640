"""What a day is made of: sizes, traffic, workers, ways and troubles, read from a file and checked."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any, NamedTuple, get_type_hints

from dunepulley.routing.settings import Idempotency


class ScenarioError(Exception):
    """The description cannot be used; the text says why in one line."""


class RequestClass(NamedTuple):
    """One kind of work item; works are drawn with this mean and spread, in ms at a worker of speed 1."""

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
    """What goes wrong, from when to when, at which part of the workers (or of the items), and how badly."""

    kind: str
    from_s: float
    to_s: float
    part: float = 0.2
    size: float = 4.0


class Fault(NamedTuple):
    """What is done to links and processes, from when to when; played on sockets only.

    `one` and `other` are the two ends of links, or `one` alone names processes: clients, dispatchers,
    workers, discovery or agents, of one zone (`workers@z1`), or a single one (`n0`, `w3`). `part` of the
    links or processes are drawn.
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
    """All of a day."""

    seconds: float = 30.0
    dispatchers: int = 3
    workers: int = 10
    zones: int = 2
    regions: int = 0  # zones next to each other in number belong together; 0: each by itself
    zone_skew: float = 0.0  # how much larger each zone is than the next, as a part of the smallest
    way: str = "alone"  # dispatchers use all zones by themselves, their own only, or go by a common plan
    agree_ms: float = 60.0  # how long agents take to agree on a plan and to write it down
    cells: int = 2
    slots: int = 4
    queue: int = 24
    kinds: int = 3
    kind_cv: float = 0.4  # how far kinds of machine are apart in speed, and machines of one kind
    speed_cv: float = 0.08
    load: float = 0.6  # work offered for each unit of work that all workers can do
    way_ms: float = 0.3
    cross_ms: float = 6.0
    jitter: float = 0.2
    report_period_ms: float = 1000.0
    report_delay_ms: float = 300.0
    report_noise: float = 0.03
    list_delay_ms: float = 1500.0
    cold_from: float = 0.2
    cold_s: float = 15.0
    fall_multiple: float = 4.0
    fall_ms: float = 1000.0
    drain_grace_ms: float = 300.0
    tells_start: bool = True
    cancel: bool = True
    second_copies: bool = True
    most_hand_offs: int = 5
    probes: bool = False
    notes: bool = False
    hints: bool = True
    categories: tuple[RequestClass, ...] = (RequestClass("look"),)
    troubles: tuple[Disturbance, ...] = ()
    faults: tuple[Fault, ...] = ()


# What each trouble's size means.
TROUBLES = {
    "slow": "so many times slower",
    "neighbour": "this part of the machine is taken, on and off",
    "zone": "the zone of this number falls silent, and comes back cold",
    "crash": "they die, and come back cold after so many seconds",
    "release": "they are replaced one after the other by cold ones",
    "late reports": "reports are so many ms later",
    "late list": "the list is so many ms later",
    "heavy": "this part of one category's items is so many times the work",
}
# What is done to links, with what its size means, to processes, and to clocks.
LINKS = {
    "cut": "nothing is carried, and what was sent arrives afterwards",
    "slow": "all arrives so many ms later",
    "lossy": "this part is sent again, 200 ms later",
    "reset": "connections break, once",
    "refuse": "connections break, and each new one at once",
}
PROCESSES = {
    "kill": "ends at once, and is started again afterwards",
    "end": "is told to end (SIGTERM), and is started again once it has",
    "stop": "stands still",
}
CLOCK = "clock"
WAYS = ("both", "there", "back")
# How dispatchers go about zones.
ALONE, FIXED, COMMON = "alone", "fixed", "common"
EFFECTS = (Idempotency.IDEMPOTENT, Idempotency.KEYED, Idempotency.NON_IDEMPOTENT)
# Beyond these nothing is of use on one machine.
MOST = {"seconds": 3600.0, "dispatchers": 1000, "workers": 5000, "slots": 999, "queue": 99_999, "load": 99.0}
LEAST = {"seconds": 1.0, "load": 0.0001, "regions": 0} | dict.fromkeys(
    ("dispatchers", "workers", "kinds", "zones", "cells", "slots"), 1
)


def read(path: str) -> Scenario:
    """The description in a file."""
    try:
        with Path(path).open("rb") as file:
            return day_of(tomllib.load(file))
    except OSError as problem:
        raise ScenarioError(f"cannot read {path}: {problem.strerror}") from problem
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as problem:
        raise ScenarioError(f"{path} is no TOML: {problem}") from problem
    except ValueError as problem:
        raise ScenarioError(f"{path}: {problem}") from problem


def day_of(told: dict[str, Any]) -> Scenario:
    """A description as a plain map; raises ValueError where it means nothing."""
    told = dict(told)
    categories = tuple([_made(RequestClass, one, "category") for one in _tables(told, "category")])
    troubles = tuple([_made(Disturbance, one, "trouble") for one in _tables(told, "trouble")])
    faults = tuple([_made(Fault, one, "fault") for one in _tables(told, "fault")])
    scenario = _made(Scenario, told, "the day")
    scenario = scenario._replace(
        categories=categories or scenario.categories, troubles=troubles, faults=faults
    )
    _check_sizes(scenario)
    _check_categories(scenario.categories)
    for trouble in scenario.troubles:
        _check_trouble(trouble)
    for fault in scenario.faults:
        _check_fault(fault)
    return scenario


def _check_sizes(scenario: Scenario) -> None:
    for name, most in MOST.items():
        if getattr(scenario, name) > most:
            raise ValueError(f"{name} is {getattr(scenario, name)}, more than {most:g}")
    for name, least in LEAST.items():
        if getattr(scenario, name) < least:
            raise ValueError(f"{name} is {getattr(scenario, name)}, less than {least:g}")
    if scenario.way not in (ALONE, FIXED, COMMON):
        raise ValueError(f"way is {scenario.way!r}, none of {ALONE}, {FIXED}, {COMMON}")


def _check_categories(categories: tuple[RequestClass, ...]) -> None:
    names = [category.name for category in categories]
    if len(set(names)) < len(names):
        raise ValueError("two categories are of one name")
    for category in categories:
        if category.effect not in EFFECTS or category.group not in ("all", "zone", "cell"):
            raise ValueError(f"{category.name}: effect {category.effect!r} in group {category.group!r}")
        if category.work_ms <= 0.0 or category.due_ms <= 0.0 or category.expiry_ms <= category.due_ms:
            raise ValueError(f"{category.name}: work and due time are over 0, and expiry is later")


def _check_trouble(trouble: Disturbance) -> None:
    if trouble.kind not in TROUBLES:
        raise ValueError(f"trouble {trouble.kind!r} is none of {', '.join(TROUBLES)}")
    if not 0.0 <= trouble.from_s <= trouble.to_s or not 0.0 <= trouble.part <= 1.0:
        raise ValueError(f"trouble {trouble.kind}: its times or its part make no sense")


def _check_fault(fault: Fault) -> None:
    known = {**LINKS, **PROCESSES, CLOCK: ""}
    if fault.kind not in known:
        raise ValueError(f"fault {fault.kind!r} is none of {', '.join(known)}")
    if not 0.0 <= fault.from_s <= fault.to_s or not 0.0 < fault.part <= 1.0:
        raise ValueError(f"fault {fault.kind}: its times or its part make no sense")
    if (fault.kind in LINKS) != bool(fault.other):
        raise ValueError(f"fault {fault.kind}: links have an other end, and nothing else has")
    if fault.way not in WAYS:
        raise ValueError(f"fault {fault.kind}: way is {fault.way!r}, none of {', '.join(WAYS)}")
    if fault.kind == "lossy" and fault.size > 1.0:
        raise ValueError("fault lossy: its size is a part")


def _tables(told: dict[str, Any], name: str) -> list[Any]:
    tables = told.pop(name, [])
    if not isinstance(tables, list):
        raise ValueError(f"{name} is no list of tables")
    return tables


def _made(kind: Any, told: Any, where: str) -> Any:
    """A tuple of a kind from a table that has nothing else, each figure of its own sort."""
    if not isinstance(told, dict):
        raise ValueError(f"{where} is no table")
    fields = {name: getattr(sort, "__name__", str(sort)) for name, sort in get_type_hints(kind).items()}
    for name, value in told.items():
        if name not in fields or name in ("categories", "troubles", "faults"):
            raise ValueError(f"{where} has {name}, which means nothing")
        wanted = {"float": (int, float), "int": int, "bool": bool, "str": str}[fields[name]]
        if not isinstance(value, wanted) or (fields[name] != "bool" and isinstance(value, bool)):
            raise ValueError(f"{where}: {name} is {value!r}, no {fields[name]}")
        if isinstance(value, int | float) and not 0.0 <= value < 1e12:
            raise ValueError(f"{where}: {name} is {value!r}")
    missing = [name for name in fields if name not in told and name not in kind._field_defaults]
    if missing:
        raise ValueError(f"{where} has no {missing[0]}")
    return kind(**{name: float(value) if fields[name] == "float" else value for name, value in told.items()})


def zone_of(scenario: Scenario, number: int, count: int) -> str:
    """The zone of one of so many workers or dispatchers: in turns, or the first zones the larger ones."""
    if not scenario.zone_skew:
        return f"z{number % scenario.zones}"
    sizes = [1.0 + scenario.zone_skew * (scenario.zones - 1 - zone) for zone in range(scenario.zones)]
    place, whole = (number + 0.5) / count * sum(sizes), 0.0
    for zone, size in enumerate(sizes):
        whole += size
        if place <= whole:
            return f"z{zone}"
    return f"z{scenario.zones - 1}"


def settings_of(scenario: Scenario, me: int) -> dict[str, Any]:
    """What a dispatcher of this day is told, as the module takes it."""
    settings: dict[str, Any] = {
        "balancers": float(scenario.dispatchers),
        "me": float(me),
        "zone": zone_of(scenario, me, scenario.dispatchers),
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
    for number, category in enumerate(scenario.categories):
        settings |= {
            f"categories.{number}.{name}": value
            for name, value in (
                ("name", category.name),
                ("effect", category.effect),
                ("keyScope", category.group),
                ("windowMs", category.window_ms),
                ("dueTimeMs", category.due_ms),
                ("aimStretch", category.stretch),
                ("expiryMs", category.expiry_ms),
                ("payoff", category.payoff),
            )
        }
    return settings
