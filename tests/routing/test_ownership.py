"""Each field of an endpoint is assigned in one module only: the part of the router that owns it."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import pytest

FOLDER = Path(__file__).parents[2] / "dunepulley" / "routing"
CLASS = "Endpoint"
MODULE = "endpoints.py"

# Fields that are set on construction and never assigned afterwards.
CONSTANT = {"index", "endpoint_id", "id_hash", "short_id", "rank", "fleet_rank"}
OWNERS = {
    "zone": "endpoints.py",
    "cell": "endpoints.py",
    "kind": "endpoints.py",
    "state": "endpoints.py",
    "capacity": "endpoints.py",
    "started_ms": "endpoints.py",
    "slots": "endpoints.py",
    "share": "round_robin.py",
    "next_turn": "round_robin.py",
    "rate": "load_estimates.py",
    "queue_length": "load_estimates.py",
    "used_slots_mean": "load_estimates.py",
    "reported_ms": "load_estimates.py",
    "last_report": "load_estimates.py",
    "other_slots": "load_estimates.py",
    "own_slots_mean": "load_estimates.py",
    "full_until_ms": "load_estimates.py",
    "rejections": "load_estimates.py",
    "start_delay_ms": "load_estimates.py",
    "checked_ms": "health_checks.py",
    "own_slots": "in_flight.py",
    "connection_until_ms": "in_flight.py",
    "announced_slots": "load_estimates.py",
    "unreported_slots": "load_estimates.py",
    "observed_run_ms": "run_times.py",
    "expected_run_ms": "run_times.py",
    "error_score": "outliers.py",
    "ejected_until_ms": "outliers.py",
    "ejection_ms": "outliers.py",
    "slow_start_share": "slow_start.py",
    "slow_start_share_until_ms": "slow_start.py",
}
# Assignments elsewhere, as (module, field), each with its reason.
EXCEPTIONS = {
    ("weights.py", "rejections"): "each control period resets the count",
    ("warm_state.py", "other_slots"): "slots held by the parent process count as held by another dispatcher",
}
# `Endpoint.reset` clears the learned fields of all owners, because the endpoint is new or has restarted.
RESET = "reset"
# The only module that may use `setattr`: it imports the state that another process exported.
SETATTR_MODULES = {"warm_state.py"}
# Variables that hold objects of other classes with fields of the same names.
OTHER_CLASSES = {"attempt", "request"}


class Assignment(NamedTuple):
    """One assignment to a field; `function` is the enclosing method or function."""

    module: str
    class_name: str
    function: str
    variable: str
    field: str


def assignments_in(module: str, source: str, fields: set[str]) -> list[Assignment]:
    """All assignments to attributes with the names of an endpoint's fields."""
    return [each for each in _assignments(module, ast.parse(source), "", "") if each.field in fields]


def _assignments(module: str, node: ast.AST, class_name: str, function: str) -> Iterator[Assignment]:
    if isinstance(node, ast.ClassDef):
        class_name = node.name
    elif isinstance(node, ast.FunctionDef):
        function = node.name
    elif isinstance(node, ast.Attribute) and isinstance(node.ctx, ast.Store | ast.Del):
        yield Assignment(module, class_name, function, ast.unparse(node.value), node.attr)
    for child in ast.iter_child_nodes(node):
        yield from _assignments(module, child, class_name, function)


def is_endpoint_field(assignment: Assignment) -> bool:
    """Whether the variable is an endpoint, not another object with a field of the same name."""
    if assignment.variable == "self":
        return assignment.class_name == CLASS
    return assignment.variable not in OTHER_CLASSES


def endpoint_fields() -> list[str]:
    """The fields of `Endpoint`, in their order."""
    body = ast.parse((FOLDER / MODULE).read_text()).body
    (definition,) = [node for node in body if isinstance(node, ast.ClassDef) and node.name == CLASS]
    return [node.target.id for node in definition.body if isinstance(node, ast.AnnAssign)]


def assigned_by() -> dict[str, set[str]]:
    """The modules that assign each field, apart from `Endpoint.reset`."""
    found = {field: set() for field in endpoint_fields()}
    for path in sorted(FOLDER.rglob("*.py")):
        for each in assignments_in(path.name, path.read_text(), set(found)):
            if is_endpoint_field(each) and (each.class_name, each.function) != (CLASS, RESET):
                found[each.field].add(each.module)
    return found


def test_every_field_has_an_owner():
    assert set(endpoint_fields()) == set(OWNERS) | CONSTANT


def test_each_field_is_assigned_by_its_owner_only():
    for field, modules in assigned_by().items():
        allowed = {module for module, excepted in EXCEPTIONS if excepted == field}
        assert modules - allowed == ({OWNERS[field]} if field in OWNERS else set()), field


def test_every_listed_exception_is_still_needed():
    found = assigned_by()
    assert all(module in found[field] for module, field in EXCEPTIONS)


def test_setattr_is_used_in_warm_state_only():
    modules_with_setattr = set()
    for path in FOLDER.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Name | ast.Attribute) and ast.unparse(node).endswith("setattr"):
                modules_with_setattr.add(path.name)
    assert modules_with_setattr == SETATTR_MODULES


@pytest.mark.parametrize(
    ("line", "is_found"),
    [
        ("endpoint.rate = 1.0", True),
        ("endpoint.rate += 1.0", True),
        ("other.rate, endpoint.zone = 1.0, ''", True),
        ("del endpoint.rate", True),
        ("self._endpoints.all[0].rate = 1.0", True),
        ("for endpoint.rate in (1.0, 2.0): pass", True),
        ("self.rate = 1.0", False),
        ("attempt.rate = 1.0", False),
        ("rate = endpoint.rate", False),
    ],
)
def test_assignments_are_found_in_every_form(line, is_found):
    source = f"class Part:\n    def method(self):\n        {line}\n"
    found = [each for each in assignments_in("part.py", source, {"rate"}) if is_endpoint_field(each)]
    assert bool(found) is is_found
