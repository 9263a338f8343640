"""Sends the plan in force to the dispatchers of this host, and receives their reports about zones."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterable
from typing import Any

import orjson

from dunepulley.agent import results
from dunepulley.agent.admin_call import NoAnswerError
from dunepulley.agent.dispatcher import Dispatcher
from dunepulley.agent.fleet_acceptor import FleetAcceptor
from dunepulley.agent.fleet_state import CALL_TIMEOUT_S, FleetState, steady_ms
from dunepulley.agent.results import ResultState
from dunepulley.control import codec
from dunepulley.control.traffic_plan import Plan

# The start of the error text for a dispatcher that is not configured to follow plans.
NO_PLAN_SUPPORT = "does not follow a plan"
MAX_SHOWN_ANSWER = 200


class PlanDistributor:
    """Sends the plan to each dispatcher of the host, and renews its lease."""

    def __init__(
        self, state: FleetState, acceptor: FleetAcceptor, dispatchers: dict[str, Dispatcher]
    ) -> None:
        self._state = state
        self._acceptor = acceptor
        self._dispatchers = dispatchers
        # Notified after each attempt to send the plan to a dispatcher.
        self._send_attempted = asyncio.Condition()

    def dispatchers(self) -> Iterable[Dispatcher]:
        """The dispatchers of this host."""
        return self._dispatchers.values()

    async def distribute_to(self, dispatcher: Dispatcher) -> None:
        """Send the plan to one dispatcher at each heartbeat and change; runs until cancelled.

        Each dispatcher has a task of its own, so that one that hangs does not delay the others.
        """
        while True:
            current_version = self._state.plan.version
            try:
                await self._send_plan(dispatcher)
            except (NoAnswerError, ValueError) as error:
                dispatcher.plan_error = str(error)
                dispatcher.report = None
                self._state.reports.discard(dispatcher.name)
            async with self._send_attempted:
                self._send_attempted.notify_all()
            await self._state.wait_for_newer_plan(current_version)

    async def _send_plan(self, dispatcher: Dispatcher) -> None:
        """Send the plan to a dispatcher once, and record its report."""
        message = orjson.dumps(self._lease_message()).decode()
        done, text = await dispatcher.call_admin("PLAN " + message, CALL_TIMEOUT_S)
        if not done:
            raise NoAnswerError(f"{NO_PLAN_SUPPORT}: {text[:MAX_SHOWN_ANSWER]}")
        report = codec.decode_report(orjson.loads(text))
        dispatcher.report, dispatcher.plan_error = report, ""
        self._state.reports.add(steady_ms(), report)

    def _lease_message(self) -> dict[str, Any]:
        """The plan and the end of its lease; empty if the last confirmation by a majority is too long ago."""
        confirmed_ms = self._state.confirmed_ms(self._acceptor.voting_version())
        remaining_ms = confirmed_ms + self._state.lease_ms - steady_ms()
        if remaining_ms <= 0.0:
            return {}
        # All processes of a host share the steady clock, so a delayed message does not extend the lease.
        return {"until": steady_ms() + remaining_ms, "plan": codec.encode_plan(self._state.plan)}

    async def wait_until_applied(self, plan: Plan, timeout_s: float) -> list[dict[str, Any]]:
        """Wait until this host's dispatchers follow a plan; returns the result at each of them as JSON."""
        timeout_s = min(timeout_s, 2.0 * CALL_TIMEOUT_S)
        waits = [self._wait_until_applied(each, plan, timeout_s) for each in self._dispatchers.values()]
        return await asyncio.gather(*waits)

    async def _wait_until_applied(
        self, dispatcher: Dispatcher, plan: Plan, timeout_s: float
    ) -> dict[str, Any]:
        def is_settled() -> bool:
            return _follows(dispatcher, plan) or dispatcher.plan_error.startswith(NO_PLAN_SUPPORT)

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s), self._send_attempted:
                await self._send_attempted.wait_for(is_settled)
        applied = _follows(dispatcher, plan)
        text = dispatcher.plan_error or ("" if applied else "has not applied it yet")
        state = ResultState.DONE if applied else ResultState.UNKNOWN
        return results.detail(dispatcher, state, text).to_json()


def _follows(dispatcher: Dispatcher, plan: Plan) -> bool:
    """Whether a dispatcher last reported this plan, or a newer one."""
    return dispatcher.report is not None and dispatcher.report.plan_version >= plan.version
