"""The requests of a simulated day, drawn before it begins, so that they do not follow what is decided."""

from __future__ import annotations

from typing import Any, NamedTuple

import numpy as np

from dunepulley.model.scenario import RequestClass, Scenario


class PlannedRequest(NamedTuple):
    """A request that is to arrive.

    `at` is in ms since the day's begin, `work` in ms at a worker of speed 1, and `home` the number of the
    dispatcher that receives it.
    """

    request_id: str
    at: float
    category: RequestClass
    work: float
    home: int


def spread_out(normals: Any, cv: float) -> Any:
    """Lognormal figures of mean 1 and this coefficient of variation, from standard normal ones."""
    spread = np.sqrt(np.log1p(cv**2))
    return np.exp(normals * spread - 0.5 * spread**2)


def plan_requests(
    scenario: Scenario, draw: dict[str, np.random.Generator], work_per_ms: float
) -> list[PlannedRequest]:
    """Draw every request of a day, in order of arrival.

    `draw` holds the streams `arrivals`, `works` and `heavy`; `work_per_ms` is what all workers can do.
    """
    shares = np.array([category.share for category in scenario.categories])
    shares = shares / shares.sum()
    mean_work = float(sum(shares * np.array([category.work_ms for category in scenario.categories])))
    rate = 1000.0 * scenario.load * work_per_ms / mean_work
    arrivals = draw["arrivals"]
    count = int(arrivals.poisson(rate * scenario.seconds))
    moments = np.sort(arrivals.uniform(0.0, scenario.seconds * 1000.0, count))
    homes = arrivals.integers(0, scenario.dispatchers, count)
    kinds = arrivals.choice(len(shares), count, p=shares)
    normals = draw["works"].normal(0.0, 1.0, count)
    heavy_draws = draw["heavy"].uniform(0.0, 1.0, count)
    planned = []
    for number in range(count):
        kind, at = int(kinds[number]), float(moments[number])
        category = scenario.categories[kind]
        work = category.work_ms * float(spread_out(normals[number], category.work_cv))
        work *= _heaviness(scenario, kind, at, heavy_draws[number])
        planned.append(PlannedRequest(f"i{number}", at, category, max(0.1, work), int(homes[number])))
    return planned


def _heaviness(scenario: Scenario, kind: int, at: float, drawn: float) -> float:
    """By how much more a request works, as some of the first category do while that is in trouble."""
    for trouble in scenario.troubles:
        is_now = trouble.from_s * 1000.0 <= at < trouble.to_s * 1000.0
        if trouble.kind == "heavy" and kind == 0 and is_now and drawn < trouble.part:
            return trouble.size
    return 1.0
