"""Converts the messages of this package to and from JSON values.

The JSON keys of all messages except drains (`drain_json`) are defined here. `encode_*` returns a value for a
JSON encoder. `decode_*` validates a decoded value and raises `ProtocolError`, which is a `ValueError`, if any
part of it is missing or has the wrong type or range.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeVar

from dunepulley.control.caspaxos import MAX_VALUE_LENGTH, AcceptorReply, Ballot
from dunepulley.control.fields import (
    parse_count,
    parse_duration,
    parse_fraction,
    parse_name,
    parse_number,
    parse_numbers,
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
from dunepulley.json_values import describe, is_number

MAX_OPERATOR_LENGTH = 64
MAX_REASON_LENGTH = 200
# Fractions are rounded, so their sum may slightly exceed 1.
MAX_FRACTION_SUM = 1.0001

_ZoneMessage = TypeVar("_ZoneMessage", ZoneCounters, Observation)


# ---------------------------------------------------------------- the register


def encode_ballot(ballot: Ballot) -> list[Any]:
    """Encode a ballot as [counter, proposer]."""
    return list(ballot)


def decode_ballot(value: Any) -> Ballot:
    """Decode a ballot from [counter, proposer]."""
    if not isinstance(value, list) or len(value) != 2 or not isinstance(value[1], str):
        raise ProtocolError(f"ballot: expected [counter, proposer], got {type(value).__name__}")
    counter, proposer = value
    return Ballot(parse_count(counter, "ballot: counter"), proposer)


def encode_reply(reply: AcceptorReply) -> dict[str, Any]:
    """Encode an acceptor's reply."""
    return {
        "yes": reply.granted,
        "promised": encode_ballot(reply.promised),
        "accepted": encode_ballot(reply.accepted),
        "value": reply.value.decode(),
    }


def decode_reply(value: Mapping[str, Any]) -> AcceptorReply:
    """Decode an acceptor's reply."""
    granted = value.get("yes")
    if not isinstance(granted, bool) or not isinstance(value.get("value"), str):
        raise ProtocolError(
            "acceptor reply: expected a boolean under 'yes' and a string under 'value', "
            f"got {type(granted).__name__} and {type(value.get('value')).__name__}"
        )
    promised, accepted = decode_ballot(value.get("promised")), decode_ballot(value.get("accepted"))
    return AcceptorReply(granted, promised, accepted, decode_register_value(value["value"]))


def decode_register_value(value: Any) -> bytes:
    """Decode a value of the register, which is sent as a JSON string."""
    if not isinstance(value, str) or len(value) > MAX_VALUE_LENGTH:
        raise ProtocolError(f"register value: expected a string of at most {MAX_VALUE_LENGTH} characters")
    return value.encode()


# ---------------------------------------------------------------- the traffic plan


def encode_plan(plan: Plan) -> dict[str, Any]:
    """Encode a whole plan."""
    return {
        "epoch": plan.epoch,
        "number": plan.number,
        "by": plan.author,
        "at": plan.created_ms,
        "zones": [encode_zone(zone) for zone in plan.zones],
        "words": [encode_override(override) for override in plan.overrides],
    }


def encode_zone(zone: ZonePlan) -> dict[str, Any]:
    """Encode one zone of a plan."""
    return {
        "name": zone.name,
        "state": zone.state.value,
        "over": [list(spillover) for spillover in zone.spillover],
        "why": zone.reason,
    }


def encode_override(override: OperatorOverride) -> dict[str, Any]:
    """Encode one operator override of a plan; `left` is null if it does not expire."""
    return {
        "zone": override.zone,
        "what": override.action.value,
        "by": override.operator,
        "why": override.reason,
        "left": None if override.remaining_ms == INFINITY else override.remaining_ms,
    }


def decode_plan(value: Any) -> Plan:
    """Decode a whole plan."""
    if not isinstance(value, dict):
        raise ProtocolError(f"plan: expected an object, got {type(value).__name__}")
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
        raise ProtocolError("plan: a zone is listed twice in 'zones' or in 'words'")
    return plan


def _decode_zone(value: dict[str, Any]) -> ZonePlan:
    name = parse_name(value.get("name"), "zone")
    state_text: Any = value.get("state")
    over = value.get("over", [])
    try:
        state = ZoneState(state_text)
    except ValueError as error:
        raise ProtocolError(
            f"zone {name}: state: expected one of {', '.join(ZoneState)}, got {describe(state_text)}"
        ) from error
    if not isinstance(over, list) or len(over) > MAX_ZONES:
        raise ProtocolError(f"zone {name}: over: expected a list of at most {MAX_ZONES} elements")
    spillover = tuple([_decode_spillover(each) for each in over])
    zone = ZonePlan(name, state, spillover, parse_text(value.get("why", ""), "why", MAX_REASON_LENGTH))
    targets = [each.zone for each in spillover]
    repeated = len(set(targets)) < len(targets)
    if name in targets or repeated or zone.spilled_fraction() > MAX_FRACTION_SUM:
        raise ProtocolError(
            f"zone {name}: over: expected other zones, each once, with fractions that sum to at most 1"
        )
    return zone


