"""Child processes of a measurement, and the resources that they use according to /proc."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

from dunepulley.load.processes import ROOT, end_with_parent

POLL_INTERVAL_S = 0.05
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
# Positions of utime and stime in /proc/PID/stat, counted from the field after the name in parentheses.
USER_TIME, SYSTEM_TIME = 11, 12


class ProcessError(Exception):
    """A process failed or did not become ready in time; the text names the process."""


class ChildProcess:
    """A Python process whose output goes to `NAME.log`; it ends when the parent process ends."""

    def __init__(
        self, folder: Path, name: str, arguments: list[str], variables: dict[str, str] | None = None
    ) -> None:
        self.name = name
        self.log = folder / f"{name}.log"
        environment = os.environ | {"PYTHONPATH": os.pathsep.join([str(ROOT), *sys.path])} | (variables or {})
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, *arguments],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=end_with_parent(),
            )

    async def wait_until(self, what: str, limit_s: float, condition: Callable[[], bool]) -> None:
        """Wait for a condition, named `what`; raises ProcessError at the end of the process or the limit."""
        deadline_s = asyncio.get_running_loop().time() + limit_s
        while not condition():
            if self.process.poll() is not None:
                raise ProcessError(
                    f"{self.name}: exited with {self.process.returncode} before {what}: {self.log_tail()}"
                )
            if asyncio.get_running_loop().time() > deadline_s:
                raise ProcessError(f"{self.name}: no {what} within {limit_s:g} s: {self.log_tail()}")
            await asyncio.sleep(POLL_INTERVAL_S)

    def log_tail(self) -> str:
        """The last 2000 characters of the log."""
        return self.log.read_text(errors="replace")[-2000:].strip()

    async def terminate(self, limit_s: float = 10.0) -> int:
        """Send SIGTERM and wait; returns the exit code, raises ProcessError at the limit."""
        self.process.send_signal(signal.SIGTERM)
        deadline_s = asyncio.get_running_loop().time() + limit_s
        while self.process.poll() is None:
            if asyncio.get_running_loop().time() > deadline_s:
                raise ProcessError(f"{self.name}: still running {limit_s:g} s after SIGTERM")
            await asyncio.sleep(POLL_INTERVAL_S)
        return self.process.returncode

    def kill(self) -> None:
        """Kill the process if it still runs, and reap it."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    # ---------------------------------------------------------------- resource usage

    def cpu_s(self) -> float:
        """User and system time of all threads so far, with a resolution of 10 ms."""
        text = Path(f"/proc/{self.process.pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        return (int(fields[USER_TIME]) + int(fields[SYSTEM_TIME])) / TICKS_PER_S

    def peak_memory_mb(self) -> float:
        """The peak of the resident memory (VmHWM) in MB."""
        lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        return int(next(line for line in lines if line.startswith("VmHWM")).split()[1]) / 1024.0

    def descriptors(self) -> int:
        """The number of open file descriptors."""
        return len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))


class PeakDescriptors:
    """Polls the number of a process's open descriptors and keeps the maximum."""

    def __init__(self, process: ChildProcess) -> None:
        self.process = process
        self.maximum = 0

    async def watch(self) -> None:
        """Poll until cancelled or until the process has ended."""
        with contextlib.suppress(OSError):
            while True:
                self.maximum = max(self.maximum, self.process.descriptors())
                await asyncio.sleep(POLL_INTERVAL_S)
