"""Processes of a measurement's own, each with a log in one folder: started by name, signalled, all ended."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from pathlib import Path


class Processes:
    """All that one measurement started; `close` ends them, also those that were stopped."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.processes: dict[str, asyncio.subprocess.Process] = {}

    async def run(self, name: str, *words: str) -> None:
        """Start a module of ours with these words; what it says goes to NAME.log."""
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                *[sys.executable, "-m", *words],
                cwd=self.folder,
                env=os.environ | {"PYTHONPATH": str(Path(__file__).parents[1])},
                stderr=log,
            )

    def signal(self, name: str, number: int) -> None:
        """Send a signal to one of our own processes."""
        with contextlib.suppress(ProcessLookupError):
            self.processes[name].send_signal(number)

    async def close(self) -> None:
        """End all that was started."""
        for name in self.processes:
            self.signal(name, signal.SIGCONT)
            self.signal(name, signal.SIGKILL)
        await asyncio.gather(*[process.wait() for process in self.processes.values()])
