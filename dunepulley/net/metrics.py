"""The metrics that DUMP prints, in the operators' form, read from the counters as they stand.

A line is `edge_router.<name>:<number>|<type>`, of type `c` for a counter and `g` for a gauge.
"""

from __future__ import annotations

import re
from collections.abc import Iterable

from dunepulley.net.counters import ATTEMPTS_WRITTEN, Counters

PREFIX = "edge_router"
# What a response is to the request's class.
ANSWERED, REJECTED, FAILED = OUTCOMES = ("answered", "deferred", "errored")
# What would end a name or a line; it is escaped, so that no two request classes share a metric.
UNSAFE_CHARACTER = re.compile(r"[^A-Za-z0-9_-]")


def outcome_counter(request_class: str, outcome: str) -> str:
    """The name of the counter of a class's requests that ended with one of `OUTCOMES`."""
    return f"{outcome} {request_class}"


def metric_part(request_class: str) -> str:
    """The name of a request class as a part of a metric's name."""
    return UNSAFE_CHARACTER.sub(lambda found: f"%{ord(found[0]):02x}", request_class)


def dump_lines(
    counters: Counters,
    request_classes: Iterable[str],
    requests_in_flight: int,
    endpoints_listed: int,
    endpoints_avoided: int,
) -> list[str]:
    """All metrics, one a line."""
    lines = [
        f"{PREFIX}.transactions.{metric_part(request_class)}.{outcome}"
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
