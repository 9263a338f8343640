"""Names in the source that other programs, stored files or people's scripts rely on.

`tests/data/external-names.json` lists them by module. To choose new entries, print the string literals and
field names of modules with

    python -m tests.support.external_names dunepulley/net/callbacks.py [MODULE...]
"""

from __future__ import annotations

import ast
import json
import sys
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
LIST = ROOT / "tests" / "data" / "external-names.json"


def listed_names() -> dict[str, list[str]]:
    """The names that must stay, by the path of the module that holds them."""
    return json.loads(LIST.read_text())


def names_in(source: str) -> set[str]:
    """The string literals (stripped, docstrings left out) and annotated class fields of a module's source.

    The literal parts of an f-string count one by one.
    """
    tree = ast.parse(source)
    docstrings = {id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)}
    literals = {
        node.value.strip()
        for node in ast.walk(tree)
        if isinstance(node, ast.Constant) and isinstance(node.value, str) and id(node) not in docstrings
    }
    return literals | set(_class_fields(tree))


def _class_fields(tree: ast.Module) -> Iterator[str]:
    """The annotated fields of the classes in a module; those of NamedTuples may be keys of a stored form."""
    for node in ast.walk(tree):
        if not isinstance(node, ast.ClassDef):
            continue
        for statement in node.body:
            if isinstance(statement, ast.AnnAssign) and isinstance(statement.target, ast.Name):
                yield statement.target.id


def main(paths: list[str]) -> None:
    """Print the names of modules, in the form of the list."""
    found = {path: sorted(names_in((ROOT / path).read_text()) - {""}) for path in paths}
    print(json.dumps(found, indent=1, ensure_ascii=False))


if __name__ == "__main__":
    main(sys.argv[1:])
