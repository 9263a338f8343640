"""The dispatchers' reports about zones, and the view of the whole fleet that each agent builds from them.

A dispatcher reports monotonic counters and gauges (`DispatcherReport`). Its agent keeps the most recent
reports (`ReportWindow`) and sends the other agents a summary of what its dispatchers in each zone observed
recently (`PlacementReport`). From the summaries of all hosts every agent builds a `FleetView`. All of these
are bounded by the number of zones, the number of dispatchers on a host, and time.

Times are ms of one host's steady clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from typing import NamedTuple, TypeAlias

from dunepulley.control.regions import MAX_ZONES
from dunepulley.control.traffic_plan import PlanVersion

# Counters are compared over this window: two heartbeats of agents, short enough that after the loss of a zone
# most of the window soon shows it.
WINDOW_MS = 1000.0
# The shortest span over which a rate is computed; over shorter ones random arrivals dominate.
MIN_RATE_SPAN_MS = 500.0
# Reports older than ten heartbeats are not used.
STALE_MS = 5000.0
# A zone is considered lost if more than this fraction of its attempts, or of its endpoints, fails.
LOST_FRACTION = 0.5
# With fewer attempts than this, a zone's failure rate is not meaningful.
MIN_ATTEMPTS = 3


class ZoneCounters(NamedTuple):
    """One zone as one dispatcher sees it: the endpoints that its list has as ready, and their load.

    `slots` and `warm_slots` are summed over the endpoints that are not ejected and whose number of slots is
    known; `warm_slots` are the slots that slow start lets them use. `attempts` and `lost_attempts` are
    monotonic counters of the attempts that ended, and of those that no endpoint answered.
    """

    endpoints: float = 0.0
    ejected: float = 0.0
    slots: float = 0.0
    warm_slots: float = 0.0
    in_flight: float = 0.0
    attempts: float = 0.0
    lost_attempts: float = 0.0


class DispatcherReport(NamedTuple):
    """One dispatcher's report.

    `process_id` changes when the dispatcher restarts; `mode` is a `plan_application.FollowerMode`, or a mode
    of a newer version. `work_slot_ms` (slots times ms of the accepted requests) and `rejected` (requests) are
    monotonic counters.
    """

    name: str
    home_zone: str
    process_id: int
    mode: str
    plan_version: PlanVersion
    escapes: int
    work_slot_ms: float
    rejected: float
    zones: Mapping[str, ZoneCounters]


class Observation(NamedTuple):
    """One zone, as a group of dispatchers observed it recently.

    `endpoints`, `slots` and `warm_slots` are the maximum over the dispatchers. `observers` is the number of
    dispatchers that sent requests to the zone or have ejected endpoints there; `ejected` is the sum, over
    these, of the fraction of the endpoints that each has ejected. The other fields are sums.
    """

    endpoints: float = 0.0
    slots: float = 0.0
    warm_slots: float = 0.0
    ejected: float = 0.0
    observers: float = 0.0
    in_flight: float = 0.0
    attempts: float = 0.0
    lost_attempts: float = 0.0

    def merged(self, other: Observation) -> Observation:
        """The observation of both groups of dispatchers together."""
        return Observation(
            max(self.endpoints, other.endpoints),
            max(self.slots, other.slots),
            max(self.warm_slots, other.warm_slots),
            self.ejected + other.ejected,
            self.observers + other.observers,
            self.in_flight + other.in_flight,
            self.attempts + other.attempts,
            self.lost_attempts + other.lost_attempts,
        )

    def loses_attempts(self) -> bool:
        """Whether most of the recent attempts got no answer from an endpoint."""
        return self.attempts >= MIN_ATTEMPTS and self.lost_attempts > LOST_FRACTION * self.attempts

    def healthy_fraction(self) -> float:
        """The fraction of attempts that reach an endpoint, or of endpoints not ejected if that is smaller."""
        if not self.endpoints:
            return 0.0
        lost = self.lost_attempts / self.attempts if self.attempts >= MIN_ATTEMPTS else 0.0
        return 1.0 - max(lost, self.ejected / self.observers if self.observers else 0.0)

    def looks_lost(self) -> bool:
        """Whether most attempts get no answer, or most endpoints are ejected."""
        most_ejected = self.observers > 0.0 and self.ejected > LOST_FRACTION * self.observers
        return self.loses_attempts() or most_ejected


class PlacementReport(NamedTuple):
    """The recent observations of the dispatchers of one host that are placed in one zone.

    `demand` is the number of slots that their requests occupy, `rejected_per_s` the rate of requests that
    they rejected; `zones` has their observation of each zone by its name.
    """

    dispatchers: float = 0.0
    demand: float = 0.0
    rejected_per_s: float = 0.0
    zones: Mapping[str, Observation] = {}

    def merged(self, other: PlacementReport) -> PlacementReport:
        """The report of two groups of dispatchers of one zone."""
        nothing = Observation()
        names = dict.fromkeys([*self.zones, *other.zones])
        return PlacementReport(
            self.dispatchers + other.dispatchers,
            self.demand + other.demand,
            self.rejected_per_s + other.rejected_per_s,
            {name: self.zones.get(name, nothing).merged(other.zones.get(name, nothing)) for name in names},
        )


class ZoneView(NamedTuple):
    """A zone in the fleet view: its demand, and its endpoints as seen from inside and from outside the zone.

    `demand` is in slots, `rejected_per_s` in requests per second.
    """

    name: str
    demand: float = 0.0
    rejected_per_s: float = 0.0
    dispatchers: float = 0.0
    inside: Observation = Observation()
    outside: Observation = Observation()

    @property
    def combined(self) -> Observation:
        """The observation of all dispatchers, inside and outside the zone."""
        return self.inside.merged(self.outside)

    @property
    def capacity(self) -> float | None:
        """The slots that its endpoints can use now; None if no dispatcher knows their number of slots."""
        combined = self.combined
        return combined.warm_slots if combined.slots > 0.0 or not combined.endpoints else None

    def authoritative(self) -> Observation:
        """The observation that decides whether the zone works: that of its own dispatchers, if there are any.

        A dispatcher outside may merely be cut off from the zone.
        """
        return self.inside if self.inside.observers > 0.0 else self.outside


FleetView: TypeAlias = dict[str, ZoneView]


class _TimedReport(NamedTuple):
    received_ms: float
    report: DispatcherReport


class ReportWindow:
    """The recent reports of one host's dispatchers."""

    def __init__(self) -> None:
        self._reports: dict[str, deque[_TimedReport]] = {}

    def add(self, now: float, report: DispatcherReport) -> None:
        """Add a report. The earlier reports of a dispatcher that has restarted are dropped."""
        reports = self._reports.setdefault(report.name, deque())
        if reports and reports[-1].report.process_id != report.process_id:
            reports.clear()
        reports.append(_TimedReport(now, report))
        # One report from before the window is kept, as the base that the counters are compared with.
        while len(reports) > 2 and reports[1].received_ms <= now - WINDOW_MS:
            reports.popleft()

    def discard(self, dispatcher: str) -> None:
        """Drop the reports of a dispatcher that does not answer, as they are out of date."""
        self._reports.pop(dispatcher, None)

    def placements(self, now: float) -> dict[str, PlacementReport]:
        """The dispatchers' recent observations, by the zone in which the dispatchers are placed."""
        placements: dict[str, PlacementReport] = {}
        for reports in self._reports.values():
            last = reports[-1]
            if now - last.received_ms > STALE_MS:
                continue
            home_zone = last.report.home_zone
            before = placements.get(home_zone, PlacementReport())
            placements[home_zone] = before.merged(_placement_report(reports[0], last))
        return placements


