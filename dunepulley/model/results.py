"""What a simulated day's requests came to: final answers, payoff in time, and how long they took."""

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
    """A request's final answer; the texts are the keys of the results."""

    FINISHED = "finished"
    REJECTED = "deferred"
    FAILED = "written off"


@dataclass(slots=True)
class SimulatedAttempt:
    """One attempt: its end as the dispatcher heard it, and the job that it became at its worker."""

    server: ModelServer
    sent: float
    ended: bool = False
    cancelled: bool = False
    job: Job | None = None
    time_limit: ScheduledCall | None = None


@dataclass(slots=True)
class SimulatedRequest:
    """A request, from its arrival to its final answer; times in ms."""

    request_id: str
    came: float
    category: RequestClass
    work: float
    due: float
    home: int
    answer: Answer | None = None
    attempts: list[SimulatedAttempt] = field(default_factory=list)


class Results:
    """Counts what became of requests and attempts."""

    def __init__(self, scenario: Scenario) -> None:
        self.counts = dict.fromkeys(("in time", "late", "deferred", "written off", "hand-offs", "events"), 0)
        self.crossed_zones = 0
        self.possible_payoff = self.earned_payoff = 0.0
        self.waits: dict[str, list[float]] = {category.name: [] for category in scenario.categories}

    def record_answer(self, now: float, request: SimulatedRequest, answer: Answer) -> None:
        """Count a final answer."""
        if answer != Answer.FINISHED:
            self.counts[answer] += 1
            return
        is_in_time = now <= request.due
        self.counts["in time" if is_in_time else "late"] += 1
        self.earned_payoff += request.category.payoff * is_in_time
        self.waits[request.category.name].append(now - request.came)

    def payoff(self) -> float:
        """The part of the possible payoff that was earned in time."""
        return self.earned_payoff / self.possible_payoff if self.possible_payoff else 1.0

    def waits_told(self) -> dict[str, list[float]]:
        """The median and the 99th percentile of the time to an answer, in ms, by request class."""
        return {name: percentiles(waits) for name, waits in self.waits.items()}

    def crossed_part(self) -> float:
        """The part of attempts that went to another zone."""
        return self.crossed_zones / max(1, self.counts["hand-offs"])


def percentiles(values: list[float]) -> list[float]:
    """The median and the 99th percentile; nothing of nothing."""
    return [round(float(np.percentile(values, at)), 1) for at in PERCENTILES] if values else []


def wasted_part(workers: Iterable[ModelServer], requests: Iterable[SimulatedRequest]) -> float:
    """The part of the workers' work that no request's answer came of."""
    done = sum([server.done_work for server in workers])
    useful = sum([request.work for request in requests if request.answer == Answer.FINISHED])
    return max(0.0, 1.0 - useful / done) if done else 0.0
