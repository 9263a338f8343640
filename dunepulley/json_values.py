"""Type checks for values that were read from JSON or TOML."""

from __future__ import annotations


def is_number(value: object) -> bool:
    """Return whether a value is a number; booleans, which are integers in Python, are not."""
    return isinstance(value, int | float) and not isinstance(value, bool)
