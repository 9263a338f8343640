"""The messages of this package as JSON values: the names on the wire and in files are in this module alone.

`encode_*` gives a value for a JSON encoder. `decode_*` checks a decoded value as a whole and raises
`ProtocolError`, which is a `ValueError`, on anything that is not exactly such a message.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeVar

from dunepulley.control.caspaxos import MAX_VALUE_LENGTH, AcceptorReply, Ballot
from dunepulley.control.fields import (
    MAX_COUNT,
    parse_count,
    parse_duration,
    parse_figure,
    parse_figures,
    parse_fraction,
    parse_name,
    parse_object,
    parse_objects,
    parse_text,
)
from dunepulley.control.fleet_view import DispatcherReport, Observation, PlacementReport, ZoneCounters
from dunepulley.control.regions import MAX_ZONES
from dunepulley.control.traffic_plan import (
    INFINITY,
    STANDING_ACTIONS,
    OperatorOverride,
    OverrideAction,
    Plan,
    PlanVersion,
    Spillover,
    ZonePlan,
    ZoneState,
)
from dunepulley.errors import ProtocolError
from dunepulley.json_values import is_number

MAX_OPERATOR_LENGTH = 64
MAX_REASON_LENGTH = 200
# Fractions are rounded, so their sum may be a little over one.
MAX_FRACTION_SUM = 1.0001

_ZoneMessage = TypeVar("_ZoneMessage", ZoneCounters, Observation)


# ---------------------------------------------------------------- the register


def encode_ballot(ballot: Ballot) -> list[Any]:
    """A ballot as [counter, proposer]."""
    return list(ballot)


def decode_ballot(value: Any) -> Ballot:
    """A ballot from [counter, proposer]."""
    if not isinstance(value, list) or len(value) != 2 or not isinstance(value[1], str):
        raise ProtocolError("a ballot is no pair")
    counter, proposer = value
    if not is_number(counter) or isinstance(counter, float) or not 0 <= counter < MAX_COUNT:
        raise ProtocolError(f"a ballot counts {counter!r}")
    return Ballot(counter, proposer)


def encode_reply(reply: AcceptorReply) -> dict[str, Any]:
    """An acceptor's reply."""
    return {
        "yes": reply.granted,
        "promised": encode_ballot(reply.promised),
        "accepted": encode_ballot(reply.accepted),
        "value": reply.value.decode(),
    }


def decode_reply(value: Mapping[str, Any]) -> AcceptorReply:
    """An acceptor's reply."""
    granted = value.get("yes")
    if not isinstance(granted, bool) or not isinstance(value.get("value"), str):
        raise ProtocolError("a voter's answer makes no sense")
    promised, accepted = decode_ballot(value.get("promised")), decode_ballot(value.get("accepted"))
    return AcceptorReply(granted, promised, accepted, decode_register_value(value["value"]))


def decode_register_value(value: Any) -> bytes:
    """A value of the register, which is sent as a text."""
    if not isinstance(value, str) or len(value) > MAX_VALUE_LENGTH:
        raise ProtocolError("the register's value is no text, or too long")
    return value.encode()


# ---------------------------------------------------------------- the traffic plan


def encode_plan(plan: Plan) -> dict[str, Any]:
    """A whole plan."""
    return {
        "epoch": plan.epoch,
        "number": plan.number,
        "by": plan.author,
        "at": plan.created_ms,
        "zones": [encode_zone(zone) for zone in plan.zones],
        "words": [encode_override(override) for override in plan.overrides],
    }


def encode_zone(zone: ZonePlan) -> dict[str, Any]:
    """One zone of a plan."""
    return {
        "name": zone.name,
        "state": zone.state.value,
        "over": [list(spillover) for spillover in zone.spillover],
        "why": zone.reason,
    }


def encode_override(override: OperatorOverride) -> dict[str, Any]:
    """One operator override of a plan; null for one without an end."""
    return {
        "zone": override.zone,
        "what": override.action.value,
        "by": override.operator,
        "why": override.reason,
        "left": None if override.remaining_ms == INFINITY else override.remaining_ms,
    }


def decode_plan(value: Any) -> Plan:
    """A whole plan."""
    if not isinstance(value, dict):
        raise ProtocolError("the plan is no map")
    plan = Plan(
        parse_count(value.get("epoch"), "epoch"),
        parse_count(value.get("number"), "number"),
        parse_text(value.get("by", ""), "by", MAX_OPERATOR_LENGTH),
        parse_duration(value.get("at", 0.0), "at"),
        tuple([_decode_zone(zone) for zone in parse_objects(value.get("zones"), "zones", MAX_ZONES)]),
        tuple([decode_override(each) for each in parse_objects(value.get("words", []), "words", MAX_ZONES)]),
    )
    zones = [zone.name for zone in plan.zones]
    overridden = [override.zone for override in plan.overrides]
    if len(set(zones)) < len(zones) or len(set(overridden)) < len(overridden):
        raise ProtocolError("a zone stands there twice")
    return plan


