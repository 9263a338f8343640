"""Heartbeats among the agents of a fleet, which carry membership, observations of zones, and the agreed plan.

Each agent calls every other one; request and reply have the same form. A plan is included if the other side
is known to have an older one.
"""

from __future__ import annotations

from typing import Any

from dunepulley.agent import wire
from dunepulley.agent.fleet_acceptor import FleetAcceptor
from dunepulley.agent.fleet_state import CALL_TIMEOUT_S, FleetState, steady_ms
from dunepulley.control import codec
from dunepulley.control.traffic_plan import PlanVersion
from dunepulley.json_values import is_number
from dunepulley.net import log
from dunepulley.net.log_events import LogEvent

# How many characters of another agent's texts are quoted in an error.
MAX_SHOWN_NAME = 64
MAX_SHOWN_EPOCH = 20
MAX_SHOWN_REFUSAL = 200


class HeartbeatExchange:
    """Sends and receives heartbeats."""

    def __init__(self, state: FleetState, acceptor: FleetAcceptor) -> None:
        self._state = state
        self._acceptor = acceptor

    def encode(self) -> dict[str, Any]:
        """The message that this agent sends at each heartbeat."""
        state, now = self._state, steady_ms()
        return {
            "from": state.name,
            "epoch": state.config.epoch,
            "start": state.incarnation,
            "sees": state.membership.ages(now),
            "homes": codec.encode_placements(state.reports.placements(now)),
            "known": list(state.plan.version),
            "accepted": list(self._acceptor.accepted_version()),
            "votes": not self._acceptor.not_voting_reason,
        }

    async def handle_heartbeat(self, message: dict[str, Any]) -> dict[str, Any]:
        """Reply to the heartbeat of another member; raises `WireError` or `ProtocolError`."""
        # Only replies confirm the plan: a request may have been delayed for any length of time.
        self._record(message, None)
        reply = self.encode()
        if codec.decode_plan_version(message.get("known")) < self._state.plan.version:
            reply["plan"] = codec.encode_plan(self._state.plan)
        return {"ok": True} | reply

    def _record(self, message: dict[str, Any], sent_ms: float | None) -> str:
        """Record a heartbeat, and return the sender's name.

        `sent_ms` is when the request was sent that this heartbeat answers, or None if it is a request.
        """
        state = self._state
        name = self._record_sender(message)
        try:
            state.record_host(name, codec.decode_placements(message.get("homes")), steady_ms())
            accepted = codec.decode_plan_version(message.get("accepted"))
            if message.get("plan") is not None:
                state.learn(codec.decode_plan(message["plan"]))
        except ValueError as error:
            raise wire.WireError(f"{name} sent an invalid heartbeat: {error}") from error
        if message.get("votes") is not True:
            state.remove_confirmation(name)
        elif sent_ms is not None:
            state.record_confirmation(name, sent_ms, accepted)
        return name

    def _record_sender(self, message: dict[str, Any]) -> str:
        """Check that a heartbeat is from the current incarnation of another member; returns its name."""
        name, epoch = str(message.get("from")), message.get("epoch")
        if epoch != self._state.config.epoch:
            sender = f"{name[:MAX_SHOWN_NAME]} is of epoch {str(epoch)[:MAX_SHOWN_EPOCH]}"
            raise wire.WireError(f"{sender}, expected {self._state.config.epoch}")
        incarnation: Any = message.get("start")
        ages = codec.decode_heartbeat_ages(message.get("sees"))
        if not is_number(incarnation) or not self._state.membership.record_heartbeat(
            name, steady_ms(), float(incarnation), ages
        ):
            raise wire.WireError(
                f"{name[:MAX_SHOWN_NAME]} is not another member of this fleet, or an earlier process of one"
            )
        return name

    async def exchange_with(self, name: str) -> None:
        """Exchange heartbeats with one other member until cancelled."""
        state, membership = self._state, self._state.membership
        # The plan version in the member's last reply; None while it does not answer.
        member_version: PlanVersion | None = None
        logged_problem = ""
        while True:
            current_version, problem = state.plan.version, ""
            try:
                member_version = await self._call(name, member_version)
            except wire.VersionError as error:
                membership.older_version.add(name)
                problem = str(error)
            except (wire.WireError, ValueError) as error:
                problem = str(error)
            if problem:
                member_version = None
                state.remove_confirmation(name)
            if problem != logged_problem:
                logged_problem = membership.last_errors[name] = problem
                log.write(LogEvent.MEMBERSHIP, f"{name}: {problem or 'answers'}")
            if member_version is None or member_version >= current_version:
                await state.wait_for_newer_plan(current_version)

    async def _call(self, name: str, member_version: PlanVersion | None) -> PlanVersion:
        """Send one heartbeat and record the reply; returns the version of the plan that the member has."""
        state = self._state
        sent_ms = steady_ms()
        message = self.encode()
        if member_version is not None and member_version < state.plan.version:
            message["plan"] = codec.encode_plan(state.plan)
        address = state.config.members[name]
        reply = await wire.ask(address, {"do": "meet"} | message, CALL_TIMEOUT_S)
        if "refused" in reply:
            raise wire.WireError(f"{name} refused the heartbeat: {str(reply['refused'])[:MAX_SHOWN_REFUSAL]}")
        if self._record(reply, sent_ms) != name:
            raise wire.WireError(f"the agent at {address} is not {name}")
        return codec.decode_plan_version(reply.get("known"))
