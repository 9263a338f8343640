"""One agent's state of its fleet: the members, the plan in force, and the observations of all hosts.

The other `fleet_*` modules read this state, and change it by its methods. Times are ms of this host's steady
clock, unless named Unix time.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import NamedTuple

from dunepulley.agent.config import FleetConfig
from dunepulley.control import fleet_view
from dunepulley.control.fleet_view import FleetView, PlacementReport, ReportWindow
from dunepulley.control.membership import Membership
from dunepulley.control.planner import Planner
from dunepulley.control.traffic_plan import INFINITY, Plan, PlanVersion, ZoneState
from dunepulley.net import log
from dunepulley.net.log_events import LogEvent

# How often members exchange heartbeats, dispatchers are sent the plan, and the leader checks it.
HEARTBEAT_INTERVAL_S = 0.5
# Members and dispatchers normally answer within some ms; a call that times out is repeated.
CALL_TIMEOUT_S = 1.0


def steady_ms() -> float:
    """The time of this host's steady clock in ms, which is the same in all processes of the host."""
    return time.monotonic() * 1000.0


def unix_ms() -> float:
    """Unix time in ms, for people to read; no lease or ballot depends on it."""
    return time.time() * 1000.0


class _HostReport(NamedTuple):
    received_ms: float
    placements: dict[str, PlacementReport]


class _Confirmation(NamedTuple):
    """The version that a member's acceptor had accepted, and when the request for it was sent."""

    sent_ms: float
    accepted: PlanVersion


class FleetState:
    """One agent's state of its fleet."""

    def __init__(self, config: FleetConfig) -> None:
        self.config = config
        self.name = config.name
        self.lease_ms = config.lease_s * 1000.0
        # Distinguishes this process from earlier ones. If the clock was set back between the two starts,
        # other members accept this process once the earlier one has been silent for the heartbeat timeout.
        self.incarnation = unix_ms()
        self.membership = Membership(config.name, tuple(config.members))
        self.planner = Planner(config.name, config.regions)
        self.planner.plan = Plan(config.epoch)
        self.reports = ReportWindow()
        self._hosts: dict[str, _HostReport] = {}
        self._confirmations: dict[str, _Confirmation] = {}
        # Set and replaced by a new event when a newer plan is put in force.
        self._plan_changed = asyncio.Event()

    # ---------------------------------------------------------------- the plan

    @property
    def plan(self) -> Plan:
        """The newest agreed plan that this agent has received."""
        return self.planner.plan

    def learn(self, plan: Plan) -> None:
        """Put an agreed plan in force, if it is of this epoch and newer than the current one."""
        if plan.epoch != self.config.epoch or plan.version <= self.plan.version:
            return
        self.planner.learn(plan, steady_ms())
        log.write(LogEvent.PLAN, f"number {plan.number} by {plan.author}: {_describe(plan)}")
        self._plan_changed.set()
        self._plan_changed = asyncio.Event()

    async def wait_for_newer_plan(self, current_version: PlanVersion) -> None:
        """Wait until the plan in force differs from `current_version`, for at most one heartbeat interval."""
        if self.plan.version != current_version:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                await self._plan_changed.wait()

    # ---------------------------------------------------------------- observations

    def record_host(self, name: str, placements: dict[str, PlacementReport], now: float) -> None:
        """Store the observations of another host's dispatchers."""
        self._hosts[name] = _HostReport(now, placements)

    def view(self, now: float) -> FleetView:
        """All zones, as all hosts observed them recently."""
        others = [
            host.placements for host in self._hosts.values() if now - host.received_ms < fleet_view.STALE_MS
        ]
        return fleet_view.build_fleet_view([self.reports.placements(now), *others])

    # ---------------------------------------------------------------- confirmations by acceptors

    def record_confirmation(self, name: str, sent_ms: float, accepted: PlanVersion) -> None:
        """Record the version that a member's acceptor had accepted when the request was sent at `sent_ms`."""
        self._confirmations[name] = _Confirmation(sent_ms, accepted)

    def remove_confirmation(self, name: str) -> None:
        """Drop the confirmation of a member that does not answer, or whose acceptor does not vote."""
        self._confirmations.pop(name, None)

    def is_confirmed_by(self, name: str) -> bool:
        """Whether another member answered the last heartbeat, and its acceptor votes."""
        return name in self._confirmations

    def accepted_versions(self) -> list[PlanVersion]:
        """The versions that the acceptors of the other members had accepted as of their last replies."""
        return [confirmation.accepted for confirmation in self._confirmations.values()]

    def confirmed_ms(self, own_accepted: PlanVersion | None) -> float:
        """The last time at which a majority of acceptors had accepted no plan newer than the one in force.

        `own_accepted` is the version that the acceptor of this agent has accepted, or None if it does not
        vote. Minus infinity if there is no such time.
        """
        in_force = self.plan.version
        confirmed_times = [each.sent_ms for each in self._confirmations.values() if each.accepted <= in_force]
        if own_accepted is not None and own_accepted <= in_force:
            confirmed_times.append(steady_ms())
        confirmed_times.sort(reverse=True)
        majority = self.membership.majority
        return confirmed_times[majority - 1] if len(confirmed_times) >= majority else -INFINITY


def _describe(plan: Plan) -> str:
    """A plan as one line for the log."""
    parts = []
    for zone in plan.zones:
        if zone.state != ZoneState.LOCAL:
            spillover = "".join([f", {each.fraction:.2f} to {each.zone}" for each in zone.spillover])
            parts.append(f"{zone.name} {zone.state}{spillover}")
    return "; ".join(parts) or "all near"
