"""Measures the decision module at 16 times the endpoints: CPU time, memory and the longest call.

    python -m bench.scale_decisions [--brain PATH] [--times N]

Simulates the same seeded scenarios with 200 and with 3,200 endpoints. The number of dispatchers grows by the
same factor, so that the traffic of the one dispatcher and its fraction of the capacity stay the same. The
measured CPU time is that of the process within `Router.handle`, the minimum over several runs of the same
events. Exit code 1 if a limit is exceeded.
"""

from __future__ import annotations

import argparse
import gc
import sys
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import replace
from typing import Any, NamedTuple, TextIO

from bench.decision_fleet import Fleet
from bench.decision_scenarios import GOSSIP, START_MS, Scenario
from dunepulley.model.routing_loader import UnusableVersionError, load_router
from dunepulley.routing import router

USUAL, LARGE = 200, 3200
DISPATCHERS = 30
# Terms of the limits: a factor of the usual value, a constant, and an amount for each thousand endpoints.
CPU_TIMES, CPU_S, CPU_THOUSAND_S = 1.4, 0.02, 0.12
MEMORY_TIMES, MEMORY_MB, MEMORY_THOUSAND_MB = 1.5, 8.0, 4.0
LONGEST_MS = 20.0
DAY_S = 30.0

PROBES = {"policyLimits.probing": True, "reporting.how": "probe", "prices.probe": 0.005}

Factory = Callable[[int, dict[str, Any], float], Any]


def scenario_of(name: str, **more: Any) -> Scenario:
    """A scenario of half a minute with the standard traffic: 40 requests and 2 list changes a second."""
    defaults = {"length_s": DAY_S, "rate": 40.0, "list_changes": 2.0, "classes": ("look",), "faults": 0.0}
    return Scenario(name, USUAL, **defaults | {"stalls": 0.0, "disconnected": 0.0} | more)


DAYS = (
    scenario_of("steady"),
    scenario_of("priced connections", settings={"prices.handshake": 0.02}),
    scenario_of("gossip", settings=GOSSIP, gossip=True),
    scenario_of(
        "three classes, faults",
        classes=("look", "store", "pay"),
        sizes=(0.3, 1.0, 3.0),
        hints=True,
        faults=0.05,
    ),
    scenario_of("overload", background=1.2, faults=0.05),
    scenario_of("overload, gossip", settings=GOSSIP, gossip=True, background=1.2, faults=0.05),
    scenario_of("probes", settings=PROBES, reports=False, background=0.5),
    scenario_of("keys", keys=100),
)


class Row(NamedTuple):
    """One line of the table."""

    name: str
    usual: float
    large: float
    limit: float

    @property
    def passed(self) -> bool:
        """Whether the large figure is within its limit."""
        return self.large <= self.limit

    def line(self) -> str:
        """The row as it is printed."""
        verdict = "pass" if self.passed else "FAIL"
        return f"{self.name:<38} {self.usual:>10.3f} {self.large:>10.3f} {self.limit:>10.3f}  {verdict}"


class Cost(NamedTuple):
    """The cost of a scenario within `handle`: CPU seconds, and the longest call in ms."""

    cpu_s: float
    longest_ms: float


def at_size(scenario: Scenario, endpoints: int) -> Scenario:
    """The scenario with this many endpoints, and with the dispatchers in proportion."""
    dispatchers = DISPATCHERS * endpoints / USUAL
    settings = scenario.settings | {"balancers": dispatchers, "me": 7.0}
    return replace(scenario, endpoints=endpoints, settings=settings)


class TimedRouter:
    """Wraps a dispatcher and records the CPU seconds and the arguments of each call."""

    def __init__(self, dispatcher: Any) -> None:
        self.dispatcher = dispatcher
        self.call_cpu_s: list[float] = []
        self.batches: list[tuple[float, list[Any]]] = []

    def handle(self, now: float, events: list[Any]) -> list[Any]:
        """Call `Router.handle` and record the call."""
        started_s = time.process_time()
        commands = self.dispatcher.handle(now, events)
        self.call_cpu_s.append(time.process_time() - started_s)
        self.batches.append((now, events))
        return commands


