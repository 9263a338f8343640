"""Runs `python -m dunepulley` and times every callback of its event loop.

    python -m bench.scale_timed FILE serve ...

The program itself is unchanged: only the event loop's method that runs one callback is wrapped. Callbacks
that took more than `MIN_RECORDED_MS` of CPU time are written to FILE at the end, as a JSON list of
`scale_limits.Callback` fields.
"""

from __future__ import annotations

import asyncio
import gc
import json
import sys
import time
from dataclasses import asdict
from pathlib import Path
from typing import Any

from bench.scale_limits import Callback

MIN_RECORDED_MS = 1.0


def name_of(callback: Any) -> str:
    """The name of what a callback runs: the coroutine if it is a task's step, else the function."""
    owner = getattr(callback, "__self__", None)
    if isinstance(owner, asyncio.Task):
        return owner.get_coro().__qualname__
    return getattr(callback, "__qualname__", repr(callback))


class CollectionTimer:
    """Sums the CPU time of garbage collections, which run inside whichever callback triggers them."""

    def __init__(self) -> None:
        self.started_s = self.total_ms = 0.0

    def on_collection(self, phase: str, _: dict[str, int]) -> None:
        """Record the start or the end of a collection (an entry of `gc.callbacks`)."""
        if phase == "start":
            self.started_s = time.thread_time()
        else:
            self.total_ms += (time.thread_time() - self.started_s) * 1000.0


def time_callbacks(recorded: list[Callback]) -> None:
    """Time every callback from now on and append the long ones to `recorded`."""
    original_run = asyncio.Handle._run
    collection_timer = CollectionTimer()
    gc.callbacks.append(collection_timer.on_collection)

    def timed_run(handle: asyncio.Handle) -> None:
        callback = handle._callback
        collected_ms = collection_timer.total_ms
        started_s, started_cpu_s = time.monotonic(), time.thread_time()
        original_run(handle)
        cpu_ms = (time.thread_time() - started_cpu_s) * 1000.0
        wall_ms = (time.monotonic() - started_s) * 1000.0
        if cpu_ms > MIN_RECORDED_MS:
            name, collected_ms = name_of(callback), collection_timer.total_ms - collected_ms
            if collected_ms:
                name += f" ({collected_ms:.1f} of it garbage collection)"
            recorded.append(Callback(started_s, cpu_ms, wall_ms, name))

    asyncio.Handle._run = timed_run


def main(arguments: list[str]) -> int:
    """Run a command of `python -m dunepulley`; return its exit code."""
    from dunepulley.__main__ import main as run

    recorded: list[Callback] = []
    time_callbacks(recorded)
    try:
        return run(arguments[1:])
    finally:
        Path(arguments[0]).write_text(json.dumps([asdict(callback) for callback in recorded]))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
