"""Workers of a zone as a process of its own, for measurements in which zones are lost.

    python -m bench.site FILE

FILE is a JSON object: `zone`, `workers` (a map of ids to ports), `dispatchers` (names to addresses),
`slots`, `speed`, `queue`, `runs_ms` (what an item takes without a hint), `cold_from`, `cold_s`,
`fall_multiple`, `since_ms` (0 for long ago) and `record`, a file that is added to. A work item's id begins
with the name of the dispatcher that was given it, and a point. What is recorded, a line each: `sent MS
DISPATCHER WORKER`, `full MS WORKER` and `over MS WORKER`, a cold worker that was pushed over.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections import deque
from pathlib import Path
from typing import Any

from dunepulley.load.local import RealTime
from dunepulley.load.stub_servers import StubServers, load_report_fields
from dunepulley.model.server import ModelServer

PAUSE_S = 0.2
# What is sent to a cold worker is counted over so long.
FALL_MS = 1000.0


class Site:
    """The workers of one zone."""

    def __init__(self, told: dict[str, Any]) -> None:
        self.told = told
        self.time = RealTime()
        self.record = Path(told["record"]).open("a", buffering=1)  # noqa: SIM115
        self.lately: dict[str, deque[tuple[float, float]]] = {name: deque() for name in told["workers"]}
        self.stub_servers = StubServers(self, self.time, retry_pause_s=PAUSE_S)

    def note(self, *words: Any) -> None:
        """Write one line of the record."""
        at = time.time() * 1000.0
        self.record.write(" ".join([words[0], f"{at:.1f}", *[str(word) for word in words[1:]]]) + "\n")

    def find_work_ms(self, request_id: str, headers: Any) -> float:
        """What an item takes, in ms."""
        return float(headers.get("X-Call-Cost", 1000.0 * self.told["runs_ms"])) / 1000.0

    def callback_address(self, request_id: str, worker: str) -> str:
        """The dispatcher that was given an item."""
        return self.told["dispatchers"][request_id.partition(".")[0]]

    def load_report(self, worker: ModelServer) -> dict[str, float]:
        """Its figures of now."""
        return load_report_fields(worker)

    def record_event(self, what: str, worker: str, request_id: str, work: float) -> None:
        """Record hand-offs, and cold workers that are pushed over."""
        if what == "arrived":
            self.note("sent", request_id.partition(".")[0], worker)
            self.count(self.stub_servers.workers[worker], work)
        elif what == "full":
            self.note("full", worker)

    def count(self, worker: ModelServer, work: float) -> None:
        """Whether a cold worker was sent more than it can bear within the span that counts."""
        warmth = worker.factors.get("cold", 1.0)
        if warmth >= 1.0:
            return
        sent, now = self.lately[worker.name], self.time.now
        sent.append((now, work))
        while sent[0][0] < now - FALL_MS:
            sent.popleft()
        able = worker.speed * warmth * worker.slots * FALL_MS
        if sum([each for _, each in sent]) > self.told["fall_multiple"] * able:
            self.note("over", worker.name)
            sent.clear()

    async def run(self) -> None:
        """Serve until killed."""
        told = self.told
        async with self.stub_servers:
            for name, port in told["workers"].items():
                slots, queue, speed = told["slots"], told["queue"], told["speed"]
                worker = ModelServer(self.time, name, told["zone"], "box", "0", slots, queue, speed)
                if told["since_ms"]:
                    worker.start()
                    worker.warm_up(told["cold_from"], told["cold_s"] * 1000.0)
                await self.stub_servers.open(worker, port)
            await asyncio.Event().wait()


async def main(told: dict[str, Any]) -> None:
    """Run one zone."""
    await Site(told).run()


if __name__ == "__main__":
    asyncio.run(main(json.loads(Path(sys.argv[1]).read_text())))
