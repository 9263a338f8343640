"""Warm state: what one process of a dispatcher has learned, exported, and imported by the next one.

The exported map is handed over in a hot restart between versions, so that its keys stay. A value that it does
not hold, or holds in another form, stays as a fresh start has it.
"""

from __future__ import annotations

from typing import Any

from .endpoints import Endpoint
from .request import RequestClass
from .router import Router

# By its key in the map, the attribute of an endpoint: what was reported and when, how it runs, and whether it
# is ejected. Not turns, connections and what goes with attempts that are out, which are each process's own.
ENDPOINT_FIELDS = {
    "since": "started_ms",
    "share": "share",
    "rate": "rate",
    "heard": "reported_ms",
    "queue": "queue_length",
    "busy": "used_slots_mean",
    "others": "other_slots",
    "asked_at": "checked_ms",
    "untold": "unreported_slots",
    "run_seen": "observed_run_ms",
    "run_due": "expected_run_ms",
    "wait_seen": "start_delay_ms",
    "trouble": "error_score",
    "out_until": "ejected_until_ms",
    "out_step": "ejection_ms",
}
CLASS_FIELDS = {
    "run_sum": "run_sum",
    "run_count": "run_count",
    "fresh": "first_timeout_ms",
    "steady": "fixed_timeout_fraction",
}
# By its key, the part of the router and its attribute.
ROUTER_FIELDS = {
    "mean_work": ("classes", "mean_slot_ms"),
    "credit": ("retry_budget", "balance"),
    "further_success": ("retry_budget", "success_rate"),
    "want_used": ("subset", "target_size"),
}
# Beyond this a number is no figure that was learned.
_MOST = 1e300


def export_state(router: Router) -> dict[str, Any]:
    """All that is worth passing on."""
    endpoints = router.endpoints
    names = [each.endpoint_id for each in endpoints.all]

    def column(attribute: str) -> dict[str, float]:
        return dict(zip(names, [getattr(each, attribute) for each in endpoints.all], strict=True))

    return {
        "workers": {key: column(attribute) for key, attribute in ENDPOINT_FIELDS.items()},
        # What this process has out is there for the next one, too, but not as its own.
        "out": column("own_slots"),
        "kinds": {
            "kind_slots": endpoints.slots_by_kind,
            "kind_size": endpoints.capacity_by_kind,
            "kind_runs": {
                kind: [runs.observed_ms, runs.expected_ms] for kind, runs in router.run_times.by_kind.items()
            },
        },
        "categories": {
            name: {key: getattr(each, attribute) for key, attribute in CLASS_FIELDS.items()}
            for name, each in router.classes.by_name.items()
        },
        "all": {
            key: getattr(getattr(router, part), attribute) for key, (part, attribute) in ROUTER_FIELDS.items()
        },
    }


def import_state(router: Router, state: Any) -> None:
    """Have the router go on from what another process has learned, as far as that can be read."""
    _import_endpoints(router, state)
    _import_kinds(router, state)
    for name, request_class in router.classes.by_name.items():
        _import_class(request_class, _numbers(state, "categories", name))
    learned = _numbers(state, "all")
    for key, (part, attribute) in ROUTER_FIELDS.items():
        if key in learned:
            setattr(getattr(router, part), attribute, learned[key])


def _import_endpoints(router: Router, state: Any) -> None:
    columns = {key: _numbers(state, "workers", key) for key in ENDPOINT_FIELDS}
    # Where no reports tell that it has ended, what is out there would be believed for too long.
    has_reports = router.settings.reports.source != "none"
    held = _numbers(state, "out") if has_reports else {}
    started = columns["since"]
    # The others are not known there, or have started again meanwhile.
    same = [each for each in router.endpoints.all if started.get(each.endpoint_id) == each.started_ms]
    for key, attribute in ENDPOINT_FIELDS.items():
        _import_column(same, attribute, columns[key])
    for endpoint in same:
        endpoint.other_slots += held.get(endpoint.endpoint_id, 0.0)


def _import_column(endpoints: list[Endpoint], attribute: str, values: dict[str, float]) -> None:
    for endpoint in endpoints:
        if endpoint.endpoint_id in values:
            setattr(endpoint, attribute, values[endpoint.endpoint_id])


def _import_kinds(router: Router, state: Any) -> None:
    endpoints = router.endpoints
    endpoints.slots_by_kind |= _numbers(state, "kinds", "kind_slots")
    endpoints.capacity_by_kind |= _numbers(state, "kinds", "kind_size")
    for kind, runs in _mapping(state, "kinds", "kind_runs").items():
        is_pair = isinstance(runs, list) and len(runs) == 2 and all([_is_finite(run) for run in runs])
        known = router.run_times.by_kind.get(kind)
        if known is not None and is_pair:
            known.observed_ms, known.expected_ms = runs
    endpoints.apply_known_slots()


def _import_class(request_class: RequestClass, values: dict[str, float]) -> None:
    for key, attribute in CLASS_FIELDS.items():
        if key in values:
            setattr(request_class, attribute, values[key])


def _mapping(state: Any, *path: str) -> dict[str, Any]:
    for name in path:
        state = state.get(name) if isinstance(state, dict) else None
    return state if isinstance(state, dict) else {}


def _numbers(state: Any, *path: str) -> dict[str, float]:
    """The finite numbers of a map somewhere in the state."""
    return {name: float(value) for name, value in _mapping(state, *path).items() if _is_finite(value)}


def _is_finite(value: Any) -> bool:
    # Nearly all are plain floats, of which there are thousands.
    is_number = type(value) is float or (isinstance(value, int | float) and not isinstance(value, bool))
    return is_number and -_MOST < value < _MOST
