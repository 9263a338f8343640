"""Processes that the load tool starts end when it is killed, at whatever time."""

import asyncio
import contextlib
import os
import signal
import sys
from pathlib import Path

from support.event_loop import on_loop, until

ENDLESS = "import time\ntime.sleep(600.0)\n"
# Starts one process, which calls prctl only once its parent has died.
PARENT = """
import asyncio, os, pathlib, sys, time
from dunepulley.load import processes

parent = os.getpid()

class LatePrctl:
    prctl_now = processes.LIBC.prctl

    def prctl(self, *arguments):
        pathlib.Path("forked").write_text(str(os.getpid()))
        while os.getppid() == parent:
            time.sleep(0.001)
        return LatePrctl.prctl_now(*arguments)

processes.LIBC = LatePrctl()
asyncio.run(processes.Processes(pathlib.Path.cwd()).run("child", "endless"))
"""


def state_of(process):
    """Return the state of a process from /proc, or an empty string if it does not exist."""
    with contextlib.suppress(FileNotFoundError, ProcessLookupError):
        return Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()[0]
    return ""


def runs_endless(process):
    """Return whether a process runs the module that does not end by itself."""
    with contextlib.suppress(FileNotFoundError, ProcessLookupError):
        return Path(f"/proc/{process}/cmdline").read_bytes().endswith(b"\0-m\0endless\0")
    return False


@on_loop
async def test_child_does_not_run_if_its_parent_died_before_prctl(tmp_path):
    (tmp_path / "endless.py").write_text(ENDLESS)
    environment = os.environ | {"PYTHONPATH": os.pathsep.join([str(Path.cwd()), *sys.path])}
    parent = await asyncio.create_subprocess_exec(sys.executable, "-c", PARENT, cwd=tmp_path, env=environment)
    forked = tmp_path / "forked"
    await until(lambda: forked.exists() and forked.read_text())
    child = int(forked.read_text())
    try:
        parent.kill()
        await parent.wait()
        await until(lambda: state_of(child) in ("", "Z") or runs_endless(child))
        assert state_of(child) in ("", "Z")
    finally:
        with contextlib.suppress(ProcessLookupError):
            os.kill(child, signal.SIGKILL)
