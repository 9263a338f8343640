"""Statistics of the zones at one dispatcher, for the agents that decide the fleet's traffic plan."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from dunepulley.net.endpoint_view import EndpointView
from dunepulley.net.messages import UpstreamAttempt
from dunepulley.routing import inspection
from dunepulley.routing.events import CONNECTION_FAILURES, AttemptResult

if TYPE_CHECKING:
    from dunepulley.routing.router import Router

# A reachable endpoint responds within this time from any zone, so a longer silence counts as no response.
UNANSWERED_MS = 200.0
# Attempts are counted for at most this many zones.
MAX_ZONES = 64
# The columns of a zone in a report. From `inspection.zone_loads`: its ready endpoints, how many of these are
# ejected, slots and warm slots of the others, and own attempts in flight; then the two counts of this module.
ZONE_COLUMNS = 7
ATTEMPT_COLUMNS = slice(5, 7)


@dataclass(slots=True)
class ZoneAttempts:
    """Attempts at one zone's endpoints since the start: all that were sent, and those without a response."""

    sent: int = 0
    unanswered: int = 0


@dataclass(frozen=True, slots=True)
class ZoneReport:
    """The report that agents request.

    `mode` is the reason for the current selection of endpoints, `plan_version` identifies the current plan,
    and `escapes` counts how often the dispatcher left the plan. `expected_work_ms` (slot-ms) and
    `unserved_requests` are totals since the start. `zones` holds `ZONE_COLUMNS` values for each zone.
    """

    mode: str
    plan_version: tuple[float, int]
    escapes: int
    expected_work_ms: float
    unserved_requests: int
    zones: dict[str, list[float]]

    def to_wire(self) -> dict[str, Any]:
        """Return the JSON object that the admin interface prints."""
        return {
            "how": self.mode,
            "plan": self.plan_version,
            "escapes": self.escapes,
            "work": self.expected_work_ms,
            "refused": self.unserved_requests,
            "zones": self.zones,
        }


class ZoneStatistics:
    """Counts attempts by zone, and the load of received and unserved requests."""

    def __init__(self) -> None:
        self.attempts_by_zone: dict[str, ZoneAttempts] = {}
        # The number of requests that were answered by `Reject` or `Fail`.
        self.unserved_requests = 0
        # The expected work of all received requests, in slot-ms.
        self.expected_work_ms = 0.0

    def count_attempt(self, zone: str, attempt: UpstreamAttempt, now: float) -> None:
        """Count an attempt that has ended at an endpoint of this zone."""
        result = attempt.result
        if result == AttemptResult.NOT_SENT:
            return
        counts = self.attempts_by_zone.get(zone)
        if counts is None:
            if len(self.attempts_by_zone) >= MAX_ZONES:
                return
            counts = self.attempts_by_zone[zone] = ZoneAttempts()
        counts.sent += 1
        # A cancelled attempt, or one on a silent reused connection, may not have reached the endpoint either.
        has_response = attempt.response_started or attempt.callback_received
        is_silent = not has_response and now - attempt.started_ms >= UNANSWERED_MS
        counts.unanswered += result in CONNECTION_FAILURES or (
            is_silent and result != AttemptResult.COMPLETED
        )

    def report(self, endpoints: EndpointView, router: Router, now: float) -> ZoneReport:
        """Return the statistics of the zones at this time."""
        follower = endpoints.follower
        zones = inspection.zone_loads(router, endpoints.ready_entries(now))
        for zone, counts in self.attempts_by_zone.items():
            columns = zones.setdefault(zone, [0.0] * ZONE_COLUMNS)
            columns[ATTEMPT_COLUMNS] = counts.sent, counts.unanswered
        return ZoneReport(
            follower.mode if follower is not None else "alone",
            follower.lease.plan.version if follower is not None else (0, 0),
            follower.escapes if follower is not None else 0,
            self.expected_work_ms,
            self.unserved_requests,
            zones,
        )
