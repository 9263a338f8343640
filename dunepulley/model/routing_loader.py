"""Loads another version of the routing package alongside the running one, to compare the two.

The other package gets a name of its own in `sys.modules`, under which its relative imports find its own
modules. Its `events` and `commands` are the running version's: both routers then take and return the same
message types. Absolute imports of `dunepulley` find the running version.
"""

from __future__ import annotations

import importlib
import itertools
import sys
from functools import cache
from importlib.machinery import ModuleSpec
from importlib.util import module_from_spec, spec_from_file_location
from pathlib import Path

from dunepulley.routing import commands, events
from dunepulley.routing.router import Router

MAIN_MODULE = "router"
SHARED_MODULES = {"events": events, "commands": commands}

_version_numbers = itertools.count(1)


class UnusableVersionError(ValueError):
    """No router can be loaded from a path; the text gives the path and the reason in one line."""


@cache
def load_router(path: str) -> type[Router]:
    """Return the `Router` class of another version, given its routing package's folder or its router's file.

    Raises `UnusableVersionError` where the path cannot be read, or its modules cannot be imported.
    """
    location = Path(path).absolute()
    if location.is_file() and location.suffix != ".py":
        raise UnusableVersionError(f"{path}: expected a folder or a .py file")
    folder, main_module = (location, MAIN_MODULE) if location.is_dir() else (location.parent, location.stem)
    alias = f"dunepulley_routing_version_{next(_version_numbers)}"
    try:
        location.stat()
        _load_package(alias, folder)
        return importlib.import_module(f"{alias}.{main_module}").Router
    except (OSError, SyntaxError, ImportError, AttributeError) as problem:
        _forget_package(alias)
        raise UnusableVersionError(f"{path}: cannot load a router: {problem}") from problem


def _load_package(alias: str, folder: Path) -> None:
    """Import a folder as the package `alias`, with the shared modules already in place."""
    init_file = folder / "__init__.py"
    if init_file.exists():
        spec = spec_from_file_location(alias, init_file, submodule_search_locations=[str(folder)])
    else:
        spec = ModuleSpec(alias, None, is_package=True)
        spec.submodule_search_locations = [str(folder)]
    importlib.invalidate_caches()
    package = module_from_spec(spec)
    sys.modules[alias] = package
    for name, module in SHARED_MODULES.items():
        sys.modules[f"{alias}.{name}"] = module
        setattr(package, name, module)
    if spec.loader is not None:
        spec.loader.exec_module(package)


def _forget_package(alias: str) -> None:
    """Remove what a failed import has left behind."""
    for name in [name for name in sys.modules if name == alias or name.startswith(f"{alias}.")]:
        del sys.modules[name]
