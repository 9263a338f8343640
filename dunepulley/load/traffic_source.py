"""The requests of a run: those of the simulated traffic, or those of a recorded trace."""

from __future__ import annotations

import numpy as np

from dunepulley import trace_format
from dunepulley.load.clients import ClientRequest
from dunepulley.model import scenario as scenarios
from dunepulley.model.simulation import Simulation
from dunepulley.model.traffic import spread_out


def scenario_requests(scenario: scenarios.Scenario, simulation: Simulation) -> dict[str, ClientRequest]:
    """Return the requests of the simulated traffic, by id."""
    return {
        request_id: ClientRequest(
            at,
            request_class.name,
            request_class.expiry_ms,
            work if scenario.hints else 0.0,
            64,
            work,
            dispatcher,
        )
        for request_id, at, request_class, work, dispatcher in simulation.planned_requests
    }


def trace_requests(
    scenario: scenarios.Scenario, trace: list[trace_format.RecordedRequest], seed: int
) -> dict[str, ClientRequest]:
    """Return the requests of a trace, by id.

    The run time of a request is the expected time that it was recorded with, or else drawn from its class.
    """
    rng = np.random.default_rng(seed)
    request_classes = {request_class.name: request_class for request_class in scenario.categories}
    requests = {}
    for number, recorded in enumerate(trace):
        request_class = request_classes.get(recorded.category)
        if request_class is None:
            raise trace_format.TraceError(
                f"line {number + 2}: the scenario has no category {recorded.category}"
            )
        drawn_work = request_class.work_ms * float(spread_out(rng.normal(), request_class.work_cv))
        dispatcher = int(rng.integers(0, scenario.dispatchers))
        work = recorded.hint or drawn_work
        requests[f"i{number}"] = ClientRequest(
            recorded.at, recorded.category, recorded.budget, recorded.hint, recorded.size, work, dispatcher
        )
    return requests
