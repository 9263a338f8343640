"""Load reports of endpoints: parsing, and the internal names for the field names that endpoints use.

A report arrives with a response, a callback, a health check or, in the simulator, the end of an attempt.
Field names that are not listed here, such as `x0`, are kept.
"""

from __future__ import annotations

FIELD_NAMES = {
    "throughput": "rate",
    "qps": "rate",
    "backlog": "queue",
    "outstanding": "held",
    "inflight": "held",
    "utilization": "busy",
    "util": "busy",
}


def parse_report(fields: dict[str, object]) -> dict[str, float]:
    """Return a load report with internal field names; values that are not numbers are skipped."""
    report = {}
    for name, value in fields.items():
        try:
            report[FIELD_NAMES.get(name, name)] = float(value)
        except (TypeError, ValueError):
            continue
    return report


def parse_report_text(text: str | None, separator: str) -> dict[str, float] | None:
    """Parse a load report of comma-separated `name<separator>value` pairs.

    Returns None where there is no text. Values that are not numbers are skipped.
    """
    if not text:
        return None
    pairs = [pair.partition(separator) for pair in text.split(",")]
    return parse_report({name.strip(): value for name, _, value in pairs})
