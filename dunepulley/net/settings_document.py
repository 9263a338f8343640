"""The `settings` object of the configuration: nested JSON, validated and flattened into one map."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from dunepulley.setting_names import translate_setting

WEIGHT_SOURCES = ("none", "nominal", "rough", "live")


class Check(NamedTuple):
    """The valid values of a setting, as a predicate and as words for an error message."""

    accepts: Callable[[object], bool]
    expected: str


def _is_non_negative(value: object) -> bool:
    return isinstance(value, float) and 0.0 <= value < float("inf")


# Settings for which an invalid value would do harm; all others are validated where they are used.
CHECKS = {
    "balancers": Check(lambda value: _is_non_negative(value) and value >= 1.0, "1 or more"),
    "me": Check(_is_non_negative, "0 or more"),
    "weightSource": Check(lambda value: value in WEIGHT_SOURCES, "none, nominal, rough or live"),
    "policyLimits.peers": Check(lambda value: isinstance(value, bool), "true or false"),
    "policyLimits.connIdleMs": Check(_is_non_negative, "a time of 0 or more"),
    "familyInfo.progressMs": Check(_is_non_negative, "a time of 0 or more"),
    "prices.handshake": Check(_is_non_negative, "a price of 0 or more"),
    "prices.crossZone": Check(_is_non_negative, "a price of 0 or more"),
}


def flatten_settings(document: dict[str, Any]) -> dict[str, object]:
    """Return nested settings as a map of dotted names to values, translated, and with times in ms.

    A list of objects becomes `NAME.count` and one group `NAME.0`, `NAME.1`, ... for each; null is omitted.
    Raises ValueError if the document is not an object, or if a setting in `CHECKS` has an invalid value.
    """
    if not isinstance(document, dict):
        raise ValueError(f"settings: expected a JSON object, got {type(document).__name__}")
    settings = dict(_flatten("", document))
    for name, check in CHECKS.items():
        if name in settings and not check.accepts(settings[name]):
            raise ValueError(f"{name}: expected {check.expected}, got {settings[name]!r}")
    return settings


def _flatten(path: str, value: Any) -> Iterator[tuple[str, object]]:
    """Yield the settings below a dotted path, in the order of the document."""
    if isinstance(value, dict):
        for name, inner in value.items():
            yield from _flatten(f"{path}.{name}" if path else name, inner)
    elif isinstance(value, list) and any(isinstance(part, dict) for part in value):
        yield f"{path}.count", float(len(value))
        for number, part in enumerate(value):
            yield from _flatten(f"{path}.{number}", part)
    elif value is not None:
        yield translate_setting(path, tuple(value) if isinstance(value, list) else value)


def class_settings(settings: dict[str, Any], name: str) -> list[Any]:
    """Return one setting of each request class, in order; None for a class that does not have it."""
    count = int(settings.get("categories.count", 0))
    return [settings.get(f"categories.{number}.{name}") for number in range(count)]
