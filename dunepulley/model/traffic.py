"""The requests of a scenario, drawn before the run starts so that they do not depend on routing decisions."""

from __future__ import annotations

from typing import Any, NamedTuple

import numpy as np

from dunepulley.model.scenario import RequestClass, Scenario


class PlannedRequest(NamedTuple):
    """A request that will arrive during the run.

    `at` is in ms since the start of the run, `work` is the run time in ms at a server of speed 1, and
    `dispatcher` is the number of the dispatcher that receives the request.
    """

    request_id: str
    at: float
    request_class: RequestClass
    work: float
    dispatcher: int


def spread_out(normals: Any, cv: float) -> Any:
    """Return lognormal values of mean 1 and coefficient of variation `cv`, from standard normal values."""
    spread = np.sqrt(np.log1p(cv**2))
    return np.exp(normals * spread - 0.5 * spread**2)


def plan_requests(
    scenario: Scenario, rng: dict[str, np.random.Generator], work_per_ms: float
) -> list[PlannedRequest]:
    """Draw every request of a scenario, in order of arrival.

    `rng` holds the streams `arrivals`, `works` and `heavy`; `work_per_ms` is the capacity of all servers.
    """
    shares = np.array([request_class.share for request_class in scenario.categories])
    shares = shares / shares.sum()
    mean_work = float(
        sum(shares * np.array([request_class.work_ms for request_class in scenario.categories]))
    )
    rate = 1000.0 * scenario.load * work_per_ms / mean_work
    arrivals = rng["arrivals"]
    count = int(arrivals.poisson(rate * scenario.seconds))
    arrival_times = np.sort(arrivals.uniform(0.0, scenario.seconds * 1000.0, count))
    dispatcher_numbers = arrivals.integers(0, scenario.dispatchers, count)
    class_numbers = arrivals.choice(len(shares), count, p=shares)
    normals = rng["works"].normal(0.0, 1.0, count)
    heavy_draws = rng["heavy"].uniform(0.0, 1.0, count)
    planned = []
    for number in range(count):
        class_number, at = int(class_numbers[number]), float(arrival_times[number])
        request_class = scenario.categories[class_number]
        work = request_class.work_ms * float(spread_out(normals[number], request_class.work_cv))
        work *= _work_factor(scenario, class_number, at, heavy_draws[number])
        planned.append(
            PlannedRequest(f"i{number}", at, request_class, max(0.1, work), int(dispatcher_numbers[number]))
        )
    return planned


def _work_factor(scenario: Scenario, class_number: int, at: float, uniform_draw: float) -> float:
    """Return the factor on a request's work: above 1 for the requests that a `heavy` disturbance affects."""
    for disturbance in scenario.troubles:
        is_active = disturbance.from_s * 1000.0 <= at < disturbance.to_s * 1000.0
        if (
            disturbance.kind == "heavy"
            and class_number == 0
            and is_active
            and uniform_draw < disturbance.part
        ):
            return disturbance.size
    return 1.0
