"""Drain sets as operators request them."""

from __future__ import annotations

from typing import Any

from dunepulley.clocks import Clock
from dunepulley.control import drain_json, drains

DRAIN_DURATION_MS = 3_600_000.0


def operators_drain() -> dict[str, Any]:
    """The message in which an agent asks a dispatcher to drain endpoint w0 for an hour."""
    clock = Clock()
    drain = drains.Drain("worker", "w0", "ana", "", 0.0, clock() + DRAIN_DURATION_MS, 0)
    return drain_json.encode_drain_set(drains.set_drain(drains.DrainSet(1.0), drain, clock()), clock)
