"""The traffic plan as an agent sends it to a dispatcher, and a parent to its child in a hot restart.

Imported only if a plan is followed: most dispatchers follow none, and imports slow down every start.
"""

from __future__ import annotations

from typing import Any

from dunepulley.clocks import Clock
from dunepulley.control import codec, plan_application
from dunepulley.json_values import is_number

# Limit on how long a plan stays in force without confirmation, as a protection against wrong clocks. Agents
# confirm a plan every half second, with an expiry some seconds later.
MAX_PLAN_MS = 3_600_000.0


def parse_plan(message: Any, clock: Clock) -> plan_application.PlanLease | None:
    """Return a plan with its expiry time by this clock; None if the message contains no plan.

    On the wire, the expiry is a time of the monotonic clock, which all processes of a host share. Raises
    ValueError if the message is malformed.
    """
    if not isinstance(message, dict):
        raise ValueError(f"expected a JSON object, got {type(message).__name__}")
    if message.get("plan") is None:
        return None
    until = message.get("until")
    if not is_number(until):
        raise ValueError(f"until: expected a time in ms, got {until!r:.60}")
    now = clock()
    plan = codec.decode_plan(message["plan"])
    return plan_application.PlanLease(plan, min(until + clock.base, now + MAX_PLAN_MS))


def format_plan(lease: plan_application.PlanLease, clock: Clock) -> dict[str, Any]:
    """Return a plan and its expiry time as `parse_plan` reads them."""
    return {"plan": codec.encode_plan(lease.plan), "until": lease.expires_ms - clock.base}
