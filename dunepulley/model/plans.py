"""The fleet's traffic plan in simulated time: the real planner and followers, with the delays of real agents.

One host of each zone has an agent, and the first agent always leads. Consensus, network partitions and
crashes of agents need real processes and are not simulated; the simulation measures how plans work for fleets
that are too large for sockets.

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
# The lease of a plan at a dispatcher, as granted by a real agent.
LEASE_MS = 10_000.0
# Delay from an agent to its nearest dispatcher; the farthest dispatcher takes this many times as long.
PLAN_DELIVERY_MS = 5.0
MAX_DELIVERY_FACTOR = 7
# An attempt without a response may last this long. Attempts that end at an evacuated zone less than this time
# after all dispatchers received the plan are therefore not counted.
UNANSWERED_ATTEMPT_MS = 1000.0


def simulated_regions(zones: int, count: int) -> Regions:
    """Return `count` regions of consecutive zones, each near to the next region; none where `count` is 0."""
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
    """A plan, and the time at which the agents agreed on it."""

    agreed_ms: float
    plan: Plan


class SimulatedAgents:
    """The agents of a simulated fleet, and the plan followers of its dispatchers."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        scenario = simulation.scenario
        self.planner = Planner("h0", simulated_regions(scenario.zones, scenario.regions))
        self.reports: dict[str, ReportWindow] = {}
        self.followers = [
            Follower(f"n{number}", simulation.dispatcher_zones[number])
            for number in range(scenario.dispatchers)
        ]
        # Numbers of attempts and of lost attempts of each dispatcher, by zone.
        self.attempts: list[dict[str, list[int]]] = [{} for _ in range(scenario.dispatchers)]
        # Work of the requests that each dispatcher received, in slot-ms.
        self.work_slot_ms = [0.0] * scenario.dispatchers
        self.agreed: list[AgreedPlan] = []
        # When the last dispatcher received a plan, by the plan's number.
        self.delivered_ms: dict[int, float] = {}
        # Attempts that ended at a zone after all dispatchers had received the plan that closes it.
        self.attempts_at_closed = 0

    def start(self) -> None:
        """Start the agents' heartbeats and the dispatchers' periodic checks of their usable endpoints."""
        self._heartbeat()
        for number in range(len(self.followers)):
            # Staggered, so that dispatchers do not check at the same time.
            wait_ms = HEARTBEAT_MS * (number + 0.5) / len(self.followers)
            self._after(wait_ms, functools.partial(self._recheck_endpoints, number))

    def record_attempt(self, dispatcher: int, zone: str, result: str) -> None:
        """Count an attempt that has ended."""
        if result == AttemptResult.NOT_SENT:
            return
        counts = self.attempts[dispatcher].setdefault(zone, [0, 0])
        counts[0] += 1
        counts[1] += result in CONNECTION_FAILURES
        plan = self.planner.plan
        delivered_ms = self.delivered_ms.get(plan.number)
        if delivered_ms is None or self.simulation.time.now <= delivered_ms + UNANSWERED_ATTEMPT_MS:
            return
        self.attempts_at_closed += plan.zone(zone).state in CLOSED_STATES

    def usable_endpoints(self, dispatcher: int, ready: list[EndpointEntry]) -> frozenset[str]:
        """Return the ids of the endpoints that a dispatcher uses now."""
        routers = self.simulation.routers
        ejected: set[str] = set()
        if dispatcher < len(routers):
            ejected = inspection.ejected_endpoints(routers[dispatcher])
        return self.followers[dispatcher].select(self.simulation.time.now, ready, ejected)

    def summary(self) -> dict[str, Any]:
        """Return the agreed plans for the results of the run; their times are in ms after the first plan."""
        first_ms = self.agreed[0].agreed_ms if self.agreed else 0.0
        return {
            "agreed": [
                {
                    "after ms": round(agreed_ms - first_ms, 1),
                    "states": {zone.name: zone.state.value for zone in plan.zones},
                }
                for agreed_ms, plan in self.agreed
            ],
            "first ms": round(first_ms - self.simulation.start_ms, 1) if self.agreed else None,
            "to left": self.attempts_at_closed,
            "escapes": sum([follower.escapes for follower in self.followers]),
        }

    def _after(self, wait_ms: float, action: functools.partial[None]) -> None:
        self.simulation.time.at(self.simulation.time.now + wait_ms, action)

    def _recheck_endpoints(self, dispatcher: int) -> None:
        """Recompute the endpoints that a dispatcher uses, and reschedule this check."""
        self.simulation.lists.apply_plan(dispatcher)
        self._after(HEARTBEAT_MS, functools.partial(self._recheck_endpoints, dispatcher))

    def _report(self, dispatcher: int) -> DispatcherReport:
        follower = self.followers[dispatcher]
        return DispatcherReport(
            name=f"n{dispatcher}",
            home_zone=self.simulation.dispatcher_zones[dispatcher],
            process_id=1,
            mode=follower.mode,
            plan_version=follower.lease.plan.version,
            escapes=follower.escapes,
            work_slot_ms=self.work_slot_ms[dispatcher],
            rejected=0.0,
            zones=self._zone_counters(dispatcher),
        )

    def _zone_counters(self, dispatcher: int) -> dict[str, ZoneCounters]:
        """Return the counters that a dispatcher reports for each zone."""
        router = self.simulation.routers[dispatcher]
        ejected = inspection.ejected_endpoints(router)
        zones: dict[str, ZoneCounters] = {}
        for name, entry in self.simulation.lists.listed[dispatcher].items():
            if entry.state != EndpointState.READY:
                continue
            slots, warm_slots, in_flight = inspection.endpoint_slots(router, name)
            counters = zones.get(entry.zone, ZoneCounters())
            if name in ejected:
                slots, warm_slots = 0.0, 0.0
            zones[entry.zone] = counters._replace(
                endpoints=counters.endpoints + 1.0,
                ejected=counters.ejected + (name in ejected),
                slots=counters.slots + slots,
                warm_slots=counters.warm_slots + warm_slots,
                in_flight=counters.in_flight + in_flight,
            )
        for zone, (attempts, lost) in self.attempts[dispatcher].items():
            counters = zones.get(zone, ZoneCounters())
            zones[zone] = counters._replace(attempts=attempts, lost_attempts=lost)
        return zones

    def _heartbeat(self) -> None:
        """Pass the reports of all dispatchers to the first agent's planner, and reschedule this heartbeat."""
        now, dispatcher_zones = self.simulation.time.now, self.simulation.dispatcher_zones
        for number in range(len(self.followers)):
            self.reports.setdefault(dispatcher_zones[number], ReportWindow()).add(now, self._report(number))
        view = build_fleet_view([window.placements(now) for window in self.reports.values()])
        self.planner.observe(view, now)
        plan = self.planner.decide(view, now, now)
        if plan is not None:
            self._after(self.simulation.scenario.agree_ms, functools.partial(self._agree, plan))
        for number in range(len(self.followers)):
            self._send_plan(number, self.planner.plan)
        self._after(HEARTBEAT_MS, functools.partial(self._heartbeat))

    def _agree(self, plan: Plan) -> None:
        """Adopt a plan that the agents have agreed on, unless another plan was adopted first."""
        if plan.number != self.planner.plan.number + 1:
            return
        now = self.simulation.time.now
        self.planner.learn(plan, now)
        self.agreed.append(AgreedPlan(now, plan))
        for number in range(len(self.followers)):
            wait_ms = PLAN_DELIVERY_MS * (1.0 + number % MAX_DELIVERY_FACTOR)
            self._after(wait_ms, functools.partial(self._send_plan, number, plan))
        self.delivered_ms[plan.number] = now + MAX_DELIVERY_FACTOR * PLAN_DELIVERY_MS

    def _send_plan(self, dispatcher: int, plan: Plan) -> None:
        """Pass a plan to a dispatcher's follower, and renew the plan's lease."""
        follower = self.followers[dispatcher]
        is_newer = plan.version > follower.lease.plan.version
        if follower.accept(PlanLease(plan, self.simulation.time.now + LEASE_MS)) and is_newer:
            self.simulation.lists.apply_plan(dispatcher)
