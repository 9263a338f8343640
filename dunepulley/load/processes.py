"""Child processes with a name and a log file each, which end with their parent.

The kernel kills them if the parent dies, even if the parent itself was killed.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import functools
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).parents[2]
LIBC = ctypes.CDLL(None)
# From the kernel's prctl.h: the signal to send to a process when its parent dies.
PR_SET_PDEATHSIG = 1


def end_with_parent() -> Callable[[], None]:
    """Return the function that a child runs between fork and exec to be killed when this process dies."""
    return functools.partial(_end_with, os.getpid())


def _end_with(parent: int) -> None:
    """Have the kernel kill this process when its parent dies.

    The kernel only signals a death that occurs after the call, so the function then checks whether the
    parent died between the fork and the call.
    """
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() != parent:
        os.kill(os.getpid(), signal.SIGKILL)


class Processes:
    """The processes of one run; `close` kills them all, also stopped ones."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.processes: dict[str, asyncio.subprocess.Process] = {}

    async def run(self, name: str, *arguments: str) -> None:
        """Start `python -m` with these arguments; standard error is appended to NAME.log."""
        with (self.folder / f"{name}.log").open("ab") as log:  # noqa: ASYNC230 - a local file, and rare
            self.processes[name] = await asyncio.create_subprocess_exec(
                *[sys.executable, "-m", *arguments],
                cwd=self.folder,
                env=os.environ | {"PYTHONPATH": os.pathsep.join([str(ROOT), *sys.path])},
                stderr=log,
                preexec_fn=end_with_parent(),
            )

    def log(self, name: str) -> str:
        """Return what a process has written to its log so far."""
        path = self.folder / f"{name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process, unless it has exited."""
        with contextlib.suppress(ProcessLookupError):
            self.processes[name].send_signal(number)

    async def close(self) -> None:
        """Kill all processes and wait for them."""
        for name in self.processes:
            self.signal(name, signal.SIGCONT)
            self.signal(name, signal.SIGKILL)
        await asyncio.gather(*[process.wait() for process in self.processes.values()])
