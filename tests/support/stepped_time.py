"""Clocks that tests step: of a simulated process, of the test process, and of real processes."""

from __future__ import annotations

import time
from pathlib import Path

import pytest

from dunepulley.clocks import Clock

UNIX = 1_700_000_000_000.0
# Clock steps in ms: forward and back, by seconds and by an hour.
STEPS = (5_000.0, -5_000.0, 3_600_000.0, -3_600_000.0)

# The text of a sitecustomize.py, which Python runs first if the file's folder is on PYTHONPATH.
SITECUSTOMIZE = """
import time
import pathlib

real = time.time
path = pathlib.Path(__file__).with_name("step")
time.time = lambda: real() + float(path.read_text())
"""


class SteppedTime:
    """A `TimeSource` whose wall clock can be stepped independently of its monotonic clock."""

    def __init__(self, monotonic: float = 500_000.0, wall: float = UNIX, boot: str = "one") -> None:
        self.monotonic, self.wall, self.host_boot = monotonic, wall, boot

    def monotonic_ms(self) -> float:
        return self.monotonic

    def wall_ms(self) -> float:
        return self.wall

    def boot(self) -> str:
        return self.host_boot

    def run(self, ms: float) -> None:
        """Let time pass on both clocks."""
        self.monotonic += ms
        self.wall += ms

    def step(self, ms: float) -> None:
        """Step the wall clock only, as an administrator or NTP does."""
        self.wall += ms

    def reboot(self, after: float, step: float = 0.0) -> None:
        """Reboot the host: it is off for `after` ms, then its wall clock is wrong by `step` ms."""
        self.wall += after + step
        self.monotonic, self.host_boot = 1000.0, self.host_boot + "+"

    def clock(self) -> Clock:
        """The clock of a process that starts now."""
        return Clock(self)


class SteppedProcesses:
    """Steps the wall clock of real Python processes that have `folder` on their PYTHONPATH."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        folder.mkdir()
        (folder / "sitecustomize.py").write_text(SITECUSTOMIZE)
        self.step(0.0)

    def step(self, ms: float) -> None:
        """Set the offset of the processes' wall clocks from the true time, in ms."""
        temporary = self.folder / "step.new"
        temporary.write_text(str(ms / 1000.0))
        temporary.replace(self.folder / "step")


class SteppedMonotonicClock:
    """Replaces the monotonic clock by one that runs at a hundredth of real time and that a test steps.

    Delays of a busy machine count for a hundredth only, so a test may check times to a millisecond. Wait with
    `until_true` while it is in force, because timeouts by the event loop's clock take 100 times as long.
    """

    SLOWDOWN = 100.0

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.real = time.monotonic
        self.base = self.real()
        self.stepped = 0.0
        monkeypatch.setattr(time, "monotonic", self)

    def __call__(self) -> float:
        return self.base + (self.real() - self.base) / self.SLOWDOWN + self.stepped

    def step(self, seconds: float) -> None:
        """Advance the clock as if the process had been stopped."""
        self.stepped += seconds
