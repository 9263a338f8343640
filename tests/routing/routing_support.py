"""Helpers shared by the tests of the routing package."""

from __future__ import annotations

from collections.abc import Sequence

from support.router_rig import RouterRig, commands_of, endpoint_entry

from dunepulley.routing.commands import SendGossip, StartAttempt
from dunepulley.routing.endpoints import Endpoint
from dunepulley.routing.events import (
    AttemptEnded,
    AttemptResult,
    AttemptStarted,
    EndpointEntry,
    EndpointListUpdate,
    GossipReceived,
    ListUpdateKind,
    RequestArrived,
    TimerFired,
)
from dunepulley.routing.router import Router
from dunepulley.routing.weights import CONTROL_PERIOD_MS

# Settings of a fleet of nine dispatchers with gossip.
GOSSIP = {"policyLimits__peers": True, "balancers": 9.0}


def report(rate: float, available: float = 4.0, queue: float = 0.0) -> dict[str, float]:
    """A load report: requests per second, available slots, queue length."""
    return {"rate": rate, "x0": available, "queue": queue}


def endpoints_of(rig: RouterRig) -> list[Endpoint]:
    """All endpoints of the router's table, by index."""
    return rig.router.endpoints.all


def set_slots(rig: RouterRig, slots: float) -> None:
    """Set the slots of every endpoint in the router."""
    for endpoint in endpoints_of(rig):
        endpoint.slots = slots


def set_other_slots(rig: RouterRig, slots: float, indexes: slice = slice(None)) -> None:
    """Set the router's estimate of slots held by other dispatchers, at each of these endpoints."""
    for endpoint in endpoints_of(rig)[indexes]:
        endpoint.other_slots = slots


def other_slots(rig: RouterRig) -> list[float]:
    """The estimated slots held by other dispatchers, for each endpoint."""
    return [endpoint.other_slots for endpoint in endpoints_of(rig)]


def weights(rig: RouterRig) -> list[float]:
    """The share of each endpoint."""
    return [endpoint.share for endpoint in endpoints_of(rig)]


def release_slots(router: Router, endpoint: Endpoint) -> None:
    """Clear the slots that the router's own attempts hold at an endpoint."""
    endpoint.own_slots = 0.0
    router.in_flight.endpoints.discard(endpoint)


def feed_report(rig: RouterRig, endpoint_id: str, load_report: dict[str, float]) -> None:
    """Pass one load report to the router."""
    rig.router.load.record_report(endpoint_id, load_report, rig.router.now)


def weights_after(rig: RouterRig, reports: Sequence[dict[str, float]]) -> list[float]:
    """Pass one report of each endpoint and let a control period elapse; returns the new weights."""
    for number, load_report in enumerate(reports):
        feed_report(rig, f"w{number}", load_report)
    rig.feed(after=CONTROL_PERIOD_MS)
    return weights(rig)


def large_fleet(
    number: int = 0,
    dispatchers: int = 40,
    entries: Sequence[EndpointEntry] | None = None,
    now: float = 1000.0,
    **settings: object,
) -> RouterRig:
    """The dispatcher with this number in a large fleet; it has sixty endpoints unless `entries` are given."""
    settings |= {"balancers": float(dispatchers), "me": float(number), "familyInfo__tellsStart": True}
    rig = RouterRig(endpoints=0, seed=number, now=now, **settings)
    rig.feed(
        EndpointListUpdate(ListUpdateKind.FULL, tuple(entries or [endpoint_entry(k) for k in range(60)]))
    )
    return rig


def serve_request(
    rig: RouterRig, request_id: str, expected_ms: float, after: float = 40.0, slots: float = 1.0
) -> str | None:
    """Let one request arrive, start and complete; returns its endpoint, or None if it was not sent."""
    arrived = RequestArrived(request_id, "look", 5000.0, expected_ms=expected_ms, slots=slots)
    sent = commands_of(StartAttempt, rig.feed(arrived, after=after))
    if not sent:
        return None
    endpoint = sent[0].endpoint_id
    rig.feed(AttemptStarted(request_id, 0), after=1.0)
    rig.feed(AttemptEnded(request_id, 0, AttemptResult.COMPLETED, endpoint, 1.0, True))
    return endpoint


def gossip(
    rig: RouterRig,
    slots_by_index: dict[int, int],
    is_aggregate: bool = True,
    sender: int = 9,
    after: float = 100.0,
) -> list[object]:
    """Pass a gossip message with slots by endpoint index; returns the resulting commands."""
    entries = tuple([(endpoints_of(rig)[index].short_id, count) for index, count in slots_by_index.items()])
    return rig.feed(GossipReceived(sender, is_aggregate, entries), after=after)


def gossip_of(rig: RouterRig, request_id: str) -> list[SendGossip]:
    """The gossip messages that result from one request."""
    commands = rig.feed(RequestArrived(request_id, "look", 5000.0, expected_ms=50.0))
    return commands_of(SendGossip, commands + rig.feed(TimerFired(rig.router.timers.token), after=201.0))


def concentration(times: Sequence[float], span: float) -> float:
    """The largest fraction of the times that lies within any tenth of the span."""
    return max(sum(at <= other < at + span / 10 for other in times) for at in times) / len(times)
