"""The operators' commands on a fleet: show the zones, and override the plan of one zone."""

from __future__ import annotations

from typing import Any, NamedTuple

from dunepulley.agent.command_request import CommandRequest
from dunepulley.agent.dispatcher import Dispatcher
from dunepulley.agent.fleet_acceptor import FleetAcceptor
from dunepulley.agent.fleet_dispatchers import PlanDistributor
from dunepulley.agent.fleet_planning import PlanningLoop
from dunepulley.agent.fleet_proposer import NoMajorityError
from dunepulley.agent.fleet_state import FleetState, steady_ms, unix_ms
from dunepulley.control import codec
from dunepulley.control.caspaxos import ChangeRefusedError
from dunepulley.control.fleet_view import ZoneView
from dunepulley.control.traffic_plan import OperatorOverride, OverrideAction, Plan, ZonePlan
from dunepulley.errors import ProtocolError
from dunepulley.json_values import is_number
from dunepulley.net import log
from dunepulley.net.log_events import LogEvent

OVERRIDE_TIMEOUT_S = 5.0
MAX_OVERRIDE_TIMEOUT_S = 60.0
MAX_OVERRIDE_DURATION_S = 1e9
MAX_SHOWN_ACTION = 40


class OverrideRequest(NamedTuple):
    """An operator's override, its timeout, and whether to force it or only to check it."""

    override: OperatorOverride
    timeout_s: float
    force: bool
    check_only: bool


def decode_override_request(message: dict[str, Any]) -> OverrideRequest:
    """Decode an override that `ctl` sent; raises `ProtocolError` or `RequestError` if it is invalid."""
    action_name = message.get("says")
    if action_name not in list(OverrideAction):
        raise ProtocolError(
            f"says: expected one of {', '.join(OverrideAction)}, got {str(action_name)[:MAX_SHOWN_ACTION]!r}"
        )
    action = OverrideAction(action_name)
    duration_s = message.get("for_s")
    if duration_s is not None and (
        not is_number(duration_s) or not 0.0 < duration_s <= MAX_OVERRIDE_DURATION_S
    ):
        raise ProtocolError(f"for_s: expected a time above 0 and up to {MAX_OVERRIDE_DURATION_S:g} s")
    encoded = {
        "zone": message.get("zone"),
        # A return is not stored in a plan, but its other fields are checked like those of an override.
        "what": OverrideAction.EVACUATE if action == OverrideAction.RETURN else action,
        "by": message.get("by"),
        "why": message.get("why", ""),
        "left": None if duration_s is None else duration_s * 1000.0,
    }
    override = codec.decode_override(encoded)._replace(action=action)
    request = CommandRequest(message)
    timeout_s = request.seconds("limit_s", OVERRIDE_TIMEOUT_S, MAX_OVERRIDE_TIMEOUT_S)
    return OverrideRequest(override, timeout_s, request.flag("force"), request.flag("check"))


class FleetCommands:
    """Handles the operators' fleet commands at one agent."""

    def __init__(
        self,
        state: FleetState,
        acceptor: FleetAcceptor,
        planning: PlanningLoop,
        distributor: PlanDistributor,
    ) -> None:
        self._state = state
        self._acceptor = acceptor
        self._planning = planning
        self._distributor = distributor

    # ---------------------------------------------------------------- showing zones

    async def handle_zones(self, message: dict[str, Any]) -> dict[str, Any]:
        """Reply with the state of the fleet as this agent sees it."""
        state, now = self._state, steady_ms()
        plan = state.plan._replace(overrides=state.planner.overrides(now))
        confirmed_ms = now - state.confirmed_ms(self._acceptor.voting_version())
        return {
            "ok": True,
            "plan": {
                "epoch": plan.epoch,
                "number": plan.number,
                "by": plan.author,
                "at": plan.created_ms,
            },
            "confirmed": None if confirmed_ms > state.lease_ms else round(confirmed_ms, 1),
            "zones": self._zone_rows(plan, now),
            "agents": self._agent_rows(now),
            "follows": [_dispatcher_row(dispatcher) for dispatcher in self._distributor.dispatchers()],
        }

    def _zone_rows(self, plan: Plan, now: float) -> list[dict[str, Any]]:
        view = self._state.view(now)
        without_overrides = self._state.planner.without_overrides(view, now)
        planned = [zone.name for zone in plan.zones]
        overridden = [override.zone for override in plan.overrides]
        return [
            _zone_row(
                plan.zone(name),
                without_overrides.zone(name),
                plan.override(name),
                view.get(name, ZoneView(name)),
            )
            for name in sorted({*view, *planned, *overridden})
        ]

    def _agent_rows(self, now: float) -> list[dict[str, Any]]:
        statuses = self._state.membership.statuses(now)
        return [self._agent_row(name, status.value) for name, status in statuses.items()]

    def _agent_row(self, name: str, status: str) -> dict[str, Any]:
        if name == self._state.name:
            votes, detail = not self._acceptor.not_voting_reason, self._acceptor.not_voting_reason
        else:
            votes = self._state.is_confirmed_by(name)
            detail = self._state.membership.last_errors.get(name, "")
        return {"name": name, "stands": status, "votes": votes, "detail": detail}

    # ---------------------------------------------------------------- overriding the plan

    async def handle_zone(self, message: dict[str, Any]) -> dict[str, Any]:
        """Set or end an override of a zone; raises as `decode_override_request` does."""
        request = decode_override_request(message)
        override = request.override

        def change(current: Plan) -> Plan:
            # If the register has a newer plan than this agent, the override is applied to the newer one.
            now = steady_ms()
            planner = self._state.planner.copy_with_plan(current, now)
            view = self._state.view(now)
            return planner.plan_with_override(view, now, unix_ms(), override, request.force)

        try:
            if request.check_only:
                change(self._state.plan)
                return {"ok": True}
            plan = await self._planning.agree(change, request.timeout_s)
        except (ChangeRefusedError, NoMajorityError) as error:
            return {"ok": False, "refused": str(error)}
        summary = f"override by {override.operator}: {override.action} {override.zone}"
        log.write(LogEvent.PLAN, f"{summary}: {override.reason}")
        dispatchers = await self._distributor.wait_until_applied(plan, request.timeout_s)
        state = plan.zone(override.zone).state.value
        return {"number": plan.number, "state": state, "dispatchers": dispatchers}


def _zone_row(
    planned: ZonePlan, without_override: ZonePlan, override: OperatorOverride | None, view: ZoneView
) -> dict[str, Any]:
    combined, capacity = view.combined, view.capacity
    return codec.encode_zone(planned) | {
        "by itself": without_override.state.value,
        "word": None if override is None else codec.encode_override(override),
        "demand": round(view.demand, 2),
        "capacity": None if capacity is None else round(capacity, 2),
        "workers": combined.endpoints,
        "lost": combined.lost_attempts,
        "sent": combined.attempts,
        "refused": round(view.rejected_per_s, 2),
    }


def _dispatcher_row(dispatcher: Dispatcher) -> dict[str, Any]:
    detail, report = dispatcher.plan_error, dispatcher.report
    if report is None:
        return {"name": dispatcher.name, "how": "unknown", "number": None, "detail": detail}
    return {
        "name": dispatcher.name,
        "how": report.mode,
        "number": report.plan_version[1],
        "detail": detail,
        "escapes": report.escapes,
    }