def simulate(scenario: Scenario, factory: Factory) -> TimedRouter:
    """Run a scenario with the simulated fleet around the dispatcher."""
    fleet = Fleet(scenario, lambda *arguments: TimedRouter(factory(*arguments)))
    for _ in fleet.batches():
        pass
    return fleet.dispatcher


def replay(scenario: Scenario, batches: list[tuple[float, list[Any]]], factory: Factory) -> list[float]:
    """Handle recorded events once more; return the CPU seconds of each call."""
    timed_router = TimedRouter(factory(scenario.seed, scenario.all_settings(), START_MS))
    for now, events in batches:
        timed_router.handle(now, events)
    return timed_router.call_cpu_s


def cost(scenario: Scenario, factory: Factory, times: int) -> Cost:
    """The minimum CPU time over `times` runs, also for each call, so that pauses do not count."""
    gc.collect()
    first = simulate(scenario, factory)
    runs = [first.call_cpu_s]
    for _ in range(times - 1):
        gc.collect()
        runs.append(replay(scenario, first.batches, factory))
    # Leave out the first call, which handles the initial endpoint list.
    longest = max([min(calls) for calls in zip(*runs, strict=True)][1:])
    return Cost(min([sum(call_cpu_s) for call_cpu_s in runs]), 1000.0 * longest)


def memory_mb(scenario: Scenario, factory: Factory) -> float:
    """The peak memory that the module allocates over a scenario, in MB."""
    batches = simulate(scenario, factory).batches
    gc.collect()
    tracemalloc.start()
    try:
        replay(scenario, batches, factory)
        return tracemalloc.get_traced_memory()[1] / 1e6
    finally:
        tracemalloc.stop()


def rows(factory: Factory, times: int) -> list[Row]:
    """All rows of the table."""
    thousands = LARGE / 1000.0
    table = []
    for scenario in DAYS:
        usual, large = [cost(at_size(scenario, size), factory, times) for size in (USUAL, LARGE)]
        limit = CPU_TIMES * usual.cpu_s + CPU_S + CPU_THOUSAND_S * thousands
        table.append(Row(f"CPU s, {scenario.name}", usual.cpu_s, large.cpu_s, limit))
        table.append(Row(f"longest call ms, {scenario.name}", usual.longest_ms, large.longest_ms, LONGEST_MS))
    short = replace(DAYS[0], length_s=5.0)
    usual_mb, large_mb = [memory_mb(at_size(short, size), factory) for size in (USUAL, LARGE)]
    limit = MEMORY_TIMES * usual_mb + MEMORY_MB + MEMORY_THOUSAND_MB * thousands
    return [*table, Row("peak MB of the module", usual_mb, large_mb, limit)]


def run_small(output: TextIO, factory: Factory = router.Router, times: int = 2) -> int:
    """Write the table; return 1 if a row exceeds its limit."""
    output.write(f"{'the decision module alone':<38} {USUAL:>10} {LARGE:>10} {'limit':>10}\n")
    failed_rows = 0
    for row in rows(factory, times):
        output.write(row.line() + "\n")
        failed_rows += not row.passed
    output.flush()
    return 1 if failed_rows else 0


def main() -> int:
    """Parse the command line and run the measurement; return the exit code."""
    parser = argparse.ArgumentParser(description="Cost of the decision module at many endpoints.")
    parser.add_argument("--brain", help="another version's routing package: its folder, or its router.py")
    parser.add_argument("--times", type=int, default=2, help="runs of each scenario; the minimum counts")
    options = parser.parse_args()
    try:
        factory = load_router(options.brain) if options.brain else router.Router
    except UnusableVersionError as error:
        parser.error(str(error))
    return run_small(sys.stdout, factory, options.times)


if __name__ == "__main__":
    sys.exit(main())
