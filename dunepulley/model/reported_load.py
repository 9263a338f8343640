"""Load reports of simulated servers: refreshed periodically, delayed and with random noise."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

import numpy as np

from dunepulley.model.scenario import Scenario
from dunepulley.model.server import ModelServer


class LoadSnapshot(NamedTuple):
    """A server's load report, and the time in ms at which it was taken."""

    at: float
    fields: dict[str, float]


class ReportedLoad:
    """The load reports that the answers of each server carry."""

    def __init__(self, scenario: Scenario, rng: np.random.Generator) -> None:
        self.scenario, self.rng = scenario, rng
        self.snapshots: dict[str, deque[LoadSnapshot]] = {}

    def current(self, now: float, server: ModelServer, late_ms: float = 0.0) -> dict[str, float]:
        """Return the report that an answer carries now; `late_ms` is added to the scenario's delay."""
        snapshots = self.snapshots.setdefault(server.name, deque())
        if not snapshots or now - snapshots[-1].at >= self.scenario.report_period_ms:
            snapshots.append(LoadSnapshot(now, self._noisy_report(server)))
        reported_ms = now - self.scenario.report_delay_ms - late_ms
        while len(snapshots) > 1 and snapshots[1].at <= reported_ms:
            snapshots.popleft()
        return dict(snapshots[0].fields)

    def forget(self, name: str) -> None:
        """Discard the reports of a server that restarts."""
        self.snapshots.pop(name, None)

    def _noisy_report(self, server: ModelServer) -> dict[str, float]:
        noise = (
            self.rng.normal(1.0, self.scenario.report_noise, 2) if self.scenario.report_noise else (1.0, 1.0)
        )
        fields = server.report()
        fields["rate"] *= max(0.0, float(noise[0]))
        fields["queue"] = float(round(fields["queue"] * max(0.0, float(noise[1]))))
        return fields
