"""When the troubles of a simulated day begin and end, and at which workers."""

from __future__ import annotations

import functools
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

import numpy as np

from dunepulley.model.scenario import Disturbance, Scenario
from dunepulley.model.server import ModelServer
from dunepulley.model.simulated_time import BEGIN, SimulatedTime

# A neighbour comes and goes about so often.
ON_OFF_MS = 700.0
# A neighbour leaves at least so much of its machine.
MAX_NEIGHBOUR_PART = 0.95
# A released worker leaves so long after all lists tell that it drains, and is replaced so long after that.
RELEASE_DRAIN_MS = 2000.0
RELEASE_RETURN_MS = 500.0


class WorkerChange(StrEnum):
    """What becomes of a worker; the texts stand in records of runs."""

    FALLS_SILENT = "falls silent"
    IS_HEARD = "is heard"
    CRASHES = "crashes"
    RETURNS = "returns"
    DRAINS = "is to leave"


class SpeedChange(NamedTuple):
    """A worker's speed is multiplied by a factor from `at` ms of the day on, for this cause."""

    at: float
    server: str
    cause: str
    factor: float


class WorkerEvent(NamedTuple):
    """Something becomes of a worker at `at` ms of the day."""

    at: float
    change: WorkerChange
    server: str


class TroubleSchedule:
    """Draws at whom troubles strike, schedules them, and keeps what was scheduled for replays on sockets."""

    def __init__(
        self,
        scenario: Scenario,
        time: SimulatedTime,
        workers: dict[str, ModelServer],
        draw: np.random.Generator,
    ) -> None:
        self.scenario, self.time, self.workers, self.draw = scenario, time, workers, draw
        self.speed_changes: list[SpeedChange] = []
        self.worker_events: list[WorkerEvent] = []
        # By how many ms load reports and the endpoint list are later now than the day says.
        self.reports_late_ms = self.list_late_ms = 0.0

    def schedule(self, carry_out: Callable[[WorkerChange, str], None]) -> None:
        """Schedule all troubles of the day; `carry_out` is called for each change of a worker."""
        self.carry_out = carry_out
        for trouble in self.scenario.troubles:
            count = max(1, round(trouble.part * self.scenario.workers)) if trouble.part else 0
            drawn = self.draw.choice(self.scenario.workers, count, replace=False)
            planner = self.PLANNERS.get(trouble.kind)
            if planner is not None:
                planner(self, trouble, [f"w{number}" for number in drawn])

    def _slow(self, trouble: Disturbance, names: list[str]) -> None:
        first, last = _span_of(trouble)
        for name in names:
            self._change_speed(first, name, "slow", 1.0 / trouble.size)
            self._change_speed(last, name, "slow", 1.0)

    def _neighbour(self, trouble: Disturbance, names: list[str]) -> None:
        first, last = _span_of(trouble)
        for name in names:
            moment, is_there = first, True
            while moment < last:
                factor = 1.0 - min(MAX_NEIGHBOUR_PART, trouble.size) if is_there else 1.0
                self._change_speed(moment, name, "neighbour", factor)
                moment, is_there = moment + float(self.draw.exponential(ON_OFF_MS)), not is_there
            self._change_speed(last, name, "neighbour", 1.0)

    def _lose_zone(self, trouble: Disturbance, names: list[str]) -> None:
        """A whole zone falls silent, whoever was drawn."""
        first, last = _span_of(trouble)
        zone = f"z{int(trouble.size)}"
        for name in [name for name, server in self.workers.items() if server.zone == zone]:
            self._change_worker(first, WorkerChange.FALLS_SILENT, name)
            self._change_worker(last, WorkerChange.IS_HEARD, name)

    def _crash(self, trouble: Disturbance, names: list[str]) -> None:
        first, _ = _span_of(trouble)
        for name in names:
            self._change_worker(first, WorkerChange.CRASHES, name)
            self._change_worker(first + trouble.size * 1000.0, WorkerChange.RETURNS, name)

    def _release(self, trouble: Disturbance, names: list[str]) -> None:
        first, last = _span_of(trouble)
        for number, name in enumerate(names):
            begin = first + (last - first) * number / max(1, len(names))
            self._change_worker(begin, WorkerChange.DRAINS, name)
            # Long enough for the list to be heard everywhere and what is there to end.
            gone = begin + 2.0 * self.scenario.list_delay_ms + RELEASE_DRAIN_MS
            self._change_worker(gone, WorkerChange.CRASHES, name)
            self._change_worker(gone + RELEASE_RETURN_MS, WorkerChange.RETURNS, name)

    def _delay_reports(self, trouble: Disturbance, names: list[str]) -> None:
        self._set_during(trouble, "reports_late_ms")

    def _delay_list(self, trouble: Disturbance, names: list[str]) -> None:
        self._set_during(trouble, "list_late_ms")

    # A trouble without a planner acts elsewhere: heavy requests are drawn with the traffic.
    PLANNERS = {
        "slow": _slow,
        "neighbour": _neighbour,
        "zone": _lose_zone,
        "crash": _crash,
        "release": _release,
        "late reports": _delay_reports,
        "late list": _delay_list,
    }

    def _set_during(self, trouble: Disturbance, attribute: str) -> None:
        first, last = _span_of(trouble)
        self.time.at(first, lambda: setattr(self, attribute, trouble.size))
        self.time.at(last, lambda: setattr(self, attribute, 0.0))

    def _change_speed(self, at: float, name: str, cause: str, factor: float) -> None:
        self.speed_changes.append(SpeedChange(at - BEGIN, name, cause, factor))
        self.time.at(at, functools.partial(self.workers[name].set_factor, cause, factor))

    def _change_worker(self, at: float, change: WorkerChange, name: str) -> None:
        self.worker_events.append(WorkerEvent(at - BEGIN, change, name))
        self.time.at(at, functools.partial(self.carry_out, change, name))


def _span_of(trouble: Disturbance) -> tuple[float, float]:
    """A trouble's begin and end in simulated time."""
    return BEGIN + trouble.from_s * 1000.0, BEGIN + trouble.to_s * 1000.0
