"""The slow-start budget limits what all dispatchers send together, for any number of dispatchers.

The simulation in slow_start.py runs routers without the rest of a dispatcher. Hypothesis draws the cases, the
same ones in every run.
"""

import pytest
from hypothesis import HealthCheck, Phase, example, given, settings
from hypothesis import strategies as st
from slow_start import WINDOW_MS, Fleet

from dunepulley.routing.events import EndpointState, SlowStartBudgetAssigned

FLEETS = [1, 2, 30, 200]
# The slots of the endpoint and the mean work in ms, so that few or many requests fit its budget.
SIZES = [(2.0, 100.0), (8.0, 50.0), (16.0, 100.0)]
# An endpoint that started this long ago is warm.
LONG_AGO_MS = 100_000.0


def endpoint_starts(fleet, moment, dispatcher):
    """The endpoint starts; nothing else happens."""
    fleet.start_endpoint()
    fleet.notify()
    fleet.run(2500.0 + moment)


def one_dispatcher_restarts(fleet, moment, dispatcher):
    """At a random time one dispatcher restarts without learned state."""
    fleet.start_endpoint()
    fleet.notify()
    fleet.run(moment)
    fleet.restart(dispatcher % fleet.dispatchers)
    fleet.run(2 * WINDOW_MS)


def all_dispatchers_restart(fleet, moment, dispatcher):
    """At a random time all dispatchers restart at once without learned state."""
    fleet.start_endpoint()
    fleet.notify()
    fleet.run(moment)
    fleet.restart(*range(fleet.dispatchers))
    fleet.run(2 * WINDOW_MS)


def endpoint_restarts(fleet, moment, dispatcher):
    """The endpoint restarts while it is warming up."""
    fleet.start_endpoint()
    fleet.notify()
    fleet.run(moment)
    fleet.start_endpoint()
    fleet.notify()
    fleet.run(2 * WINDOW_MS)


def endpoint_is_briefly_unlisted(fleet, moment, dispatcher):
    """The endpoint is removed from the list and returns with the same start time."""
    fleet.start_endpoint()
    fleet.notify()
    fleet.run(moment)
    for processes in fleet.members:
        fleet.notify_one(processes[0], EndpointState.REMOVED)
    fleet.run(100.0)
    fleet.notify()
    fleet.run(WINDOW_MS)


def all_dispatchers_are_notified_late(fleet, moment, dispatcher):
    """A warm endpoint restarts, and is sent the load of a warm one until all are notified at once."""
    fleet.started_ms = fleet.now - LONG_AGO_MS
    fleet.notify()
    fleet.run(500.0)
    fleet.start_endpoint()
    fleet.run(50.0 + moment / 20.0)
    fleet.notify()
    fleet.run(WINDOW_MS)


def dispatchers_are_notified_in_turn(fleet, moment, dispatcher):
    """A warm endpoint restarts, and groups of dispatchers are notified at different times."""
    fleet.started_ms = fleet.now - LONG_AGO_MS
    fleet.notify()
    fleet.run(500.0)
    fleet.start_endpoint()
    group = -(-fleet.dispatchers // 10)
    for first in range(0, fleet.dispatchers, group):
        fleet.run(50.0)
        fleet.notify(*range(first, min(first + group, fleet.dispatchers)))
    fleet.run(WINDOW_MS)


def hot_restart(fleet, moment, dispatcher):
    """Every dispatcher makes a hot restart; the child process then ends, and the parent serves again."""
    fleet.start_endpoint()
    fleet.notify()
    fleet.run(moment)
    for number, processes in enumerate(fleet.members):
        child = fleet.new_process(number)
        processes.append(child)
        fleet.feed(child, SlowStartBudgetAssigned(False))
        fleet.notify_one(child)
    fleet.run(200.0)
    for parent, child in fleet.members:
        fleet.feed(parent, SlowStartBudgetAssigned(False))
        fleet.feed(child, SlowStartBudgetAssigned(True))
    fleet.run(1.2 * WINDOW_MS)
    for processes in fleet.members:
        processes.pop()
        fleet.feed(processes[0], SlowStartBudgetAssigned(True))
    fleet.run(1.2 * WINDOW_MS)


CASES = [
    endpoint_starts,
    one_dispatcher_restarts,
    all_dispatchers_restart,
    endpoint_restarts,
    endpoint_is_briefly_unlisted,
    all_dispatchers_are_notified_late,
    dispatchers_are_notified_in_turn,
    hot_restart,
]


@pytest.mark.parametrize("dispatchers", FLEETS)
@pytest.mark.parametrize("case", CASES, ids=lambda case: case.__name__)
def test_total_sent_by_all_dispatchers_fits_the_budget(case, dispatchers):
    # Hypothesis derives the cases from the source of `holds` without comments: a rename there changes them.
    # `some` is the number of the dispatcher for cases that need one.
    @settings(
        derandomize=True,
        database=None,
        max_examples=1,
        phases=[Phase.explicit, Phase.generate],  # shrinking a failing case takes minutes
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @example(seed=0, size=(32.0, 100.0), hints=True, spread=0.5, moment=1500.0, some=0)
    @given(
        seed=st.integers(0, 10**6),
        size=st.sampled_from(SIZES),
        hints=st.booleans(),
        spread=st.sampled_from([0.0, 0.5]),
        moment=st.floats(0.0, 2000.0),
        some=st.integers(0, 199),
    )
    def holds(seed, size, hints, spread, moment, some):
        slots, mean_work_ms = size
        fleet = Fleet(dispatchers, slots, seed, mean_work_ms, spread, hints)
        fleet.run(WINDOW_MS)  # after their own start, dispatchers send nothing for one window
        case(fleet, moment, some)
        assert not fleet.overloads()

    holds()


@pytest.mark.parametrize("dispatchers", FLEETS)
def test_warming_endpoint_receives_work(dispatchers):
    # Guards against keeping the budget by sending nothing.
    fleet = Fleet(dispatchers, 16.0)
    fleet.run(WINDOW_MS)
    fleet.start_endpoint()
    fleet.notify()
    fleet.run(5 * WINDOW_MS)
    assert fleet.received() >= 20
