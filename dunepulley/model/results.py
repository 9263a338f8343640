"""Results of a simulation: final answers, payoff and latencies of its requests."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

import numpy as np

from dunepulley.model.scenario import RequestClass, Scenario
from dunepulley.model.server import Job, ModelServer
from dunepulley.model.simulated_time import ScheduledCall

PERCENTILES = (50, 99)


class Answer(StrEnum):
    """A request's final answer; the values of `REJECTED` and `FAILED` are keys of the results."""

    FINISHED = "finished"
    REJECTED = "deferred"
    FAILED = "written off"


@dataclass(slots=True)
class SimulatedAttempt:
    """One attempt: its state as the dispatcher sees it, and its job at the server; times in ms."""

    server: ModelServer
    sent: float
    ended: bool = False
    cancelled: bool = False
    job: Job | None = None
    time_limit: ScheduledCall | None = None


@dataclass(slots=True)
class SimulatedRequest:
    """A request, from its arrival to its final answer; times in ms.

    `work` is the run time at a server of speed 1. `deadline` is the latest time at which an answer earns the
    payoff. `dispatcher` is the number of the dispatcher that receives the request.
    """

    request_id: str
    arrived: float
    request_class: RequestClass
    work: float
    deadline: float
    dispatcher: int
    answer: Answer | None = None
    attempts: list[SimulatedAttempt] = field(default_factory=list)


class Results:
    """Counts the answers of requests and the attempts."""

    def __init__(self, scenario: Scenario) -> None:
        self.counts = dict.fromkeys(("in time", "late", "deferred", "written off", "hand-offs", "events"), 0)
        self.cross_zone_attempts = 0
        self.possible_payoff = self.earned_payoff = 0.0
        self.latencies_ms: dict[str, list[float]] = {
            request_class.name: [] for request_class in scenario.categories
        }

    def record_answer(self, now: float, request: SimulatedRequest, answer: Answer) -> None:
        """Count a final answer."""
        if answer != Answer.FINISHED:
            self.counts[answer] += 1
            return
        is_in_time = now <= request.deadline
        self.counts["in time" if is_in_time else "late"] += 1
        self.earned_payoff += request.request_class.payoff * is_in_time
        self.latencies_ms[request.request_class.name].append(now - request.arrived)

    def payoff(self) -> float:
        """Return the payoff earned, from 0 to 1, relative to the possible payoff."""
        return self.earned_payoff / self.possible_payoff if self.possible_payoff else 1.0

    def latency_percentiles(self) -> dict[str, list[float]]:
        """Return the median and the 99th percentile of the time to an answer, in ms, by request class."""
        return {name: percentiles(latencies_ms) for name, latencies_ms in self.latencies_ms.items()}

    def cross_zone_ratio(self) -> float:
        """Return the ratio of attempts that were sent to another zone."""
        return self.cross_zone_attempts / max(1, self.counts["hand-offs"])


def percentiles(values: list[float]) -> list[float]:
    """Return the median and the 99th percentile, or an empty list for no values."""
    return [round(float(np.percentile(values, at)), 1) for at in PERCENTILES] if values else []


def wasted_ratio(servers: Iterable[ModelServer], requests: Iterable[SimulatedRequest]) -> float:
    """Return the ratio of the servers' work that did not contribute to a successful answer."""
    done = sum([server.completed_work for server in servers])
    useful = sum([request.work for request in requests if request.answer == Answer.FINISHED])
    return max(0.0, 1.0 - useful / done) if done else 0.0
