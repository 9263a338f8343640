"""The load reports of simulated workers: refreshed now and then, some way behind, and not exact."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

import numpy as np

from dunepulley.model.scenario import Scenario
from dunepulley.model.server import ModelServer


class Snapshot(NamedTuple):
    """A worker's figures as they were at a moment, in ms."""

    at: float
    figures: dict[str, float]


class ReportedLoad:
    """What each worker's answers report."""

    def __init__(self, scenario: Scenario, draw: np.random.Generator) -> None:
        self.scenario, self.draw = scenario, draw
        self.snapshots: dict[str, deque[Snapshot]] = {}

    def current(self, now: float, server: ModelServer, late_ms: float = 0.0) -> dict[str, float]:
        """What an answer of now carries, later by `late_ms` than the day says."""
        snapshots = self.snapshots.setdefault(server.name, deque())
        if not snapshots or now - snapshots[-1].at >= self.scenario.report_period_ms:
            snapshots.append(Snapshot(now, self._noisy_figures(server)))
        reported_ms = now - self.scenario.report_delay_ms - late_ms
        while len(snapshots) > 1 and snapshots[1].at <= reported_ms:
            snapshots.popleft()
        return dict(snapshots[0].figures)

    def forget(self, name: str) -> None:
        """A worker starts anew and has reported nothing yet."""
        self.snapshots.pop(name, None)

    def _noisy_figures(self, server: ModelServer) -> dict[str, float]:
        noise = (
            self.draw.normal(1.0, self.scenario.report_noise, 2) if self.scenario.report_noise else (1.0, 1.0)
        )
        figures = server.report()
        figures["rate"] *= max(0.0, float(noise[0]))
        figures["queue"] = float(round(figures["queue"] * max(0.0, float(noise[1]))))
        return figures
