"""The state that a parent passes to its child: its JSON form, and how it is read.

The child may be of another version, or see another monotonic clock. Parts that cannot be read are ignored,
and the child uses its own configuration instead.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from dunepulley.clocks import Clock
from dunepulley.control import drain_json, drains
from dunepulley.json_values import is_number
from dunepulley.net import log
from dunepulley.net.endpoint_list import EndpointList, parse_endpoint_list
from dunepulley.net.hot_restart.child import Inherited
from dunepulley.net.log_events import LogEvent
from dunepulley.routing.events import ListUpdateKind

# If more than this seems to pass until the state is read, parent and child see different monotonic clocks.
MAX_READ_DELAY_MS = 60_000.0
MAX_CLOCK_BASE_MS = 1e15


class ClockState(NamedTuple):
    """A parent's clock, in ms: its reading at monotonic zero, and the monotonic clock at the time of writing.

    `starts` holds, by endpoint id, the start times by this clock that differ from those that discovery
    reported.
    """

    base: float
    monotonic: float
    starts: dict[str, float]


class HotRestartState(NamedTuple):
    """The state that a child starts from; list, drains and plan are in their own JSON forms."""

    endpoint_list: dict[str, Any]
    discovery: str
    drains: dict[str, Any]
    clock: ClockState
    plan: dict[str, Any] | None = None  # None if the parent follows no plan

    def to_json(self) -> dict[str, Any]:
        """Return the state as it is sent over the link."""
        message = {
            "known": self.endpoint_list,
            "discovery": self.discovery,
            "drains": self.drains,
            "clock": self.clock._asdict(),
        }
        return message if self.plan is None else message | {"plan": self.plan}


def inherited_clock(inherited: Inherited, own: Clock) -> Clock:
    """Return the parent's clock, so that a step of the wall clock does not shift the times in its state.

    Returns the child's own clock if the parent's version passes none, or if the two processes see different
    monotonic clocks.
    """
    state = inherited.state.get("clock")
    base, monotonic = (state.get("base"), state.get("monotonic")) if isinstance(state, dict) else (None, None)
    if not is_number(base) or not is_number(monotonic) or not abs(base) < MAX_CLOCK_BASE_MS:
        return own
    if not 0.0 <= own.monotonic_ms() - monotonic < MAX_READ_DELAY_MS:
        return own
    return Clock(own.source, float(base))


def inherited_starts(inherited: Inherited) -> dict[str, float]:
    """Return, by endpoint id, the parent's corrected start times, which differ from the reported ones."""
    state = inherited.state.get("clock")
    starts = state.get("starts") if isinstance(state, dict) else None
    if not isinstance(starts, dict):
        return {}
    return {endpoint_id: float(start) for endpoint_id, start in starts.items() if is_number(start)}


def inherited_list(inherited: Inherited, discovery: str, configured: EndpointList) -> EndpointList:
    """Return the parent's endpoint list, which is newer than the configured one.

    Returns the configured list if the parent passes none. The revision is 0 if the parent's list is from
    another discovery service, because revisions of one service mean nothing to another.
    """
    try:
        received = parse_endpoint_list(inherited.state["known"], ListUpdateKind.FROM_DISK)
    except (KeyError, ValueError) as error:
        log.write(LogEvent.HOT_RESTART, f"no endpoint list from the parent process: {error}")
        return configured
    if not received.update.entries:
        return configured
    return received if inherited.state.get("discovery") == discovery else received._replace(revision=0)


def inherited_drains(inherited: Inherited, clock: Clock) -> drains.DrainSet:
    """Return the parent's drains, with expiry times by this clock; an empty set if they cannot be read."""
    try:
        return drain_json.decode_drain_set(inherited.state.get("drains"), clock)
    except ValueError as error:
        log.write(LogEvent.HOT_RESTART, f"no drains from the parent process: {error}")
        return drains.DrainSet()
