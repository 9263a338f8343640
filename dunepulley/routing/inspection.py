"""Read-only views of a router's state, for the admin interface and for agents."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

from .endpoints import Endpoint
from .events import EndpointEntry, EndpointState, RequestArrived
from .router import Router

# The mean running time of a class is used once its run count exceeds this.
_MIN_RUN_COUNT = 10.0


class EndpointCounts(NamedTuple):
    """The number of listed endpoints, and how many of them are draining, ejected or on probation."""

    listed: int
    avoided: int


class EndpointSlots(NamedTuple):
    """An endpoint's slots, those usable at its stage of warm-up, and those held by this dispatcher."""

    slots: float = 0.0
    warm: float = 0.0
    own: float = 0.0


def count_endpoints(router: Router) -> EndpointCounts:
    """Count the listed endpoints, and those that are draining, ejected or on probation."""
    listed = [each for each in router.endpoints.all if each.state != EndpointState.REMOVED]
    avoided = [each for each in listed if each.state != EndpointState.READY or each.ejection_ms > 0.0]
    return EndpointCounts(len(listed), len(avoided))


def describe_endpoint(router: Router, endpoint_id: str) -> dict[str, Any]:
    """A description of one endpoint for operators; empty if it is unknown."""
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
    """The listed endpoints that are ejected or on probation after an ejection."""
    ejected = [each for each in router.endpoints.all if each.ejection_ms > 0.0]
    return {each.endpoint_id for each in ejected if each.state != EndpointState.REMOVED}


def expected_work(router: Router, request: RequestArrived) -> float:
    """The expected work of a request in slot-ms; 0 while the running time of its class is unknown."""
    request_class = router.classes.by_name.get(request.request_class)
    mean_ms = 0.0
    if request_class is not None and request_class.run_count > _MIN_RUN_COUNT:
        mean_ms = request_class.mean_run_ms()
    return max(request.slots, request.memory) * (request.expected_ms or mean_ms)


def endpoint_slots(router: Router, endpoint_id: str) -> EndpointSlots:
    """The slots of an endpoint.

    A kind that has not reported available slots yet counts as the smallest known kind.
    """
    endpoint = router.endpoints.find(endpoint_id)
    if endpoint is None:
        return EndpointSlots()
    slots = _slots_of_kind(router, endpoint, _min_slots(router))
    warm = slots * router.warm_up.capacity_fraction(endpoint, router.now)
    return EndpointSlots(slots, warm, endpoint.own_slots)


def zone_loads(router: Router, ready: Iterable[EndpointEntry]) -> dict[str, list[float]]:
    """For each zone: figures about its ready endpoints.

    They are the number of endpoints, the number of ejected ones, slots and warm slots of the others, and the
    slots held by this dispatcher. Two further figures, about attempts, are left at 0 for the caller.
    """
    min_slots = _min_slots(router)
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
            slots = _slots_of_kind(router, endpoint, min_slots)
            zone[2] += slots
            zone[3] += slots * capacity_fraction(endpoint, now) if endpoint.started_ms > 0.0 else slots
    return zones


def required_kinds(router: Router) -> dict[str, str]:
    """The kind of endpoint that each class requires; empty if it may go to any."""
    return {name: each.settings.required_kind or "" for name, each in router.classes.by_name.items()}


def _min_slots(router: Router) -> float:
    return min(router.endpoints.slots_by_kind.values(), default=0.0)


def _slots_of_kind(router: Router, endpoint: Endpoint, min_slots: float) -> float:
    return router.endpoints.slots_by_kind.get(endpoint.kind, min_slots)
