"""Time: the monotonic clock for durations, the wall clock for display.

The wall clock may be stepped at any time, forward or back. The monotonic clock is never stepped, and is the
same for all processes of a host until it reboots. `TimeSource` is the interface to both; `SystemTime` reads
the system's clocks, and tests pass their own source.

Code that measures durations or sets deadlines is passed a `Clock`: it counts in Unix ms, as endpoint lists
and operators do, but is advanced by the monotonic clock, so that a step of the wall clock neither shortens
nor prolongs a duration. A duration that is passed to another process or written to a file is stored as the
remaining time and a `Stamp` of the time at which that was measured.
"""

from __future__ import annotations

import time
from typing import NamedTuple, Protocol

STEP_MS = 500.0
"""The smallest difference between two clocks, in ms, that counts as a step.

Smaller differences arise as two clocks are not read at the same time.
"""

# A wall clock reading can be compared with the monotonic readings before and after it if these differ by less
# than this: the process was not paused between them.
_MAX_READ_GAP_MS = 10.0
_READ_ATTEMPTS = 3
_BOOT_ID_PATH = "/proc/sys/kernel/random/boot_id"


class TimeSource(Protocol):
    """A source of monotonic and wall clock time."""

    def monotonic_ms(self) -> float:
        """Return the ms since an arbitrary time of this boot; never decreases."""
        ...

    def wall_ms(self) -> float:
        """Return Unix ms by the wall clock, which may be stepped."""
        ...

    def boot(self) -> str:
        """Return an id of the host's current boot, or an empty string where it is unknown."""
        ...


class SystemTime:
    """The clocks of the operating system."""

    def monotonic_ms(self) -> float:
        """Return the monotonic clock, in ms."""
        return time.monotonic() * 1000.0

    def wall_ms(self) -> float:
        """Return the wall clock, in Unix ms."""
        return time.time() * 1000.0

    def boot(self) -> str:
        """Return the kernel's id of this boot, or an empty string where it cannot be read."""
        try:
            with open(_BOOT_ID_PATH, encoding="ascii") as file:
                return file.read().strip()
        except (OSError, ValueError):
            return ""


class Stamp(NamedTuple):
    """A point in time that another process of this host can read; `wall_ms` is for display only."""

    boot: str
    monotonic_ms: float
    wall_ms: float


class Clock:
    """Unix time in ms that is never stepped: the wall clock is read once, then advanced monotonically.

    Calling a clock returns the current time. Times of the same clock can be compared and subtracted; they are
    meaningless to another clock.
    """

    def __init__(self, source: TimeSource | None = None, base: float | None = None) -> None:
        """Read `source`, by default the system's clocks.

        `base` is the clock's reading at monotonic zero, in ms, for a clock that has to agree with that of
        another process; by default it is computed from the wall clock.
        """
        self.source: TimeSource = source if source is not None else SystemTime()
        self.monotonic_ms = self.source.monotonic_ms
        self.base = self.source.wall_ms() - self.monotonic_ms() if base is None else base

    def __call__(self) -> float:
        """Return the current time in ms."""
        return self.base + self.monotonic_ms()

    def wall_ms(self) -> float:
        """Return the current reading of the wall clock in Unix ms, for display."""
        return self.source.wall_ms()

    def wall_offset_ms(self) -> float:
        """Return by how many ms the wall clock is ahead of this clock, or 0 for less than `STEP_MS`."""
        offset_ms = 0.0
        for _ in range(_READ_ATTEMPTS):
            before_ms = self()
            offset_ms = self.wall_ms() - before_ms
            if self() - before_ms < _MAX_READ_GAP_MS:
                break
        return offset_ms if abs(offset_ms) >= STEP_MS else 0.0

    def to_wall_ms(self, moment_ms: float) -> float:
        """Convert a time of this clock to the wall clock as it is set now."""
        return moment_ms + self.wall_offset_ms()

    def from_wall_ms(self, unix_ms: float) -> float:
        """Convert a wall clock time in Unix ms, stored without a stamp, to this clock.

        After a step of the wall clock it is unknown whether the time was stored before or after the step; the
        later of both results is returned.
        """
        return max(unix_ms, unix_ms - self.wall_offset_ms())

    def stamp(self) -> Stamp:
        """Return a stamp of the current time for another process of this host."""
        return Stamp(self.source.boot(), self.monotonic_ms(), self.wall_ms())

    def elapsed_since(self, stamp: Stamp) -> float:
        """Return the ms that have passed since a stamp; 0 for one of another boot, as it is then unknown."""
        if stamp.boot != self.source.boot():
            return 0.0
        return max(0.0, self.monotonic_ms() - stamp.monotonic_ms)
