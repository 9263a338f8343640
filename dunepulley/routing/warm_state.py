"""Warm state: exports the learned state of a dispatcher process, and imports it into its successor.

The exported map is passed between versions in a hot restart, so its keys must not change. A value that is
missing or has the wrong type keeps its initial value.
"""

from __future__ import annotations

from typing import Any

from .endpoints import Endpoint
from .request import RequestClass
from .router import Router

# The attributes of an endpoint by their keys in the map: reported figures, running times and ejection. Turns,
# connections and the state of attempts in flight belong to each process and are not exported.
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
# The parts of the router and their attributes, by key.
ROUTER_FIELDS = {
    "mean_work": ("classes", "mean_slot_ms"),
    "credit": ("retry_budget", "balance"),
    "further_success": ("retry_budget", "success_rate"),
    "want_used": ("subset", "target_size"),
}
# Numbers that reach this magnitude are ignored as invalid.
_MAX_NUMBER = 1e300


def export_state(router: Router) -> dict[str, Any]:
    """The learned state as a JSON-compatible map."""
    endpoints = router.endpoints
    names = [each.endpoint_id for each in endpoints.all]

    def column(attribute: str) -> dict[str, float]:
        return dict(zip(names, [getattr(each, attribute) for each in endpoints.all], strict=True))

    return {
        "workers": {key: column(attribute) for key, attribute in ENDPOINT_FIELDS.items()},
        # To the next process, the slots held by this one count as held by another dispatcher.
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
    """Import the learned state of another process into the router, as far as it is valid."""
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
    # Without load reports, these slots would be counted for too long after the attempts have ended.
    has_reports = router.settings.reports.source != "none"
    slots_held = _numbers(state, "out") if has_reports else {}
    started = columns["since"]
    # Endpoints that the other process did not know, or that have restarted since, are left out.
    unchanged = [each for each in router.endpoints.all if started.get(each.endpoint_id) == each.started_ms]
    for key, attribute in ENDPOINT_FIELDS.items():
        _import_column(unchanged, attribute, columns[key])
    for endpoint in unchanged:
        endpoint.other_slots += slots_held.get(endpoint.endpoint_id, 0.0)


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
        run_time = router.run_times.by_kind.get(kind)
        if run_time is not None and is_pair:
            run_time.observed_ms, run_time.expected_ms = runs
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
    """The valid numbers in the map at this path of the state."""
    return {name: float(value) for name, value in _mapping(state, *path).items() if _is_finite(value)}


def _is_finite(value: Any) -> bool:
    # Plain floats are checked first for speed: nearly all of the thousands of values are.
    is_number = type(value) is float or (isinstance(value, int | float) and not isinstance(value, bool))
    return is_number and -_MAX_NUMBER < value < _MAX_NUMBER
