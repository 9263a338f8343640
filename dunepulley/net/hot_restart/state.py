"""The state that a parent passes on at a child's hello: written here, and read with care.

The child may be of another version, or see another monotonic clock: what cannot be read is left out, and the
child goes on with what its own configuration says.
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

# The state is read within this, or parent and child do not see the same monotonic clock.
MAX_READ_DELAY_MS = 60_000.0
MAX_CLOCK_BASE_MS = 1e15


class ClockState(NamedTuple):
    """A parent's clock: its reading at monotonic zero, and the monotonic clock when that was written (ms).

    `starts` holds, by endpoint id, moments of this clock at which endpoints started, where these are others
    than discovery told.
    """

    base: float
    monotonic: float
    starts: dict[str, float]


class HotRestartState(NamedTuple):
    """What a child starts from; lists, drains and plan are in their own JSON forms."""

    known: dict[str, Any]
    discovery: str
    drains: dict[str, Any]
    clock: ClockState
    plan: dict[str, Any] | None = None  # none where the parent follows none

    def to_json(self) -> dict[str, Any]:
        """The state as it goes over the link."""
        message = {
            "known": self.known,
            "discovery": self.discovery,
            "drains": self.drains,
            "clock": self.clock._asdict(),
        }
        return message if self.plan is None else message | {"plan": self.plan}


def inherited_clock(inherited: Inherited, own: Clock) -> Clock:
    """Return the parent's clock, so that no step of the wall clock moves a time that the parent passes on.

    The child's own clock, where the parent passes none, as an earlier version, or where the two see another
    monotonic clock.
    """
    state = inherited.state.get("clock")
    base, monotonic = (state.get("base"), state.get("monotonic")) if isinstance(state, dict) else (None, None)
    if not is_number(base) or not is_number(monotonic) or not abs(base) < MAX_CLOCK_BASE_MS:
        return own
    if not 0.0 <= own.monotonic_ms() - monotonic < MAX_READ_DELAY_MS:
        return own
    return Clock(own.source, float(base))


def inherited_starts(inherited: Inherited) -> dict[str, float]:
    """Return, by endpoint id, the starts that the parent knows to be other moments than discovery told."""
    state = inherited.state.get("clock")
    starts = state.get("starts") if isinstance(state, dict) else None
    if not isinstance(starts, dict):
        return {}
    return {endpoint_id: float(start) for endpoint_id, start in starts.items() if is_number(start)}


def inherited_list(inherited: Inherited, discovery: str, configured: EndpointList) -> EndpointList:
    """Return the parent's endpoint list, which is newer than the one in the configuration.

    The configured one where the parent passes none. The revision is 0 where the parent had its list from
    another discovery: the revisions of one say nothing to another.
    """
    try:
        known = parse_endpoint_list(inherited.state["known"], ListUpdateKind.FROM_DISK)
    except (KeyError, ValueError) as error:
        log.write(LogEvent.HOT_RESTART, f"no list was passed on: {error}")
        return configured
    if not known.update.entries:
        return configured
    return known if inherited.state.get("discovery") == discovery else known._replace(revision=0)


def inherited_drains(inherited: Inherited, clock: Clock) -> drains.DrainSet:
    """Return the parent's drains, their ends as moments of this clock; none where they cannot be read."""
    try:
        return drain_json.decode_drain_set(inherited.state.get("drains"), clock)
    except ValueError as error:
        log.write(LogEvent.HOT_RESTART, f"no drains were passed on: {error}")
        return drains.DrainSet()
