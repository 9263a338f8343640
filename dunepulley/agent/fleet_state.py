"""What one agent knows of its fleet: the members, the plan in force, and what all hosts observe.

The other parts of the agent's share in the fleet (`fleet_*`) read this state and change it by its methods.
Times are ms of this host's steady clock, unless named Unix time.
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

# Members exchange heartbeats, dispatchers are told the plan, and the leader checks it this often.
HEARTBEAT_INTERVAL_S = 0.5
# A member or dispatcher that answers at all does so in some ms; one that does not is asked again.
CALL_TIMEOUT_S = 1.0


def steady_ms() -> float:
    """This host's steady clock, in ms; one for all processes of the host."""
    return time.monotonic() * 1000.0


def unix_ms() -> float:
    """Unix time in ms, for people: no lease, ballot or turn is decided by it."""
    return time.time() * 1000.0


class _HostReport(NamedTuple):
    received_ms: float
    placements: dict[str, PlacementReport]


class _Confirmation(NamedTuple):
    """The version that a member's acceptor had accepted when it was asked."""

    asked_ms: float
    accepted: PlanVersion


class FleetState:
    """One agent's knowledge of its fleet."""

    def __init__(self, config: FleetConfig) -> None:
        self.config = config
        self.name = config.name
        self.lease_ms = config.hold_s * 1000.0
        # Tells this process from those before it; after a step of the clock back, from when those are silent.
        self.incarnation = unix_ms()
        self.membership = Membership(config.name, tuple(config.members))
        self.planner = Planner(config.name, config.regions)
        self.planner.plan = Plan(config.epoch)
        self.reports = ReportWindow()
        self._hosts: dict[str, _HostReport] = {}
        self._confirmations: dict[str, _Confirmation] = {}
        # Set, and replaced by another, once a newer plan is in force.
        self._plan_changed = asyncio.Event()

    # ---------------------------------------------------------------- the plan

    @property
    def plan(self) -> Plan:
        """The newest plan that is known to be agreed."""
        return self.planner.plan

    def learn(self, plan: Plan) -> None:
        """Take in a plan that is known to be agreed, if it is a newer one of this epoch."""
        if plan.epoch != self.config.epoch or plan.version <= self.plan.version:
            return
        self.planner.learn(plan, steady_ms())
        log.write(LogEvent.PLAN, f"number {plan.number} by {plan.author}: {_describe(plan)}")
        self._plan_changed.set()
        self._plan_changed = asyncio.Event()

    async def wait_for_newer_plan(self, known: PlanVersion) -> None:
        """Wait until a plan other than the known one is in force, for one heartbeat interval at most."""
        if self.plan.version != known:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                await self._plan_changed.wait()

    # ---------------------------------------------------------------- what is observed

    def record_host(self, name: str, placements: dict[str, PlacementReport], now: float) -> None:
        """Keep what the dispatchers of another host observed."""
        self._hosts[name] = _HostReport(now, placements)

    def view(self, now: float) -> FleetView:
        """All zones as all hosts observed them lately."""
        others = [
            host.placements for host in self._hosts.values() if now - host.received_ms < fleet_view.STALE_MS
        ]
        return fleet_view.build_fleet_view([self.reports.placements(now), *others])

    # ---------------------------------------------------------------- what acceptors confirm

    def confirm(self, name: str, asked_ms: float, accepted: PlanVersion) -> None:
        """A member's acceptor had accepted this version when it was asked at that moment."""
        self._confirmations[name] = _Confirmation(asked_ms, accepted)

    def unconfirm(self, name: str) -> None:
        """A member does not answer, or its acceptor does not vote."""
        self._confirmations.pop(name, None)

    def is_confirmed_by(self, name: str) -> bool:
        """Whether the acceptor of another member voted when it was last asked."""
        return name in self._confirmations

    def accepted_versions(self) -> list[PlanVersion]:
        """What the acceptors of the other members had accepted when they were last asked."""
        return [confirmation.accepted for confirmation in self._confirmations.values()]

    def confirmed_ms(self, own_accepted: PlanVersion | None) -> float:
        """The last moment at which a majority of acceptors had accepted no newer plan than this one.

        `own_accepted` is what the acceptor of this agent has accepted, or None if it does not vote; without
        any such moment the result is minus infinity.
        """
        in_force = self.plan.version
        moments = [each.asked_ms for each in self._confirmations.values() if each.accepted <= in_force]
        if own_accepted is not None and own_accepted <= in_force:
            moments.append(steady_ms())
        moments.sort(reverse=True)
        majority = self.membership.majority
        return moments[majority - 1] if len(moments) >= majority else -INFINITY


def _describe(plan: Plan) -> str:
    """A plan in a line of the log."""
    parts = []
    for zone in plan.zones:
        if zone.state != ZoneState.LOCAL:
            spillover = "".join([f", {each.fraction:.2f} to {each.zone}" for each in zone.spillover])
            parts.append(f"{zone.name} {zone.state}{spillover}")
    return "; ".join(parts) or "all near"
