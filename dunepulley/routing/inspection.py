"""What people and agents are told of a router's state; nothing here changes it or decides anything."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

from .endpoints import Endpoint
from .events import EndpointEntry, EndpointState, RequestArrived
from .router import Router

# A class's mean running time is known once so many running times count towards it.
_KNOWN_RUNS = 10.0


class EndpointCounts(NamedTuple):
    """How many endpoints are listed, and how many of them get no usual turns."""

    listed: int
    avoided: int


class EndpointSlots(NamedTuple):
    """An endpoint's slots, those of them that its age lets it use, and those held from here."""

    slots: float = 0.0
    warm: float = 0.0
    own: float = 0.0


def count_endpoints(router: Router) -> EndpointCounts:
    """Count the listed endpoints, and those that drain, are ejected or on trial."""
    listed = [each for each in router.endpoints.all if each.state != EndpointState.REMOVED]
    avoided = [each for each in listed if each.state != EndpointState.READY or each.ejection_ms > 0.0]
    return EndpointCounts(len(listed), len(avoided))


def describe_endpoint(router: Router, endpoint_id: str) -> dict[str, Any]:
    """How one endpoint is seen, for people; empty where it is not known."""
    endpoint = router.endpoints.find(endpoint_id)
    if endpoint is None:
        return {}
    return {
        "out": endpoint.own_slots,
        "others": round(endpoint.other_slots, 2),
        "slots": endpoint.slots,
        "share": round(endpoint.share, 4),
        "on trial": endpoint.ejection_ms > 0.0,
    }


def ejected_endpoints(router: Router) -> set[str]:
    """The listed endpoints that are ejected, or on trial after that."""
    ejected = [each for each in router.endpoints.all if each.ejection_ms > 0.0]
    return {each.endpoint_id for each in ejected if each.state != EndpointState.REMOVED}


def expected_work(router: Router, request: RequestArrived) -> float:
    """The slot-ms that a request takes; 0 while nobody knows how long its class runs."""
    request_class = router.classes.by_name.get(request.request_class)
    mean_ms = 0.0
    if request_class is not None and request_class.run_count > _KNOWN_RUNS:
        mean_ms = request_class.mean_run_ms()
    return max(request.slots, request.memory) * (request.expected_ms or mean_ms)


def endpoint_slots(router: Router, endpoint_id: str) -> EndpointSlots:
    """The slots of an endpoint.

    A kind that was never seen with slots available is taken to have as many as the least of the others.
    """
    endpoint = router.endpoints.find(endpoint_id)
    if endpoint is None:
        return EndpointSlots()
    slots = _known_slots(router, endpoint, _least_slots(router))
    warm = slots * router.warm_up.capacity_fraction(endpoint, router.now)
    return EndpointSlots(slots, warm, endpoint.own_slots)


def zone_loads(router: Router, ready: Iterable[EndpointEntry]) -> dict[str, list[float]]:
    """By zone, of the ready endpoints: the count, the ejected, slots and warm slots of the rest, own slots.

    Two figures more, of attempts, are left at 0.
    """
    least = _least_slots(router)
    ejected, by_id = ejected_endpoints(router), router.endpoints.by_id
    capacity_fraction, now = router.warm_up.capacity_fraction, router.now
    zones: dict[str, list[float]] = {}
    for entry in ready:
        zone = zones.get(entry.zone)
        if zone is None:
            zone = zones[entry.zone] = [0.0] * 7
        zone[0] += 1
        endpoint = by_id.get(entry.endpoint_id)
        if endpoint is not None:
            zone[4] += endpoint.own_slots
        if entry.endpoint_id in ejected:
            zone[1] += 1
        elif endpoint is not None:
            slots = _known_slots(router, endpoint, least)
            zone[2] += slots
            zone[3] += slots * capacity_fraction(endpoint, now) if endpoint.started_ms > 0.0 else slots
    return zones


def required_kinds(router: Router) -> dict[str, str]:
    """The kind of endpoint that each class must go to; empty where any will do."""
    return {name: each.settings.required_kind or "" for name, each in router.classes.by_name.items()}


def _least_slots(router: Router) -> float:
    return min(router.endpoints.slots_by_kind.values(), default=0.0)


def _known_slots(router: Router, endpoint: Endpoint, least: float) -> float:
    return router.endpoints.slots_by_kind.get(endpoint.kind, least)
