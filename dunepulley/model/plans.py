"""The fleet's traffic plan in simulated time: the same planner and followers, with the delays of real agents.

One host of each zone has an agent, and the first agent always leads. Votes, network partitions and deaths of
agents need real processes; here it is how plans serve a fleet that sockets do not reach.

All times are ms of simulated time.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any, NamedTuple

from dunepulley.control.fleet_view import DispatcherReport, ReportWindow, ZoneCounters, build_fleet_view
from dunepulley.control.plan_application import Follower, PlanLease
from dunepulley.control.planner import Planner
from dunepulley.control.regions import Region, Regions
from dunepulley.control.traffic_plan import CLOSED_STATES, Plan
from dunepulley.routing import inspection
from dunepulley.routing.events import CONNECTION_FAILURES, AttemptResult, EndpointEntry, EndpointState

if TYPE_CHECKING:
    from dunepulley.model.simulation import Simulation

HEARTBEAT_MS = 500.0
# How long a real agent's plan holds at its dispatchers.
LEASE_MS = 10_000.0
# From an agent to the nearest of its dispatchers; the farthest takes as many times as long.
TELL_MS = 5.0
TELL_MAX_FACTOR = 7
# An attempt that nobody answers may last so long: until then one at an evacuated zone is no fault.
SILENT_ATTEMPT_MS = 1000.0


def simulated_regions(zones: int, count: int) -> Regions:
    """Zones next to each other by number, in `count` regions, each near to the next; 0 for no regions."""
    if not count:
        return Regions()
    names = [f"r{number}" for number in range(count)]
    regions = []
    for number, name in enumerate(names):
        members = tuple([f"z{zone}" for zone in range(zones) if zone * count // zones == number])
        near = (names[(number + 1) % count],) if count > 1 else ()
        regions.append(Region(name, members, near))
    return Regions(regions=tuple(regions))


class AgreedPlan(NamedTuple):
    """A plan, and when the agents agreed on it."""

    agreed_ms: float
    plan: Plan


class SimulatedAgents:
    """The agents of a simulated fleet, and the followers of its dispatchers."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        scenario = simulation.scenario
        self.planner = Planner("h0", simulated_regions(scenario.zones, scenario.regions))
        self.reports: dict[str, ReportWindow] = {}
        self.followers = [
            Follower(f"n{number}", simulation.homes[number]) for number in range(scenario.dispatchers)
        ]
        # Attempts and lost attempts of each dispatcher, by zone.
        self.attempts: list[dict[str, list[int]]] = [{} for _ in range(scenario.dispatchers)]
        # Slot-ms of the requests that each dispatcher took.
        self.work_slot_ms = [0.0] * scenario.dispatchers
        self.agreed: list[AgreedPlan] = []
        # When the last dispatcher took the plan of a number.
        self.taken_ms: dict[int, float] = {}
        # Attempts that ended at a zone after all dispatchers had been told that it is closed.
        self.attempts_at_closed = 0

    def start(self) -> None:
        """Have agents exchange heartbeats from now on, and dispatchers check what they use."""
        self._heartbeat()
        for number in range(len(self.followers)):
            # Not in step.
            wait_ms = HEARTBEAT_MS * (number + 0.5) / len(self.followers)
            self._after(wait_ms, functools.partial(self._check, number))

    def record_attempt(self, dispatcher: int, zone: str, result: str) -> None:
        """Count an attempt that has ended."""
        if result == AttemptResult.NOT_SENT:
            return
        counts = self.attempts[dispatcher].setdefault(zone, [0, 0])
        counts[0] += 1
        counts[1] += result in CONNECTION_FAILURES
        plan = self.planner.plan
        taken_ms = self.taken_ms.get(plan.number)
        if taken_ms is None or self.simulation.time.now <= taken_ms + SILENT_ATTEMPT_MS:
            return
        self.attempts_at_closed += plan.zone(zone).state in CLOSED_STATES

    def usable_endpoints(self, dispatcher: int, ready: list[EndpointEntry]) -> frozenset[str]:
        """The ids of the endpoints that a dispatcher uses now."""
        routers = self.simulation.routers
        ejected: set[str] = set()
        if dispatcher < len(routers):
            ejected = inspection.ejected_endpoints(routers[dispatcher])
        return self.followers[dispatcher].select(self.simulation.time.now, ready, ejected)

    def summary(self) -> dict[str, Any]:
        """What was agreed, for the results of the run; times are ms after the first plan."""
        first_ms = self.agreed[0].agreed_ms if self.agreed else 0.0
        return {
            "agreed": [
                {
                    "after ms": round(agreed_ms - first_ms, 1),
                    "states": {zone.name: zone.state.value for zone in plan.zones},
                }
                for agreed_ms, plan in self.agreed
            ],
            "first ms": round(first_ms - self.simulation.begin, 1) if self.agreed else None,
            "to left": self.attempts_at_closed,
            "escapes": sum([follower.escapes for follower in self.followers]),
        }

    def _after(self, wait_ms: float, action: functools.partial[None]) -> None:
        self.simulation.time.at(self.simulation.time.now + wait_ms, action)

    def _check(self, dispatcher: int) -> None:
        """Have one dispatcher look again at what it uses, for ever."""
        self.simulation.lists.apply_plan(dispatcher)
        self._after(HEARTBEAT_MS, functools.partial(self._check, dispatcher))

    def _report(self, dispatcher: int) -> DispatcherReport:
        follower = self.followers[dispatcher]
        return DispatcherReport(
            name=f"n{dispatcher}",
            home_zone=self.simulation.homes[dispatcher],
            process_id=1,
            mode=follower.mode,
            plan_version=follower.lease.plan.version,
            escapes=follower.escapes,
            work_slot_ms=self.work_slot_ms[dispatcher],
            rejected=0.0,
            zones=self._zone_counters(dispatcher),
        )

    def _zone_counters(self, dispatcher: int) -> dict[str, ZoneCounters]:
        """What one dispatcher sees of each zone."""
        router = self.simulation.routers[dispatcher]
        ejected = inspection.ejected_endpoints(router)
        zones: dict[str, ZoneCounters] = {}
        for name, entry in self.simulation.lists.known[dispatcher].items():
            if entry.state != EndpointState.READY:
                continue
            slots, warm_slots, in_flight = inspection.endpoint_slots(router, name)
            seen = zones.get(entry.zone, ZoneCounters())
            if name in ejected:
                slots, warm_slots = 0.0, 0.0
            zones[entry.zone] = seen._replace(
                endpoints=seen.endpoints + 1.0,
                ejected=seen.ejected + (name in ejected),
                slots=seen.slots + slots,
                warm_slots=seen.warm_slots + warm_slots,
                in_flight=seen.in_flight + in_flight,
            )
        for zone, (attempts, lost) in self.attempts[dispatcher].items():
            seen = zones.get(zone, ZoneCounters())
            zones[zone] = seen._replace(attempts=attempts, lost_attempts=lost)
        return zones

    def _heartbeat(self) -> None:
        """All agents know what all dispatchers report; the first decides. For ever."""
        now, homes = self.simulation.time.now, self.simulation.homes
        for number in range(len(self.followers)):
            self.reports.setdefault(homes[number], ReportWindow()).add(now, self._report(number))
        view = build_fleet_view([window.placements(now) for window in self.reports.values()])
        self.planner.observe(view, now)
        plan = self.planner.decide(view, now, now)
        if plan is not None:
            self._after(self.simulation.scenario.agree_ms, functools.partial(self._agree, plan))
        for number in range(len(self.followers)):
            self._tell(number, self.planner.plan)
        self._after(HEARTBEAT_MS, functools.partial(self._heartbeat))

    def _agree(self, plan: Plan) -> None:
        """The agents have agreed on a plan, unless another one came before."""
        if plan.number != self.planner.plan.number + 1:
            return
        now = self.simulation.time.now
        self.planner.learn(plan, now)
        self.agreed.append(AgreedPlan(now, plan))
        for number in range(len(self.followers)):
            wait_ms = TELL_MS * (1.0 + number % TELL_MAX_FACTOR)
            self._after(wait_ms, functools.partial(self._tell, number, plan))
        self.taken_ms[plan.number] = now + TELL_MAX_FACTOR * TELL_MS

    def _tell(self, dispatcher: int, plan: Plan) -> None:
        """A dispatcher is told a plan."""
        follower = self.followers[dispatcher]
        is_newer = plan.version > follower.lease.plan.version
        if follower.accept(PlanLease(plan, self.simulation.time.now + LEASE_MS)) and is_newer:
            self.simulation.lists.apply_plan(dispatcher)
