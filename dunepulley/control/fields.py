"""Checks of single fields of decoded JSON or TOML.

Each function returns the field as its type, or raises `ProtocolError` with a text that names the field.
"""

from __future__ import annotations

from typing import Any, TypeGuard

from dunepulley.errors import ProtocolError
from dunepulley.json_values import describe, is_number

MAX_NAME_LENGTH = 64
# Larger integers are not exact in readers that use double-precision floating-point numbers.
MAX_COUNT = 2**53
MAX_NUMBER = 1e15


def parse_name(value: Any, field: str) -> str:
    """A printable name of 1 to 64 characters, without line breaks."""
    if not isinstance(value, str) or not value or not value.isprintable() or len(value) > MAX_NAME_LENGTH:
        raise ProtocolError(
            f"{field}: expected a printable name of 1 to {MAX_NAME_LENGTH} characters, got {describe(value)}"
        )
    return value


def parse_text(value: Any, field: str, max_length: int) -> str:
    """A printable text of one line, which may be empty."""
    if not isinstance(value, str) or not value.isprintable() or len(value) > max_length:
        raise ProtocolError(f"{field} is no line of at most {max_length} characters")
    return value


def parse_count(value: Any, field: str) -> int:
    """An integer from 0 to 2**53 - 1."""
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value < MAX_COUNT:
        raise ProtocolError(f"{field}: expected an integer from 0 to {MAX_COUNT - 1}, got {describe(value)}")
    return value


def parse_fraction(value: Any, field: str) -> float:
    """A number from 0 to 1."""
    if not is_number(value) or not 0.0 <= value <= 1.0:
        raise ProtocolError(f"{field}: expected a number from 0 to 1, got {describe(value)}")
    return float(value)


def parse_duration(value: Any, field: str) -> float:
    """A time in ms, 0 or more."""
    if not is_non_negative_number(value):
        raise ProtocolError(f"{field}: expected a time in ms from 0 on, got {describe(value)}")
    return float(value)


def parse_number(value: Any, field: str) -> float:
    """A number, 0 or more."""
    if not is_non_negative_number(value):
        raise ProtocolError(f"{field}: expected a number from 0 on, got {describe(value)}")
    return float(value)


def parse_numbers(value: Any, field: str, count: int) -> list[float]:
    """A list of exactly `count` numbers, each 0 or more."""
    if not isinstance(value, list) or len(value) != count:
        raise ProtocolError(f"{field}: expected a list of {count} numbers, got {type(value).__name__}")
    if not all([is_non_negative_number(number) for number in value]):
        raise ProtocolError(f"{field}: expected only numbers from 0 on")
    return [float(number) for number in value]


def parse_objects(value: Any, field: str, max_count: int) -> list[dict[str, Any]]:
    """A list of at most `max_count` JSON objects."""
    if not isinstance(value, list) or len(value) > max_count:
        raise ProtocolError(f"{field}: expected a list of at most {max_count} objects")
    if not all([isinstance(element, dict) for element in value]):
        raise ProtocolError(f"{field}: expected a list that contains only objects")
    return value


def parse_object(value: Any, field: str, max_count: int) -> dict[str, Any]:
    """A JSON object of at most `max_count` keys."""
    if not isinstance(value, dict) or len(value) > max_count:
        raise ProtocolError(f"{field}: expected an object of at most {max_count} keys")
    return value


def is_non_negative_number(value: Any) -> TypeGuard[float]:
    """Whether a value is a number from 0 to below `MAX_NUMBER`, which excludes infinity."""
    return is_number(value) and 0.0 <= value < MAX_NUMBER
