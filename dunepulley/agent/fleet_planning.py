"""The planning loop: observes the fleet, and proposes new plans while this agent leads."""

from __future__ import annotations

import asyncio

from dunepulley.agent.fleet_acceptor import FleetAcceptor
from dunepulley.agent.fleet_proposer import NoMajorityError, PlanChange, PlanProposer
from dunepulley.agent.fleet_state import (
    CALL_TIMEOUT_S,
    HEARTBEAT_INTERVAL_S,
    FleetState,
    steady_ms,
    unix_ms,
)
from dunepulley.control.caspaxos import ChangeRefusedError
from dunepulley.control.fleet_view import WINDOW_MS, FleetView
from dunepulley.control.traffic_plan import Plan
from dunepulley.net import log
from dunepulley.net.log_events import LogEvent

# The timeout of one decision: two round trips.
AGREE_TIMEOUT_S = 2.0 * CALL_TIMEOUT_S


class PlanningLoop:
    """Decides on new plans. Operators' changes take the same lock, so that an agent makes one at a time."""

    def __init__(self, state: FleetState, acceptor: FleetAcceptor, proposer: PlanProposer) -> None:
        self._state = state
        self._acceptor = acceptor
        self._proposer = proposer
        self._lock = asyncio.Lock()

    async def run(self) -> None:
        """Check the plan at each heartbeat; runs until cancelled."""
        started_ms = steady_ms()
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            now = steady_ms()
            view = self._state.view(now)
            self._state.planner.observe(view, now)
            # An agent that has just started has not observed the fleet for long enough.
            if now - started_ms < WINDOW_MS or not self._state.membership.may_lead(now):
                continue
            try:
                await self._decide(view, now)
            except (ChangeRefusedError, NoMajorityError) as error:
                log.write(LogEvent.PLAN, f"not decided: {error}")
            except Exception as error:
                log.write(LogEvent.FAULT, f"error in the planning loop: {error!r}")

    async def agree(self, change: PlanChange, timeout_s: float) -> Plan:
        """Agree on a change, after any decision in progress; raises as `PlanProposer.agree` does."""
        async with self._lock:
            return await self._proposer.agree(change, timeout_s)

    async def _decide(self, view: FleetView, now: float) -> None:
        async with self._lock:
            newest = max([self._acceptor.accepted_version(), *self._state.accepted_versions()])
            if newest > self._state.plan.version:
                # A proposer did not finish its round: complete it before another plan is made.
                await self._read_register()
                return
            plan = self._state.planner.decide(view, now, unix_ms())
            if plan is None:
                return
            try:
                await self._propose(plan)
            except ChangeRefusedError:
                # Learn the plan in the register; the next check starts from it.
                await self._read_register()

    async def _propose(self, plan: Plan) -> None:
        """Agree on a plan, unless the register has changed since the plan that it is based on."""
        base_version = self._state.plan.version

        def change(current: Plan) -> Plan:
            if current.version != base_version:
                raise ChangeRefusedError(f"plan {current.number} was agreed on meanwhile")
            return plan

        await self._proposer.agree(change, AGREE_TIMEOUT_S)

    async def _read_register(self) -> None:
        """Read the register by a round that does not change it, and learn its plan."""
        await self._proposer.agree(lambda current: current, AGREE_TIMEOUT_S)
