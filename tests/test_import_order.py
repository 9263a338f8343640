"""Checks the dependency order of the packages: routing, control, the processes, the tools.

A package may import only those before it. Every import statement counts, including imports within functions
and imports for the type checker only.
"""

import ast
import sys
from pathlib import Path
from typing import NamedTuple

import pytest

ROOT = Path(__file__).parents[1]
PROJECT = "dunepulley"
# Packages that serve no requests in production: simulation, load generator, benchmarks, simulator host.
TOOLS = (
    "dunepulley.model",
    "dunepulley.simulation",
    "dunepulley.load",
    "dunepulley.simhost",
    "bench",
    "tests",
)


class Rule(NamedTuple):
    """Which modules of the project a package may import; a `pure` package imports no third-party package."""

    package: str
    allowed: tuple[str, ...] = (PROJECT,)
    forbidden: tuple[str, ...] = ()
    pure: bool = False


class KnownException(NamedTuple):
    """An import that breaks a rule and has yet to be removed."""

    package: str
    imported: str
    reason: str


# Root modules with types and pure functions, which every package may import.
COMMON_MODULES = ("dunepulley.errors", "dunepulley.json_values")
PROCESSES = ("dunepulley.net", "dunepulley.agent")
ROOT_MODULES = tuple(
    [f"{PROJECT}.{path.stem}" for path in sorted(ROOT.joinpath(PROJECT).glob("*.py")) if path.stem[0] != "_"]
)

RULES = (
    Rule("dunepulley.routing", allowed=("dunepulley.routing",), pure=True),
    Rule(
        "dunepulley.control",
        allowed=(
            "dunepulley.control",
            "dunepulley.routing.events",
            "dunepulley.routing.settings",
            "dunepulley.routing.hashing",
            "dunepulley.routing.rendezvous",
            *COMMON_MODULES,
        ),
        pure=True,
    ),
    *[Rule(module, forbidden=(*TOOLS, *PROCESSES, "dunepulley.control")) for module in ROOT_MODULES],
    Rule("dunepulley.net", forbidden=(*TOOLS, "dunepulley.agent")),
    Rule("dunepulley.agent", forbidden=TOOLS),
    Rule("dunepulley.model", forbidden=(*PROCESSES, "dunepulley.load", "bench", "tests")),
    Rule("dunepulley", forbidden=("bench", "tests")),
)

KNOWN_EXCEPTIONS = (
    KnownException(
        "dunepulley.control", "dunepulley.clocks", "documents of drains take a Clock as an argument"
    ),
)


class Import(NamedTuple):
    """An imported name in absolute form, and the line of the import statement."""

    name: str
    line: int


def is_within(name, package):
    """Whether a module is the package itself or lies within it."""
    return name == package or name.startswith(f"{package}.")


def module_of(path):
    """The dotted module name of a file."""
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def imports_of(source, package):
    """Every import in a source text; relative imports are resolved against `package`."""
    found = []
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            found += [Import(alias.name, node.lineno) for alias in node.names]
        elif isinstance(node, ast.ImportFrom):
            base = package.split(".")[: len(package.split(".")) + 1 - node.level] if node.level else []
            origin = ".".join([*base, *([node.module] if node.module else [])])
            found += [Import(f"{origin}.{alias.name}", node.lineno) for alias in node.names]
    return found


def is_forbidden(rule, name):
    """Whether a rule forbids an import."""
    if any([is_within(name, package) for package in rule.forbidden]):
        return True
    if is_within(name, PROJECT):
        return not any([is_within(name, package) for package in rule.allowed])
    return rule.pure and name.partition(".")[0] not in sys.stdlib_module_names


def violations(rule):
    """The forbidden imports in a rule's modules: name, and a text with file and line."""
    root_path = ROOT.joinpath(*rule.package.split("."))
    files = sorted(root_path.rglob("*.py")) if root_path.is_dir() else [root_path.with_suffix(".py")]
    found = []
    for path in files:
        module = module_of(path)
        package = module if path.name == "__init__.py" else module.rpartition(".")[0]
        for imported in imports_of(path.read_text(), package):
            if is_forbidden(rule, imported.name):
                found.append(
                    (imported.name, f"{path.relative_to(ROOT)}:{imported.line} imports {imported.name}")
                )
    return found


def exception_for(rule, name):
    """The known exception that covers a forbidden import, None if there is none."""
    covering = [
        exception
        for exception in KNOWN_EXCEPTIONS
        if exception.package == rule.package and is_within(name, exception.imported)
    ]
    return covering[0] if covering else None


@pytest.mark.parametrize("rule", RULES, ids=lambda rule: rule.package)
def test_imports_follow_the_dependency_order(rule):
    assert [text for name, text in violations(rule) if exception_for(rule, name) is None] == []


def test_every_known_exception_is_still_needed():
    needed = {exception_for(rule, name) for rule in RULES for name, _ in violations(rule)}
    unneeded = [
        f"{exception.package} imports {exception.imported}"
        for exception in KNOWN_EXCEPTIONS
        if exception not in needed
    ]
    assert unneeded == [], "remove these lines of KNOWN_EXCEPTIONS"


@pytest.mark.parametrize(
    ("package", "statement", "forbidden"),
    [
        ("dunepulley.routing", "from ..net import core", True),
        ("dunepulley.routing", "from .. import clocks", True),
        ("dunepulley.routing", "from . import events", False),
        ("dunepulley.routing", "from .events import RequestArrived", False),
        ("dunepulley.routing", "import numpy as np", True),
        ("dunepulley.routing", "from heapq import heappop", False),
        ("dunepulley.routing", "def f():\n    import dunepulley.net.core", True),
        ("dunepulley.control", "from dunepulley.routing.events import EndpointEntry", False),
        ("dunepulley.control", "from dunepulley.routing import router", True),
        ("dunepulley.net", "from dunepulley.load import trace", True),
        ("dunepulley.net", "from dunepulley.loads import trace", False),
        ("dunepulley.agent", "from bench import site", True),
    ],
)
def test_detects_forbidden_imports(package, statement, forbidden):
    rule = next(candidate for candidate in RULES if candidate.package == package)
    assert (
        any([is_forbidden(rule, imported.name) for imported in imports_of(statement, package)]) is forbidden
    )
