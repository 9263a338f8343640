"""Schedules the disturbances of a scenario, and draws the servers that they affect."""

from __future__ import annotations

import functools
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

import numpy as np

from dunepulley.model.scenario import Disturbance, Scenario
from dunepulley.model.server import ModelServer
from dunepulley.model.simulated_time import BEGIN, SimulatedTime

# Mean time for which a neighbouring program runs, and pauses.
ON_OFF_MS = 700.0
# The largest fraction of a machine that a neighbouring program takes.
MAX_NEIGHBOUR_FRACTION = 0.95
# A released server stops this long after all endpoint lists show it as draining, and restarts this long after
# that.
RELEASE_DRAIN_MS = 2000.0
RELEASE_RETURN_MS = 500.0


class ServerChange(StrEnum):
    """A change of a server's state; the values are written to the records of runs."""

    STOPS_RESPONDING = "falls silent"
    RESPONDS_AGAIN = "is heard"
    CRASHES = "crashes"
    RESTARTS = "returns"
    STARTS_DRAINING = "is to leave"


class SpeedChange(NamedTuple):
    """From `at` ms after the start of the run, a server's speed is multiplied by a factor for this cause."""

    at: float
    server: str
    cause: str
    factor: float


class ServerEvent(NamedTuple):
    """A change of a server's state, `at` ms after the start of the run."""

    at: float
    change: ServerChange
    server: str


class DisturbanceSchedule:
    """Draws the servers that disturbances affect, schedules the changes, and lists them for the load tool."""

    def __init__(
        self,
        scenario: Scenario,
        time: SimulatedTime,
        servers: dict[str, ModelServer],
        rng: np.random.Generator,
    ) -> None:
        self.scenario, self.time, self.servers, self.rng = scenario, time, servers, rng
        self.speed_changes: list[SpeedChange] = []
        self.server_events: list[ServerEvent] = []
        # The current additional delays of load reports and of the endpoint list, in ms.
        self.reports_late_ms = self.list_late_ms = 0.0

    def schedule(self, apply_change: Callable[[ServerChange, str], None]) -> None:
        """Schedule all disturbances; `apply_change` is called for each change of a server's state."""
        self.apply_change = apply_change
        for disturbance in self.scenario.troubles:
            count = max(1, round(disturbance.part * self.scenario.workers)) if disturbance.part else 0
            drawn = self.rng.choice(self.scenario.workers, count, replace=False)
            planner = self.PLANNERS.get(disturbance.kind)
            if planner is not None:
                planner(self, disturbance, [f"w{number}" for number in drawn])

    def _slow(self, disturbance: Disturbance, names: list[str]) -> None:
        first, last = _span_of(disturbance)
        for name in names:
            self._change_speed(first, name, "slow", 1.0 / disturbance.size)
            self._change_speed(last, name, "slow", 1.0)

    def _neighbour(self, disturbance: Disturbance, names: list[str]) -> None:
        first, last = _span_of(disturbance)
        for name in names:
            moment, is_active = first, True
            while moment < last:
                factor = 1.0 - min(MAX_NEIGHBOUR_FRACTION, disturbance.size) if is_active else 1.0
                self._change_speed(moment, name, "neighbour", factor)
                moment, is_active = moment + float(self.rng.exponential(ON_OFF_MS)), not is_active
            self._change_speed(last, name, "neighbour", 1.0)

    def _lose_zone(self, disturbance: Disturbance, names: list[str]) -> None:
        """Make all servers of a zone unresponsive; the drawn servers are ignored."""
        first, last = _span_of(disturbance)
        zone = f"z{int(disturbance.size)}"
        for name in [name for name, server in self.servers.items() if server.zone == zone]:
            self._change_server(first, ServerChange.STOPS_RESPONDING, name)
            self._change_server(last, ServerChange.RESPONDS_AGAIN, name)

    def _crash(self, disturbance: Disturbance, names: list[str]) -> None:
        first, _ = _span_of(disturbance)
        for name in names:
            self._change_server(first, ServerChange.CRASHES, name)
            self._change_server(first + disturbance.size * 1000.0, ServerChange.RESTARTS, name)

    def _release(self, disturbance: Disturbance, names: list[str]) -> None:
        first, last = _span_of(disturbance)
        for number, name in enumerate(names):
            begin = first + (last - first) * number / max(1, len(names))
            self._change_server(begin, ServerChange.STARTS_DRAINING, name)
            # Enough time for every dispatcher to receive the list, and for running requests to finish.
            stopped = begin + 2.0 * self.scenario.list_delay_ms + RELEASE_DRAIN_MS
            self._change_server(stopped, ServerChange.CRASHES, name)
            self._change_server(stopped + RELEASE_RETURN_MS, ServerChange.RESTARTS, name)

    def _delay_reports(self, disturbance: Disturbance, names: list[str]) -> None:
        self._set_during(disturbance, "reports_late_ms")

    def _delay_list(self, disturbance: Disturbance, names: list[str]) -> None:
        self._set_during(disturbance, "list_late_ms")

    # `heavy` has no planner: the work of its requests is drawn with the traffic.
    PLANNERS = {
        "slow": _slow,
        "neighbour": _neighbour,
        "zone": _lose_zone,
        "crash": _crash,
        "release": _release,
        "late reports": _delay_reports,
        "late list": _delay_list,
    }

    def _set_during(self, disturbance: Disturbance, attribute: str) -> None:
        first, last = _span_of(disturbance)
        self.time.at(first, lambda: setattr(self, attribute, disturbance.size))
        self.time.at(last, lambda: setattr(self, attribute, 0.0))

    def _change_speed(self, at: float, name: str, cause: str, factor: float) -> None:
        self.speed_changes.append(SpeedChange(at - BEGIN, name, cause, factor))
        self.time.at(at, functools.partial(self.servers[name].set_factor, cause, factor))

    def _change_server(self, at: float, change: ServerChange, name: str) -> None:
        self.server_events.append(ServerEvent(at - BEGIN, change, name))
        self.time.at(at, functools.partial(self.apply_change, change, name))


def _span_of(disturbance: Disturbance) -> tuple[float, float]:
    """Return the start and the end of a disturbance in simulated time."""
    return BEGIN + disturbance.from_s * 1000.0, BEGIN + disturbance.to_s * 1000.0
