"""The cost of the routing package at 16 times as many endpoints, in interpreter steps.

Steps are reproducible, unlike CPU time on a busy machine, which `python -m bench.scale_decisions` measures. A
step counts as 10 ns, the time in loops over all endpoints (8 to 11 ns). At the usual size most steps are
calls, which take longer, so the limits here are stricter than those on CPU time.
"""

import io
from dataclasses import replace

import pytest
from operations import CountedDispatcher

from bench import scale_decisions as scale
from bench.decision_trace import Fleet
from dunepulley.routing import router

STEPS_A_SECOND = 100e6
LENGTH_S = 4.0


def steps(scenario, endpoints):
    """The steps of each call in a scenario, without the first endpoint list."""
    fleet = Fleet(
        scale.at_size(scenario, endpoints), lambda *arguments: CountedDispatcher(router.Router(*arguments))
    )
    for _ in fleet.batches():
        pass
    return fleet.dispatcher.calls[1:]


@pytest.mark.parametrize("scenario", scale.DAYS, ids=lambda scenario: scenario.name)
def test_steps_at_many_endpoints_stay_within_the_limits(scenario):
    scenario = replace(scenario, length_s=LENGTH_S)
    usual, large = steps(scenario, scale.USUAL), steps(scenario, scale.LARGE)
    added_s = scale.CPU_S + scale.CPU_THOUSAND_S * scale.LARGE / 1000.0
    added = added_s * STEPS_A_SECOND * LENGTH_S / scale.DAY_S
    assert sum(large) <= scale.CPU_TIMES * sum(usual) + added
    assert max(large) <= scale.LONGEST_MS / 1000.0 * STEPS_A_SECOND


@pytest.mark.parametrize(("cpu", "code"), [((1.0, 1.5), 0), ((1.0, 2.0), 1)])
def test_table_marks_exceeded_limits(monkeypatch, cpu, code):
    costs = iter([scale.Cost(each, 1.0) for each in cpu])
    monkeypatch.setattr(scale, "cost", lambda *_: next(costs))
    monkeypatch.setattr(scale, "memory_mb", lambda *_: 1.0)
    monkeypatch.setattr(scale, "DAYS", scale.DAYS[:1])
    output = io.StringIO()
    assert scale.run_small(output) == code
    assert ("FAIL" in output.getvalue()) is bool(code)