def _decode_zone(value: dict[str, Any]) -> ZonePlan:
    name = parse_name(value.get("name"), "zone")
    state_text: Any = value.get("state")
    over = value.get("over", [])
    try:
        state = ZoneState(state_text)
    except ValueError as error:
        raise ProtocolError(f"zone {name}: state is {state_text!r}") from error
    if not isinstance(over, list) or len(over) > MAX_ZONES:
        raise ProtocolError(f"zone {name}: over is no list of at most {MAX_ZONES}")
    spillover = tuple([_decode_spillover(each) for each in over])
    zone = ZonePlan(name, state, spillover, parse_text(value.get("why", ""), "why", MAX_REASON_LENGTH))
    targets = [each.zone for each in spillover]
    repeated = len(set(targets)) < len(targets)
    if name in targets or repeated or zone.spilled_fraction() > MAX_FRACTION_SUM:
        raise ProtocolError(f"zone {name}: what goes over makes no sense")
    return zone


def _decode_spillover(value: Any) -> Spillover:
    if not isinstance(value, list) or len(value) != 3:
        raise ProtocolError("over is no list of zone, part and grant")
    zone, fraction, grant = value
    return Spillover(
        parse_name(zone, "zone"), parse_fraction(fraction, "part"), parse_fraction(grant, "grant")
    )


def decode_override(value: Mapping[str, Any]) -> OperatorOverride:
    """An operator override of a plan."""
    action = value.get("what")
    if action not in STANDING_ACTIONS:
        raise ProtocolError(f"what is {action!r}, none of {', '.join(STANDING_ACTIONS)}")
    remaining = value.get("left")
    return OperatorOverride(
        parse_name(value.get("zone"), "zone"),
        OverrideAction(action),
        parse_text(value.get("by"), "by", MAX_OPERATOR_LENGTH),
        parse_text(value.get("why", ""), "why", MAX_REASON_LENGTH),
        INFINITY if remaining is None else parse_duration(remaining, "left"),
    )


def decode_plan_version(value: Any) -> PlanVersion:
    """A plan's version from [epoch, number]."""
    if not isinstance(value, list) or len(value) != 2:
        raise ProtocolError("a plan's age is no pair")
    if any([isinstance(part, bool) or not isinstance(part, int) for part in value]):
        raise ProtocolError("a plan's age holds no counts")
    return value[0], value[1]


# ---------------------------------------------------------------- what is observed


def encode_report(report: DispatcherReport) -> dict[str, Any]:
    """A dispatcher's report."""
    return {
        "name": report.name,
        "home": report.home_zone,
        "process": report.process_id,
        "how": report.mode,
        "plan": list(report.plan_version),
        "escapes": report.escapes,
        "work": report.work_slot_ms,
        "refused": report.rejected,
        "zones": {name: list(counters) for name, counters in report.zones.items()},
    }


def decode_report(value: Any) -> DispatcherReport:
    """A dispatcher's report."""
    if not isinstance(value, dict):
        raise ProtocolError("a report is no map")
    version = value.get("plan")
    if not isinstance(version, list) or len(version) != 2:
        raise ProtocolError("plan is no pair")
    return DispatcherReport(
        name=parse_name(value.get("name"), "name"),
        home_zone=parse_name(value.get("home"), "home"),
        process_id=parse_count(value.get("process"), "process"),
        mode=parse_name(value.get("how"), "how"),
        plan_version=(parse_count(version[0], "epoch"), parse_count(version[1], "number")),
        escapes=parse_count(value.get("escapes"), "escapes"),
        work_slot_ms=parse_figure(value.get("work"), "work"),
        rejected=parse_figure(value.get("refused"), "refused"),
        zones=_decode_zone_figures(value.get("zones"), ZoneCounters),
    )


def _decode_zone_figures(value: Any, message: type[_ZoneMessage]) -> dict[str, _ZoneMessage]:
    """Messages by zone, each from a list of its figures."""
    return {
        parse_name(name, "zone"): message(*parse_figures(figures, f"zone {name[:64]}", len(message._fields)))
        for name, figures in parse_object(value, "zones", MAX_ZONES).items()
    }


def encode_placements(placements: Mapping[str, PlacementReport]) -> dict[str, Any]:
    """What the dispatchers of a host observed, by the zone that they are placed in."""
    return {
        zone: {
            "dispatchers": placement.dispatchers,
            "demand": placement.demand,
            "refused": placement.rejected_per_s,
            "zones": {name: list(observation) for name, observation in placement.zones.items()},
        }
        for zone, placement in placements.items()
    }


def decode_placements(value: Any) -> dict[str, PlacementReport]:
    """What the dispatchers of a host observed, by the zone that they are placed in."""
    placements = parse_object(value, "homes", MAX_ZONES)
    return {parse_name(zone, "zone"): _decode_placement(each) for zone, each in placements.items()}


def _decode_placement(value: Any) -> PlacementReport:
    if not isinstance(value, dict):
        raise ProtocolError("a home is no map")
    return PlacementReport(
        parse_figure(value.get("dispatchers"), "dispatchers"),
        parse_figure(value.get("demand"), "demand"),
        parse_figure(value.get("refused"), "refused"),
        _decode_zone_figures(value.get("zones"), Observation),
    )


def decode_heartbeat_ages(value: Any) -> dict[str, float]:
    """How many ms before a heartbeat its sender had heard of each other; what is no such time is left out."""
    if not isinstance(value, dict):
        return {}
    return {name: float(age) for name, age in value.items() if is_number(age) and age >= 0.0}
