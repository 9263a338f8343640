"""Type checks for values that were read from JSON or TOML, and their text in errors."""

from __future__ import annotations

# The number of characters of a value in an error.
_MAX_SHOWN = 60


def is_number(value: object) -> bool:
    """Return whether a value is a number; booleans, which are integers in Python, are not."""
    return isinstance(value, int | float) and not isinstance(value, bool)


def describe(value: object) -> str:
    """Return the beginning of a value as Python writes it, for the text of an error."""
    try:
        return repr(value)[:_MAX_SHOWN]
    except RecursionError:
        # The JSON parser accepts about as many levels as Python can write.
        return f"a {type(value).__name__} of too many levels"
