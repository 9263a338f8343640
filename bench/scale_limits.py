"""Limits on how much more a dispatcher may need with many endpoints than with the usual number. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

MEGABYTE = 1024.0 * 1024.0
# The maximum CPU time of one event loop callback, which delays all others, in milliseconds.
CALLBACK_LIMIT_MS = 20.0


@dataclass(frozen=True)
class Figures:
    """The resources that one dispatcher used in one run."""

    endpoints: int
    cpu_s: float  # from the start of the process to the end of the traffic
    start_cpu_s: float  # of which until the dispatcher was ready
    peak_memory_mb: float
    peak_descriptors: int
    connections: int  # opened to endpoints
    list_bytes: int  # received from discovery, without HTTP framing
    share_served: float


@dataclass(frozen=True)
class Callback:
    """One callback of the event loop: its start by the monotonic clock, its CPU time and duration."""

    at_s: float
    cpu_ms: float
    wall_ms: float
    name: str


@dataclass(frozen=True)
class Row:
    """One line of the table: two measurements, and the limit of the second."""

    name: str
    base: float
    large: float
    limit: float
    passed: bool

    def text(self) -> str:
        """The line as it is printed, with the ratio of the measurements."""
        ratio = f"{self.large / self.base:.2f}" if self.base else "-"
        verdict = "pass" if self.passed else "FAIL"
        return f"{self.name:<28}{self.base:>12.2f}{self.large:>12.2f}{ratio:>8}{self.limit:>12.2f}  {verdict}"


HEADER = f"{'':<28}{'base':>12}{'large':>12}{'ratio':>8}{'limit':>12}"


def _kilobytes_of_lists(figures: Figures) -> float:
    return figures.list_bytes / 1024.0


# Name, getter, and the terms of the limit: a factor of the base value, a constant, and an amount for each
# thousand endpoints.
GROWTH_LIMITS: tuple[tuple[str, Callable[[Figures], float], float, float, float], ...] = (
    ("CPU seconds", lambda figures: figures.cpu_s, 1.4, 0.02, 0.12),
    ("peak memory, MB", lambda figures: figures.peak_memory_mb, 1.5, 8.0, 4.0),
    ("descriptors", lambda figures: figures.peak_descriptors, 2.0, 40.0, 0.0),
    ("connections to endpoints", lambda figures: figures.connections, 2.5, 40.0, 0.0),
    ("lists from discovery, KB", _kilobytes_of_lists, 2.0, 64.0, 500.0),
)
MIN_SERVED_RATIO = 0.85


def rows(base: Figures, large: Figures) -> list[Row]:
    """The lines of the table for a run with the usual number of endpoints and one with many."""
    thousands = large.endpoints / 1000.0
    table = []
    for name, read_value, factor, constant, per_thousand in GROWTH_LIMITS:
        limit = factor * read_value(base) + constant + per_thousand * thousands
        table.append(Row(name, read_value(base), read_value(large), limit, read_value(large) <= limit))
    min_share = MIN_SERVED_RATIO * base.share_served
    served = large.share_served >= min_share and base.share_served > 0.0
    table.append(Row("share served", base.share_served, large.share_served, min_share, served))
    return table


def callback_row(base: list[Callback], large: list[Callback]) -> Row:
    """The line of the longest callback, by CPU time, so that other processes on the machine do not count."""
    longest = [max([callback.cpu_ms for callback in run], default=0.0) for run in (base, large)]
    passed = longest[1] <= CALLBACK_LIMIT_MS
    return Row("longest callback, CPU ms", *longest, CALLBACK_LIMIT_MS, passed)
