"""The JSON form of drains, the same on the wire, in the agent's file and in a hot restart.

Each drain is an object with the keys `what`, `name`, `by`, `why`, `since`, `until` and `revision`. Where a
drain expires and the writer has a clock, the drain also has `left`, the ms until it expires, and the set has
a `stamp` of the moment at which `left` was computed. Readers use these two, so that a step of the wall clock
between writing and reading neither prolongs nor shortens a drain. `until`, in Unix ms or null, is for people
and for readers of older versions, which do not read `left`. All functions that decode raise `ProtocolError`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

from dunepulley.clocks import Clock, Stamp
from dunepulley.control import fields
from dunepulley.control.drains import (
    INFINITY,
    MAX_DRAINS,
    MAX_ENDED,
    Drain,
    DrainSet,
    EndedDrain,
    EndReason,
    TargetKind,
)
from dunepulley.errors import ProtocolError
from dunepulley.json_values import describe

MAX_LENGTHS = {"name": 128, "by": 64, "why": 200}
"""The maximum length in characters of the text under each key."""

# Expired drains may remain in the list beside those in force until the next change.
_MAX_LISTED = 2 * MAX_DRAINS

_Item = TypeVar("_Item")


def encode_drain_set(drains: DrainSet, clock: Clock | None = None) -> dict[str, Any]:
    """Return a set as a JSON object; without a clock only with `until`, as older versions wrote it."""
    encoded: dict[str, Any] = {}
    listed = [_encode_drain(drain) for drain in drains.drains]
    if clock is not None and any([drain.expires_ms != INFINITY for drain in drains.drains]):
        now_ms = clock()
        encoded["stamp"] = encode_stamp(clock.stamp())
        listed = [_encode_timed(drain, now_ms, clock) for drain in drains.drains]
    return encoded | {
        "epoch": drains.epoch,
        "revision": drains.revision,
        "drains": listed,
        "ended": [_encode_ended(ended) for ended in drains.ended],
    }


def decode_drain_set(value: Any, clock: Clock | None = None) -> DrainSet:
    """Return the set of a JSON value, with expiries by `clock`, or `until` unchanged without one."""
    if not isinstance(value, dict):
        raise ProtocolError(f"drain set: expected an object, got {type(value).__name__}")
    stamp = parse_stamp(value.get("stamp"))
    return DrainSet(
        _parse_number(value.get("epoch"), "epoch"),
        int(_parse_number(value.get("revision"), "revision")),
        _parse_list(
            value.get("drains"), _MAX_LISTED, lambda item: decode_drain(item, clock, stamp), "drains"
        ),
        _parse_list(value.get("ended", []), MAX_ENDED, _decode_ended, "ended"),
    )


def decode_drain(value: Any, clock: Clock | None = None, stamp: Stamp | None = None) -> Drain:
    """Return one drain of a set that was written at `stamp`.

    The keys `why`, `since`, `until` and `revision` may be missing.
    """
    if not isinstance(value, dict):
        raise ProtocolError(f"drain: expected an object, got {type(value).__name__}")
    target_kind = _parse_target_kind(value.get("what"))
    target = parse_text(value.get("name"), "name")
    if not target:
        raise ProtocolError("name is empty")
    return Drain(
        target_kind,
        target,
        parse_text(value.get("by"), "by"),
        parse_text(value.get("why", ""), "why"),
        _parse_number(value.get("since", 0), "since"),
        _decode_expiry(value, clock, stamp),
        int(_parse_number(value.get("revision", 0), "revision")),
    )


def parse_text(value: Any, key: str) -> str:
    """Return a printable line of at most `MAX_LENGTHS[key]` characters."""
    return fields.parse_text(value, key, MAX_LENGTHS[key])


def encode_stamp(stamp: Stamp) -> dict[str, Any]:
    """Return a stamp as a JSON object."""
    return {"boot": stamp.boot, "monotonic": stamp.monotonic_ms, "wall": stamp.wall_ms}


def parse_stamp(value: Any) -> Stamp | None:
    """Return the stamp of a JSON value, or None if it is missing or malformed.

    Older versions write no stamp.
    """
    if not isinstance(value, dict) or not isinstance(value.get("boot"), str):
        return None
    monotonic, wall = value.get("monotonic"), value.get("wall")
    if not fields.is_non_negative_number(monotonic) or not fields.is_non_negative_number(wall):
        return None
    return Stamp(value["boot"], float(monotonic), float(wall))


def _encode_drain(drain: Drain) -> dict[str, Any]:
    return {
        "what": drain.target_kind,
        "name": drain.target,
        "by": drain.operator,
        "why": drain.reason,
        "since": drain.started_ms,
        # JSON cannot represent infinity.
        "until": None if drain.expires_ms == INFINITY else drain.expires_ms,
        "revision": drain.revision,
    }


def _encode_timed(drain: Drain, now_ms: float, clock: Clock) -> dict[str, Any]:
    """Return a drain as a JSON object, with the time left if it expires."""
    if drain.expires_ms == INFINITY:
        return _encode_drain(drain)
    until_ms = max(0.0, clock.to_wall_ms(drain.expires_ms))
    return _encode_drain(drain) | {"until": until_ms, "left": max(0.0, drain.expires_ms - now_ms)}


def _encode_ended(ended: EndedDrain) -> dict[str, Any]:
    return {
        "drain": _encode_drain(ended.drain),
        "at": ended.ended_ms,
        "by": ended.operator,
        "how": ended.reason,
    }


def _decode_ended(value: Any) -> EndedDrain:
    if not isinstance(value, dict):
        raise ProtocolError(f"ended: expected a list of objects, found {type(value).__name__} in it")
    reason = value.get("how")
    if reason not in tuple(EndReason):
        raise ProtocolError(f"how: expected one of {', '.join(EndReason)}, got {describe(reason)}")
    ended_ms = _parse_number(value.get("at"), "at")
    drain = decode_drain(value.get("drain"))
    return EndedDrain(drain, ended_ms, parse_text(value.get("by"), "by"), EndReason(reason))


def _decode_expiry(value: dict[str, Any], clock: Clock | None, stamp: Stamp | None) -> float:
    """Return when a drain expires, by the clock of this process."""
    until, left = value.get("until"), value.get("left")
    if until is None:
        return INFINITY
    until_ms = _parse_number(until, "until")
    if clock is None:
        return until_ms
    if stamp is None or left is None:
        return clock.from_wall_ms(until_ms)  # written by an older version
    return max(0.0, clock() + _parse_number(left, "left") - clock.elapsed_since(stamp))


def _parse_target_kind(value: Any) -> TargetKind:
    kinds = tuple(TargetKind)
    if value not in kinds:
        raise ProtocolError(f"what is {describe(value)}, none of {', '.join(kinds)}")
    return TargetKind(value)


def _parse_number(value: Any, key: str) -> float:
    if not fields.is_non_negative_number(value):
        raise ProtocolError(f"{key}: expected a number from 0 on, got {describe(value)}")
    return float(value)


def _parse_list(value: Any, max_length: int, parse: Callable[[Any], _Item], key: str) -> tuple[_Item, ...]:
    if not isinstance(value, list) or len(value) > max_length:
        raise ProtocolError(f"{key}: expected a list of at most {max_length} elements")
    return tuple([parse(item) for item in value])
