"""The metrics that DUMP prints, in the operators' format, computed from the counters.

A line is `edge_router.<name>:<number>|<type>`, of type `c` for a counter and `g` for a gauge.
"""

from __future__ import annotations

import re
from collections.abc import Iterable

from dunepulley.net.counters import ATTEMPTS_WRITTEN, Counters

PREFIX = "edge_router"
# The outcome that a response counts as in the metrics of its request class.
ANSWERED, REJECTED, FAILED = OUTCOMES = ("answered", "deferred", "errored")
# Characters that could end a metric's name or line. They are escaped, not replaced, so that no two request
# classes share a metric.
UNSAFE_CHARACTER = re.compile(r"[^A-Za-z0-9_-]")


def outcome_counter(request_class: str, outcome: str) -> str:
    """Return the name of the counter of a class's requests that ended with one of `OUTCOMES`."""
    return f"{outcome} {request_class}"


def escape_class_name(request_class: str) -> str:
    """Return the name of a request class, escaped for use in a metric's name."""
    return UNSAFE_CHARACTER.sub(lambda found: f"%{ord(found[0]):02x}", request_class)


def dump_lines(
    counters: Counters,
    request_classes: Iterable[str],
    requests_in_flight: int,
    endpoints_listed: int,
    endpoints_avoided: int,
) -> list[str]:
    """Return all metrics, one per line."""
    lines = [
        f"{PREFIX}.transactions.{escape_class_name(request_class)}.{outcome}"
        f":{counters[outcome_counter(request_class, outcome)]}|c"
        for request_class in request_classes
        for outcome in OUTCOMES
    ]
    lines.append(f"{PREFIX}.sends:{counters[ATTEMPTS_WRITTEN]}|c")
    gauges = {
        "current": requests_in_flight,
        "cluster_size": endpoints_listed,
        "cluster_unhealthy": endpoints_avoided,
    }
    return lines + [f"{PREFIX}.{name}:{number}|g" for name, number in gauges.items()]