def _decode_spillover(value: Any) -> Spillover:
    if not isinstance(value, list) or len(value) != 3:
        raise ProtocolError(f"over: expected [zone, fraction, grant], got {type(value).__name__}")
    zone, fraction, grant = value
    return Spillover(
        parse_name(zone, "zone"), parse_fraction(fraction, "fraction"), parse_fraction(grant, "grant")
    )


def decode_override(value: Mapping[str, Any]) -> OperatorOverride:
    """Decode an operator override of a plan."""
    action = value.get("what")
    if action not in STANDING_ACTIONS:
        raise ProtocolError(f"what: expected one of {', '.join(STANDING_ACTIONS)}, got {describe(action)}")
    remaining = value.get("left")
    return OperatorOverride(
        parse_name(value.get("zone"), "zone"),
        OverrideAction(action),
        parse_text(value.get("by"), "by", MAX_OPERATOR_LENGTH),
        parse_text(value.get("why", ""), "why", MAX_REASON_LENGTH),
        INFINITY if remaining is None else parse_duration(remaining, "left"),
    )


def decode_plan_version(value: Any) -> PlanVersion:
    """Decode a plan's version from [epoch, number]."""
    if not isinstance(value, list) or len(value) != 2:
        raise ProtocolError(f"plan version: expected [epoch, number], got {type(value).__name__}")
    if any([isinstance(element, bool) or not isinstance(element, int) for element in value]):
        raise ProtocolError("plan version: expected two integers")
    return value[0], value[1]


# ---------------------------------------------------------------- observations


def encode_report(report: DispatcherReport) -> dict[str, Any]:
    """Encode a dispatcher's report."""
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
    """Decode a dispatcher's report."""
    if not isinstance(value, dict):
        raise ProtocolError(f"report: expected an object, got {type(value).__name__}")
    version = value.get("plan")
    if not isinstance(version, list) or len(version) != 2:
        raise ProtocolError(f"report: plan: expected [epoch, number], got {type(version).__name__}")
    return DispatcherReport(
        name=parse_name(value.get("name"), "name"),
        home_zone=parse_name(value.get("home"), "home"),
        process_id=parse_count(value.get("process"), "process"),
        mode=parse_name(value.get("how"), "how"),
        plan_version=(parse_count(version[0], "epoch"), parse_count(version[1], "number")),
        escapes=parse_count(value.get("escapes"), "escapes"),
        work_slot_ms=parse_number(value.get("work"), "work"),
        rejected=parse_number(value.get("refused"), "refused"),
        zones=_decode_zone_numbers(value.get("zones"), ZoneCounters),
    )


def _decode_zone_numbers(value: Any, message_type: type[_ZoneMessage]) -> dict[str, _ZoneMessage]:
    """Messages of one type by zone name, each decoded from the list of its fields."""
    return {
        parse_name(name, "zone"): message_type(
            *parse_numbers(numbers, f"zone {name[:64]}", len(message_type._fields))
        )
        for name, numbers in parse_object(value, "zones", MAX_ZONES).items()
    }


def encode_placements(placements: Mapping[str, PlacementReport]) -> dict[str, Any]:
    """Encode the observations of a host's dispatchers, by the zone in which they are placed."""
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
    """Decode the observations of a host's dispatchers, by the zone in which they are placed."""
    placements = parse_object(value, "homes", MAX_ZONES)
    return {parse_name(zone, "zone"): _decode_placement(each) for zone, each in placements.items()}


def _decode_placement(value: Any) -> PlacementReport:
    if not isinstance(value, dict):
        raise ProtocolError(f"homes: expected an object for each zone, got {type(value).__name__}")
    return PlacementReport(
        parse_number(value.get("dispatchers"), "dispatchers"),
        parse_number(value.get("demand"), "demand"),
        parse_number(value.get("refused"), "refused"),
        _decode_zone_numbers(value.get("zones"), Observation),
    )


def decode_heartbeat_ages(value: Any) -> dict[str, float]:
    """How many ms before a heartbeat its sender last heard from each other member.

    Elements that are not numbers from 0 on are skipped.
    """
    if not isinstance(value, dict):
        return {}
    return {name: float(age) for name, age in value.items() if is_number(age) and age >= 0.0}
