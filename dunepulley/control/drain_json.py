"""The JSON form of drains, alike on the wire, in the agent's file and in a hot restart.

Each drain is an object with the keys `what`, `name`, `by`, `why`, `since`, `until` and `revision`. Where a
drain expires and the writer has a clock, the form also has `left`, the ms until it expires, and the set a
`stamp` of the moment at which that was so; a reader goes by these, so that a step of the wall clock between
writing and reading neither prolongs nor cuts a drain. `until`, in Unix ms or null, is for people and for
readers of older versions, which know no `left`. All functions that read raise `ProtocolError`.
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

MAX_LENGTHS = {"name": 128, "by": 64, "why": 200}
"""The most characters that the text under a key may have."""

# Expired drains may stand beside those in force until the next change.
_MAX_LISTED = 2 * MAX_DRAINS

_Item = TypeVar("_Item")


def encode_drain_set(drains: DrainSet, clock: Clock | None = None) -> dict[str, Any]:
    """Return a set as a JSON object; without a clock with `until` alone, as older versions wrote it."""
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
    """Return the set of a JSON value, its expiries by `clock`; without one they are `until` as it stands."""
    if not isinstance(value, dict):
        raise ProtocolError("the set is no map")
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
        raise ProtocolError("a drain is no map")
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
    """Return the stamp of a JSON value, or None where it holds none: an older version wrote it."""
    if not isinstance(value, dict) or not isinstance(value.get("boot"), str):
        return None
    monotonic, wall = value.get("monotonic"), value.get("wall")
    if not fields.is_figure(monotonic) or not fields.is_figure(wall):
        return None
    return Stamp(value["boot"], float(monotonic), float(wall))


def _encode_drain(drain: Drain) -> dict[str, Any]:
    return {
        "what": drain.target_kind,
        "name": drain.target,
        "by": drain.operator,
        "why": drain.reason,
        "since": drain.started_ms,
        # Infinity is no number of JSON.
        "until": None if drain.expires_ms == INFINITY else drain.expires_ms,
        "revision": drain.revision,
    }


def _encode_timed(drain: Drain, now_ms: float, clock: Clock) -> dict[str, Any]:
    """Return a drain with the time left until it expires, if it does."""
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
        raise ProtocolError("what ended is no map")
    how = value.get("how")
    if how not in tuple(EndReason):
        raise ProtocolError(f"how is {how!r}")
    ended_ms = _parse_number(value.get("at"), "at")
    drain = decode_drain(value.get("drain"))
    return EndedDrain(drain, ended_ms, parse_text(value.get("by"), "by"), EndReason(how))


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
        raise ProtocolError(f"what is {value!r}, none of {', '.join(kinds)}")
    return TargetKind(value)


def _parse_number(value: Any, key: str) -> float:
    if not fields.is_figure(value):
        raise ProtocolError(f"{key} is {value!r}, no time or number")
    return float(value)


def _parse_list(value: Any, max_length: int, parse: Callable[[Any], _Item], key: str) -> tuple[_Item, ...]:
    if not isinstance(value, list) or len(value) > max_length:
        raise ProtocolError(f"{key} is no list of at most {max_length}")
    return tuple([parse(item) for item in value])