def _placement_report(first: _TimedReport, last: _TimedReport) -> PlacementReport:
    """The observations of one dispatcher between two reports; only gauges if both are the same report."""
    zones = {
        name: _observation(counters, first.report.zones.get(name, ZoneCounters()), first is not last)
        for name, counters in last.report.zones.items()
    }
    if first is last:
        return PlacementReport(1.0, 0.0, 0.0, zones)
    span_ms = max(MIN_RATE_SPAN_MS, last.received_ms - first.received_ms)
    demand = (last.report.work_slot_ms - first.report.work_slot_ms) / span_ms
    rejected_per_s = (last.report.rejected - first.report.rejected) * 1000.0 / span_ms
    return PlacementReport(1.0, demand, rejected_per_s, zones)


def _observation(counters: ZoneCounters, before: ZoneCounters, has_span: bool) -> Observation:
    attempts = counters.attempts - before.attempts if has_span else 0.0
    lost_attempts = counters.lost_attempts - before.lost_attempts if has_span else 0.0
    is_observer = attempts > 0.0 or counters.ejected > 0.0
    return Observation(
        counters.endpoints,
        counters.slots,
        counters.warm_slots,
        counters.ejected / max(1.0, counters.endpoints) if is_observer else 0.0,
        float(is_observer),
        counters.in_flight,
        attempts,
        lost_attempts,
    )


def build_fleet_view(hosts: Iterable[Mapping[str, PlacementReport]]) -> FleetView:
    """One view of all zones from the placement reports of all hosts."""
    view: FleetView = {}
    for placements in hosts:
        for home_zone, placement in placements.items():
            zone = view.get(home_zone, ZoneView(home_zone))
            view[home_zone] = zone._replace(
                demand=zone.demand + placement.demand,
                rejected_per_s=zone.rejected_per_s + placement.rejected_per_s,
                dispatchers=zone.dispatchers + placement.dispatchers,
            )
            for name, observation in placement.zones.items():
                zone = view.get(name, ZoneView(name))
                if name == home_zone:
                    view[name] = zone._replace(inside=zone.inside.merged(observation))
                else:
                    view[name] = zone._replace(outside=zone.outside.merged(observation))
    return dict(sorted(view.items())[:MAX_ZONES])
