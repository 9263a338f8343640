"""Translates names and values of settings from their external forms to the internal ones.

The simulator's protocol passes values as text, the dispatcher's configuration as JSON values. Both are
translated into one flat map of dotted names to values, with all times in milliseconds.
"""

from __future__ import annotations

from dunepulley import load_reports
from dunepulley.json_values import is_number
from dunepulley.routing.settings import Idempotency

MICROSECONDS_SUFFIX, MILLISECONDS_SUFFIX = "Us", "Ms"
MICROSECONDS_PER_MILLISECOND = 1000.0
REPORTED_FIELDS = "reporting.fields"
# Settings whose values are lists of names: their values stay strings, even if they look like numbers.
NAME_LISTS = ("areas", "kinds", "stages")
TEXT_VALUES = {
    "read_like": Idempotency.IDEMPOTENT,
    "safe": Idempotency.IDEMPOTENT,
    "idempotency_key": Idempotency.KEYED,
    "keyed": Idempotency.KEYED,
    "non_idempotent": Idempotency.NON_IDEMPOTENT,
    "unsafe": Idempotency.NON_IDEMPOTENT,
    "automatic": "pushed",
    "push": "pushed",
    "": (),
}


def is_name_setting(setting: str) -> bool:
    """Return whether the value of a setting is a name (of a class, tenant or zone), which stays a string."""
    return setting.endswith(".name") or setting in ("zone", "name")


def translate_setting(name: str, value: object) -> tuple[str, object]:
    """Return the internal name and value of a setting.

    A name that ends in `Us` (microseconds) then ends in `Ms`, and its value is divided accordingly.
    """
    if is_name_setting(name):
        return name, value
    if name == REPORTED_FIELDS:
        fields = value if isinstance(value, tuple) else (value,)
        return name, tuple([load_reports.FIELD_NAMES.get(field, field) for field in fields if field])
    if name in NAME_LISTS:
        return name, value if isinstance(value, tuple) else (value,) if value else ()
    divisor = 1.0
    if name.endswith(MICROSECONDS_SUFFIX):
        name = name.removesuffix(MICROSECONDS_SUFFIX) + MILLISECONDS_SUFFIX
        divisor = MICROSECONDS_PER_MILLISECOND
    if isinstance(value, tuple):
        return name, tuple([_translate_value(part, divisor) for part in value])
    return name, _translate_value(value, divisor)


def _translate_value(value: object, divisor: float) -> object:
    if isinstance(value, str):
        return TEXT_VALUES.get(value, value)
    if not is_number(value):
        return value
    return value / divisor
